#include "steering/target_registration.h"

namespace cicadaward::steering {

namespace {

    constexpr uint64_t firstSequence = 1;

} // namespace

HeartbeatResult TargetRegistration::onHeartbeat(const Heartbeat& heartbeat)
{
    bool isSameStart = m_lastHeartbeat && m_lastHeartbeat->id == heartbeat.id
        && m_lastHeartbeat->startTimeMs == heartbeat.startTimeMs;
    if (isSameStart && (heartbeat.sequence <= m_lastHeartbeat->sequence || m_departed))
        return HeartbeatResult::Outdated;
    // The target's clock may have been set back before it started, so an earlier start time is accepted once the
    // registered target has departed or timed out.
    if (m_lastHeartbeat && !isSameStart && heartbeat.startTimeMs < m_lastHeartbeat->startTimeMs && !hasEnded())
        return HeartbeatResult::Outdated;

    HeartbeatResult result = HeartbeatResult::NewStart;
    if (isSameStart) {
        bool changed = hasEnded() || m_lastHeartbeat->draining != heartbeat.draining
            || m_lastHeartbeat->service != heartbeat.service || m_lastHeartbeat->slots != heartbeat.slots;
        result = changed ? HeartbeatResult::Changed : HeartbeatResult::Unchanged;
    } else {
        // An agent forwards flows only after a heartbeat, so no earlier process of this agent can have forwarded flows
        // to a start whose first heartbeat arrives here.
        m_hasSeenStart = heartbeat.sequence <= firstSequence;
        m_departed = false;
    }
    m_lastHeartbeat = heartbeat;
    m_lastHeartbeatTime = m_clock.now();
    m_coldUntil = m_lastHeartbeatTime + heartbeat.warmUpLeft;
    return result;
}

bool TargetRegistration::onDeparture(const std::string& id)
{
    if (!m_lastHeartbeat || m_lastHeartbeat->id != id || m_departed)
        return false;
    m_departed = true;
    return true;
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

} // namespace cicadaward::steering
