#include "flow_daemon.h"

#include "cluster/codec.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <unistd.h>

namespace cicadaward {

namespace {

    constexpr Duration messageReportInterval = std::chrono::seconds(1);

    uint64_t randomSeed()
    {
        std::random_device device;
        return (uint64_t(device()) << 32) | device();
    }

} // namespace

Duration durationFromSeconds(double number)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(number));
}

Endpoint endpointSetting(const Settings& settings, const std::string& key)
{
    ConfiguredEndpoint endpoint = settings.endpoint(key);
    return { endpoint.address, endpoint.port };
}

std::string formatEndpoint(Endpoint endpoint)
{
    return formatAddress(endpoint.address) + ":" + std::to_string(endpoint.port);
}

std::vector<Endpoint> controlSeeds(const Settings& settings)
{
    std::vector<Endpoint> seeds;
    auto port = static_cast<uint16_t>(settings.number("control.peer-port"));
    for (const ConfiguredEndpoint& seed : settings.endpoints("control.seeds"))
        seeds.push_back({ seed.address, port });
    return seeds;
}

FlowDaemonBase::FlowDaemonBase(const Settings& settings)
    : context(1)
    , random(randomSeed())
    , dataCentre(settings.text("instance.data-centre"))
    , startId(random.next())
{
    auto opened = EventLog::open(clock, settings.isSet("log.file") ? settings.path("log.file") : "");
    if (opened.ok()) {
        log = std::move(*opened);
        return;
    }
    std::cerr << opened.status() << "; logging to standard output\n";
    log = std::move(*EventLog::open(clock, ""));
}

Ticker::Ticker(boost::asio::io_context& context, Duration interval, std::function<void()> action)
    : m_timer(context)
    , m_interval(interval)
    , m_action(std::move(action))
{
    schedule();
}

void Ticker::schedule()
{
    m_timer.expires_after(m_interval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_action();
        schedule();
    });
}

PeerPort::PeerPort(
    FlowDaemonBase& base, Endpoint listen, MessageHandler messageHandler, DatagramHandler datagramHandler)
    : m_base(base)
    , m_transport(base.clock, static_cast<uint32_t>(base.startId),
          [this](Endpoint to, const std::string& datagram) {
              m_bytesSent.add(datagram.size());
              m_port.send(to, reinterpret_cast<const uint8_t*>(datagram.data()), datagram.size());
          })
    , m_repairTimer(base.context)
    , m_onMessage(std::move(messageHandler))
    , m_onDatagram(std::move(datagramHandler))
    , m_bytesSent(base.metrics.counter("control.bytes-sent"))
    , m_tooLarge(base.metrics.counter("control.messages-too-large"))
    , m_lost(base.metrics.counter("control.messages-lost"))
    , m_fragmentsRequested(base.metrics.counter("control.fragments-requested"))
    , m_fragmentsResent(base.metrics.counter("control.fragments-resent"))
    , m_port(base.context, listen, 2048,
          [this](Endpoint sender, uint8_t* data, size_t size) { onDatagram(sender, data, size); })
{
}

void PeerPort::send(Endpoint to, const cluster::Envelope& envelope)
{
    if (absl::Status status = m_transport.send(to, encodeMessage(envelope)); !status.ok())
        reportTooLarge(to, envelope.kind, status);
}

void PeerPort::onDatagram(Endpoint sender, uint8_t* data, size_t size)
{
    if (!cluster::Assembler::isFragment(data, size)) {
        m_onDatagram(sender, data, size);
        return;
    }
    std::optional<std::string> message = m_transport.onDatagram(sender, data, size);
    scheduleRepair();
    reportLosses(sender);
    cluster::Envelope envelope;
    if (message && decodeMessage(*message, envelope))
        m_onMessage(sender, envelope);
}

// The timer runs only while a fragment is missing, so a process without large messages has no wake-ups for it.
void PeerPort::scheduleRepair()
{
    std::optional<Time> next = m_transport.nextTick();
    if (!next || m_isRepairScheduled)
        return;
    m_isRepairScheduled = true;
    m_repairTimer.expires_after(std::max(*next - m_base.clock.now(), Duration::zero()));
    m_repairTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_isRepairScheduled = false;
        m_transport.onTick();
        scheduleRepair();
    });
}

void PeerPort::reportTooLarge(Endpoint to, cluster::MessageKind kind, const absl::Status& status)
{
    m_tooLarge.add();
    if (m_base.clock.now() < m_nextTooLargeReport)
        return;
    m_nextTooLargeReport = m_base.clock.now() + messageReportInterval;
    m_base.log->write(EventId::MessageTooLarge,
        { { "to", formatEndpoint(to) }, { "kind", int(kind) }, { "reason", std::string(status.message()) } });
}

// `sender` is that of the datagram with which a loss was noticed.
void PeerPort::reportLosses(Endpoint sender)
{
    const cluster::AssemblerFailures& failures = m_transport.failures();
    m_lost.add(failures.damaged + failures.incomplete - m_lost.value());
    if (m_lost.value() == m_reportedLosses || m_base.clock.now() < m_nextLossReport)
        return;
    m_reportedLosses = m_lost.value();
    m_nextLossReport = m_base.clock.now() + messageReportInterval;
    m_base.log->write(EventId::MessagesLost,
        { { "damaged", failures.damaged }, { "incomplete", failures.incomplete }, { "near", formatEndpoint(sender) } });
}

void PeerPort::updateMetrics()
{
    m_base.metrics.gauge("control.receive-drops").set(int64_t(m_port.receiveDrops()));
    const cluster::TransportCounters& counters = m_transport.counters();
    m_fragmentsRequested.add(counters.fragmentsRequested - m_fragmentsRequested.value());
    m_fragmentsResent.add(counters.fragmentsResent - m_fragmentsResent.value());
}

int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

ControlContact controlContact(const cluster::Poller& poller)
{
    return { uint64_t(poller.heardIndex()), wholeMilliseconds(poller.behindFor()), poller.isInContact(),
        wholeMilliseconds(poller.sinceLastReply()) };
}

void updatePollerGauges(MetricRegistry& metrics, const cluster::Poller& poller)
{
    ControlContact contact = controlContact(poller);
    metrics.gauge("state.index").set(int64_t(poller.stateIndex()));
    metrics.gauge("state.heard-index").set(int64_t(contact.heardState));
    metrics.gauge("state.behind-ms").set(contact.behindMs);
    metrics.gauge("control.in-contact").set(contact.isInContact);
    metrics.gauge("control.last-reply-ms").set(contact.lastReplyMs);
}

namespace {

    void answerExplainCall(const std::string& target, const ExplainHandler& explain, const HttpReplyCallback& reply)
    {
        absl::StatusOr<ExplainCall> call = parseExplainTarget(target);
        if (call.ok())
            reply(200, "application/json", explain(*call));
        else
            reply(400, "text/plain", std::string(call.status().message()));
    }

} // namespace

void refuseCall(
    EventLog& log, EventId event, const std::string& call, const absl::Status& status, const HttpReplyCallback& reply)
{
    std::string findings(status.message());
    log.write(event, { { "call", call }, { "reason", findings } });
    reply(absl::IsNotFound(status) ? 404 : 400, "text/plain", findings + "\n");
}

std::unique_ptr<HttpServer> serveMetrics(
    FlowDaemonBase& base, const Settings& settings, std::function<void()> refresh, ExplainHandler explain)
{
    Endpoint listen = endpointSetting(settings, "metrics.listen");
    if (listen.port == 0)
        return nullptr;
    auto server = std::make_unique<HttpServer>(base.context, listen,
        [&base, refresh = std::move(refresh), explain = std::move(explain)](
            const HttpRequest& request, const HttpReplyCallback& reply) {
            std::string target(request.target());
            if (explain && isExplainTarget(target)) {
                answerExplainCall(target, explain, reply);
                return;
            }
            refresh();
            if (absl::EndsWith(target, ".json"))
                reply(200, "application/json", base.metrics.json());
            else
                reply(200, "text/plain; version=0.0.4", base.metrics.text());
        });
    if (!server->status().ok())
        base.log->write(EventId::ListenFailed, { { "reason", std::string(server->status().message()) } });
    return server;
}

void runUntilStopped(FlowDaemonBase& base, const std::function<void()>& stop)
{
    boost::asio::signal_set signals(base.context, SIGTERM, SIGINT, SIGHUP);
    bool stopping = false;
    std::function<void()> wait = [&] {
        signals.async_wait([&](boost::system::error_code error, int number) {
            if (error)
                return;
            if (number == SIGHUP) {
                base.log->write(EventId::ReloadIgnored, {});
            } else if (!stopping) {
                stopping = true;
                base.log->write(EventId::Stopping, {});
                stop();
            }
            wait();
        });
    };
    wait();
    base.context.run();
    base.log->write(EventId::Stopped, {});
}

} // namespace cicadaward
