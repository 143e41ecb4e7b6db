#include "steering/request_gate.h"

namespace cicadaward::steering {

bool RequestGate::queueIfBusy(TargetFlow& flow, const RequestPolicy& policy, const Frame& frame,
    const FlowPacket& packet, const uint8_t* data, size_t size)
{
    bool isNew = flow.recordCallerData(packet);
    if (flow.isRequestQueued)
        return m_queue.addPacket(packet.flow, packet.sequence, frame, data, size);
    // Another target may hold a flow from which this target has not sent a packet. Its packets must not be delayed, and
    // its request takes no slot.
    if (!isNew || flow.isRequestInFlight || !flow.seenFromTarget || flow.isClosing())
        return false;
    if (hasFreeSlot()) {
        start(flow);
        return false;
    }
    Time now = m_clock.now();
    Time requestStart = flow.established ? now : flow.connectStart; // the first request began with the connect
    Duration objective = policy.objective > Duration::zero() ? policy.objective : policy.timeout;
    RequestInfo request { packet.flow, now, requestStart + objective, requestStart + policy.timeout, policy.priority };
    if (!m_queue.add(request) || !m_queue.addPacket(packet.flow, packet.sequence, frame, data, size)) {
        m_queue.remove(packet.flow);
        start(flow);
        return false;
    }
    flow.isRequestQueued = true;
    return true;
}

std::optional<QueuedRequest> RequestGate::takeNext(TargetFlows& flows)
{
    while (m_queue.size() > 0) {
        std::optional<QueuedRequest> queued
            = hasFreeSlot() ? m_queue.takeNext(m_workMeter.meanServiceTime()) : m_queue.takeOverdue();
        if (!queued)
            return std::nullopt;
        TargetFlow* flow = flows.find(queued->request.flow);
        if (!flow || !flow->isRequestQueued)
            continue;
        flow->isRequestQueued = false;
        start(*flow);
        return queued;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> RequestGate::takeSearched(const FlowId& id, TargetFlow& flow)
{
    if (!flow.isRequestQueued || !m_queue.hasExceededSearchedWait(id))
        return std::nullopt;
    std::optional<QueuedRequest> queued = m_queue.remove(id);
    flow.isRequestQueued = false;
    start(flow);
    return queued;
}

void RequestGate::start(TargetFlow& flow)
{
    flow.isRequestInFlight = true;
    flow.requestForwarded = m_clock.now();
    m_workMeter.onStarted();
}

void RequestGate::finish(TargetFlow& flow)
{
    if (!flow.isRequestInFlight)
        return;
    flow.isRequestInFlight = false;
    m_workMeter.onFinished(m_clock.now() - flow.requestForwarded);
}

std::optional<QueuedRequest> RequestGate::cancel(const FlowId& id, TargetFlow& flow)
{
    if (flow.isRequestInFlight)
        m_workMeter.onCancelled();
    flow.isRequestInFlight = false;
    flow.isRequestQueued = false;
    return m_queue.remove(id);
}

void RequestGate::expireTimedOut(TargetFlows& flows, const std::function<Duration(const FlowId&)>& timeoutOf)
{
    Time now = m_clock.now();
    flows.forEach([&](const FlowId& id, TargetFlow& flow) {
        if (!flow.isRequestInFlight || now - flow.requestForwarded <= timeoutOf(id))
            return;
        flow.isRequestInFlight = false;
        m_workMeter.onCancelled();
    });
}

void RequestGate::reset()
{
    m_workMeter.reset();
    m_queue.clear();
}

bool RequestGate::isOverloaded(Duration timeout) const
{
    return !hasFreeSlot() && m_workMeter.meanServiceTime() * m_queue.size() / m_slots > timeout / 2;
}

} // namespace cicadaward::steering
