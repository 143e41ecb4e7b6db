// Admission control for one target: a limit on open flows and a limit on requests in progress. Both start at the cold
// share of the capacity, grow with answers within the latency goal, and shrink at once on refusals, timeouts and
// errors.
//
//     TargetAdmission admission(clock, { 2000, 5, 0.1 });
//     admission.targetStarted(incarnation);
//     if (!admission.flows().tryAcquire())
//         refuse();
//     admission.flows().observe(Outcome::Completed, latency);
//     admission.flows().release();
//
// Health and load endpoints can lag or report wrong values. A load hint therefore only lowers a limit, and only while
// no answers within the goal arrive. Health and load reports never raise a limit.
#pragma once

#include "admission/adaptive_limit.h"
#include "core/ids.h"

namespace cicadaward {

struct TargetCapacity {
    uint32_t flows = 2000; // open flows when warm
    uint32_t slots = 1; // concurrent requests when warm
    double coldShare = 0.1; // in (0, 1]
    Duration minColdTime {}; // shortest time at the cold share after a start
};

class TargetAdmission {
public:
    TargetAdmission(const Clock& clock, const TargetCapacity& capacity, const AdaptiveLimitSettings& settings = {});

    // A new incarnation has no flows and no requests, and is cold. Equal or older incarnations change nothing.
    void targetStarted(Incarnation incarnation);

    // Sets the warm capacity of a new manifest. Limits above it are lowered.
    void setCapacity(const TargetCapacity& capacity);

    // Report of a health or load endpoint: the share of its capacity that the target says it can take, in [0, 1].
    void setLoadHint(double share);

    AdaptiveLimit& flows() { return m_flows; }
    AdaptiveLimit& work() { return m_work; }
    const AdaptiveLimit& flows() const { return m_flows; }
    const AdaptiveLimit& work() const { return m_work; }
    Incarnation incarnation() const { return m_incarnation; }

    // Records the outcome of a request in both limits: a target that fails requests can take fewer flows, too.
    void observeWork(Outcome outcome, Duration latency);

    // True if both limits are at the warm capacity.
    bool isWarm() const { return m_flows.isWarm() && m_work.isWarm(); }

private:
    Incarnation m_incarnation;
    AdaptiveLimit m_flows;
    AdaptiveLimit m_work;
};

} // namespace cicadaward
