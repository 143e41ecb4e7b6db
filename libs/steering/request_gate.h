// Limits the requests in flight at a target to its slots; the others wait in a RequestQueue.
//
// A request begins with caller data that the target does not have yet and ends with the first data of the answer. The
// count of requests in flight must not drift: a slot that stays occupied by a request without an answer delays all
// others. A request therefore also ends when either end closes the flow, when the target does not hold the flow, and
// when it had no answer in time, and only flows from which the target has sent a packet are counted.
//
// On a route with bodies of many packets, a full segment means that the body goes on. It is forwarded and takes no
// slot, because a target cannot work on a request that a slow link has not delivered yet: uploads over slow links would
// hold the slots of targets that are idle. The first shorter packet ends the body and starts the request, whose service
// time and limit for an answer count from there; its objective and timeout count from the first packet. A packet that
// fills a gap of the body later restarts the service time. A body whose last segment is full never takes a slot, and
// its answer is not measured. A queued request holds only the packet that ends its body.
//
// Work is compared as a count of requests or, after setByWork(), as the time that CostModel expects. Nothing is learned
// before that, so that placement by requests costs no processor time for it.
//
//     if (gate.queueIfBusy(flow, policy, frame, packet, data, size))
//         return; // queued
//     forward(frame, data, size);
//     ...
//     gate.finish(id, flow); // the answer has begun
//     while (std::optional<QueuedRequest> next = gate.takeNext(flows))
//         forward(*next);
#pragma once

#include "steering/cost_model.h"
#include "steering/open_flow_use.h"
#include "steering/request_queue.h"
#include "steering/target_flows.h"
#include "steering/work_meter.h"

#include <functional>
#include <optional>
#include <vector>

namespace cicadaward::steering {

// Data in a full segment, the most that an end of a flow sends in one packet.
constexpr uint16_t fullSegmentBytes = 1200;

// What a route specifies for its requests.
struct RequestPolicy {
    Duration objective {}; // latency objective; 0: none
    Duration timeout {}; // callers give up after this time
    uint32_t priority = 0; // 0 is served first
    bool hasBodies = false; // requests carry bodies of many packets
};

class RequestGate {
public:
    RequestGate(RequestQueueOptions options, const Clock& clock)
        : m_clock(clock)
        , m_workMeter(clock)
        , m_costs(clock)
        , m_flowUse(clock)
        , m_queue(options, clock)
    {
    }

    // Sets the number of requests that the target processes concurrently. 0: unknown; no request is queued.
    void setSlots(unsigned slots) { m_slots = slots; }
    // True: the order of the queue and isOverloaded() follow the expected cost of each request, not one mean of all.
    void setByWork(bool isByWork);
    // Handles a packet with caller data. Returns true when its request is queued, with a copy of the packet; otherwise
    // the caller of this function forwards the packet.
    bool queueIfBusy(
        TargetFlow&, const RequestPolicy&, const Frame&, const FlowPacket&, const uint8_t* data, size_t size);
    // Removes and returns the queued request to forward now: the next one when a slot is free, else an overdue one.
    std::optional<QueuedRequest> takeNext(TargetFlows&);
    // Call when an entry searches for the flow. Removes and returns the flow's request, which is to be forwarded, when
    // it has waited for RequestQueueOptions::maxSearchedWait.
    std::optional<QueuedRequest> takeSearched(const FlowId&, TargetFlow&);
    // Call when the answer to the flow's request has begun. Ends a body whose last segment is full as well.
    void finish(const FlowId&, TargetFlow&);
    // Call when a request that expireUnanswered() has ended was answered after `serviceTime`.
    void onAnsweredLate(const FlowId&, Duration serviceTime);
    // Ends the flow's request without an answer. Returns the request when it was queued.
    std::optional<QueuedRequest> cancel(const FlowId&, TargetFlow&);
    // Ends requests in flight that had no answer for longer than `limitOf` their flow, and calls `onUnanswered` for
    // each. A request with a body also ends when its caller gives up, which is no failure of the target. Call at
    // intervals; costs O(requests forwarded since the last call, and in flight).
    void expireUnanswered(TargetFlows&, const std::function<Duration(const FlowId&)>& limitOf,
        const std::function<void(const FlowId&, const TargetFlow&)>& onUnanswered);
    void reset(); // call when the target has restarted

    // True when a new request is expected to wait for more than half of `timeout`.
    bool isOverloaded(Duration timeout) const;
    // Requests in flight, plus queued requests, plus the mean in flight over about the last second.
    double load() const { return m_workMeter.inFlight() + double(m_queue.size()) + m_workMeter.meanInFlight(); }
    // Call when a flow was given to the target. Costs O(flows whose first request is awaited).
    void onFlowAccepted(const FlowId&, const TargetFlows&);
    // Expected time until a further request would start: the remaining work of the requests in flight, the work of the
    // queued ones and of the first requests that new flows have not brought yet, and the work that the open flows are
    // expected to bring soon, over the slots. Costs O(requests forwarded since the last expireUnanswered(), and new
    // flows).
    Duration expectedWait(const TargetFlows&) const;
    // Call at intervals of at most about 100 ms.
    void measureOpenFlows(size_t openFlows);
    const CostModel& costs() const { return m_costs; }
    size_t queuedCount() const { return m_queue.size(); }

private:
    struct StartedRequest {
        FlowId flow;
        Time forwarded;
    };

    struct AcceptedFlow {
        FlowId flow;
        Time at;
    };

    Duration remainingWork(const TargetFlows&) const;
    Duration queuedWork() const;
    bool isAwaited(const AcceptedFlow&, const TargetFlows&) const;
    Duration awaitedWork(const TargetFlows&) const;
    std::optional<QueuedRequest> takeFirst();
    bool hasFreeSlot() const { return m_slots == 0 || m_workMeter.inFlight() < m_slots; }
    bool takesNoSlot(TargetFlow&, const RequestPolicy&, const FlowPacket&, bool isNew);
    Time requestStartOf(const TargetFlow&) const;
    void start(const FlowId&, TargetFlow&);

    const Clock& m_clock;
    WorkMeter m_workMeter;
    CostModel m_costs;
    OpenFlowUse m_flowUse;
    RequestQueue m_queue;
    std::vector<StartedRequest> m_started; // in flight, or ended since the last expireUnanswered()
    std::vector<AcceptedFlow> m_accepted; // newest last, at most maxAcceptedFlows
    unsigned m_slots = 0;
    bool m_isByWork = false;
};

} // namespace cicadaward::steering
