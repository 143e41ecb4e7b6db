#include "control_decisions.h"

#include "control_admin.h"
#include "raft/codec.h"

#include <boost/asio/post.hpp>
#include <future>

namespace cicadaward {

namespace detail {

    constexpr size_t consensusRingSize = 8192;
    constexpr auto tickInterval = std::chrono::milliseconds(20);
    constexpr LogIndex snapshotIntervalEntries = 256; // entries between two snapshots
    constexpr auto helloTimeout = std::chrono::seconds(5);
    constexpr const char* adminPath = "admin";

} // namespace detail

ControlConsensusThread::ControlConsensusThread(DaemonBase& base, const Settings& settings,
    std::function<bool(NetworkInput&&)> toNetwork, std::function<bool(AdminAnswer&&)> toAdmin,
    std::function<void()> failed)
    : m_base(base)
    , m_name(settings.text("instance.name"))
    , m_folder(settings.path("data.folder"))
    , m_bootstrap(settings.flag("control.bootstrap"))
    , m_electionTimeout(settings.duration("raft.election-timeout-ms"))
    , m_toNetwork(std::move(toNetwork))
    , m_toAdmin(std::move(toAdmin))
    , m_onStoreFailure(std::move(failed))
    , m_loop("decisions")
    , m_random(base.seed)
    , m_fromNetwork(detail::consensusRingSize, m_loop.context(),
          [this](ConsensusInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
    , m_fromAdmin(detail::consensusRingSize, m_loop.context(),
          [this](ConsensusInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
{
    control::ControlInstanceSettings instance;
    // A quorum that was confirmed longer ago does not count: another leader may have been elected since.
    instance.publisher.quorumTimeout = m_electionTimeout;
    instance.publisher.newLeaderDelay = settings.duration("control.lease-ms");
    for (const ConfiguredEndpoint& peer : settings.endpoints("control.peers")) {
        control::ControlInstanceId id(static_cast<uint32_t>(m_peers.size()) + 1);
        if (peer.name == m_name) {
            m_selfIndex = static_cast<uint32_t>(m_peers.size());
            instance.id = id;
        } else
            instance.others.push_back(id);
        m_peers.emplace_back();
        m_peers.back().name = peer.name;
    }
    m_instance = std::make_unique<control::ControlInstance>(DaemonBase::clock(), m_random, instance);
    m_loop.runEvery(detail::tickInterval, [this] { tick(); });
    m_loop.runEvery(std::chrono::seconds(1), [this] {
        sendHellos();
        bootstrapIfSafe();
        updateMembership();
        reportMetrics();
    });
}

absl::Status ControlConsensusThread::open()
{
    auto store = Store::open(m_files, m_folder, m_random);
    if (!store.ok())
        return store.status();
    m_store = std::move(*store);
    StoreContents contents = m_store->takeContents();
    m_peers[m_selfIndex].instance = m_store->instance();
    createRaft(std::move(contents));
    return absl::OkStatus();
}

void ControlConsensusThread::createRaft(StoreContents contents)
{
    contents.instance = m_store->instance();
    raft::RaftOptions options;
    options.electionTimeout = m_electionTimeout;
    // Four heartbeats within the election timeout. An interval of 50 ms took 6.8 KB/s of the leader's budget of 13 KB/s
    // with 3 instances.
    options.heartbeatInterval = m_electionTimeout / 4;
    m_raft = std::make_unique<raft::Raft>(options, DaemonBase::clock(), m_random, std::move(contents));
}

// When several instances have control.bootstrap, the first of them in control.peers bootstraps the group.
void ControlConsensusThread::bootstrapIfSafe()
{
    if (!m_bootstrap || m_stopped || m_raft->configuration().size() > 0)
        return;
    for (uint32_t i = 0; i < m_peers.size(); ++i) {
        const Peer& peer = m_peers[i];
        bool heard
            = peer.instance != InstanceId() && DaemonBase::clock().now() - peer.lastHelloTime < detail::helloTimeout;
        if (i != m_selfIndex && (!heard || peer.inGroup || (peer.bootstrap && i < m_selfIndex)))
            return;
    }
    StoreBatch batch = raft::bootstrapBatch({ m_store->instance() });
    absl::Status status = m_store->write(batch);
    if (!status.ok()) {
        handleStoreFailure(status);
        return;
    }
    StoreContents contents;
    contents.state = batch.state.value_or(HardState {});
    contents.entries = batch.entries;
    contents.snapshot = batch.snapshot.value_or(LogSnapshot {});
    createRaft(std::move(contents));
}

void ControlConsensusThread::handleStoreFailure(const absl::Status& status)
{
    m_base.log->write(EventId::StoreFailed, { { "reason", std::string(status.message()) } });
    m_base.failed = true;
    m_stopped = true;
    m_onStoreFailure();
}

// Transfers leadership before the thread ends, so that a graceful shutdown of the leader costs no election timeout.
void ControlConsensusThread::stop()
{
    if (m_raft && !m_stopped) {
        auto ready = std::make_shared<std::promise<void>>();
        auto future = ready->get_future();
        boost::asio::post(m_loop.context(), [this, ready] {
            m_onStopReady = [ready] { ready->set_value(); };
            handle(raft::Stop {});
        });
        future.wait_for(std::chrono::seconds(2));
    }
    m_stopped = true;
    m_loop.stop();
}

void ControlConsensusThread::tick()
{
    handle(raft::Tick {});
    if (m_raft->isLeader() && m_raft->canRead())
        handle(control::QuorumHeard { m_raft->quorumAckTime() });
    handle(control::Tick {});
}

void ControlConsensusThread::handleInput(const CallReceived& call)
{
    if (call.path == "/hello") {
        handleHello(call.payload);
        m_toNetwork(ReplyToCall { call.call, encodeHello() });
    } else if (call.path == "/raft") {
        raft::RaftMessage message;
        m_toNetwork(ReplyToCall { call.call, "" });
        if (decodeMessage(call.payload, message))
            handle(raft::MessageReceived { std::move(message) });
    } else if (call.path == "/instance") {
        m_toNetwork(ReplyToCall { call.call, "" });
        control::InstanceMessage message;
        for (size_t i = 0; i < m_peers.size(); ++i) {
            if (control::memberIdOf(m_peers[i].name) != call.sender)
                continue;
            if (control::decodeInstanceMessage(call.payload, message))
                handle(control::InstanceMessageReceived {
                    control::ControlInstanceId(static_cast<uint32_t>(i) + 1), message });
        }
    } else if (call.path == "/announce") {
        control::Announcement announcement;
        if (!decodeMessage(call.payload, announcement))
            return;
        m_calls[++m_lastRequest] = { call.call, "" };
        handle(control::AnnounceReceived { control::RequestId(m_lastRequest), std::move(announcement) });
    } else if (call.path == "/watch") {
        control::WatchRequest watch;
        if (!decodeMessage(call.payload, watch))
            return;
        m_calls[++m_lastRequest] = { call.call, "" };
        handle(control::WatchReceived { control::RequestId(m_lastRequest), std::move(watch) });
    }
}

void ControlConsensusThread::handleInput(const PeerReplied& reply)
{
    if (reply.path == "/hello")
        handleHello(reply.payload);
}

// The path and the method were checked by the administration thread.
void ControlConsensusThread::handleInput(const AdminCall& call)
{
    if (call.method == "GET")
        handleAdminRead(call);
    else
        handleAdminChange(call);
}

void ControlConsensusThread::handleAdminRead(const AdminCall& call)
{
    AdminTarget target;
    parseAdminTarget(call.path, target);
    const std::string& name = target.path.back();
    uint64_t limit = 0;
    if (name == "members")
        m_toAdmin({ call.call, 200, membersJson() });
    else if (name == "manifest")
        m_toAdmin({ call.call, 200, formatManifest(m_instance->manifests().manifest()) });
    else if (name == "status") {
        m_calls[++m_lastRequest] = { call.call, detail::adminPath };
        handle(control::StatusReceived { control::RequestId(m_lastRequest) });
    } else if (name != "history")
        m_toAdmin({ call.call, 404, formatError("no such path") });
    else if (parseQueryNumber(target, "limit", control::ManifestRegister::maxHistory, 50, limit))
        m_toAdmin({ call.call, 200, formatHistory(m_instance->manifests(), limit) });
    else
        m_toAdmin({ call.call, 400, formatError("\"limit\" must be from 1 to 1024") });
}

void ControlConsensusThread::handleAdminChange(const AdminCall& call)
{
    control::ManifestCommand command;
    std::string error;
    if (!parseAdminChange(call, command, error)) {
        m_toAdmin({ call.call, 400, formatError(error) });
        return;
    }
    m_calls[++m_lastRequest] = { call.call, detail::adminPath };
    handle(control::CommandReceived { control::RequestId(m_lastRequest), std::move(command) });
}

std::string ControlConsensusThread::membersJson() const
{
    auto directory = m_instance->relay().current();
    return formatMembers(directory ? *directory : Directory {});
}

std::string ControlConsensusThread::encodeHello() const
{
    return encodeMessage(Hello { m_name, m_store->instance(), m_raft->configuration().size() > 0, m_bootstrap });
}

void ControlConsensusThread::handleHello(const std::string& payload)
{
    Hello hello;
    if (!decodeMessage(payload, hello))
        return;
    for (Peer& peer : m_peers) {
        if (peer.name == hello.name && peer.name != m_name) {
            peer.instance = hello.instance;
            peer.inGroup = hello.inGroup;
            peer.bootstrap = hello.bootstrap;
            peer.lastHelloTime = DaemonBase::clock().now();
        }
    }
}

void ControlConsensusThread::sendHellos()
{
    for (uint32_t i = 0; i < m_peers.size(); ++i) {
        if (i != m_selfIndex)
            post(i, "/hello", encodeHello());
    }
}

void ControlConsensusThread::updateMembership()
{
    if (!m_raft->isLeader() || !m_raft->canRead())
        return;
    m_peers[m_selfIndex].lastHelloTime = DaemonBase::clock().now();
    const raft::Configuration& group = m_raft->configuration();
    bool allVote = true;
    for (const Peer& peer : m_peers) {
        bool alive
            = peer.instance != InstanceId() && DaemonBase::clock().now() - peer.lastHelloTime < detail::helloTimeout;
        if (alive && !group.has(peer.instance)) {
            handle(raft::ChangeMembership { ++m_lastRaftRequest, raft::MembershipChange::AddLearner, peer.instance });
            return;
        }
        allVote = allVote && alive && group.isVoter(peer.instance);
    }
    if (!allVote)
        return;
    for (InstanceId id : group.voters) {
        if (peerIndex(id) == m_peers.size()) {
            handle(raft::ChangeMembership { ++m_lastRaftRequest, raft::MembershipChange::Remove, id });
            return;
        }
    }
}

uint32_t ControlConsensusThread::peerIndex(InstanceId id) const
{
    uint32_t index = 0;
    while (index < m_peers.size() && m_peers[index].instance != id)
        ++index;
    return index;
}

control::ControlInstanceId ControlConsensusThread::controlInstanceId(InstanceId id) const
{
    uint32_t index = id == InstanceId() ? static_cast<uint32_t>(m_peers.size()) : peerIndex(id);
    return control::ControlInstanceId(index < m_peers.size() ? index + 1 : 0);
}

void ControlConsensusThread::post(uint32_t peer, const char* path, std::string payload)
{
    m_toNetwork(PostToPeer { peer, path, std::move(payload) });
}

// Performing an action may cause new events. They are queued and handled after all actions of the current event, so
// that the order is kept.
void ControlConsensusThread::handle(raft::RaftEvent event)
{
    if (m_stopped)
        return;
    m_pendingEvents.push_back(std::move(event));
    if (std::exchange(m_handling, true))
        return;
    for (size_t i = 0; i < m_pendingEvents.size() && !m_stopped; ++i) {
        raft::RaftEvent next = std::move(m_pendingEvents[i]);
        for (raft::RaftAction& action : m_raft->handle(std::move(next)))
            std::visit([this](auto& each) { perform(each); }, action);
    }
    m_pendingEvents.clear();
    m_handling = false;
}

void ControlConsensusThread::perform(raft::SendMessage& action)
{
    uint32_t peer = peerIndex(action.message.to);
    if (peer < m_peers.size() && peer != m_selfIndex)
        post(peer, "/raft", encodeMessage(action.message));
}

void ControlConsensusThread::perform(raft::Persist& action)
{
    absl::Status status = m_store->write(action.batch);
    if (!status.ok()) {
        handleStoreFailure(status);
        return;
    }
    handle(raft::Persisted { action.batchNumber });
}

void ControlConsensusThread::perform(raft::ApplyEntries& action)
{
    for (LogEntry& entry : action.entries) {
        m_appliedIndex = entry.index;
        if (entry.kind == EntryKind::Command)
            handle(control::EntryApplied { entry.index, std::move(entry.data) });
        if (m_pendingLeadership && entry.term == *m_pendingLeadership) {
            m_pendingLeadership.reset();
            handle(control::LeadershipGained { entry.term });
        }
    }
    if (m_appliedIndex - m_snapshotIndex >= detail::snapshotIntervalEntries)
        takeSnapshot();
}

void ControlConsensusThread::takeSnapshot()
{
    m_snapshotIndex = m_appliedIndex;
    m_base.log->write(EventId::SnapshotTaken, { { "index", m_appliedIndex } });
    handle(raft::SnapshotTaken { m_appliedIndex, m_instance->manifests().snapshot() });
}

void ControlConsensusThread::perform(raft::InstallSnapshot& action)
{
    m_appliedIndex = action.snapshot.index;
    m_snapshotIndex = m_appliedIndex;
    m_base.log->write(EventId::SnapshotInstalled, { { "index", m_appliedIndex } });
    handle(control::SnapshotInstalled { std::move(action.snapshot.data) });
}

void ControlConsensusThread::perform(raft::BecameLeader& action)
{
    m_base.log->write(EventId::BecameLeader, { { "term", action.term.value() } });
    m_pendingLeadership = action.term;
}

void ControlConsensusThread::perform(raft::BecameFollower& action)
{
    m_pendingLeadership.reset();
    m_base.log->write(EventId::BecameFollower, { { "term", action.term.value() } });
    handle(control::LeaderChanged { action.term, controlInstanceId(action.leader) });
}

void ControlConsensusThread::perform(raft::RequestResult&) { }

void ControlConsensusThread::perform(raft::StopReady&)
{
    if (m_onStopReady)
        std::exchange(m_onStopReady, nullptr)();
}

void ControlConsensusThread::handle(const control::ControlEvent& event)
{
    for (const control::ControlAction& action : m_instance->handle(event))
        std::visit([this](const auto& each) { perform(each); }, action);
}

void ControlConsensusThread::perform(const control::ProposeCommand& action)
{
    handle(raft::Propose { ++m_lastRaftRequest, action.command });
}

void ControlConsensusThread::perform(const control::SendToInstance& action)
{
    uint32_t peer = action.to.value() - 1;
    if (peer < m_peers.size())
        post(peer, "/instance", control::encodeInstanceMessage(action.message));
}

void ControlConsensusThread::perform(const control::SendToAllInstances& action)
{
    std::string payload = control::encodeInstanceMessage(action.message);
    for (uint32_t i = 0; i < m_peers.size(); ++i) {
        if (i != m_selfIndex)
            post(i, "/instance", payload);
    }
}

void ControlConsensusThread::perform(const control::AnswerRequest& action)
{
    auto found = m_calls.find(action.request.value());
    if (found == m_calls.end())
        return;
    auto [call, path] = found->second;
    m_calls.erase(found);
    if (path == detail::adminPath)
        answerAdmin(call, action.answer);
    else if (auto* announce = std::get_if<control::AnnounceReply>(&action.answer))
        m_toNetwork(ReplyToCall { call, encodeMessage(*announce) });
    else if (auto* watch = std::get_if<control::WatchReply>(&action.answer))
        m_toNetwork(ReplyToCall { call, encodeMessage(*watch) });
}

void ControlConsensusThread::answerAdmin(uint64_t call, const control::ControlAnswer& answer)
{
    if (auto* result = std::get_if<control::ManifestResult>(&answer)) {
        EventId event = EventId::ManifestRefused;
        if (result->outcome == control::ManifestOutcome::Accepted)
            event = EventId::ManifestAccepted;
        else if (result->outcome == control::ManifestOutcome::Conflict)
            event = EventId::ManifestConflict;
        m_base.log->write(
            event, { { "version", result->version }, { "epoch", result->epoch.value() }, { "who", result->who } });
        m_toAdmin({ call, httpStatusForOutcome(result->outcome), formatResult(*result) });
    } else if (auto* status = std::get_if<control::StatusReply>(&answer)) {
        std::string leader = status->leader.value() == 0 ? "" : m_peers[status->leader.value() - 1].name;
        m_toAdmin({ call, 200, formatStatus(m_name, leader, *status, m_raft->status(), [this](InstanceId id) {
                       uint32_t index = peerIndex(id);
                       return index < m_peers.size() ? m_peers[index].name : "";
                   }) });
    }
}

void ControlConsensusThread::perform(const control::ReportFinding& action)
{
    m_base.log->write(EventId::InternalFault, { { "finding", action.text } });
}

void ControlConsensusThread::reportMetrics()
{
    raft::RaftStatus status = m_raft->status();
    m_base.metrics.gauge("raft.term").set(static_cast<int64_t>(status.term.value()));
    m_base.metrics.gauge("raft.commit").set(static_cast<int64_t>(status.commitIndex));
    m_base.metrics.gauge("raft.log_bytes").set(static_cast<int64_t>(status.logBytes));
    m_base.metrics.gauge("raft.leader").set(m_raft->isLeader() ? 1 : 0);
    m_base.metrics.gauge("control.subscribers").set(static_cast<int64_t>(m_instance->relay().subscriberCount()));
    m_base.metrics.gauge("ring.decisions.refused")
        .set(static_cast<int64_t>(m_fromNetwork.refused() + m_fromAdmin.refused()));
}

} // namespace cicadaward
