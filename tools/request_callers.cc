#include "request_callers.h"

namespace cicadaward {

namespace detail {

    namespace http = boost::beast::http;
    using ResponseParser = http::response_parser<http::string_body>;

} // namespace detail

struct RequestCallers::Attempt {
    std::string id;
    std::string body;
    ConnectionId connection;
    Time started; // of the request
    Time deadline; // of this attempt
    Time retryAt; // when waiting between attempts
    bool waitingToRetry = false;
    RequestWord lastWord = RequestWord::Lost;
    std::unique_ptr<detail::ResponseParser> parser;
};

RequestCallers::RequestCallers(const Clock& clock, Random& random, RequestOptions options, TcpEndpoint& endpoint,
    std::vector<uint32_t> callerAddresses)
    : m_clock(clock)
    , m_random(random)
    , m_options(std::move(options))
    , m_endpoint(endpoint)
    , m_addresses(std::move(callerAddresses))
    , m_start(clock.now())
    , m_lastTick(clock.now())
{
}

RequestCallers::~RequestCallers() = default;

void RequestCallers::tick()
{
    Time now = m_clock.now();
    if (!m_stopped)
        m_due += m_options.perSecond * std::chrono::duration<double>(now - m_lastTick).count();
    m_lastTick = now;
    for (; m_due >= 1 && !m_stopped; m_due -= 1)
        start();
    std::vector<std::shared_ptr<Attempt>> due;
    for (auto& [id, attempt] : m_open) {
        if (now >= (attempt->waitingToRetry ? attempt->retryAt : attempt->deadline))
            due.push_back(attempt);
    }
    for (auto& attempt : due) {
        if (attempt->waitingToRetry)
            connect(attempt);
        else
            failAttempt(attempt);
    }
}

// UUID version 7 (RFC 9562): 48 bits of milliseconds since 1970, then random bits.
std::string RequestCallers::makeId()
{
    uint64_t high = static_cast<uint64_t>(m_clock.wallTime().count()) << 16 | 0x7000 | (m_random.next() & 0x0fff);
    uint64_t low = (m_random.next() & 0x3fffffffffffffff) | 0x8000000000000000;
    char text[37];
    snprintf(text, sizeof(text), "%08x-%04x-%04x-%04x-%012llx", static_cast<unsigned>(high >> 32),
        static_cast<unsigned>(high >> 16 & 0xffff), static_cast<unsigned>(high & 0xffff),
        static_cast<unsigned>(low >> 48), static_cast<unsigned long long>(low & 0xffffffffffff));
    return text;
}

void RequestCallers::start()
{
    auto attempt = std::make_shared<Attempt>();
    attempt->id = makeId();
    attempt->body = "body-" + std::to_string(m_random.next());
    attempt->started = m_clock.now();
    RequestRecord& record = m_records[attempt->id];
    record.repeatable = m_random.unit() < m_options.repeatableShare;
    record.startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_start).count();
    m_open[attempt->id] = attempt;
    ++m_counts.sent;
    connect(attempt);
}

void RequestCallers::connect(const std::shared_ptr<Attempt>& attempt)
{
    attempt->waitingToRetry = false;
    attempt->lastWord = RequestWord::Lost;
    attempt->deadline = m_clock.now() + m_options.timeout + std::chrono::milliseconds(500);
    attempt->parser = std::make_unique<detail::ResponseParser>();
    ++m_records[attempt->id].attempts;
    uint32_t address = m_addresses[m_random.below(m_addresses.size())];
    auto connection = m_endpoint.connect(address, { m_options.serviceAddress, m_options.servicePort });
    if (!connection.ok()) {
        attempt->connection = ConnectionId();
        attempt->deadline = m_clock.now();
        return;
    }
    attempt->connection = *connection;
    m_byConnection[connection->value()] = attempt;
}

void RequestCallers::sendRequest(Attempt& attempt)
{
    detail::http::request<detail::http::string_body> request(detail::http::verb::post, "/orders", 11);
    request.set(detail::http::field::host, m_options.serviceName);
    request.set("Idempotency-Key", attempt.id);
    request.set("Request-Timeout-Ms", std::to_string(m_options.timeout.count()));
    if (m_records[attempt.id].repeatable)
        request.set("Request-Repeatable", "true");
    request.body() = attempt.body;
    request.prepare_payload();
    std::ostringstream text;
    text << request;
    m_endpoint.send(attempt.connection, text.str());
}

void RequestCallers::handle(const TcpEvent& event)
{
    auto found = m_byConnection.find(event.connection.value());
    if (found == m_byConnection.end())
        return;
    std::shared_ptr<Attempt> attempt = found->second;
    switch (event.kind) {
    case TcpEventKind::Opened:
        sendRequest(*attempt);
        return;
    case TcpEventKind::Data:
        receive(attempt, event.data);
        return;
    case TcpEventKind::PeerClosed:
    case TcpEventKind::Closed:
        failAttempt(attempt);
        return;
    }
}

void RequestCallers::receive(const std::shared_ptr<Attempt>& attempt, const std::string& data)
{
    boost::system::error_code error;
    size_t used = 0;
    while (used < data.size() && !attempt->parser->is_done()) {
        size_t taken = attempt->parser->put(boost::asio::buffer(data.data() + used, data.size() - used), error);
        if (error == detail::http::error::need_more)
            break;
        if (error || taken == 0) {
            ++m_counts.badAnswers;
            failAttempt(attempt);
            return;
        }
        used += taken;
    }
    if (attempt->parser->is_done())
        classify(attempt);
}

void RequestCallers::classify(const std::shared_ptr<Attempt>& attempt)
{
    const auto& response = attempt->parser->get();
    auto outcome = response.find("Request-Outcome");
    std::string word = outcome == response.end() ? "" : std::string(outcome->value().data(), outcome->value().size());
    if (word == "answered") {
        std::string expected = " " + attempt->id + " " + attempt->body;
        const std::string& body = response.body();
        bool own = body.size() > expected.size()
            && body.compare(body.size() - expected.size(), expected.size(), expected) == 0;
        if (!own)
            ++m_counts.foreignAnswers;
        finish(*attempt, RequestWord::Answered);
    } else if (word == "unknown")
        finish(*attempt, RequestWord::Unknown);
    else if (word == "not-run") {
        attempt->lastWord = RequestWord::NotRun;
        ++m_records[attempt->id].toldNotRun;
        failAttempt(attempt);
    } else {
        ++m_counts.badAnswers;
        failAttempt(attempt);
    }
}

// Sends the request again, with the same id, or ends it with the last word that was heard.
void RequestCallers::failAttempt(const std::shared_ptr<Attempt>& attempt)
{
    m_byConnection.erase(attempt->connection.value());
    m_endpoint.abort(attempt->connection);
    if (m_records[attempt->id].attempts >= m_options.maxAttempts) {
        finish(*attempt, attempt->lastWord);
        return;
    }
    ++m_counts.resent;
    attempt->waitingToRetry = true;
    attempt->retryAt = m_clock.now() + std::chrono::milliseconds(100 + m_random.below(200));
}

void RequestCallers::finish(Attempt& attempt, RequestWord word)
{
    m_byConnection.erase(attempt.connection.value());
    // A reset instead of a close: thousands of connections in TIME_WAIT slow the stand-in's own TCP stack down.
    m_endpoint.abort(attempt.connection);
    RequestRecord& record = m_records[attempt.id];
    record.word = word;
    record.latency = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - attempt.started);
    m_counts.answered += word == RequestWord::Answered ? 1 : 0;
    m_counts.notRun += word == RequestWord::NotRun ? 1 : 0;
    m_counts.unknown += word == RequestWord::Unknown ? 1 : 0;
    m_counts.lost += word == RequestWord::Lost ? 1 : 0;
    m_open.erase(attempt.id);
}

} // namespace cicadaward
