#include "cluster/control_core.h"

#include "cluster/codec.h"
#include "raft/codec.h"

#include <algorithm>

namespace cicadaward::cluster {

StoreBatch groupBootstrapBatch(const std::map<InstanceId, InstanceAddress>& initialVoters)
{
    std::vector<InstanceId> voters;
    voters.reserve(initialVoters.size());
    for (const auto& [id, address] : initialVoters)
        voters.push_back(id);
    StoreBatch batch = raft::bootstrapBatch(std::move(voters));
    for (const auto& [id, address] : initialVoters) {
        Command command;
        command.kind = CommandKind::SetInstance;
        command.instance = id;
        command.address = address;
        const LogEntry& last = batch.entries.back();
        batch.entries.push_back({ last.index + 1, last.term, EntryKind::Command, encodeMessage(command) });
    }
    return batch;
}

ControlCore::ControlCore(
    ControlOptions options, const Clock& clock, Random& random, const StoreContents& contents, ControlOutput& output)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_output(output)
    , m_raft(m_options.consensus, clock, random, contents)
    , m_members(clock, random.next())
    , m_group(m_options.group, clock)
    , m_nextRegisterCheck(clock.now())
    , m_nextHello(clock.now())
    , m_nextSeedHello(clock.now())
    , m_nextMembershipCheck(clock.now())
    , m_stateSource(clock)
{
    loadPeerAddresses(contents);
}

// Reads peer addresses from the stored snapshot and log. Entries are applied only after a leader commits them, but the
// voters need each other's addresses to elect a leader, and the configured seeds may have been replaced. Addresses are
// only hints, so uncommitted entries are used too.
void ControlCore::loadPeerAddresses(const StoreContents& contents)
{
    State stored;
    stored.decode(contents.snapshot.data);
    for (const LogEntry& entry : contents.entries) {
        Command command;
        if (entry.kind == EntryKind::Command && decodeMessage(entry.data, command)
            && command.kind == CommandKind::SetInstance)
            stored.apply(entry.index, command);
    }
    for (const auto& [id, address] : stored.instances())
        m_observedAddresses[id] = address.peer;
}

void ControlCore::onTick()
{
    performActions(m_raft.handle(raft::Tick {}));
    failPendingProposals(false);
    requestLeadershipConfirmation();
    answerConfirmedRequests();
    updateRegister();
    notifyPollers();
    Time now = m_clock.now();
    if (now >= m_nextMembershipCheck) {
        m_nextMembershipCheck = now + m_options.membershipCheckInterval;
        m_members.expire();
        expirePollers();
        updateMembership();
    }
    if (now >= m_nextHello) {
        m_nextHello = now + m_options.helloInterval;
        sendHellos();
    }
}

void ControlCore::onMessage(Endpoint sender, const Envelope& envelope)
{
    if (envelope.kind == MessageKind::Consensus) {
        raft::RaftMessage message;
        if (!decodeMessage(envelope.body, message))
            return;
        m_observedAddresses[message.from] = sender;
        performActions(m_raft.handle(raft::MessageReceived { std::move(message) }));
        answerConfirmedRequests();
    } else if (envelope.kind == MessageKind::Poll) {
        Poll poll;
        if (decodeMessage(envelope.body, poll))
            onPoll(sender, poll);
    } else if (envelope.kind == MessageKind::Hello) {
        Hello hello;
        if (decodeMessage(envelope.body, hello) && hello.instance != m_raft.self())
            onHello(hello);
    }
}

void ControlCore::onHello(Hello hello)
{
    m_group.onHello(hello);
    std::optional<Endpoint> leader = peerAddressOf(m_raft.leader());
    if (m_raft.isLeader() || hello.forwarded || !leader)
        return;
    hello.forwarded = true;
    m_output.sendMessage(*leader, { MessageKind::Hello, encodeMessage(hello) });
}

void ControlCore::onPersisted(uint64_t batchNumber) { performActions(m_raft.handle(raft::Persisted { batchNumber })); }

void ControlCore::stop() { performActions(m_raft.handle(raft::Stop {})); }

// Answers the request and returns true when this instance is not the leader.
bool ControlCore::redirectUnlessLeader(RequestNumber request)
{
    if (m_raft.isLeader())
        return false;
    Answer answer;
    answer.reason = "no leader is known";
    Endpoint leader = adminApiOf(m_raft.leader());
    if (leader.port != 0)
        answer = { AnswerKind::Redirect, "", leader, "" };
    m_output.answer(request, answer);
    return true;
}

// Returns an endpoint with port 0 when the instance is unknown.
Endpoint ControlCore::adminApiOf(InstanceId id) const
{
    auto found = m_state.instances().find(id);
    return found == m_state.instances().end() ? Endpoint() : found->second.adminApi;
}

void ControlCore::putConfiguration(
    RequestNumber request, const steering::Configuration& configuration, const std::string& compressedText)
{
    if (redirectUnlessLeader(request))
        return;
    if (configuration.version <= m_state.routes().version()) {
        enqueueConfirmation(request, false);
        return;
    }
    Command command;
    command.kind = CommandKind::PutConfiguration;
    command.configuration = configuration;
    command.compressedText = compressedText;
    propose(request, command);
}

void ControlCore::setDataCentre(RequestNumber request, const std::string& dataCentre, bool out)
{
    if (redirectUnlessLeader(request))
        return;
    // The command always goes through the log: an earlier command with the opposite value may have timed out and still
    // be committed later, so the current state doesn't show the outcome.
    Command command;
    command.kind = CommandKind::SetDataCentre;
    command.dataCentre = dataCentre;
    command.isEvacuated = out;
    propose(request, command);
}

void ControlCore::readConfiguration(RequestNumber request)
{
    if (!redirectUnlessLeader(request))
        enqueueConfirmation(request, true);
}

void ControlCore::enqueueConfirmation(RequestNumber request, bool read)
{
    m_confirmations.push_back({ m_clock.now(), OperatorConfirmation { request, read } });
    answerConfirmedRequests();
}

// One leadership confirmation serves all requests that arrived before it.
void ControlCore::requestLeadershipConfirmation()
{
    Time now = m_clock.now();
    bool isAsked = m_confirmations.empty() || m_confirmations.back().arrived < m_lastConfirmationRequest;
    if (isAsked || m_confirmations.back().arrived >= now)
        return;
    m_lastConfirmationRequest = now;
    performActions(m_raft.handle(raft::ConfirmLeadership {}));
}

void ControlCore::answerConfirmedRequests()
{
    while (!m_confirmations.empty()) {
        // The quorum time must be strictly later: a message with the same time may have been sent before the request
        // arrived.
        Time arrived = m_confirmations.front().arrived;
        bool confirmed = m_raft.canRead() && m_raft.quorumAckTime() > arrived;
        bool late = !m_raft.isLeader() || m_clock.now() - arrived > m_options.readTimeout;
        if (!confirmed && !late)
            return;
        Confirmation waiting = std::move(m_confirmations.front());
        m_confirmations.pop_front();
        std::visit([&](const auto& request) { answer(request, confirmed); }, waiting.request);
    }
}

void ControlCore::answer(const OperatorConfirmation& waiting, bool confirmed)
{
    Answer answer;
    answer.reason = "the newest configuration could not be confirmed";
    if (confirmed && !waiting.read)
        answer = { AnswerKind::Done, "", {}, "" };
    else if (confirmed && !m_state.compressedText().empty())
        answer = { AnswerKind::Configuration, m_state.compressedText(), {}, "" };
    m_output.answer(waiting.request, answer);
}

void ControlCore::answer(const PollConfirmation& waiting, bool confirmed)
{
    answerPoll(waiting.sender, waiting.poll, confirmed);
}

void ControlCore::propose(RequestNumber request, const Command& command)
{
    performActions(m_raft.handle(raft::Propose { request, encodeMessage(command) }));
}

void ControlCore::performActions(std::vector<raft::RaftAction> actions)
{
    // Performing an action may produce more actions. They are appended to the queue, so batches are persisted in the
    // order of their tickets.
    for (raft::RaftAction& action : actions)
        m_actions.push_back(std::move(action));
    if (m_performing)
        return;
    m_performing = true;
    while (!m_actions.empty()) {
        raft::RaftAction action = std::move(m_actions.front());
        m_actions.pop_front();
        std::visit([this](auto& a) { on(a); }, action);
    }
    m_performing = false;
}

void ControlCore::on(raft::SendMessage& action)
{
    if (std::optional<Endpoint> to = peerAddressOf(action.message.to))
        m_output.sendMessage(*to, { MessageKind::Consensus, encodeMessage(action.message) });
}

void ControlCore::on(raft::Persist& action) { m_output.persist(action.batchNumber, action.batch); }

void ControlCore::on(raft::ApplyEntries& action)
{
    for (const LogEntry& entry : action.entries)
        applyEntry(entry);
    if (isSnapshotDue())
        takeSnapshot();
}

bool ControlCore::isSnapshotDue() const
{
    return m_applied - m_lastSnapshot >= m_options.entriesPerSnapshot
        || m_bytesSinceSnapshot > std::max(m_options.minBytesPerSnapshot, 2 * m_lastSnapshotBytes);
}

void ControlCore::takeSnapshot()
{
    std::string data = m_state.encode();
    m_lastSnapshot = m_applied;
    m_lastSnapshotBytes = data.size();
    m_bytesSinceSnapshot = 0;
    performActions(m_raft.handle(raft::SnapshotTaken { m_applied, std::move(data) }));
}

void ControlCore::applyEntry(const LogEntry& entry)
{
    m_applied = entry.index;
    m_bytesSinceSnapshot += entry.data.size();
    Command command;
    if (entry.kind == EntryKind::Command && decodeMessage(entry.data, command)) {
        LogIndex before = m_state.index();
        m_state.apply(entry.index, command);
        if (m_state.index() != before)
            reportChange(command, entry.index);
    }
    if (entry.index >= m_pendingRegisterIndex)
        m_pendingRegisterRequest = 0;
    if (command.kind == CommandKind::RegisterMembers || command.kind == CommandKind::RemoveMembers)
        onRegisterChange(command, entry.index);
    completeProposal(entry);
}

void ControlCore::onRegisterChange(const Command& command, LogIndex index)
{
    bool added = command.kind == CommandKind::RegisterMembers;
    m_members.applyRegister(m_state.members());
    std::string agents;
    for (const steering::MemberRecord& record : command.members) {
        if (added)
            reportRegistration(record);
        else
            m_members.remove(record);
        agents += agents.empty() ? "" : ",";
        agents += formatAddress(record.agent.address) + ":" + std::to_string(record.agent.port);
    }
    m_output.onEvent(added ? ControlEvent::MembersRegistered : ControlEvent::MembersRemoved, agents, index);
}

void ControlCore::reportChange(const Command& command, LogIndex index)
{
    if (command.kind == CommandKind::PutConfiguration)
        m_output.onEvent(ControlEvent::ConfigurationInForce, std::to_string(command.configuration.version), index);
    else if (command.kind == CommandKind::SetDataCentre)
        m_output.onEvent(command.isEvacuated ? ControlEvent::DataCentreOut : ControlEvent::DataCentreBack,
            command.dataCentre, index);
    else
        m_output.onEvent(ControlEvent::InstanceRegistered, std::to_string(command.instance.value()), index);
}

// An entry of another term at the index of a proposal means that another leader replaced it, so its outcome is unknown.
void ControlCore::completeProposal(const LogEntry& entry)
{
    auto found = m_pendingProposals.find(entry.index);
    if (found == m_pendingProposals.end())
        return;
    Answer answer;
    bool own = found->second.term == entry.term;
    answer.kind = own ? AnswerKind::Done : AnswerKind::Unavailable;
    answer.reason = own ? "" : "another leader has taken over";
    m_output.answer(found->second.request, answer);
    m_pendingProposals.erase(found);
}

void ControlCore::on(raft::InstallSnapshot& action)
{
    m_state.decode(action.snapshot.data);
    m_applied = m_lastSnapshot = action.snapshot.index;
    m_lastSnapshotBytes = action.snapshot.data.size();
    m_bytesSinceSnapshot = 0;
    m_members.applyRegister(m_state.members());
}

void ControlCore::on(raft::BecameLeader& action)
{
    m_group.reset();
    m_pendingRegisterRequest = 0;
    m_nextRegisterCheck = m_clock.now();
    m_output.onEvent(ControlEvent::BecameLeader, std::to_string(action.term.value()), m_applied);
}

void ControlCore::on(raft::BecameFollower& action)
{
    m_group.reset();
    m_pendingRegisterRequest = 0;
    failPendingProposals(true);
    m_output.onEvent(ControlEvent::BecameFollower, std::to_string(action.term.value()), m_applied);
}

void ControlCore::on(raft::RequestResult& result)
{
    bool accepted = result.outcome == raft::RequestOutcome::Accepted;
    if (result.request == m_pendingRegisterRequest) {
        m_pendingRegisterRequest = accepted ? m_pendingRegisterRequest : 0;
        m_pendingRegisterIndex = result.index;
    }
    if (result.request >= detail::internalRequestBase)
        return;
    if (accepted)
        m_pendingProposals[result.index] = { result.request, result.term, m_clock.now() + m_options.commitTimeout };
    else
        m_output.answer(result.request, { AnswerKind::Unavailable, "", {}, "the leader accepts no writes now" });
}

void ControlCore::on(raft::StopReady&) { m_output.stopped(); }

void ControlCore::failPendingProposals(bool all)
{
    for (auto i = m_pendingProposals.begin(); i != m_pendingProposals.end();) {
        if (!all && m_clock.now() < i->second.deadline) {
            ++i;
            continue;
        }
        m_output.answer(i->second.request, { AnswerKind::Unavailable, "", {}, "not committed in time" });
        m_output.onEvent(ControlEvent::OrderExpired, "", i->first);
        i = m_pendingProposals.erase(i);
    }
}

void ControlCore::updateMembership()
{
    if (!m_raft.isLeader())
        return;
    raft::RaftStatus status = m_raft.status();
    m_group.observe(status);
    if (auto registration = m_group.nextRegistration(m_state)) {
        Command command;
        command.kind = CommandKind::SetInstance;
        command.instance = registration->first;
        command.address = registration->second;
        propose(detail::internalRequestBase + m_nextInternalRequest++, command);
        return;
    }
    if (std::optional<GroupChange> change = m_group.nextChange(status, m_state)) {
        m_output.onEvent(ControlEvent::MembershipChanged,
            std::to_string(change->instance.value()) + " " + change->reason, m_applied);
        performActions(m_raft.handle(raft::ChangeMembership {
            detail::internalRequestBase + m_nextInternalRequest++, change->change, change->instance }));
    }
}

// Sends hellos until this instance is a voter and registered under its current address.
void ControlCore::sendHellos()
{
    auto own = m_state.instances().find(m_raft.self());
    bool registered = own != m_state.instances().end() && own->second == m_options.self;
    bool served = m_raft.leader() != InstanceId();
    if (registered && m_raft.configuration().isVoter(m_raft.self()) && served) {
        sendHellosToSeeds();
        return;
    }
    Hello hello { m_raft.self(), m_options.self, false };
    if (m_raft.isLeader()) {
        m_group.onHello(hello);
        return;
    }
    std::string body = encodeMessage(hello);
    for (Endpoint control : knownControlInstances()) {
        if (control != m_options.self.peer)
            m_output.sendMessage(control, { MessageKind::Hello, body });
    }
}

// Sends hellos to seeds outside the group. All seeds that a process is configured with may be instances without a disk
// or with a lost one; they learn the addresses of the group from these hellos.
void ControlCore::sendHellosToSeeds()
{
    if (m_clock.now() < m_nextSeedHello)
        return;
    m_nextSeedHello = m_clock.now() + m_options.seedHelloInterval;
    for (Endpoint seed : m_options.seeds) {
        bool member = std::any_of(m_state.instances().begin(), m_state.instances().end(),
            [&](const auto& instance) { return instance.second.peer == seed; });
        if (!member)
            m_output.sendMessage(
                seed, { MessageKind::Hello, encodeMessage(Hello { m_raft.self(), m_options.self, false }) });
    }
}

std::optional<Endpoint> ControlCore::peerAddressOf(InstanceId id) const
{
    auto registered = m_state.instances().find(id);
    if (registered != m_state.instances().end())
        return registered->second.peer;
    auto seen = m_observedAddresses.find(id);
    return seen == m_observedAddresses.end() ? std::nullopt : std::optional<Endpoint>(seen->second);
}

std::vector<Endpoint> ControlCore::knownControlInstances() const
{
    std::vector<Endpoint> controls { m_options.self.peer };
    auto add = [&](Endpoint endpoint) {
        if (std::find(controls.begin(), controls.end(), endpoint) == controls.end())
            controls.push_back(endpoint);
    };
    for (const auto& [id, address] : m_state.instances())
        add(address.peer);
    for (const auto& [id, endpoint] : m_observedAddresses) {
        if (m_state.instances().empty())
            add(endpoint);
    }
    for (Endpoint seed : m_options.seeds)
        add(seed);
    return controls;
}

} // namespace cicadaward::cluster
