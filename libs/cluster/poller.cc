#include "cluster/poller.h"

#include "cluster/codec.h"
#include "core/hash.h"

#include <algorithm>

namespace cicadaward::cluster {

namespace {

    // Contact is lost without a reply for the longer of this time and this number of intervals.
    constexpr Duration contactTimeout = std::chrono::seconds(3);
    constexpr int contactTimeoutIntervals = 4;
    // A newer state that no instance has named for this long is not one of this group.
    constexpr Duration heardLifetime = std::chrono::seconds(5);
    constexpr int retriesPerInterval = 16; // of a long interval, so that the retries of many pollers stay few
    constexpr Duration controlsRequestInterval = std::chrono::seconds(1);
    constexpr uint64_t turnsPerFullCycle = 8; // every 8th poll also considers instances without a state

} // namespace

Poller::Poller(PollerOptions options, const Clock& clock, Random& random, PollerOutput& output)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_output(output)
    , m_salt(random.next())
    , m_controls(m_options.seeds)
    , m_waitInterval(m_options.initialWaitInterval)
    , m_nextPoll(clock.now())
    , m_lastReply(clock.now())
    , m_download(clock)
{
    sortControls();
    if (!m_controls.empty())
        m_lastPolled = m_lastPolledInFullCycle = m_controls.back();
}

// Sorts by a hash salted per process, so that processes that start together don't poll the instances in the same order.
// The result doesn't depend on the order in which replies list the instances, so each instance is polled in turn.
void Poller::sortControls()
{
    std::sort(m_controls.begin(), m_controls.end(), [this](Endpoint a, Endpoint b) { return comesBefore(a, b); });
}

bool Poller::comesBefore(Endpoint a, Endpoint b) const
{
    return std::make_pair(mixHash(m_salt, a.key()), a) < std::make_pair(mixHash(m_salt, b.key()), b);
}

void Poller::poll(Endpoint control, uint64_t confirmation)
{
    Poll poll;
    poll.stateIndex = m_state.index;
    poll.wantsMembers = m_options.wantsMembers;
    auto found = m_tables.find(control);
    if (found != m_tables.end())
        poll.table = found->second;
    else if (m_options.wantsMembers)
        poll.digest = m_output.memberDigest();
    poll.records = m_output.ownRecords();
    poll.confirmationNumber = confirmation;
    poll.continues = true;
    if (control == m_download.source()) {
        poll.partIndex = m_download.index();
        poll.partOffset = m_download.receivedBytes();
    }
    poll.period = std::chrono::duration_cast<std::chrono::milliseconds>(interval() * turnsPerFullCycle);
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
    m_nextConfirmation = now + m_options.minConfirmationInterval;
    m_confirmationTimes[++m_lastConfirmationNumber % m_confirmationTimes.size()] = now;
    for (Endpoint control : m_controls)
        poll(control, m_lastConfirmationNumber);
}

// Call it after the members and the state of the reply have been applied.
void Poller::onConfirmation(const PollReply& reply)
{
    bool known = reply.confirmationNumber <= m_lastConfirmationNumber
        && reply.confirmationNumber + m_confirmationTimes.size() > m_lastConfirmationNumber;
    if (reply.confirmationNumber != 0 && known && reply.stateIndex <= m_state.index)
        m_output.membersConfirmed(m_confirmationTimes[reply.confirmationNumber % m_confirmationTimes.size()]);
}

Duration Poller::interval() const
{
    return std::clamp<Duration>(m_pollers * m_options.minIntervalPerPoller, m_options.minInterval,
        std::max(m_options.minInterval, m_options.maxInterval));
}

// Usually skips instances without a state, whose replies don't help, but not always: an instance that has received its
// first state meanwhile must be found.
Endpoint Poller::nextControl()
{
    auto mayHaveState = [this](Endpoint control) { return m_withoutState.count(control) == 0; };
    bool skipsInstancesWithoutState
        = ++m_turns % turnsPerFullCycle != 0 && std::any_of(m_controls.begin(), m_controls.end(), mayHaveState);
    auto isWanted = [&](Endpoint control) { return !skipsInstancesWithoutState || mayHaveState(control); };
    Endpoint& last = skipsInstancesWithoutState ? m_lastPolled : m_lastPolledInFullCycle;
    auto after = std::upper_bound(
        m_controls.begin(), m_controls.end(), last, [this](Endpoint a, Endpoint b) { return comesBefore(a, b); });
    auto next = std::find_if(after, m_controls.end(), isWanted);
    if (next == m_controls.end())
        next = std::find_if(m_controls.begin(), m_controls.end(), isWanted);
    last = *next;
    return last;
}

void Poller::onTick()
{
    Time now = m_clock.now();
    if (m_inContact && now - m_lastReply > std::max(contactTimeout, contactTimeoutIntervals * interval())) {
        m_inContact = false;
        m_withoutState.clear();
        m_output.contactLost();
    }
    reportBehind();
    if (m_controls.empty())
        return;
    retryIfNeeded();
    if (now < m_nextPoll)
        return;
    poll(m_state.index == 0 ? nextSource() : nextControl(), 0);
    if (m_state.index != 0 && !m_output.isWaitingForReply()) {
        m_waitInterval = m_options.initialWaitInterval;
        m_nextPoll = now + interval();
        if (!isBehind() && !m_awaitsReply)
            restartRetries();
        m_awaitsReply = true;
        return;
    }
    m_nextPoll = now + m_waitInterval;
    m_waitInterval = std::min(2 * m_waitInterval, m_options.maxWaitInterval);
}

// A notice, a poll or its answer may be lost, the instance may be gone, and the interval is longer than a change may
// take to be in force. The retries double with each answer, because the answers are what costs, and after each
// unanswered round over all instances, because all of them may be down or overloaded.
void Poller::retryIfNeeded()
{
    if (!(isBehind() || m_awaitsReply) || m_clock.now() < m_nextRetry)
        return;
    poll(nextSource(), 0);
    bool hasEndedRound = m_awaitsReply && ++m_unansweredRetries % m_controls.size() == 0;
    if (!m_awaitsReply || hasEndedRound)
        m_retryInterval = std::min(2 * m_retryInterval, interval());
    m_awaitsReply = true;
    m_nextRetry = m_clock.now() + m_retryInterval;
}

void Poller::restartRetries()
{
    m_retryInterval = std::max(m_options.minRetryInterval, interval() / retriesPerInterval);
    m_nextRetry = m_clock.now() + m_retryInterval;
}

Endpoint Poller::nextSource() { return m_download.isActive() ? m_download.source() : nextControl(); }

bool Poller::onMessage(Endpoint sender, const Envelope& envelope)
{
    PollReply reply;
    StateNotice notice;
    Controls controls;
    if (envelope.kind == MessageKind::PollReply && decodeMessage(envelope.body, reply))
        onReply(sender, reply);
    else if (envelope.kind == MessageKind::StateNotice && decodeMessage(envelope.body, notice))
        onNotice(sender, notice);
    else if (envelope.kind == MessageKind::ControlsRequest)
        onControlsRequest(sender);
    else if (envelope.kind == MessageKind::Controls && decodeMessage(envelope.body, controls))
        onControls(sender, controls);
    else
        return false;
    return true;
}

void Poller::onReply(Endpoint sender, const PollReply& reply)
{
    m_lastReply = m_clock.now();
    m_awaitsReply = false;
    m_unansweredRetries = 0;
    if (!m_inContact) {
        m_inContact = true;
        m_output.contactRenewed();
    }
    m_pollers = reply.pollers;
    if (reply.stateIndex == 0)
        m_withoutState.insert(sender);
    else
        m_withoutState.erase(sender);
    if (reply.newestIncarnation != 0)
        m_output.onKnownIncarnation(reply.newestIncarnation);
    if (reply.registeredIncarnation != 0)
        m_output.onRegistration(reply.registeredIncarnation, reply.registeredStart);
    if (reply.leader.port != 0)
        m_output.onLeader(reply.leader, reply.term);
    updateControls(reply.stateIndex, reply.controls);
    hear(reply.stateIndex);
    bool progressed = applyState(sender, reply);
    if (m_options.wantsMembers)
        applyMembers(sender, reply);
    if ((progressed && reply.stateIndex > m_state.index) || reply.wantsDigest)
        poll(sender, 0);
}

void Poller::applyMembers(Endpoint sender, const PollReply& reply)
{
    if (reply.table.owner != 0)
        m_tables[sender] = reply.table;
    else
        m_tables.erase(sender);
    for (const steering::MemberRecord& record : reply.members)
        m_output.onMemberRecord(record);
    for (Endpoint agent : reply.silent)
        m_output.onSilentMember(agent);
    onConfirmation(reply);
}

bool Poller::applyState(Endpoint sender, const PollReply& reply)
{
    std::optional<ForwardingState> state = stateFrom(reply);
    if (!state && reply.part.index > m_state.index) {
        if (!m_download.add(sender, reply.part))
            return false;
        restartRetries();
        if (!m_download.isComplete())
            return true;
        state = m_download.take();
    }
    if (!state || state->index <= m_state.index)
        return false;
    m_state = std::move(*state);
    m_lastProgress = m_clock.now();
    restartRetries();
    if (m_download.index() <= m_state.index)
        m_download.abandon();
    m_output.onState(m_state);
    return true;
}

// Returns nothing when the reply has no state, or deltas for another one because it answers an earlier poll.
std::optional<ForwardingState> Poller::stateFrom(const PollReply& reply) const
{
    ForwardingState state;
    if (reply.deltas.empty()) {
        bool isState = !reply.state.empty() && decodeMessage(reply.state, state);
        return isState ? std::optional<ForwardingState>(std::move(state)) : std::nullopt;
    }
    state = m_state;
    for (const ForwardingDelta& delta : reply.deltas) {
        if (!applyDelta(delta, state))
            return std::nullopt;
    }
    return state;
}

// Sends only one poll for each index, because two instances notify each poller.
void Poller::onNotice(Endpoint sender, const StateNotice& notice)
{
    bool isNew = notice.stateIndex > heardIndex();
    hear(notice.stateIndex);
    if (isNew)
        poll(sender, 0);
}

void Poller::onNewerState(LogIndex index)
{
    bool isNew = index > heardIndex();
    hear(index);
    if (isNew && !m_controls.empty())
        poll(nextSource(), 0);
}

void Poller::onPeer(Endpoint process)
{
    if (!isLost() || m_clock.now() < m_nextControlsRequest)
        return;
    m_askedForControls = process;
    m_nextControlsRequest = m_clock.now() + controlsRequestInterval;
    m_output.sendMessage(process, { MessageKind::ControlsRequest, {} });
}

void Poller::onControlsRequest(Endpoint sender)
{
    if (!isLost())
        m_output.sendMessage(sender, { MessageKind::Controls, encodeMessage(Controls { m_controls }) });
}

// The list is only a hint: the known instances stay in it, and the next reply with a newer state replaces it.
void Poller::onControls(Endpoint sender, const Controls& hint)
{
    if (sender != m_askedForControls)
        return;
    m_askedForControls = {};
    std::vector<Endpoint> known = m_controls;
    known.insert(known.end(), hint.controls.begin(), hint.controls.end());
    setControls(known);
    pollAll();
}

void Poller::hear(LogIndex index)
{
    if (index < m_heardIndex)
        return;
    if (!isBehind()) {
        m_lastProgress = m_clock.now();
        restartRetries();
    }
    m_heardIndex = index;
    m_lastHeard = m_clock.now();
}

Duration Poller::behindFor() const { return isBehind() ? m_clock.now() - m_lastProgress : Duration::zero(); }

void Poller::reportBehind()
{
    if (isBehind() && m_clock.now() - m_lastHeard > heardLifetime)
        m_heardIndex = m_state.index;
    bool isLate = behindFor() > behindReportDelay;
    if (isLate == m_reportedBehind)
        return;
    m_reportedBehind = isLate;
    if (isLate)
        m_output.stateBehind(m_heardIndex);
    else
        m_output.stateCaughtUp();
}

// The seeds stay in the list: they let the process reconnect after all other instances have been replaced.
void Poller::updateControls(LogIndex index, const std::vector<Endpoint>& controls)
{
    if (index < m_controlsIndex || controls.empty())
        return;
    m_controlsIndex = index;
    setControls(controls);
}

// Keeps the seeds and the first ones of `controls`, at most maxControls in all.
void Poller::setControls(const std::vector<Endpoint>& controls)
{
    std::vector<Endpoint> next = m_options.seeds;
    for (Endpoint control : controls) {
        if (next.size() < maxControls && std::find(next.begin(), next.end(), control) == next.end())
            next.push_back(control);
    }
    m_controls = std::move(next);
    sortControls();
}

} // namespace cicadaward::cluster
