#include "steering/request_gate.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // The work that open flows will bring counts for this time, about that in which a new flow's request is served.
    constexpr std::chrono::duration<double> expectedUseHorizon { 0.2 };
    // Bounds the cost of a new flow at a target with many slots; the other requests count as the mean of these.
    constexpr size_t maxMeasuredRequests = 64;
    // A new flow brings its first request a round trip after it was accepted. One that has not brought it within this
    // time is taken as idle, so that callers cannot make a target look loaded with flows that they do not use.
    constexpr Duration firstRequestLimit = std::chrono::milliseconds(500);
    constexpr size_t maxAcceptedFlows = 256; // newest ones whose first request is awaited; older ones are dropped

    bool isFullSegment(const FlowPacket& packet) { return packet.length >= fullSegmentBytes; }

} // namespace

// Handles a full segment of a body.
bool RequestGate::takesNoSlot(TargetFlow& flow, const RequestPolicy& policy, const FlowPacket& packet, bool isNew)
{
    if (!policy.hasBodies || !isFullSegment(packet))
        return false;
    Time now = m_clock.now();
    if (flow.isRequestInFlight) {
        // The packet that ends the body has overtaken this one, or this one was lost before.
        uint32_t end = packet.sequence + packet.length;
        if (!isNew && now < flow.requestDeadline && flow.isUnacknowledged(end))
            flow.serviceStart = now;
        return true;
    }
    if (!isNew || flow.isRequestQueued || flow.isClosing())
        return true;
    bool isOfEarlierBody = flow.isBodyArriving && now <= flow.bodyStart + policy.timeout;
    if (!isOfEarlierBody) {
        flow.isBodyArriving = flow.isRequestUnanswered = false;
        flow.bodyStart = requestStartOf(flow);
    }
    flow.isBodyArriving = flow.hasRequest = true;
    return true;
}

// The first request of a flow began with the connect.
Time RequestGate::requestStartOf(const TargetFlow& flow) const
{
    if (flow.isBodyArriving)
        return flow.bodyStart;
    return flow.established ? m_clock.now() : flow.connectStart;
}

bool RequestGate::queueIfBusy(TargetFlow& flow, const RequestPolicy& policy, const Frame& frame,
    const FlowPacket& packet, const uint8_t* data, size_t size)
{
    bool isNew = flow.recordCallerData(packet);
    if (takesNoSlot(flow, policy, packet, isNew))
        return false;
    if (flow.isRequestQueued)
        return m_queue.addPacket(packet.flow, packet.sequence, frame, data, size);
    // Another target may hold a flow from which this target has not sent a packet. Its packets must not be delayed, and
    // its request takes no slot.
    if (!isNew || flow.isRequestInFlight || !flow.seenFromTarget || flow.isClosing())
        return false;
    Time now = m_clock.now();
    Time requestStart = requestStartOf(flow);
    flow.isBodyArriving = false;
    flow.hasRequest = true;
    flow.requestDeadline = policy.hasBodies ? requestStart + policy.timeout : Time::max();
    if (hasFreeSlot()) {
        start(packet.flow, flow);
        return false;
    }
    Duration objective = policy.objective > Duration::zero() ? policy.objective : policy.timeout;
    RequestInfo request { packet.flow, now, requestStart + objective, requestStart + policy.timeout, policy.priority };
    if (!m_queue.add(request) || !m_queue.addPacket(packet.flow, packet.sequence, frame, data, size)) {
        m_queue.remove(packet.flow);
        start(packet.flow, flow);
        return false;
    }
    flow.isRequestQueued = true;
    return true;
}

std::optional<QueuedRequest> RequestGate::takeFirst()
{
    if (!m_isByWork)
        return m_queue.takeNext(m_workMeter.meanServiceTime());
    return m_queue.takeNext([this](const RequestInfo& request) { return m_costs.mean(request.flow.service); });
}

std::optional<QueuedRequest> RequestGate::takeNext(TargetFlows& flows)
{
    while (m_queue.size() > 0) {
        std::optional<QueuedRequest> queued = hasFreeSlot() ? takeFirst() : m_queue.takeOverdue();
        if (!queued)
            return std::nullopt;
        TargetFlow* flow = flows.find(queued->request.flow);
        if (!flow || !flow->isRequestQueued)
            continue;
        flow->isRequestQueued = false;
        start(queued->request.flow, *flow);
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
    start(id, flow);
    return queued;
}

void RequestGate::start(const FlowId& id, TargetFlow& flow)
{
    flow.isRequestInFlight = true;
    flow.isRequestUnanswered = false;
    flow.requestForwarded = flow.serviceStart = m_clock.now();
    m_started.push_back({ id, flow.requestForwarded });
    m_workMeter.onStarted();
}

void RequestGate::finish(const FlowId& id, TargetFlow& flow)
{
    flow.isBodyArriving = false;
    if (!flow.isRequestInFlight)
        return;
    flow.isRequestInFlight = false;
    Duration serviceTime = m_clock.now() - flow.serviceStart;
    m_workMeter.onFinished(serviceTime);
    if (m_isByWork) {
        m_costs.onAnswered(id.service, serviceTime);
        if (flow.hasServedRequest)
            m_flowUse.onAnswered(serviceTime);
    }
    flow.hasServedRequest = true;
}

void RequestGate::onAnsweredLate(const FlowId& id, Duration serviceTime)
{
    if (m_isByWork)
        m_costs.onAnswered(id.service, serviceTime);
}

void RequestGate::setByWork(bool isByWork)
{
    if (isByWork && !m_isByWork)
        m_flowUse.reset();
    m_isByWork = isByWork;
}

void RequestGate::measureOpenFlows(size_t openFlows)
{
    if (m_isByWork)
        m_flowUse.measure(openFlows);
}

std::optional<QueuedRequest> RequestGate::cancel(const FlowId& id, TargetFlow& flow)
{
    if (flow.isRequestInFlight)
        m_workMeter.onCancelled();
    flow.isRequestInFlight = false;
    flow.isRequestQueued = false;
    flow.isBodyArriving = false;
    return m_queue.remove(id);
}

void RequestGate::expireUnanswered(TargetFlows& flows, const std::function<Duration(const FlowId&)>& limitOf,
    const std::function<void(const FlowId&, const TargetFlow&)>& onUnanswered)
{
    Time now = m_clock.now();
    auto hasEnded = [&](const StartedRequest& started) {
        TargetFlow* flow = flows.find(started.flow);
        if (!flow || !flow->isRequestInFlight || flow->requestForwarded != started.forwarded)
            return true;
        bool isUnanswered = now - flow->serviceStart > limitOf(started.flow);
        if (!isUnanswered && now <= flow->requestDeadline)
            return false;
        flow->isRequestInFlight = false;
        flow->isRequestUnanswered = isUnanswered;
        m_workMeter.onCancelled();
        if (isUnanswered)
            onUnanswered(started.flow, *flow);
        return true;
    };
    m_started.erase(std::remove_if(m_started.begin(), m_started.end(), hasEnded), m_started.end());
}

void RequestGate::reset()
{
    m_workMeter.reset();
    m_costs.onNewStart();
    m_flowUse.reset();
    m_accepted.clear();
    m_queue.clear();
    m_started.clear();
}

bool RequestGate::isOverloaded(Duration timeout) const
{
    if (m_isByWork)
        return !hasFreeSlot() && queuedWork() / m_slots > timeout / 2;
    return !hasFreeSlot() && m_workMeter.meanServiceTime() * m_queue.size() / m_slots > timeout / 2;
}

Duration RequestGate::queuedWork() const
{
    Duration work {};
    for (const auto& [route, count] : m_queue.countByRoute())
        work += count * m_costs.mean(route);
    return work;
}

Duration RequestGate::remainingWork(const TargetFlows& flows) const
{
    Time now = m_clock.now();
    Duration work {};
    size_t measured = 0;
    const size_t limit = std::min<size_t>(m_workMeter.inFlight(), maxMeasuredRequests);
    for (auto i = m_started.rbegin(); i != m_started.rend() && measured < limit; ++i) {
        const StartedRequest& started = *i;
        const TargetFlow* flow = flows.find(started.flow);
        if (!flow || !flow->isRequestInFlight || flow->requestForwarded != started.forwarded)
            continue;
        work += m_costs.remaining(started.flow.service, now - flow->serviceStart);
        ++measured;
    }
    return measured == 0 ? work : work * m_workMeter.inFlight() / static_cast<Duration::rep>(measured);
}

bool RequestGate::isAwaited(const AcceptedFlow& accepted, const TargetFlows& flows) const
{
    if (m_clock.now() - accepted.at > firstRequestLimit)
        return false;
    const TargetFlow* flow = flows.find(accepted.flow);
    return flow && !flow->hasRequest && !flow->isClosing();
}

void RequestGate::onFlowAccepted(const FlowId& flow, const TargetFlows& flows)
{
    if (!m_isByWork)
        return;
    m_accepted.erase(std::remove_if(m_accepted.begin(), m_accepted.end(),
                         [&](const AcceptedFlow& accepted) { return !isAwaited(accepted, flows); }),
        m_accepted.end());
    if (m_accepted.size() == maxAcceptedFlows)
        m_accepted.erase(m_accepted.begin());
    m_accepted.push_back({ flow, m_clock.now() });
}

Duration RequestGate::awaitedWork(const TargetFlows& flows) const
{
    Duration work {};
    for (const AcceptedFlow& accepted : m_accepted) {
        if (isAwaited(accepted, flows))
            work += m_costs.mean(accepted.flow.service);
    }
    return work;
}

Duration RequestGate::expectedWait(const TargetFlows& flows) const
{
    std::chrono::duration<double> further = m_flowUse.workPerFlow() * double(flows.openCount()) * expectedUseHorizon;
    Duration work = remainingWork(flows) + queuedWork() + awaitedWork(flows);
    return (work + std::chrono::duration_cast<Duration>(further)) / std::max(1U, m_slots);
}

} // namespace cicadaward::steering
