#include "agent_requests_duty.h"

#include "request/http_writer.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace cicadaward {

namespace detail {

    constexpr size_t inputRingSize = 8192;
    constexpr size_t tcpRingSize = 16384;
    constexpr size_t maxRefusedCallers = 4096;
    constexpr auto healthTimeout = std::chrono::seconds(1);

    HttpClientRequest buildTargetRequest(const request::Request& request, Duration remaining)
    {
        HttpClientRequest result;
        result.version(11);
        result.method_string(request.method);
        result.target(request.path);
        for (const auto& [name, value] : request.headers)
            result.insert(name, value);
        auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
        result.set("Request-Timeout-Ms", std::to_string(remainingMs));
        if (!request.key.empty())
            result.set("Idempotency-Key", request.key);
        if (!request.traceParent.empty())
            result.set("traceparent", request.traceParent);
        result.body() = request.body;
        result.prepare_payload();
        return result;
    }

    request::Answer toAnswer(HttpClientResponse&& response)
    {
        request::Answer answer;
        answer.status = static_cast<uint16_t>(response.result_int());
        for (const auto& field : response) {
            if (field.name() == boost::beast::http::field::connection
                || field.name() == boost::beast::http::field::keep_alive
                || field.name() == boost::beast::http::field::transfer_encoding
                || field.name() == boost::beast::http::field::content_length)
                continue;
            answer.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        answer.body = std::move(response.body());
        return answer;
    }

    bool isRefusedByTarget(const HttpClientResponse& response)
    {
        auto outcome = response.find("Request-Outcome");
        return response.result_int() == 503 && outcome != response.end() && outcome->value() == "not-run";
    }

} // namespace detail

AgentRequestThread::Connection::Connection(const request::HttpLimits& limits, Endpoint callerEndpoint)
    : reader(DaemonBase::clock(), limits, callerEndpoint.address)
    , caller(callerEndpoint)
{
}

AgentRequestThread::AgentRequestThread(DaemonBase& base, const Settings& settings,
    std::function<void(PacketsInput&&)> toPackets, std::function<void(const ControlInput&)> toControl,
    TcpEndpoint::PacketOutput endpointOutput)
    : m_base(base)
    , m_serviceName(settings.text("service.name"))
    , m_self(control::memberIdOf(settings.text("instance.name")))
    , m_lease(3 * settings.duration("control.announce-interval-ms"))
    , m_maxRequests(static_cast<size_t>(settings.number("limits.max-requests")))
    , m_toPackets(std::move(toPackets))
    , m_toControl(std::move(toControl))
    , m_endpointOutput(std::move(endpointOutput))
    , m_loop("requests")
    , m_random(base.seed + 2)
    , m_targetClient(m_loop.context(), toEndpoint(settings.endpoint("target.http")), 64)
    , m_healthClient(m_loop.context(), toEndpoint(settings.endpoint("target.http")), 1)
    , m_targetMonitor(DaemonBase::clock(), {})
    , m_fromPackets(detail::inputRingSize, m_loop.context(),
          [this](RequestsInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
    , m_fromControl(detail::inputRingSize, m_loop.context(),
          [this](RequestsInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
    , m_fromEndpoint(detail::tcpRingSize, m_loop.context(), [this](TcpEvent&& event) { handleTcp(event); })
{
    m_loop.runEvery(std::chrono::milliseconds(10), [this] { handle(request::Tick {}); });
    m_loop.runEvery(settings.duration("target.health-interval-ms"), [this] { pollHealth(); });
    m_loop.runEvery(std::chrono::milliseconds(100), [this] { checkRequestTimeouts(); });
    m_loop.runEvery(std::chrono::seconds(1), [this] { reportMetrics(); });
}

AgentRequestThread::~AgentRequestThread() { stop(); }

void AgentRequestThread::stop()
{
    m_loop.stop();
    m_endpoint.reset();
}

void AgentRequestThread::drain(Duration limit)
{
    boost::asio::post(m_loop.context(), [this, limit] {
        if (m_stateMachine)
            handle(request::DrainStarted { limit });
        else
            m_toControl(ControlDrained { true });
    });
}

void AgentRequestThread::handleInput(const RequestsDirectory& input)
{
    m_directory = input.directory;
    const Service* service = m_directory->findService(m_serviceName);
    ServiceId id = service ? service->id : ServiceId();
    if (id != m_service) {
        m_service = id;
        m_connections.clear();
        m_endpoint.reset();
        m_toPackets(PacketsEndpoint {});
        m_stateMachine.reset();
        if (service) {
            createStateMachine();
            createEndpoint(*service);
        }
    }
    std::shared_ptr<const BucketTable> table;
    if (service)
        table = std::make_shared<BucketTable>(*m_directory, *service);
    handle(request::DirectoryChanged { m_directory, std::move(table) });
}

void AgentRequestThread::createStateMachine()
{
    request::AgentRequestsConfig config;
    config.self = m_self;
    config.service = m_service;
    config.process = m_base.process;
    config.lease = m_lease;
    config.maxRequests = m_maxRequests;
    m_stateMachine = std::make_unique<request::AgentRequests>(DaemonBase::clock(), m_random, config);
    handle(request::SlotsChanged { m_slots });
    publishTargetCondition();
}

void AgentRequestThread::createEndpoint(const Service& service)
{
    m_endpoint = std::make_shared<TcpEndpoint>(std::vector<uint32_t> { service.spec.address }, m_endpointOutput,
        [this](TcpEvent&& event) { m_fromEndpoint.push(std::move(event)); });
    for (const PortSpec& port : service.spec.ports) {
        if (port.mode != PortMode::Request)
            continue;
        absl::Status status = m_endpoint->listen(port.port);
        if (!status.ok())
            m_base.log->write(EventId::ListenFailed, { { "reason", std::string(status.message()) } });
    }
    m_toPackets(PacketsEndpoint { m_endpoint });
}

void AgentRequestThread::handleInput(const RequestsContact& input)
{
    handle(request::ControlContact { input.renewed, input.newest });
}

void AgentRequestThread::handleInput(const RequestsPeerMessage& input)
{
    handle(request::PeerMessageReceived { input.from, input.bytes });
}

void AgentRequestThread::handleInput(const RequestsSlots& input)
{
    m_slots = input.slots;
    handle(request::SlotsChanged { m_slots });
}

void AgentRequestThread::handleInput(const RequestsRefusal& input)
{
    if (m_refusedCallers.size() >= detail::maxRefusedCallers)
        m_refusedCallers.clear();
    m_refusedCallers.insert({ input.caller.address, input.caller.port });
}

bool AgentRequestThread::isRefused(const Connection& connection) const
{
    return m_refusedCallers.count({ connection.caller.address, connection.caller.port }) > 0;
}

void AgentRequestThread::handleTcp(const TcpEvent& event)
{
    if (event.kind == TcpEventKind::Opened) {
        m_connections.try_emplace(event.connection.value(), m_httpLimits, event.peer);
        return;
    }
    auto found = m_connections.find(event.connection.value());
    if (found == m_connections.end())
        return;
    switch (event.kind) {
    case TcpEventKind::Data:
        found->second.reader.feed(event.data);
        if (!found->second.busy)
            readRequests(event.connection);
        return;
    case TcpEventKind::PeerClosed:
        // A caller may close its sending side (half-close) while it waits; it still gets the response.
        if (!found->second.busy)
            closeConnection(event.connection);
        return;
    case TcpEventKind::Closed:
        m_refusedCallers.erase({ found->second.caller.address, found->second.caller.port });
        m_connections.erase(found);
        handle(request::ConnectionClosed { event.connection });
        return;
    case TcpEventKind::Opened:
        return;
    }
}

void AgentRequestThread::closeConnection(ConnectionId id)
{
    if (m_endpoint)
        m_endpoint->close(id);
}

void AgentRequestThread::readRequests(ConnectionId id)
{
    auto found = m_connections.find(id.value());
    if (found == m_connections.end() || !m_endpoint)
        return;
    Connection& connection = found->second;
    auto next = connection.reader.next();
    if (auto* error = std::get_if<request::HttpError>(&next)) {
        m_base.metrics.counter("request.bad_input").add();
        m_endpoint->send(id, request::formatError(*error));
        closeConnection(id);
    } else if (auto* request = std::get_if<request::Request>(&next)) {
        if (!m_stateMachine || isRefused(connection)) {
            request::Reply reply;
            reply.outcome = request::RequestOutcome::NotRun;
            reply.retryAfter = std::chrono::seconds(1);
            reply.reason = "no target can take this request now";
            m_endpoint->send(id, request::formatReply(reply, true, false));
            closeConnection(id);
            return;
        }
        connection.busy = true;
        handle(request::RequestReceived { id, std::move(*request) });
    }
}

// A reader has no timer: it reports a request that was not complete in time only when next() is called.
void AgentRequestThread::checkRequestTimeouts()
{
    std::vector<uint64_t> waiting;
    for (const auto& [id, connection] : m_connections) {
        if (!connection.busy && connection.reader.buffered() > 0)
            waiting.push_back(id);
    }
    for (uint64_t id : waiting)
        readRequests(ConnectionId(id));
}

void AgentRequestThread::handle(request::RequestEvent event)
{
    if (!m_stateMachine)
        return;
    for (const request::RequestAction& action : m_stateMachine->handle(std::move(event)))
        std::visit([this](const auto& each) { perform(each); }, action);
}

void AgentRequestThread::perform(const request::SendToTarget& action)
{
    Time started = DaemonBase::clock().now();
    m_targetClient.send(action.attempt.value(), detail::buildTargetRequest(*action.request, action.remaining),
        action.remaining, [this, attempt = action.attempt, started](uint64_t, HttpResult result) {
            handleTargetResult(attempt, started, std::move(result));
        });
}

void AgentRequestThread::handleTargetResult(request::AttemptId attempt, Time started, HttpResult result)
{
    Duration latency = DaemonBase::clock().now() - started;
    if (auto* response = std::get_if<HttpClientResponse>(&result)) {
        m_targetMonitor.recordTraffic();
        if (detail::isRefusedByTarget(*response)) {
            m_toPackets(PacketsRequestEnded { Outcome::Refused, latency });
            handle(request::TargetFailed { attempt, request::TargetFailure::Refused });
            return;
        }
        m_toPackets(
            PacketsRequestEnded { response->result_int() < 500 ? Outcome::Completed : Outcome::Failed, latency });
        request::Answer answer = detail::toAnswer(std::move(*response));
        uint64_t length = answer.body.size();
        handle(request::TargetAnswered { attempt, std::move(answer), length });
        return;
    }
    HttpFailure failure = std::get<HttpFailure>(result);
    bool notSent = failure == HttpFailure::ConnectionRefused || failure == HttpFailure::FailedBeforeSend;
    m_toPackets(
        PacketsRequestEnded { failure == HttpFailure::TimedOut ? Outcome::TimedOut : Outcome::Failed, latency });
    handle(
        request::TargetFailed { attempt, notSent ? request::TargetFailure::NotSent : request::TargetFailure::Broken });
}

void AgentRequestThread::perform(const request::CancelAttempt& action)
{
    m_targetClient.cancel(action.attempt.value());
}

void AgentRequestThread::perform(const request::WriteReply& action)
{
    auto found = m_connections.find(action.connection.value());
    if (found == m_connections.end() || !m_endpoint)
        return;
    found->second.busy = false;
    m_endpoint->send(action.connection, request::formatReply(action.reply, action.close, false));
    if (action.close)
        closeConnection(action.connection);
    else
        boost::asio::post(m_loop.context(), [this, id = action.connection] { readRequests(id); });
}

void AgentRequestThread::perform(const request::SendPeerMessage& action)
{
    m_toPackets(PacketsPeerMessage { action.to, action.bytes });
}

void AgentRequestThread::perform(const request::Count& action)
{
    static const char* const names[] = { "answered", "not_run", "unknown", "cancelled", "stale_attempt",
        "partial_answer", "damaged_message", "stale_message", "duplicate_prevented", "conflict", "refused_full",
        "refused_fenced", "retry", "retry_denied", "answer_dropped", "amnesia_started", "directory_behind" };
    m_base.metrics.counter(std::string("request.") + names[static_cast<size_t>(action.counter)]).add(action.by);
}

void AgentRequestThread::perform(const request::DrainFinished& action)
{
    m_toControl(ControlDrained { action.complete });
}

void AgentRequestThread::pollHealth()
{
    if (m_healthClient.pendingCallCount() > 0)
        return;
    HttpClientRequest request(boost::beast::http::verb::get, "/health", 11);
    request.set(boost::beast::http::field::host, m_serviceName);
    m_healthClient.send(++m_lastHealthCall, std::move(request), detail::healthTimeout,
        [this](uint64_t, HttpResult result) { handleHealthResult(std::move(result)); });
}

void AgentRequestThread::handleHealthResult(HttpResult result)
{
    bool changed = false;
    if (auto* failure = std::get_if<HttpFailure>(&result))
        changed = *failure == HttpFailure::ConnectionRefused ? m_targetMonitor.onHealthConnectionRefused()
                                                             : m_targetMonitor.onHealthCheckFailed();
    else {
        auto json = nlohmann::json::parse(std::get<HttpClientResponse>(result).body(), nullptr, false);
        bool valid = json.is_object() && json.contains("incarnation") && json["incarnation"].is_number_unsigned();
        if (valid) {
            std::string state
                = json.contains("state") && json["state"].is_string() ? json["state"].get<std::string>() : "";
            changed
                = m_targetMonitor.onHealthReply(Incarnation(json["incarnation"].get<uint64_t>()), state == "draining");
        } else
            changed = m_targetMonitor.onHealthCheckFailed();
    }
    if (changed)
        publishTargetCondition();
}

void AgentRequestThread::publishTargetCondition()
{
    const TargetCondition& condition = m_targetMonitor.condition();
    if (condition.state == TargetState::Unknown)
        return;
    static const EventId events[] = { EventId::TargetDown, EventId::TargetUp, EventId::TargetDraining };
    m_base.log->write(
        events[static_cast<size_t>(condition.state) - 1], { { "incarnation", condition.incarnation.value() } });
    m_toPackets(PacketsTarget { condition });
    m_toControl(ControlTarget { condition });
    handle(request::TargetStateChanged { condition.incarnation, condition.state != TargetState::Down });
}

void AgentRequestThread::reportMetrics()
{
    if (!m_stateMachine)
        return;
    request::AgentRequests::Load load = m_stateMachine->load();
    m_base.metrics.gauge("request.open").set(static_cast<int64_t>(load.open));
    m_base.metrics.gauge("request.queued").set(static_cast<int64_t>(load.queued));
    m_base.metrics.gauge("request.running").set(static_cast<int64_t>(load.running));
    m_base.metrics.gauge("request.records").set(static_cast<int64_t>(load.records));
    m_base.metrics.gauge("request.record_bytes").set(static_cast<int64_t>(load.recordBytes));
    m_base.metrics.gauge("request.buckets_unsettled").set(static_cast<int64_t>(load.unsettledBuckets));
    m_base.metrics.gauge("ring.tcp.refused").set(static_cast<int64_t>(m_fromEndpoint.refused()));
}

} // namespace cicadaward
