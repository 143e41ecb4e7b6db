#include "agent_daemon.h"

#include <boost/asio/post.hpp>

namespace cicadaward {

namespace detail {

    constexpr size_t controlRingSize = 1024;
    // Time for the drain announcement to reach the other processes after the last request has ended.
    constexpr auto stopMargin = std::chrono::seconds(1);

} // namespace detail

AgentDaemon::AgentDaemon(DaemonBase& base, const Settings& settings)
    : m_base(base)
    , m_stopTimeout(settings.duration("stop.limit-ms"))
    , m_drops(*base.log, DaemonBase::clock())
    , m_controlLoop("control")
    , m_fromPackets(detail::controlRingSize, m_controlLoop.context(),
          [this](ControlInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
    , m_fromRequests(detail::controlRingSize, m_controlLoop.context(),
          [this](ControlInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
    , m_packets(
          base, m_drops, settings, [this](RequestsInput&& input) { m_requests.pushFromPackets(std::move(input)); },
          [this](const ControlInput& input) { m_fromPackets.push(ControlInput(input)); })
    , m_requests(
          base, settings, [this](PacketsInput&& input) { m_packets.pushFromRequests(std::move(input)); },
          [this](const ControlInput& input) { m_fromRequests.push(ControlInput(input)); },
          [this](const uint8_t* packet, size_t size) { m_packets.pushFromEndpoint(packet, size); })
{
    m_link = std::make_unique<ControlLink>(
        base, settings.endpoints("control.peers"), clientSettings(settings), m_controlLoop.context(), linkHandlers());
    m_controlLoop.runEvery(std::chrono::milliseconds(50), [this] {
        // The first announcement waits until the state of the target is known: if it said "down", the other processes
        // would reset the flows of this target.
        if (m_targetCondition.state != TargetState::Unknown)
            m_link->tick();
    });
    m_controlLoop.runEvery(std::chrono::seconds(1), [this] {
        m_drops.report();
        m_base.metrics.gauge("control.bytes_sent").set(static_cast<int64_t>(m_link->bytesSent()));
        m_base.metrics.gauge("control.bytes_received").set(static_cast<int64_t>(m_link->bytesReceived()));
    });
    if (settings.isSet("admin.listen")) {
        m_adminServer = std::make_unique<HttpServer>(m_controlLoop.context(),
            toEndpoint(settings.endpoint("admin.listen")), [this](const HttpRequest&, const HttpReplyCallback& reply) {
                reply(200, "application/json", m_base.metrics.json());
            });
    }
}

AgentDaemon::~AgentDaemon()
{
    m_controlLoop.stop();
    m_requests.stop();
    m_packets.stop();
}

ControlLinkHandlers AgentDaemon::linkHandlers()
{
    ControlLinkHandlers handlers;
    handlers.onDirectory = [this](const std::shared_ptr<const Directory>& directory) {
        m_packets.pushFromControl(PacketsDirectory { directory });
        m_requests.pushFromControl(RequestsDirectory { directory });
    };
    handlers.onQuorumContact = [this](Time quorumConfirmedAt, DirectoryVersion newest) {
        m_packets.pushFromControl(PacketsContact { quorumConfirmedAt, newest });
        m_requests.pushFromControl(RequestsContact { true, newest });
    };
    handlers.onContactChanged = [this](control::Contact contact) {
        if (contact != control::Contact::Valid)
            m_requests.pushFromControl(RequestsContact {});
    };
    return handlers;
}

control::ControlClientSettings AgentDaemon::clientSettings(const Settings& settings) const
{
    control::ControlClientSettings client = memberSettings(m_base, settings);
    client.record.role = MemberRole::Agent;
    client.record.state = MemberState::TargetDown;
    client.record.service = settings.text("service.name");
    return client;
}

absl::Status AgentDaemon::start()
{
    if (!m_packets.status().ok())
        return m_packets.status();
    if (m_adminServer && !m_adminServer->status().ok())
        return m_adminServer->status();
    m_packets.start();
    m_requests.start();
    m_controlLoop.start();
    return absl::OkStatus();
}

void AgentDaemon::stop()
{
    boost::asio::post(m_controlLoop.context(), [this] {
        m_draining = true;
        announceState();
    });
    m_requests.drain(m_stopTimeout);
    std::unique_lock<std::mutex> lock(m_mutex);
    m_drainedSignal.wait_for(lock, m_stopTimeout + detail::stopMargin, [this] { return m_drained; });
}

void AgentDaemon::handleInput(const ControlVersionSeen& input) { m_link->versionSeen(input.version); }

void AgentDaemon::handleInput(const ControlTarget& input)
{
    m_targetCondition = input.condition;
    announceState();
}

void AgentDaemon::handleInput(const ControlDrained& input)
{
    if (!input.complete)
        m_base.log->write(EventId::StopLimitReached, {});
    std::lock_guard<std::mutex> lock(m_mutex);
    m_drained = true;
    m_drainedSignal.notify_all();
}

void AgentDaemon::announceState()
{
    MemberState state = MemberState::Warm;
    if (m_targetCondition.state == TargetState::Down)
        state = MemberState::TargetDown;
    else if (m_draining || m_targetCondition.state == TargetState::Draining)
        state = MemberState::Draining;
    m_link->stateChanged(state, m_targetCondition.incarnation);
}

} // namespace cicadaward
