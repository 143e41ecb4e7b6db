#include "admission/target_monitor.h"

#include <algorithm>

namespace cicadaward {

TargetMonitor::TargetMonitor(const Clock& clock, TargetMonitorSettings settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_lastHealth(clock.now())
    , m_lastTraffic(clock.now())
{
}

bool TargetMonitor::onHealthReply(Incarnation incarnation, bool draining)
{
    m_consecutiveRefusals = 0;
    m_lastHealth = m_clock.now();
    return setCondition(draining ? TargetState::Draining : TargetState::Up, incarnation);
}

bool TargetMonitor::onHealthConnectionRefused()
{
    if (++m_consecutiveRefusals < m_settings.refusalsUntilDown)
        return false;
    return setCondition(TargetState::Down, m_condition.incarnation);
}

bool TargetMonitor::onHealthCheckFailed()
{
    m_consecutiveRefusals = 0;
    if (m_clock.now() - std::max(m_lastHealth, m_lastTraffic) < m_settings.silenceTimeout)
        return false;
    return setCondition(TargetState::Down, m_condition.incarnation);
}

bool TargetMonitor::setCondition(TargetState state, Incarnation incarnation)
{
    TargetCondition next { state, incarnation };
    if (next == m_condition)
        return false;
    m_condition = next;
    return true;
}

} // namespace cicadaward
