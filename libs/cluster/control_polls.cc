// The part of ControlCore that serves entries and agents: replies to polls, notices of new states, and the register of
// members.
#include "cluster/codec.h"
#include "cluster/control_core.h"
#include "core/hash.h"
#include "directory/manifest.h"

#include <algorithm>
#include <limits>

namespace cicadaward::cluster {

namespace {

    // Polls beyond this number of open confirmations are answered without one.
    constexpr size_t maxConfirmations = 512;
    // Bounds the memory and the notices that senders of polls can cause. Further pollers get replies but no notices.
    constexpr size_t maxPollers = 16384;
    constexpr Duration refusalReportInterval = std::chrono::seconds(1);
    constexpr size_t notifiersPerPoller = 2;
    // Longer than the slowest poller needs to poll every instance once.
    constexpr Duration pollerRetention = std::chrono::seconds(240);

} // namespace

void ControlCore::onPoll(Endpoint sender, const Poll& poll)
{
    bool isControl = isControlInstance(sender);
    for (const steering::MemberRecord& record : poll.records) {
        if (isControl || record.agent == sender)
            m_members.update(record, poll.period);
        else
            refuseAnnouncement(sender, record);
    }
    if (!isControl && (m_pollers.size() < maxPollers || m_pollers.count(sender) != 0))
        m_pollers[sender] = m_clock.now();
    if (poll.confirmationNumber != 0 && m_raft.isLeader() && m_confirmations.size() < maxConfirmations)
        m_confirmations.push_back({ m_clock.now(), PollConfirmation { sender, poll } });
    else
        answerPoll(sender, poll, false);
}

// Counts and reports an announcement that is neither from the member's own endpoint nor forwarded by a control
// instance. If it were accepted, a member that doesn't exist would stay in the register for hours and cost a hop in
// each search for the owner of a flow.
void ControlCore::refuseAnnouncement(Endpoint sender, const steering::MemberRecord& record)
{
    ++m_refusedAnnouncements;
    if (m_clock.now() < m_nextRefusalReport)
        return;
    m_nextRefusalReport = m_clock.now() + refusalReportInterval;
    m_output.onEvent(ControlEvent::AnnouncementRefused,
        formatAddress(record.agent.address) + " from " + formatAddress(sender.address), m_state.index());
}

bool ControlCore::isControlInstance(Endpoint sender) const
{
    for (Endpoint control : knownControlInstances()) {
        if (control == sender)
            return true;
    }
    return false;
}

void ControlCore::refreshForwardingState()
{
    if (m_forwardingIndex == m_state.index())
        return;
    m_forwardingIndex = m_state.index();
    m_stateSource.update(m_state.forwardingState());
}

// Notifies pollers of a new state, so that their poll intervals can be long. The first state after a start is notified
// too: after a power loss, processes that polled before it existed wait for it. Rendezvous hashing assigns two
// instances to each poller, which spreads the load and tolerates the loss of one instance without delay.
void ControlCore::notifyPollers()
{
    if (m_notifiedIndex == m_state.index() || m_state.routes().version() == 0)
        return;
    m_notifiedIndex = m_state.index();
    refreshForwardingState();
    Envelope notice { MessageKind::StateNotice, encodeMessage(StateNotice { m_state.index() }) };
    for (const auto& [poller, lastPoll] : m_pollers) {
        if (isNotifierOf(poller))
            m_output.sendMessage(poller, notice);
    }
}

bool ControlCore::isNotifierOf(Endpoint poller) const
{
    uint64_t own = mixHash(poller.key(), m_raft.self().value());
    size_t before = 0;
    for (const auto& [id, address] : m_state.instances())
        before += id != m_raft.self() && mixHash(poller.key(), id.value()) > own ? 1 : 0;
    return before < notifiersPerPoller;
}

// Tells an agent that its target's start is registered, since the agent refuses new flows until it knows. Its next poll
// may reach an instance that has not applied the entry yet. Records that have not been announced since the start of
// this process come from the log and need no report.
void ControlCore::reportRegistration(const steering::MemberRecord& record)
{
    bool isAnnounced = m_members.incarnationOf(record.agent) == record.incarnation;
    if (!isAnnounced || !(m_raft.isLeader() || isNotifierOf(record.agent)))
        return;
    Poll poll;
    poll.stateIndex = m_state.index(); // the agent polls for the state by itself
    poll.records.push_back(record);
    answerPoll(record.agent, poll, false);
}

void ControlCore::expirePollers()
{
    for (auto i = m_pollers.begin(); i != m_pollers.end();)
        i = m_clock.now() - i->second > pollerRetention ? m_pollers.erase(i) : std::next(i);
}

void ControlCore::answerPoll(Endpoint sender, const Poll& poll, bool confirmed)
{
    PollReply reply;
    for (const steering::MemberRecord& record : poll.records) {
        reply.newestIncarnation = m_members.incarnationOf(record.agent);
        auto registered = m_state.members().find(record.agent);
        if (registered == m_state.members().end())
            continue;
        reply.registeredIncarnation = registered->second.incarnation;
        reply.registeredStart = registered->second.targetStartSequence;
    }
    reply.pollers = static_cast<uint32_t>(m_pollers.size());
    reply.stateIndex = m_state.index();
    if (poll.stateIndex < m_state.index() && m_state.routes().version() != 0) {
        refreshForwardingState();
        m_stateSource.fillReply(poll, reply);
    }
    bool complete = poll.wantsMembers && m_members.fillReply(poll.table, poll.digest, reply);
    if (confirmed && complete)
        reply.confirmationNumber = poll.confirmationNumber;
    reply.controls = knownControlInstances();
    reply.leader = adminApiOf(m_raft.leader());
    reply.term = m_raft.term().value();
    m_output.sendMessage(sender, { MessageKind::PollReply, encodeMessage(reply) });
}

// Proposes at most one change of the register at a time; later changes go into the next proposal. Followers forward
// announcements to the leader, because an agent may be cut off from the leader only.
void ControlCore::updateRegister()
{
    bool isDue = m_checkedTableChange != m_members.version().number || m_clock.now() >= m_nextRegisterCheck;
    bool leads = m_raft.canRead();
    std::optional<Endpoint> leader = m_raft.isLeader() ? std::nullopt : peerAddressOf(m_raft.leader());
    if ((!leads && !leader) || m_pendingRegisterRequest != 0 || !isDue)
        return;
    m_checkedTableChange = m_members.version().number;
    m_nextRegisterCheck = m_clock.now() + m_options.registerCheckInterval;
    RegisterChanges changes = m_members.registerChanges(m_state.members());
    if (leads)
        proposeRegisterChanges(std::move(changes));
    else if (!changes.add.empty()) {
        Poll announcement;
        announcement.stateIndex = m_state.index();
        announcement.records = std::move(changes.add);
        m_output.sendMessage(*leader, { MessageKind::Poll, encodeMessage(announcement) });
    }
}

void ControlCore::proposeRegisterChanges(RegisterChanges changes)
{
    if (!changes.add.empty())
        proposeRegisterCommand(CommandKind::RegisterMembers, std::move(changes.add));
    else if (!changes.remove.empty())
        proposeRegisterCommand(CommandKind::RemoveMembers, std::move(changes.remove));
}

void ControlCore::proposeRegisterCommand(CommandKind kind, std::vector<steering::MemberRecord> members)
{
    Command command;
    command.kind = kind;
    command.members = std::move(members);
    m_nextRegisterCheck = m_clock.now(); // changes beyond the limit of this command are proposed next
    m_pendingRegisterIndex = std::numeric_limits<LogIndex>::max();
    m_pendingRegisterRequest = detail::internalRequestBase + m_nextInternalRequest++;
    propose(m_pendingRegisterRequest, command);
}

} // namespace cicadaward::cluster
