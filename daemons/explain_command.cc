#include "explain_command.h"

#include "core/clock.h"
#include "explain_report.h"
#include "flow_daemon.h"
#include "net/http_client.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/program_options.hpp>
#include <functional>
#include <ostream>

namespace cicadaward {

namespace {

    namespace options = boost::program_options;

    constexpr char programName[] = "cicadaward-flow explain";
    constexpr uint64_t maxBodyBytes = uint64_t(1) << 40;
    constexpr uint64_t maxTimeoutMs = 600'000;
    constexpr Duration minCallTimeout = std::chrono::milliseconds(1);

    // The values are texts that parseExplainOptions() checks, and lists, so that one report names all that is wrong.
    options::options_description describeOptions()
    {
        auto text = [](const char* name) { return options::value<std::vector<std::string>>()->value_name(name); };
        options::options_description description("Options");
        auto add = description.add_options();
        add("entry", text("HOST:PORT"), "metrics endpoint of the entry (its setting metrics.listen)");
        add("address", text("HOST:PORT"), "address and port that the caller connects to");
        add("caller", text("HOST:PORT"), "address and port of the caller");
        add("bytes", text("N"), "expected size of the request's body (default 0)");
        add("agent-port", text("PORT"), "metrics port of the agents (default 9152)");
        add("timeout-ms", text("N"), "time for all answers together (default 2000)");
        add("json", "print JSON");
        add("help", "show this text and exit");
        return description;
    }

    void printHelp(std::ostream& out)
    {
        out << programName << ": prints where a new flow would go now and why, without sending it.\n\n"
            << "Usage: " << programName << " --entry HOST:PORT --address HOST:PORT --caller HOST:PORT [--bytes N]\n"
            << "           [--agent-port PORT] [--timeout-ms N] [--json]\n\n"
            << describeOptions() << "\nHOST is an IPv4 address.\n\nExample:\n  " << programName
            << " --entry 10.1.0.1:9151 --address 198.18.0.1:443 --caller 100.64.0.1:40001\n"
            << "\nExit codes:\n  0  a member would take the flow\n  1  it would be refused, or not be offered\n"
            << "  2  bad arguments\n  3  the entry, or all agents, did not answer in time\n";
    }

    // Removes options without their values, which the parser would report one at a time.
    std::vector<std::string> withoutMissingValues(std::vector<std::string> arguments, Findings& findings)
    {
        const options::options_description description = describeOptions();
        std::vector<std::string> kept;
        for (size_t i = 0; i < arguments.size(); ++i) {
            const std::string& argument = arguments[i];
            const options::option_description* option
                = absl::StartsWith(argument, "--") ? description.find_nothrow(argument.substr(2), false) : nullptr;
            if (!option || option->semantic()->max_tokens() == 0) {
                kept.push_back(argument);
            } else if (i + 1 == arguments.size() || absl::StartsWith(arguments[i + 1], "--")) {
                findings.add({ programName, 0, argument }, "has no value");
            } else {
                kept.push_back(argument);
                kept.push_back(arguments[++i]);
            }
        }
        return kept;
    }

    class OptionReader {
    public:
        OptionReader(const options::variables_map& values, Findings& findings)
            : m_values(values)
            , m_findings(findings)
        {
        }

        Endpoint endpoint(const std::string& name)
        {
            std::optional<std::string> text = single(name);
            if (!text) {
                add(name, "is required");
                return {};
            }
            std::optional<Endpoint> parsed = parseEndpoint(*text);
            if (!parsed)
                add(name, absl::StrCat("\"", *text, "\" is not an IPv4 address with a port"));
            return parsed.value_or(Endpoint());
        }
        uint64_t number(const std::string& name, uint64_t minimum, uint64_t maximum, uint64_t defaultValue)
        {
            std::optional<std::string> text = single(name);
            if (!text)
                return defaultValue;
            uint64_t value = 0;
            if (absl::SimpleAtoi(*text, &value) && value >= minimum && value <= maximum)
                return value;
            add(name, absl::StrCat("\"", *text, "\" is not a whole number from ", minimum, " to ", maximum));
            return defaultValue;
        }

    private:
        std::optional<std::string> single(const std::string& name)
        {
            if (m_values.count(name) == 0)
                return std::nullopt;
            const auto& texts = m_values[name].as<std::vector<std::string>>();
            if (texts.size() > 1)
                add(name, "is given more than once");
            return texts.front();
        }
        void add(const std::string& name, std::string message)
        {
            m_findings.add({ programName, 0, "--" + name }, std::move(message));
        }

        const options::variables_map& m_values;
        Findings& m_findings;
    };

    const char* failureText(HttpFailure failure)
    {
        switch (failure) {
        case HttpFailure::ConnectionRefused:
            return "connection refused";
        case HttpFailure::FailedBeforeSend:
            return "no connection";
        case HttpFailure::FailedAfterSend:
            return "the connection ended before the answer";
        case HttpFailure::TimedOut:
            break;
        }
        return "timed out";
    }

    // Sends the questions and waits for their answers until the deadline.
    class ExplainClient {
    public:
        using Handler = std::function<void(absl::StatusOr<std::string> json)>;

        explicit ExplainClient(Duration timeout)
            : m_deadline(m_clock.now() + timeout)
        {
        }

        const Clock& clock() const { return m_clock; }
        void ask(Endpoint server, const ExplainCall& call, Handler handler)
        {
            namespace http = boost::beast::http;
            HttpClientRequest request(http::verb::get, explainTarget(call), 11);
            request.set(http::field::host, formatEndpoint(server));
            Duration timeout = std::max(m_deadline - m_clock.now(), minCallTimeout);
            constexpr size_t maxIdleConnections = 0;
            m_clients.push_back(
                std::make_unique<HttpClient>(m_context, server, maxIdleConnections, maxExplanationBytes));
            m_clients.back()->send(1, std::move(request), timeout,
                [handler = std::move(handler)](uint64_t, HttpResult result) { handler(bodyOf(std::move(result))); });
        }
        // Returns when each question is answered or has failed.
        void run()
        {
            m_context.restart();
            m_context.run();
        }

    private:
        static absl::StatusOr<std::string> bodyOf(HttpResult result)
        {
            if (const auto* failure = std::get_if<HttpFailure>(&result))
                return absl::UnavailableError(failureText(*failure));
            auto& response = std::get<HttpClientResponse>(result);
            if (response.result_int() != 200)
                return absl::UnavailableError(absl::StrCat("answered with status ", response.result_int()));
            return std::move(response.body());
        }

        SystemClock m_clock;
        Time m_deadline;
        boost::asio::io_context m_context;
        std::vector<std::unique_ptr<HttpClient>> m_clients;
    };

    std::string notAnExplanation(const absl::Status& status)
    {
        return absl::StrCat("the answer is no explanation (", std::string(status.message()),
            "); another process or an earlier version listens there");
    }

    absl::Status askEntry(ExplainClient& client, const ExplainOptions& asked, ExplainReport& report)
    {
        absl::StatusOr<std::string> body = absl::UnavailableError("timed out");
        client.ask(
            asked.entry, { asked.question, {}, {} }, [&](absl::StatusOr<std::string> json) { body = std::move(json); });
        client.run();
        if (!body.ok())
            return body.status();
        absl::StatusOr<EntryAnswer> answer = parseEntryAnswer(*body);
        if (!answer.ok())
            return absl::UnavailableError(notAnExplanation(answer.status()));
        report.entry = std::move(*answer);
        report.entryJson = std::move(*body);
        return absl::OkStatus();
    }

    AgentReply readReply(absl::StatusOr<std::string> body)
    {
        AgentReply reply;
        if (!body.ok()) {
            reply.failure = std::string(body.status().message());
            return reply;
        }
        absl::StatusOr<AgentAnswer> answer = parseAgentAnswer(*body);
        if (!answer.ok()) {
            reply.failure = notAnExplanation(answer.status());
            return reply;
        }
        reply.answer = std::move(*answer);
        reply.json = std::move(*body);
        return reply;
    }

    void askAgents(ExplainClient& client, const ExplainOptions& asked, ExplainReport& report)
    {
        const steering::EntryExplanation& entry = report.entry.explanation;
        std::map<Endpoint, Time> answeredAt;
        for (const steering::ExplainedMember& member : entry.members) {
            Endpoint agent = member.agent;
            if (!report.agents.emplace(agent, AgentReply { "timed out", {}, {}, {} }).second)
                continue;
            client.ask({ agent.address, asked.agentPort }, { asked.question, entry.service, entry.state },
                [&, agent](absl::StatusOr<std::string> body) {
                    report.agents[agent] = readReply(std::move(body));
                    answeredAt[agent] = client.clock().now();
                });
        }
        client.run();
        std::map<Endpoint, steering::AgentExplanation> answers;
        for (auto& [agent, reply] : report.agents) {
            if (!reply.failure.empty())
                continue;
            reply.age = client.clock().now() - answeredAt[agent];
            answers[agent] = reply.answer.explanation;
        }
        report.placement = explainPlacement(entry, answers);
    }

    int explain(const ExplainOptions& asked, std::ostream& out, std::ostream& err)
    {
        ExplainClient client(asked.timeout);
        ExplainReport report;
        report.entryEndpoint = asked.entry;
        report.question = asked.question;
        if (absl::Status status = askEntry(client, asked, report); !status.ok()) {
            err << programName << ": entry " << formatEndpoint(asked.entry) << ": " << std::string(status.message())
                << " (waited for at most " << asked.timeout.count()
                << " ms)\nCheck that the entry runs and that its setting metrics.listen names this endpoint.\n";
            return static_cast<int>(ExplainResult::NoAnswer);
        }
        askAgents(client, asked, report);
        if (asked.isJson)
            printJson(report, out);
        else
            printText(report, out);
        if (report.hasNoAgentAnswer()) {
            err << programName << ": none of the " << report.agents.size() << " agents answered on port "
                << asked.agentPort << " (waited for at most " << asked.timeout.count()
                << " ms)\nCheck --agent-port, the agents' setting metrics.listen, and that the agents run.\n";
            return static_cast<int>(ExplainResult::NoAnswer);
        }
        bool isTaken = report.placement.decision == steering::Decision::Accepted;
        return static_cast<int>(isTaken ? ExplainResult::Taken : ExplainResult::NotTaken);
    }

} // namespace

ExplainOptions parseExplainOptions(const std::vector<std::string>& arguments, Findings& findings)
{
    ExplainOptions result;
    result.isHelp = std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
    if (result.isHelp)
        return result;
    const options::options_description description = describeOptions(); // the parsed options refer to it
    options::variables_map values;
    try {
        const int exact = options::command_line_style::default_style & ~options::command_line_style::allow_guessing;
        options::parsed_options parsed = options::command_line_parser(withoutMissingValues(arguments, findings))
                                             .options(description)
                                             .style(exact)
                                             .allow_unregistered()
                                             .run();
        for (const std::string& unknown : options::collect_unrecognized(parsed.options, options::include_positional))
            findings.add({ programName, 0, unknown }, "is unknown");
        options::store(parsed, values);
    } catch (const options::error& error) {
        findings.add({ programName, 0, "" }, error.what());
    }
    OptionReader reader(values, findings);
    result.entry = reader.endpoint("entry");
    result.question.flow.service = reader.endpoint("address");
    result.question.flow.caller = reader.endpoint("caller");
    result.question.bodyBytes = reader.number("bytes", 0, maxBodyBytes, 0);
    result.agentPort = static_cast<uint16_t>(reader.number("agent-port", 1, UINT16_MAX, result.agentPort));
    result.timeout = std::chrono::milliseconds(
        reader.number("timeout-ms", 1, maxTimeoutMs, static_cast<uint64_t>(result.timeout.count())));
    result.isJson = values.count("json") > 0;
    return result;
}

int runExplain(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    Findings findings;
    ExplainOptions asked = parseExplainOptions({ argv + std::min(1, argc), argv + argc }, findings);
    if (asked.isHelp) {
        printHelp(out);
        return static_cast<int>(ExplainResult::Taken);
    }
    if (!findings.empty()) {
        err << findings.report() << "See " << programName << " --help\n";
        return static_cast<int>(ExplainResult::Usage);
    }
    return explain(asked, out, err);
}

} // namespace cicadaward
