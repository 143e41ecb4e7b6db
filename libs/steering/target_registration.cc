#include "steering/target_registration.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr int heartbeatsUntilGone = 4;
    constexpr Duration maxTickInterval = std::chrono::milliseconds(150);
    constexpr size_t maxClaims = 4;
    constexpr size_t maxEndedStarts = 8;

} // namespace

TargetRegistration::TargetRegistration(const Clock& clock, Duration heartbeatTimeout)
    : m_clock(clock)
    , m_heartbeatTimeout(heartbeatTimeout)
    , m_silenceLimit(heartbeatTimeout * 5 / (4 * heartbeatsUntilGone)) // one interval and a quarter
    , m_started(clock.now())
    , m_lastTick(m_started)
{
}

HeartbeatArrival TargetRegistration::arrivalOf(const Heartbeat& heartbeat)
{
    countPause();
    return { m_clock.now(), isFirst(heartbeat) };
}

HeartbeatResult TargetRegistration::onHeartbeat(const Heartbeat& heartbeat, HeartbeatArrival arrival)
{
    countPause();
    if (!m_lastHeartbeat) {
        accept(heartbeat, arrival);
        return HeartbeatResult::NewStart;
    }
    if (m_lastHeartbeat->isSameStart(heartbeat))
        return onSameStart(heartbeat, arrival.at);
    const EndedStart* ended = findEnded(heartbeat);
    if (ended && ended->departed)
        return HeartbeatResult::Outdated;
    if ((!mayBeNewer(heartbeat) && !mayTakeEffect(heartbeat)) || !addClaim(heartbeat, arrival))
        return HeartbeatResult::Outdated;
    return acceptStrongestClaim() ? HeartbeatResult::NewStart : HeartbeatResult::Claimed;
}

HeartbeatResult TargetRegistration::onSameStart(const Heartbeat& heartbeat, Time arrived)
{
    // A start does not change its service, so this one is from another writer.
    bool isForeign = heartbeat.service != m_lastHeartbeat->service;
    if (heartbeat.sequence <= m_lastHeartbeat->sequence || m_departed || isForeign)
        return HeartbeatResult::Outdated;
    bool changed = hasEnded() || m_isContested || m_lastHeartbeat->draining != heartbeat.draining
        || m_lastHeartbeat->slots != heartbeat.slots;
    m_lastHeartbeat = heartbeat;
    m_lastHeartbeatTime = arrived;
    m_coldUntil = m_lastHeartbeatTime + heartbeat.warmUpLeft;
    m_pausedBefore = m_paused;
    m_claims.clear(); // the registered start lives
    m_isContested = m_hasLostFlows = false;
    return changed ? HeartbeatResult::Changed : HeartbeatResult::Unchanged;
}

bool TargetRegistration::mayBeNewer(const Heartbeat& heartbeat) const
{
    return heartbeat.startTimeMs >= m_lastHeartbeat->startTimeMs && !findEnded(heartbeat);
}

// The target's clock may have been set back before it started, so an earlier start time is accepted too, but only after
// the registered target has timed out.
bool TargetRegistration::mayTakeEffect(const Heartbeat& heartbeat) const
{
    if (!mayBeNewer(heartbeat))
        return silence() > m_heartbeatTimeout;
    return m_departed || m_hasLostFlows || silence() > m_silenceLimit;
}

bool TargetRegistration::addClaim(const Heartbeat& heartbeat, HeartbeatArrival arrival)
{
    Claim claim { heartbeat, arrival, m_paused };
    auto found = std::find_if(
        m_claims.begin(), m_claims.end(), [&](const Claim& known) { return known.heartbeat.isSameStart(heartbeat); });
    if (found != m_claims.end()) {
        if (heartbeat.sequence <= found->heartbeat.sequence)
            return false;
        claim.heartbeats = found->heartbeats + 1;
        claim.arrival.includesFirst = claim.arrival.includesFirst || found->arrival.includesFirst;
        m_claims.erase(found);
    } else if (m_claims.size() == maxClaims) {
        m_claims.erase(m_claims.begin());
    }
    m_claims.push_back(claim);
    m_isContested = true;
    return true;
}

const TargetRegistration::Claim* TargetRegistration::strongestClaim() const
{
    if (m_claims.empty())
        return nullptr;
    const Claim& newest = m_claims.back();
    size_t stronger = std::count_if(
        m_claims.begin(), m_claims.end(), [&](const Claim& claim) { return claim.heartbeats >= newest.heartbeats; });
    return stronger == 1 ? &newest : nullptr;
}

bool TargetRegistration::acceptStrongestClaim()
{
    const Claim* claim = strongestClaim();
    if (!claim || !mayTakeEffect(claim->heartbeat))
        return false;
    Claim accepted = *claim;
    accept(accepted.heartbeat, accepted.arrival);
    return true;
}

const TargetRegistration::EndedStart* TargetRegistration::findEnded(const Heartbeat& heartbeat) const
{
    auto found = std::find_if(m_ended.begin(), m_ended.end(), [&](const EndedStart& start) {
        return start.id == heartbeat.id && start.startTimeMs == heartbeat.startTimeMs;
    });
    return found == m_ended.end() ? nullptr : &*found;
}

// An agent forwards flows only after a heartbeat, so no earlier process of this agent can have forwarded flows to a
// start whose first heartbeat arrives here, or which began after this process by the clock of the instance that both
// run on. The first heartbeats of such a start may have been lost or refused, because the process did not listen yet.
// Targets count from 0 or from 1. With 1 there was no heartbeat before when this process would have received it, or
// when the target is too young.
bool TargetRegistration::isFirst(const Heartbeat& heartbeat) const
{
    if (heartbeat.sequence == 0)
        return true;
    auto age = std::chrono::milliseconds(
        m_clock.wallTime().count() - static_cast<int64_t>(std::min<uint64_t>(heartbeat.startTimeMs, INT64_MAX)));
    Duration existing = m_clock.now() - m_started;
    if (age.count() >= 0 && age <= existing)
        return true;
    if (heartbeat.sequence != 1)
        return false;
    bool isYoung = !heartbeat.draining && age.count() >= 0 && age < m_heartbeatTimeout * 3 / (4 * heartbeatsUntilGone);
    return existing - m_paused > m_silenceLimit || isYoung;
}

void TargetRegistration::accept(const Heartbeat& heartbeat, HeartbeatArrival arrival)
{
    m_hasSeenEarlierStart = m_hasSeenStart && (m_earlierHasEnded || m_hasSeenEarlierStart);
    m_earlierHasEnded = !m_lastHeartbeat || m_departed || m_hasLostFlows;
    m_hasSeenStart = arrival.includesFirst;
    if (m_lastHeartbeat)
        addEnded(*m_lastHeartbeat, m_departed);
    m_departed = m_isContested = m_hasLostFlows = false;
    m_claims.clear();
    m_lastHeartbeat = heartbeat;
    m_lastHeartbeatTime = arrival.at;
    m_coldUntil = arrival.at + heartbeat.warmUpLeft;
    m_pausedBefore = m_paused;
}

void TargetRegistration::addEnded(const Heartbeat& start, bool departed)
{
    m_ended.push_back({ start.id, start.startTimeMs, departed });
    if (m_ended.size() > maxEndedStarts)
        m_ended.pop_front();
}

bool TargetRegistration::onDeparture(const std::string& id)
{
    bool endsRegistered = m_lastHeartbeat && m_lastHeartbeat->id == id && !m_departed;
    bool endsClaim = false;
    for (const Claim& claim : m_claims) {
        if (claim.heartbeat.id != id)
            continue;
        endsClaim = true;
        addEnded(claim.heartbeat, true);
    }
    m_claims.erase(
        std::remove_if(m_claims.begin(), m_claims.end(), [&](const Claim& claim) { return claim.heartbeat.id == id; }),
        m_claims.end());
    if (endsRegistered) {
        m_departed = true;
        m_claims.clear(); // they arrived while the registered start lived
    }
    return endsClaim || endsRegistered;
}

bool TargetRegistration::onTick()
{
    countPause();
    bool isNewStart = acceptStrongestClaim();
    dropSilentClaims();
    return isNewStart;
}

bool TargetRegistration::onFlowsLost()
{
    m_hasLostFlows = m_isContested;
    return acceptStrongestClaim();
}

TargetState TargetRegistration::state() const
{
    if (!m_lastHeartbeat)
        return TargetState::Unknown;
    if (m_departed)
        return TargetState::Departed;
    if (m_clock.now() - m_lastHeartbeatTime > m_heartbeatTimeout)
        return TargetState::Gone;
    return m_lastHeartbeat->draining ? TargetState::Draining : TargetState::Ready;
}

void TargetRegistration::countPause()
{
    Time now = m_clock.now();
    m_paused += std::max(Duration::zero(), now - m_lastTick - maxTickInterval);
    m_lastTick = now;
}

Duration TargetRegistration::silenceSince(Time arrived, Duration pausedBefore) const
{
    return m_clock.now() - arrived - (m_paused - pausedBefore);
}

void TargetRegistration::dropSilentClaims()
{
    m_claims.erase(
        std::remove_if(m_claims.begin(), m_claims.end(),
            [&](const Claim& claim) { return silenceSince(claim.arrival.at, claim.pausedBefore) > m_silenceLimit; }),
        m_claims.end());
}

} // namespace cicadaward::steering
