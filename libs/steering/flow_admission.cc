#include "steering/flow_admission.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // SYNs take different times to reach the target, so those that arrive there within one second may have been
    // forwarded here over slightly more than one second.
    constexpr Duration warmUpRateWindow = std::chrono::milliseconds(1100);
    constexpr size_t maxUnansweredSyns = 1024;

} // namespace

const char* FlowAdmission::refusalReason(const TargetRegistration& registration, const ServicePolicy* policy) const
{
    if (const char* reason = newFlowExclusion(registration.state()))
        return reason;
    if (registration.isContested())
        return "another start of the target is announced"; // and may have taken over its address
    if (m_consecutiveSynTimeouts >= m_options.maxConsecutiveSynTimeouts)
        return "target does not answer"; // cleared by its next packet or heartbeat
    if (registration.heartbeatAge() > m_options.maxHeartbeatAge)
        return "heartbeat is overdue";
    if (isWarmUpBudgetSpent(registration, policy))
        return "warm-up budget is spent";
    return nullptr;
}

bool FlowAdmission::isWarmUpBudgetSpent(const TargetRegistration& registration, const ServicePolicy* policy) const
{
    Time now = m_clock.now();
    double rate = policy ? policy->warmUpRate : 0;
    bool isCold = registration.isCold() || now < m_coldUntil;
    if (!isCold || rate == 0)
        return false; // without a warm-up rate only the load limits new flows
    // One less than the budget, since a flow of the previous window may still be on its way to the target.
    double budget = rate * m_options.warmUpFactor + m_options.warmUpSlack - 1;
    auto firstRecent = std::partition_point(
        m_recentSyns.begin(), m_recentSyns.end(), [&](Time syn) { return now - syn > warmUpRateWindow; });
    return double(m_recentSyns.end() - firstRecent) + 1 > std::max(1.0, budget);
}

void FlowAdmission::onSynForwarded(const FlowId& flow)
{
    Time now = m_clock.now();
    if (m_unansweredSyns.size() < maxUnansweredSyns)
        m_unansweredSyns.emplace_back(now, flow);
    while (!m_recentSyns.empty() && now - m_recentSyns.front() > warmUpRateWindow)
        m_recentSyns.pop_front();
    m_recentSyns.push_back(now);
}

void FlowAdmission::onFlowAnswered(const FlowId& flow)
{
    m_unansweredSyns.erase(std::remove_if(m_unansweredSyns.begin(), m_unansweredSyns.end(),
                               [&](const auto& offer) { return offer.second == flow; }),
        m_unansweredSyns.end());
}

std::vector<FlowId> FlowAdmission::onTick()
{
    Time now = m_clock.now();
    std::vector<FlowId> unanswered;
    while (!m_unansweredSyns.empty() && now - m_unansweredSyns.front().first > m_options.synTimeout) {
        ++m_consecutiveSynTimeouts;
        unanswered.push_back(m_unansweredSyns.front().second);
        m_unansweredSyns.pop_front();
    }
    return unanswered;
}

} // namespace cicadaward::steering
