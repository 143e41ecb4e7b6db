// Decides whether the target beside an agent may receive a new flow now, from its registration, its warm-up budget and
// its answers to SYNs. Decisions by load are made elsewhere: RequestQueue and AgentSteering::onOffer().
//
//     if (const char* reason = admission.refusalReason(registration, policy))
//         return passOn(reason);
//     admission.onSynForwarded(flow);
//
// The warm-up budget limits new flows to a target that has just started or whose evacuation has ended. It counts the
// flows of all entries in a sliding window of about one second. A target that stopped without deregistering receives no
// new flow after `maxConsecutiveSynTimeouts` unanswered SYNs.
#pragma once

#include "core/clock.h"
#include "steering/flow_packet.h"
#include "steering/route_table.h"
#include "steering/target_registration.h"

#include <deque>
#include <utility>
#include <vector>

namespace cicadaward::steering {

struct FlowAdmissionOptions {
    // A target whose last heartbeat is older receives no new flow. It may have ended, and a target of another service
    // that has not sent a heartbeat yet may have taken over its address.
    Duration maxHeartbeatAge = std::chrono::milliseconds(1900);
    Duration synTimeout = std::chrono::milliseconds(250); // time to answer a SYN
    unsigned maxConsecutiveSynTimeouts = 2; // with this many the target receives no new flow
    // A cold target receives at most warmUpRate * warmUpFactor + warmUpSlack new flows per second.
    double warmUpFactor = 1;
    double warmUpSlack = 0;
};

class FlowAdmission {
public:
    FlowAdmission(FlowAdmissionOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    // Returns why the target must not receive a new flow, or null when it may. `policy` is that of the target's
    // service; null when there is none.
    const char* refusalReason(const TargetRegistration&, const ServicePolicy* policy) const;
    void onSynForwarded(const FlowId&);
    void onFlowAnswered(const FlowId&);
    // Call for each packet and heartbeat of the target.
    void onTargetActivity() { m_consecutiveSynTimeouts = 0; }
    // Call when the evacuation of the data centre ends. The target counts as cold for `warmUp`.
    void startWarmUp(Duration warmUp) { m_coldUntil = m_clock.now() + warmUp; }
    // Counts SYNs that were not answered within synTimeout, and returns their flows.
    std::vector<FlowId> onTick();
    // Call when the target has restarted.
    void reset() { m_unansweredSyns.clear(); }
    // SYNs that have no answer yet and, as of the last onTick(), had not exceeded synTimeout. At most
    // maxUnansweredSyns.
    size_t unansweredSyns() const { return m_unansweredSyns.size(); }

private:
    bool isWarmUpBudgetSpent(const TargetRegistration&, const ServicePolicy*) const;

    const FlowAdmissionOptions m_options;
    const Clock& m_clock;
    Time m_coldUntil; // end of the warm-up after an evacuation
    std::deque<std::pair<Time, FlowId>> m_unansweredSyns; // oldest first, at most maxUnansweredSyns
    unsigned m_consecutiveSynTimeouts = 0; // since the target's last packet or heartbeat
    std::deque<Time> m_recentSyns; // SYNs of the last warmUpRateWindow, oldest first; pruned with each SYN
};

} // namespace cicadaward::steering
