#include "cluster/poller.h"

#include "cluster/codec.h"

#include <algorithm>

namespace cicadaward::cluster {

namespace {

    constexpr Duration contactLimit = std::chrono::seconds(3);

} // namespace

Poller::Poller(PollerOptions options, const Clock& clock, Random& random, PollerOutput& output)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_output(output)
    , m_controls(m_options.seeds)
    , m_nextPoll(clock.now())
    , m_lastReply(clock.now())
{
    std::sort(m_controls.begin(), m_controls.end());
    // Processes that start together begin with different instances.
    if (!m_controls.empty())
        m_lastPolled = m_controls[random.below(m_controls.size())];
}

void Poller::poll(Endpoint control, uint64_t confirmation)
{
    Poll poll;
    poll.stateIndex = m_stateIndex;
    poll.wantsMembers = m_options.wantsMembers;
    auto found = m_tables.find(control);
    if (found != m_tables.end())
        poll.table = found->second;
    poll.records = m_output.ownRecords();
    poll.confirmation = confirmation;
    m_output.sendMessage(control, { MessageKind::Poll, encodeMessage(poll) });
}

void Poller::pollAll()
{
    for (Endpoint control : m_controls)
        poll(control, 0);
}

void Poller::confirmMembers()
{
    Time now = m_clock.now();
    if (now < m_nextConfirmation)
        return;
    m_nextConfirmation = now + m_options.confirmationInterval;
    m_confirmationTimes[++m_confirmation % m_confirmationTimes.size()] = now;
    for (Endpoint control : m_controls)
        poll(control, m_confirmation);
}

// The reply's members and state have been taken before.
void Poller::takeConfirmation(const PollReply& reply)
{
    bool known
        = reply.confirmation <= m_confirmation && reply.confirmation + m_confirmationTimes.size() > m_confirmation;
    if (reply.confirmation != 0 && known && reply.stateIndex <= m_stateIndex)
        m_output.membersConfirmed(m_confirmationTimes[reply.confirmation % m_confirmationTimes.size()]);
}

void Poller::onTick()
{
    Time now = m_clock.now();
    if (m_inContact && now - m_lastReply > contactLimit) {
        m_inContact = false;
        m_output.contactLost();
    }
    if (m_controls.empty() || now < m_nextPoll)
        return;
    auto next = std::upper_bound(m_controls.begin(), m_controls.end(), m_lastPolled);
    m_lastPolled = next == m_controls.end() ? m_controls.front() : *next;
    poll(m_lastPolled, 0);
    Duration interval = m_stateIndex == 0 || m_output.isWaiting() ? m_options.startInterval : m_options.interval;
    m_nextPoll = now + interval / static_cast<int>(m_controls.size());
}

bool Poller::onMessage(Endpoint sender, const Envelope& envelope)
{
    PollReply reply;
    if (envelope.kind != MessageKind::PollReply || !decodeMessage(envelope.body, reply))
        return false;
    onReply(sender, reply);
    return true;
}

void Poller::onReply(Endpoint sender, const PollReply& reply)
{
    m_lastReply = m_clock.now();
    if (!m_inContact) {
        m_inContact = true;
        m_output.contactRenewed();
    }
    if (reply.newestIncarnation != 0)
        m_output.noteIncarnation(reply.newestIncarnation);
    if (reply.registeredIncarnation != 0)
        m_output.takeRegistration(reply.registeredIncarnation, reply.registeredStart);
    if (reply.leader.port != 0)
        m_output.takeLeader(reply.leader, reply.term);
    learn(reply.stateIndex, reply.controls);
    if (reply.stateIndex > m_stateIndex && !reply.state.empty()) {
        ForwardingState state;
        if (decodeMessage(reply.state, state) && state.index > m_stateIndex) {
            m_stateIndex = state.index;
            m_output.takeState(state);
        }
    }
    if (!m_options.wantsMembers)
        return;
    m_tables[sender] = reply.table;
    for (const steering::MemberRecord& record : reply.members)
        m_output.takeMember(record);
    for (Endpoint agent : reply.silent)
        m_output.suspectMember(agent);
    takeConfirmation(reply);
}

// The seeds stay in the list: they are the way back when all instances have been replaced meanwhile.
void Poller::learn(LogIndex index, const std::vector<Endpoint>& controls)
{
    if (index < m_controlsIndex || controls.empty())
        return;
    m_controlsIndex = index;
    std::vector<Endpoint> next = controls;
    for (Endpoint seed : m_options.seeds) {
        if (std::find(next.begin(), next.end(), seed) == next.end())
            next.push_back(seed);
    }
    next.resize(std::min(next.size(), maxControls));
    std::sort(next.begin(), next.end());
    m_controls = std::move(next);
}

} // namespace cicadaward::cluster
