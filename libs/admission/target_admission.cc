#include "admission/target_admission.h"

namespace cicadaward {

TargetAdmission::TargetAdmission(
    const Clock& clock, const TargetCapacity& capacity, const AdaptiveLimitSettings& settings)
    : m_flows(clock, capacity.flows, capacity.coldShare, settings)
    , m_work(clock, capacity.slots, capacity.coldShare, settings)
{
    m_flows.setMinColdTime(capacity.minColdTime);
    m_work.setMinColdTime(capacity.minColdTime);
}

void TargetAdmission::targetStarted(Incarnation incarnation)
{
    if (incarnation <= m_incarnation)
        return;
    m_incarnation = incarnation;
    m_flows.resetToCold();
    m_work.resetToCold();
}

void TargetAdmission::setCapacity(const TargetCapacity& capacity)
{
    m_flows.setCapacity(capacity.flows, capacity.coldShare);
    m_work.setCapacity(capacity.slots, capacity.coldShare);
    m_flows.setMinColdTime(capacity.minColdTime);
    m_work.setMinColdTime(capacity.minColdTime);
}

void TargetAdmission::setLoadHint(double share)
{
    m_flows.setLoadHint(share);
    m_work.setLoadHint(share);
}

void TargetAdmission::observeWork(Outcome outcome, Duration latency)
{
    m_work.observe(outcome, latency);
    m_flows.observe(outcome, latency);
}

} // namespace cicadaward
