// Lets as many requests to a target as it has slots; the others wait in a RequestQueue.
//
// A request begins with data of the caller that the target does not have yet and ends with the first data of the
// answer. The count must not drift: a slot that is lost to a request without an answer would delay all others. So a
// request also ends when either end closes the flow, when the target does not hold the flow, and after its timeout; and
// only flows that the target has shown to hold are counted.
//
//     if (gate.hold(flow, terms, frame, packet, data, size))
//         return; // it waits
//     give(frame, data, size);
//     ...
//     gate.finish(flow); // the answer has begun
//     while (std::optional<QueuedRequest> next = gate.takeNext(flows))
//         give(*next);
#pragma once

#include "steering/request_queue.h"
#include "steering/target_flows.h"
#include "steering/work_meter.h"

#include <functional>
#include <optional>

namespace cicadaward::steering {

// What a route says of its requests.
struct RequestPolicy {
    Duration objective {}; // latency objective; 0: none
    Duration timeout {}; // callers wait no longer
    uint32_t priority = 0; // 0 is served first
};

class RequestGate {
public:
    RequestGate(RequestQueueOptions options, const Clock& clock)
        : m_clock(clock)
        , m_workMeter(clock)
        , m_queue(options, clock)
    {
    }

    // Requests that the target works on at once; 0: not known, nothing waits.
    void setSlots(unsigned slots) { m_slots = slots; }
    // Takes note of a packet with data. True when its request waits, and the packet with it.
    bool queueIfBusy(
        TargetFlow&, const RequestPolicy&, const Frame&, const FlowPacket&, const uint8_t* data, size_t size);
    // The request that goes to the target now, if any waits and a slot is free, or one that has waited for long.
    std::optional<QueuedRequest> takeNext(TargetFlows&);
    // The flow's request when entries search for the flow and it has waited for long: it goes to the target.
    std::optional<QueuedRequest> takeSearched(const FlowId&, TargetFlow&);
    // The answer has begun.
    void finish(TargetFlow&);
    // The flow's request ends without an answer; returns what was held of it.
    std::optional<QueuedRequest> cancel(const FlowId&, TargetFlow&);
    // Ends requests that have no answer after their timeouts: their callers have left.
    void expireTimedOut(TargetFlows&, const std::function<Duration(const FlowId&)>& timeoutOf);
    void reset(); // the target has started again

    // A new request would wait for half of this time or more.
    bool isOverloaded(Duration timeout) const;
    // Requests in hand and waiting, and the mean in hand over the last second.
    double load() const { return m_workMeter.inFlight() + double(m_queue.size()) + m_workMeter.meanInFlight(); }
    size_t queuedCount() const { return m_queue.size(); }

private:
    bool hasFreeSlot() const { return m_slots == 0 || m_workMeter.inFlight() < m_slots; }
    void start(TargetFlow&);

    const Clock& m_clock;
    WorkMeter m_workMeter;
    RequestQueue m_queue;
    unsigned m_slots = 0;
};

} // namespace cicadaward::steering
