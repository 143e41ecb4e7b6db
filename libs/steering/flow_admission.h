// Whether the target beside an agent may get a new flow now: the warm-up budget, targets that answer nothing, and the
// reasons that its registration gives. Decisions on load stand in RequestQueue and in the comparison of members.
//
//     if (const char* reason = admission.refusal(registration, policy))
//         return passOn(reason);
//     admission.offered(flow);
//
// It answers the load on a target that has just started or come back (a sliding one-second budget, in sum over all
// entries) and on one that has stopped without a word (after `maxConsecutiveSynTimeouts` SYNs without an answer).
#pragma once

#include "core/clock.h"
#include "steering/flow_packet.h"
#include "steering/route_table.h"
#include "steering/target_registration.h"

#include <deque>
#include <utility>

namespace cicadaward::steering {

struct FlowAdmissionOptions {
    // A target whose last heartbeat is older gets no new flow: it may have ended, and its address may have gone to a
    // target of another service that has not sent a heartbeat yet.
    Duration maxHeartbeatAge = std::chrono::milliseconds(1900);
    Duration synTimeout = std::chrono::milliseconds(250); // a target that has not answered a SYN by then is slow
    unsigned maxConsecutiveSynTimeouts = 2; // answers in a row that must be missing before the target counts as silent
    double warmUpFactor = 1; // a cold target gets rate x factor + slack new flows a second
    double warmUpSlack = 0;
};

class FlowAdmission {
public:
    FlowAdmission(FlowAdmissionOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    // Why the target must not get a new flow; null when it may. `policy` is its service's, or null.
    const char* refusalReason(const TargetRegistration&, const ServicePolicy* policy);
    void onSynForwarded(const FlowId&);
    void onFlowAnswered(const FlowId&);
    // The target has sent a packet or heartbeat.
    void onTargetActivity() { m_consecutiveSynTimeouts = 0; }
    // The data centre was out until now, and the target may be cold for this long.
    void startWarmUp(Duration warmUp) { m_coldUntil = m_clock.now() + warmUp; }
    // Counts offers that were not answered in time.
    void onTick();
    // The target has started again.
    void reset() { m_unansweredSyns.clear(); }
    size_t unansweredSyns() const { return m_unansweredSyns.size(); }

private:
    bool isWarmUpBudgetSpent(const TargetRegistration&, const ServicePolicy*);

    const FlowAdmissionOptions m_options;
    const Clock& m_clock;
    Time m_coldUntil; // after an evacuation
    std::deque<std::pair<Time, FlowId>>
        m_unansweredSyns; // SYNs at the target, oldest first; bounded by maxUnansweredSyns
    unsigned m_consecutiveSynTimeouts = 0; // since the last packet or heartbeat of the target
    std::deque<Time> m_recentSyns; // of the last second
};

} // namespace cicadaward::steering
