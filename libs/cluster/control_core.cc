#include "cluster/control_core.h"

#include "cluster/codec.h"
#include "raft/codec.h"

#include <algorithm>

namespace cicadaward::cluster {

StoreBatch foundingBatch(const std::map<InstanceId, InstanceAddress>& founders)
{
    std::vector<InstanceId> voters;
    voters.reserve(founders.size());
    for (const auto& [id, address] : founders)
        voters.push_back(id);
    StoreBatch batch = raft::bootstrapBatch(std::move(voters));
    for (const auto& [id, address] : founders) {
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
    , m_nextRegisterLook(clock.now())
    , m_nextHello(clock.now())
    , m_nextSeedHello(clock.now())
    , m_nextGroupLook(clock.now())
{
    learnAddresses(contents);
}

// Nothing is applied before a leader commits, but the voters must find each other to elect one, and the seeds may name
// other instances by now. Addresses are hints, so entries that are not committed serve as well.
void ControlCore::learnAddresses(const StoreContents& contents)
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
        m_seen[id] = address.peer;
}

void ControlCore::onTick()
{
    perform(m_raft.handle(raft::Tick {}));
    expireOrders(false);
    askForConfirmation();
    answerConfirmed();
    tendRegister();
    notifyPollers();
    Time now = m_clock.now();
    if (now >= m_nextGroupLook) {
        m_nextGroupLook = now + m_options.groupInterval;
        m_members.expire();
        forgetPollers();
        tendGroup();
    }
    if (now >= m_nextHello) {
        m_nextHello = now + m_options.helloInterval;
        sayHello();
    }
}

void ControlCore::onMessage(Endpoint sender, const Envelope& envelope)
{
    if (envelope.kind == MessageKind::Consensus) {
        raft::RaftMessage message;
        if (!decodeMessage(envelope.body, message))
            return;
        m_seen[message.from] = sender;
        perform(m_raft.handle(raft::MessageReceived { std::move(message) }));
        answerConfirmed();
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
    std::optional<Endpoint> leader = addressOf(m_raft.leader());
    if (m_raft.isLeader() || hello.forwarded || !leader)
        return;
    hello.forwarded = true;
    m_output.sendMessage(*leader, { MessageKind::Hello, encodeMessage(hello) });
}

void ControlCore::onPersisted(uint64_t batchNumber) { perform(m_raft.handle(raft::Persisted { batchNumber })); }

void ControlCore::stop() { perform(m_raft.handle(raft::Stop {})); }

// Answers the request when this instance is not the leader.
bool ControlCore::redirect(RequestNumber request)
{
    if (m_raft.isLeader())
        return false;
    Answer answer;
    answer.reason = "no leader is known";
    Endpoint leader = operatorsOf(m_raft.leader());
    if (leader.port != 0)
        answer = { AnswerKind::Redirect, "", leader, "" };
    m_output.answer(request, answer);
    return true;
}

// Port 0 when the instance is not known.
Endpoint ControlCore::operatorsOf(InstanceId id) const
{
    auto found = m_state.instances().find(id);
    return found == m_state.instances().end() ? Endpoint() : found->second.operators;
}

void ControlCore::putConfiguration(
    RequestNumber request, const steering::Configuration& configuration, const std::string& compressedText)
{
    if (redirect(request))
        return;
    if (configuration.version <= m_state.routes().version()) {
        confirm(request, false);
        return;
    }
    Command command;
    command.kind = CommandKind::PutConfiguration;
    command.configuration = configuration;
    command.text = compressedText;
    propose(request, command);
}

void ControlCore::setDataCentre(RequestNumber request, const std::string& dataCentre, bool out)
{
    if (redirect(request))
        return;
    // Always through the log: an expired order of the opposite content may still be in it and take force later, so the
    // state alone does not show what the outcome is.
    Command command;
    command.kind = CommandKind::SetDataCentre;
    command.dataCentre = dataCentre;
    command.out = out;
    propose(request, command);
}

void ControlCore::readConfiguration(RequestNumber request)
{
    if (!redirect(request))
        confirm(request, true);
}

void ControlCore::confirm(RequestNumber request, bool read)
{
    m_confirmations.push_back({ m_clock.now(), OperatorConfirmation { request, read } });
    answerConfirmed();
}

// One question to the voters serves everything that has arrived before it.
void ControlCore::askForConfirmation()
{
    Time now = m_clock.now();
    bool isAsked = m_confirmations.empty() || m_confirmations.back().arrived < m_confirmationAsked;
    if (isAsked || m_confirmations.back().arrived >= now)
        return;
    m_confirmationAsked = now;
    perform(m_raft.handle(raft::ConfirmLeadership {}));
}

void ControlCore::answerConfirmed()
{
    while (!m_confirmations.empty()) {
        // Strictly later: what was sent in the same instant may have left before the request arrived.
        Time arrived = m_confirmations.front().arrived;
        bool confirmed = m_raft.canRead() && m_raft.quorumAckTime() > arrived;
        bool late = !m_raft.isLeader() || m_clock.now() - arrived > m_options.readLimit;
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
    answer.reason = "the newest configuration is not certain";
    if (confirmed && !waiting.read)
        answer = { AnswerKind::Done, "", {}, "" };
    else if (confirmed && !m_state.text().empty())
        answer = { AnswerKind::Configuration, m_state.text(), {}, "" };
    m_output.answer(waiting.request, answer);
}

void ControlCore::answer(const PollConfirmation& waiting, bool confirmed)
{
    answerPoll(waiting.sender, waiting.poll, confirmed);
}

void ControlCore::propose(RequestNumber request, const Command& command)
{
    perform(m_raft.handle(raft::Propose { request, encodeMessage(command) }));
}

void ControlCore::perform(std::vector<raft::RaftAction> actions)
{
    // Performing an action may produce further ones; they queue behind, so batches keep the order of their tickets.
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
    if (std::optional<Endpoint> to = addressOf(action.message.to))
        m_output.sendMessage(*to, { MessageKind::Consensus, encodeMessage(action.message) });
}

void ControlCore::on(raft::Persist& action) { m_output.persist(action.batchNumber, action.batch); }

void ControlCore::on(raft::ApplyEntries& action)
{
    for (const LogEntry& entry : action.entries)
        applyEntry(entry);
    if (m_applied - m_lastSnapshot >= m_options.snapshotEntries) {
        m_lastSnapshot = m_applied;
        perform(m_raft.handle(raft::SnapshotTaken { m_applied, m_state.encode() }));
    }
}

void ControlCore::applyEntry(const LogEntry& entry)
{
    m_applied = entry.index;
    Command command;
    if (entry.kind == EntryKind::Command && decodeMessage(entry.data, command)) {
        LogIndex before = m_state.index();
        m_state.apply(entry.index, command);
        if (m_state.index() != before)
            reportChange(command, entry.index);
    }
    if (entry.index >= m_registerIndex)
        m_registerRequest = 0;
    if (command.kind == CommandKind::RegisterMembers || command.kind == CommandKind::RemoveMembers)
        onRegisterChange(command, entry.index);
    settle(entry);
}

void ControlCore::onRegisterChange(const Command& command, LogIndex index)
{
    bool added = command.kind == CommandKind::RegisterMembers;
    m_members.follow(m_state.members());
    std::string agents;
    for (const steering::MemberRecord& record : command.members) {
        if (!added)
            m_members.remove(record);
        agents += agents.empty() ? "" : ",";
        agents += formatAddress(record.agent.address) + ":" + std::to_string(record.agent.port);
    }
    m_output.happened(added ? ControlEvent::MembersRegistered : ControlEvent::MembersRemoved, agents, index);
}

void ControlCore::reportChange(const Command& command, LogIndex index)
{
    if (command.kind == CommandKind::PutConfiguration)
        m_output.happened(ControlEvent::ConfigurationInForce, std::to_string(command.configuration.version), index);
    else if (command.kind == CommandKind::SetDataCentre)
        m_output.happened(
            command.out ? ControlEvent::DataCentreOut : ControlEvent::DataCentreBack, command.dataCentre, index);
    else
        m_output.happened(ControlEvent::InstanceRegistered, std::to_string(command.instance.value()), index);
}

// Another leader may have put its own entry at the index of an order; the order is then not known to be done.
void ControlCore::settle(const LogEntry& entry)
{
    auto found = m_orders.find(entry.index);
    if (found == m_orders.end())
        return;
    Answer answer;
    bool own = found->second.term == entry.term;
    answer.kind = own ? AnswerKind::Done : AnswerKind::Unavailable;
    answer.reason = own ? "" : "another leader has taken over";
    m_output.answer(found->second.request, answer);
    m_orders.erase(found);
}

void ControlCore::on(raft::InstallSnapshot& action)
{
    m_state.decode(action.snapshot.data);
    m_applied = m_lastSnapshot = action.snapshot.index;
    m_members.follow(m_state.members());
}

void ControlCore::on(raft::BecameLeader& action)
{
    m_group.reset();
    m_registerRequest = 0;
    m_nextRegisterLook = m_clock.now();
    m_output.happened(ControlEvent::BecameLeader, std::to_string(action.term.value()), m_applied);
}

void ControlCore::on(raft::BecameFollower& action)
{
    m_group.reset();
    m_registerRequest = 0;
    expireOrders(true);
    m_output.happened(ControlEvent::BecameFollower, std::to_string(action.term.value()), m_applied);
}

void ControlCore::on(raft::RequestResult& result)
{
    bool accepted = result.outcome == raft::RequestOutcome::Accepted;
    if (result.request == m_registerRequest) {
        m_registerRequest = accepted ? m_registerRequest : 0;
        m_registerIndex = result.index;
    }
    if (result.request >= detail::ownRequests)
        return;
    if (accepted)
        m_orders[result.index] = { result.request, result.term, m_clock.now() + m_options.orderLimit };
    else
        m_output.answer(result.request, { AnswerKind::Unavailable, "", {}, "the leader takes no order now" });
}

void ControlCore::on(raft::StopReady&) { m_output.stopped(); }

void ControlCore::expireOrders(bool all)
{
    for (auto i = m_orders.begin(); i != m_orders.end();) {
        if (!all && m_clock.now() < i->second.deadline) {
            ++i;
            continue;
        }
        m_output.answer(i->second.request, { AnswerKind::Unavailable, "", {}, "not committed in time" });
        m_output.happened(ControlEvent::OrderExpired, "", i->first);
        i = m_orders.erase(i);
    }
}

void ControlCore::tendGroup()
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
        propose(detail::ownRequests + m_nextChange++, command);
        return;
    }
    if (std::optional<GroupChange> change = m_group.nextChange(status, m_state)) {
        m_output.happened(ControlEvent::MembershipChanged,
            std::to_string(change->instance.value()) + " " + change->reason, m_applied);
        perform(m_raft.handle(
            raft::ChangeMembership { detail::ownRequests + m_nextChange++, change->change, change->instance }));
    }
}

// Tells the others of this instance until the group counts it as a voter at its address.
void ControlCore::sayHello()
{
    auto own = m_state.instances().find(m_raft.self());
    bool registered = own != m_state.instances().end() && own->second == m_options.self;
    bool served = m_raft.leader() != InstanceId();
    if (registered && m_raft.configuration().isVoter(m_raft.self()) && served) {
        greetSeeds();
        return;
    }
    Hello hello { m_raft.self(), m_options.self, false };
    if (m_raft.isLeader()) {
        m_group.onHello(hello);
        return;
    }
    std::string body = encodeMessage(hello);
    for (Endpoint control : knownControls()) {
        if (control != m_options.self.peer)
            m_output.sendMessage(control, { MessageKind::Hello, body });
    }
}

// An instance without a disk, or one that lost its disk, may be all that a process finds in its seeds. Such seeds learn
// of the group from its members.
void ControlCore::greetSeeds()
{
    if (m_clock.now() < m_nextSeedHello)
        return;
    m_nextSeedHello = m_clock.now() + m_options.seedInterval;
    for (Endpoint seed : m_options.seeds) {
        bool member = std::any_of(m_state.instances().begin(), m_state.instances().end(),
            [&](const auto& instance) { return instance.second.peer == seed; });
        if (!member)
            m_output.sendMessage(
                seed, { MessageKind::Hello, encodeMessage(Hello { m_raft.self(), m_options.self, false }) });
    }
}

std::optional<Endpoint> ControlCore::addressOf(InstanceId id) const
{
    auto registered = m_state.instances().find(id);
    if (registered != m_state.instances().end())
        return registered->second.peer;
    auto seen = m_seen.find(id);
    return seen == m_seen.end() ? std::nullopt : std::optional<Endpoint>(seen->second);
}

std::vector<Endpoint> ControlCore::knownControls() const
{
    std::vector<Endpoint> controls { m_options.self.peer };
    auto add = [&](Endpoint endpoint) {
        if (std::find(controls.begin(), controls.end(), endpoint) == controls.end())
            controls.push_back(endpoint);
    };
    for (const auto& [id, address] : m_state.instances())
        add(address.peer);
    for (const auto& [id, endpoint] : m_seen) {
        if (m_state.instances().empty())
            add(endpoint);
    }
    for (Endpoint seed : m_options.seeds)
        add(seed);
    return controls;
}

} // namespace cicadaward::cluster
