#include "ctl_options.h"

#include "settings/settings.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sys/stat.h>

namespace cicadaward {

namespace detail {

    namespace options = boost::program_options;

    constexpr size_t minTokenSize = 16; // the control instances refuse a shorter token

    const SettingTable& ctlSettings()
    {
        static const SettingTable table {
            {
                { "control.instances", SettingType::EndpointList, "", "", 1, 16,
                    "administration endpoints of the control instances, tried in turn" },
                { "control.token-file", SettingType::Path, "", "", 1, 4096, "file with the token, mode 0600" },
                { "control.timeout-ms", SettingType::Milliseconds, "ms", "30000", 100, 3600000,
                    "longest time of a command, waiting included" },
            },
            {},
        };
        return table;
    }

    struct CommandSyntax {
        const char* name;
        size_t arguments;
        const char* usage;
        const char* meaning;
    };

    const std::vector<CommandSyntax>& commandSyntaxes()
    {
        static const std::vector<CommandSyntax> forms {
            { "apply", 1, "apply FILE [--wait]", "send the manifest in FILE" },
            { "diff", 1, "diff FILE", "what applying FILE would change" },
            { "show", 0, "show", "the manifest in force" },
            { "status", 0, "status", "leader, quorum, repair, epoch, who is behind, findings" },
            { "members", 0, "members", "the entries and agents in the directory" },
            { "data-centre", 2, "data-centre out|in NAME [--replaces VERSION] [--wait]",
                "take a data centre out or bring it back" },
            { "history", 0, "history [--limit N]", "the last accepted manifests, the newest first" },
            { "events", 0, "events [--limit N]", "the last events of the first instance that answers" },
            { "metrics", 0, "metrics", "the metrics of the first instance that answers" },
        };
        return forms;
    }

    options::options_description describeCtlOptions()
    {
        options::options_description description("Options");
        auto add = description.add_options();
        add("help", "show this text and exit");
        add("version", "show the version and exit");
        add("config", options::value<std::string>()->value_name("FILE"), "read settings from FILE");
        add("control", options::value<std::vector<std::string>>()->value_name("IP:PORT"),
            "administration endpoint of a control instance; repeat it for several, they are tried in turn");
        add("token-file", options::value<std::string>()->value_name("FILE"), "file with the token, mode 0600");
        add("timeout", options::value<std::string>()->value_name("SECONDS"),
            "longest time of the command, waiting included (default 30)");
        add("operator", options::value<std::string>()->value_name("NAME"),
            "name for the history (default: the variable USER)");
        add("json", "print JSON");
        add("table", "print tables (default)");
        add("wait", "return when every live process has applied the change");
        add("replaces", options::value<std::string>()->value_name("VERSION"),
            "only if VERSION is the manifest in force");
        add("limit", options::value<std::string>()->value_name("N"), "at most N entries, up to 512 (default 50)");
        return description;
    }

    void printCtlHelp(std::ostream& out)
    {
        out << "cicadawardctl: administers cicadaward through its control instances.\n\n"
               "Usage: cicadawardctl [options] COMMAND\n\nCommands:\n";
        for (const CommandSyntax& form : commandSyntaxes())
            out << "  " << form.usage << "\n      " << form.meaning << "\n";
        out << "\n"
            << describeCtlOptions()
            << "\nExamples:\n"
               "  cicadawardctl --config ctl.ini status\n"
               "  cicadawardctl --config ctl.ini diff manifest.json\n"
               "  cicadawardctl --config ctl.ini apply manifest.json --wait\n"
               "  cicadawardctl --config ctl.ini data-centre out hal-a --wait\n"
               "  cicadawardctl --control 10.0.0.1:7010 --control 10.0.0.2:7010 --token-file token members --json\n"
               "\nSettings (in --config FILE):\n";
        for (const Setting& setting : ctlSettings().settings)
            out << "  " << setting.key << ": " << setting.description << "\n";
        out << "\nExit codes:\n  0  done\n  1  refused, or not decided\n  2  bad command line or input\n"
               "  3  decided, but --wait ended before all processes had applied the change\n";
    }

    // Reads the token from the first line of a file that only its owner may read; the control instances apply the same
    // rules.
    bool readTokenFile(const std::string& path, std::string& token, Findings& findings)
    {
        struct stat info { };
        std::ifstream file(path);
        if (stat(path.c_str(), &info) != 0 || !file.is_open())
            findings.add({ path, 0, "" }, "cannot be read");
        else if ((info.st_mode & (S_IRWXO | S_IWGRP)) != 0)
            findings.add({ path, 0, "" }, "is accessible to other users; use mode 0600");
        else if (!std::getline(file, token) || token.size() < minTokenSize)
            findings.add({ path, 1, "" }, "the token has fewer than " + std::to_string(minTokenSize) + " bytes");
        else
            return true;
        return false;
    }

    uint64_t parseWholeNumber(const options::variables_map& arguments, const char* name, uint64_t minValue,
        uint64_t maxValue, uint64_t defaultValue, Findings& findings)
    {
        if (arguments.count(name) == 0)
            return defaultValue;
        const std::string& text = arguments[name].as<std::string>();
        bool digits = !text.empty() && text.size() <= 18 && text.find_first_not_of("0123456789") == std::string::npos;
        uint64_t value = digits ? std::stoull(text) : 0;
        if (!digits || value < minValue || value > maxValue)
            findings.add({ "command line", 0, std::string("--") + name },
                "must be a whole number from " + std::to_string(minValue) + " to " + std::to_string(maxValue));
        return value;
    }

    void parseCommand(const options::variables_map& arguments, CtlOptions& result, Findings& findings)
    {
        std::vector<std::string> words;
        if (arguments.count("words") > 0)
            words = arguments["words"].as<std::vector<std::string>>();
        if (words.empty()) {
            findings.add({ "command line", 0, "" }, "a command is needed");
            return;
        }
        result.command = words[0];
        result.arguments.assign(words.begin() + 1, words.end());
        const CommandSyntax* found = nullptr;
        for (const CommandSyntax& form : commandSyntaxes()) {
            if (result.command == form.name)
                found = &form;
        }
        if (!found) {
            findings.add({ "command line", 0, "" }, "unknown command \"" + result.command + "\"");
            return;
        }
        bool badDirection = result.command == "data-centre" && !result.arguments.empty() && result.arguments[0] != "out"
            && result.arguments[0] != "in";
        if (result.arguments.size() != found->arguments || badDirection)
            findings.add({ "command line", 0, "" }, std::string("usage: ") + found->usage);
        if (arguments.count("wait") > 0 && result.command != "apply" && result.command != "data-centre")
            findings.add({ "command line", 0, "--wait" }, "is allowed with the commands apply and data-centre only");
        if (arguments.count("replaces") > 0 && result.command != "data-centre")
            findings.add({ "command line", 0, "--replaces" }, "is allowed with the command data-centre only");
    }

    Settings parseInstances(const std::vector<std::string>& endpoints, Findings& findings)
    {
        std::string list;
        for (const std::string& endpoint : endpoints)
            list += (list.empty() ? "" : ", ") + endpoint;
        return parseSettings("command line", "[control]\ninstances = " + list + "\n", ctlSettings(), findings);
    }

    // Reads the values of `settings` and `instances`, which must have parsed without findings.
    void applySettings(const options::variables_map& arguments, const Settings& settings, const Settings& instances,
        uint64_t seconds, CtlOptions& result, Findings& findings)
    {
        result.timeout
            = seconds > 0 ? Duration(std::chrono::seconds(seconds)) : settings.duration("control.timeout-ms");
        if (!instances.isSet("control.instances"))
            findings.add({ "command line", 0, "--control" }, "is needed, or control.instances in --config FILE");
        else {
            for (const ConfiguredEndpoint& endpoint : instances.endpoints("control.instances"))
                result.instances.push_back({ endpoint.address, endpoint.port });
        }
        if (arguments.count("token-file") > 0)
            readTokenFile(arguments["token-file"].as<std::string>(), result.token, findings);
        else if (settings.isSet("control.token-file"))
            readTokenFile(settings.path("control.token-file"), result.token, findings);
        else
            findings.add({ "command line", 0, "--token-file" }, "is needed, or control.token-file in --config FILE");
    }

    CtlOptions readOptions(const options::variables_map& arguments, Findings& findings)
    {
        CtlOptions result;
        parseCommand(arguments, result, findings);
        Findings settingsFindings; // their values cannot be used
        Settings settings = arguments.count("config") > 0
            ? loadSettings(arguments["config"].as<std::string>(), ctlSettings(), settingsFindings)
            : parseSettings("command line", "", ctlSettings(), settingsFindings);
        Settings instances = arguments.count("control") > 0
            ? parseInstances(arguments["control"].as<std::vector<std::string>>(), settingsFindings)
            : settings;
        uint64_t seconds = parseWholeNumber(arguments, "timeout", 1, 3600, 0, findings);
        result.replaces = parseWholeNumber(arguments, "replaces", 1, UINT64_MAX / 2, 0, findings);
        result.limit = parseWholeNumber(arguments, "limit", 1, 512, 50, findings);
        if (arguments.count("json") > 0 && arguments.count("table") > 0)
            findings.add({ "command line", 0, "--json" }, "cannot be combined with --table");
        result.json = arguments.count("json") > 0;
        result.wait = arguments.count("wait") > 0;
        const char* user = std::getenv("USER");
        result.who = arguments.count("operator") > 0 ? arguments["operator"].as<std::string>() : (user ? user : "");
        if (result.who.size() > 128 || result.who.find_first_of("\r\n") != std::string::npos)
            findings.add({ "command line", 0, "--operator" }, "must be one line of at most 128 bytes");
        if (settingsFindings.empty())
            applySettings(arguments, settings, instances, seconds, result, findings);
        for (const Finding& finding : settingsFindings.all())
            findings.add(finding.place, finding.message);
        return result;
    }

} // namespace detail

std::variant<CtlExit, CtlOptions> parseCtlOptions(
    int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    namespace options = boost::program_options;
    options::options_description all = detail::describeCtlOptions();
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map arguments;
    try {
        const int exact = options::command_line_style::default_style & ~options::command_line_style::allow_guessing;
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positional).style(exact).run(), arguments);
    } catch (const options::error& error) {
        err << "cicadawardctl: " << error.what() << "; see --help\n";
        return CtlExit::Usage;
    }
    if (arguments.count("help") > 0) {
        detail::printCtlHelp(out);
        return CtlExit::Done;
    }
    if (arguments.count("version") > 0) {
        out << "cicadawardctl " << CICADAWARD_VERSION << "\n";
        return CtlExit::Done;
    }
    Findings findings;
    CtlOptions result = detail::readOptions(arguments, findings);
    if (findings.empty())
        return result;
    err << findings.report();
    return CtlExit::Usage;
}

} // namespace cicadaward
