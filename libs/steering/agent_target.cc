// The part of AgentSteering at the target: it forwards packets and queued requests, takes the target's packets, and
// judges the target by the results of its requests.
#include "steering/agent_steering.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr double answerLimitQuantile = 0.99;
    constexpr Duration expiryInterval = std::chrono::seconds(1);
    // A longer time between two ticks means that this process was suspended; answers of the target may be waiting in
    // the socket, and are read within the same time.
    constexpr Duration maxTickInterval = std::chrono::milliseconds(150);

} // namespace

void AgentSteering::forwardQueuedRequests()
{
    while (std::optional<QueuedRequest> queued = m_requests.takeNext(m_flows)) {
        m_observer.onLatency(Latency::RequestWaited, m_clock.now() - queued->request.arrived);
        forwardToTarget(*queued);
    }
}

void AgentSteering::forwardToTarget(QueuedRequest& queued)
{
    for (QueuedPacket& packet : queued.packets)
        forwardToTarget(packet.frame, queued.request.flow, packet.bytes.data(), packet.bytes.size());
}

void AgentSteering::forwardToTarget(const Frame& frame, const FlowId& flow, uint8_t* data, size_t size)
{
    sendToTarget(recordForwarded(frame, flow), data, size);
}

uint32_t AgentSteering::recordForwarded(const Frame& frame, const FlowId& flow)
{
    uint32_t mark = ++m_lastMark;
    if (mark == 0) // 0 means that the packet has no mark
        mark = ++m_lastMark;
    ForwardedPacket& forwarded = m_forwardedPackets[mark % m_forwardedPackets.size()];
    forwarded.mark = mark;
    forwarded.flow = flow;
    forwarded.frame = frame;
    return mark;
}

void AgentSteering::sendToTarget(uint32_t mark, uint8_t* data, size_t size)
{
    m_format.prepareForTarget(data, mark);
    m_output.sendToTarget(data, size);
}

void AgentSteering::onTargetPacket(uint8_t* data, size_t size)
{
    std::optional<FlowPacket> packet = m_format.decode(data, size, Direction::FromTarget);
    if (!packet) {
        m_observer.onDecision(Decision::Malformed, {}, { {}, "malformed packet from the target" });
        return;
    }
    m_admission.onTargetActivity();
    if (packet->bounced) {
        onBounced(*packet, data, size);
        return;
    }
    if (packet->reset && denyTried(*packet))
        return;
    m_tried.forget(packet->flow);
    m_output.sendToCaller(packet->flow, data, size);
    TargetFlow* flow = m_flows.find(packet->flow);
    if (flow && flow->isOtherPending)
        m_admission.onFlowAnswered(packet->flow);
    if (flow && flow->isReplacedBy(*packet))
        flow = replaceByOther(packet->flow, *flow);
    if (flow && flow->isAnswerToPrevious(*packet))
        return;
    if (flow && flow->isContradictedBy(*packet)) {
        eraseFlow(packet->flow);
        flow = nullptr;
    }
    if (!flow && !packet->reset)
        flow = m_flows.add(packet->flow, m_clock.now());
    if (!flow) {
        m_hasUntrackedFlows = m_hasUntrackedFlows || !packet->reset;
        return;
    }
    recordResult(*packet, *flow);
    flow->lastPacket = m_clock.now();
    flow->targetEnded = flow->mayHaveEnded = false;
    flow->recordTargetData(*packet);
    flow->seenFromTarget = true;
    flow->recordTargetAck(*packet);
    if (packet->syn)
        flow->recordSynAck(*packet);
    else
        flow->established = true;
    if (!flow->answered) {
        flow->answered = true;
        m_admission.onFlowAnswered(packet->flow);
        if (packet->syn)
            m_observer.onLatency(Latency::FlowOpened, m_clock.now() - flow->opened);
    }
    sendLocated(packet->flow, *flow);
    if (packet->fin)
        onTargetClosed(*packet, *flow);
    if (packet->reset)
        eraseFlow(packet->flow);
    forwardQueuedRequests();
}

// No answer follows a close, unless the packet has overtaken it. A queued request is forwarded so that the target
// refuses it, which tells the caller at once.
void AgentSteering::onTargetClosed(const FlowPacket& packet, TargetFlow& flow)
{
    m_flows.markClosed(flow, &TargetFlow::targetClosed);
    bool isAnswerOnItsWay = flow.isRequestInFlight && flow.hasOvertakenData(packet);
    if (isAnswerOnItsWay)
        return;
    if (std::optional<QueuedRequest> queued = m_requests.cancel(packet.flow, flow))
        forwardToTarget(*queued);
}

// Records the answer to the request in flight, or its failure. An answer after the timeout is of no use to the caller
// and does not show that the target works. The end of an idle flow is no failure, and neither is anything that a
// draining target does.
void AgentSteering::recordResult(const FlowPacket& packet, TargetFlow& flow)
{
    Duration serviceTime = m_clock.now() - flow.serviceStart;
    if (packet.length > 0 && flow.isRequestInFlight) {
        m_observer.onLatency(Latency::RequestAnswered, serviceTime);
        m_outliers.onAnswered(serviceTime);
        recordUnsafeReuse(packet.flow, flow);
        m_requests.finish(packet.flow, flow);
        return;
    }
    if (packet.length > 0 && flow.isBodyArriving) {
        m_requests.finish(packet.flow, flow);
        return;
    }
    if (packet.length > 0 && flow.isRequestUnanswered) {
        if (serviceTime <= requestPolicyOf(packet.flow).timeout) {
            m_outliers.onAnsweredLate(serviceTime);
            m_requests.onAnsweredLate(packet.flow, serviceTime);
        }
        flow.isRequestUnanswered = false;
        return;
    }
    bool isSynRefused = packet.reset && flow.synForwarded && !flow.answered;
    bool isRequestCut
        = (flow.isRequestInFlight || flow.isBodyArriving) && !flow.isClosing() && flow.isEndWithoutAnswer(packet);
    if (m_registration.state() != TargetState::Ready || !(isSynRefused || isRequestCut))
        return;
    m_outliers.onFailed(packet.reset ? TargetFailure::Reset : TargetFailure::Closed, packet.flow.caller.address);
}

// A target may bounce a copy of the SYN of a flow that it holds, for example when it is full, and a packet of an
// earlier flow between the same ends that was forwarded before the SYN. Neither says that it does not hold the flow.
bool AgentSteering::isHeldDespiteBounce(const TargetFlow& flow, const FlowPacket& packet)
{
    bool isEarlier = flow.synMark != 0 && packet.mark != 0 && static_cast<int32_t>(packet.mark - flow.synMark) < 0;
    return isEarlier || (packet.syn && flow.answered);
}

// Bounced packets prove that the target has lost a flow only when the target held it: its packets were seen, and the
// caller's packet acknowledges them.
bool AgentSteering::hasTargetLost(const TargetFlow& flow, const FlowPacket& packet) const
{
    bool mayHaveEnded = flow.mayHaveEnded || (flow.established && m_registration.isContested());
    return mayHaveEnded && !packet.syn && flow.isAckOfAnswer(packet);
}

void AgentSteering::onFlowLost(TargetFlow& flow, const FlowPacket& packet)
{
    m_requests.cancel(packet.flow, flow);
    bool wasPresent = flow.established;
    flow.mayHaveEnded = flow.established = false;
    flow.targetEnded = true;
    if (!wasPresent)
        m_registration.onEarlierFlowsLost();
    else if (m_registration.onFlowsLost())
        onNewStart(true);
    if (m_registration.hasEarlierStartEnded())
        m_hasUntrackedFlows = false;
    if (packet.reset)
        return;
    std::vector<uint8_t> reset = m_format.reset(packet.flow, packet.acknowledged);
    m_output.sendToCaller(packet.flow, reset.data(), reset.size());
    m_observer.onDecision(Decision::Reset, packet.flow, { {}, "its target has ended", m_routes.version() });
}

void AgentSteering::onBounced(const FlowPacket& packet, uint8_t* data, size_t size)
{
    TargetFlow* flow = m_flows.find(packet.flow);
    bool isOtherSyn = flow && packet.syn && flow->isOtherPending && packet.sequence == flow->otherIsn;
    if (isOtherSyn) {
        flow->isOtherPending = false;
        m_admission.onFlowAnswered(packet.flow);
        passOnBounced(packet, data, size);
        return;
    }
    if (flow && flow->isOther(packet)) { // it says nothing about the known flow
        passOnBounced(packet, data, size);
        return;
    }
    if (flow && isHeldDespiteBounce(*flow, packet)) {
        m_observer.onDecision(Decision::NotHeld, packet.flow, { {}, "bounced, but its flow is held" });
        return;
    }
    if (flow && hasTargetLost(*flow, packet)) {
        onFlowLost(*flow, packet);
        forwardQueuedRequests();
        return;
    }
    eraseFlow(packet.flow);
    forwardQueuedRequests();
    passOnBounced(packet, data, size);
}

void AgentSteering::passOnBounced(const FlowPacket& packet, uint8_t* data, size_t size)
{
    const ForwardedPacket& forwarded = m_forwardedPackets[packet.mark % m_forwardedPackets.size()];
    if (packet.mark == 0 || forwarded.mark != packet.mark || !(forwarded.flow == packet.flow)) {
        m_observer.onDecision(Decision::NotHeld, packet.flow, { {}, "bounced with an unknown mark" });
        return;
    }
    if (!packet.syn && !m_flows.find(packet.flow))
        m_tried.deny(packet.flow, packet.sequence, m_clock.now());
    Frame frame = forwarded.frame;
    m_format.prepareForTarget(data, 0);
    passOn(frame, packet, "bounced", data, size);
}

// A target that remembers an earlier flow between the same ends resets packets that it does not hold. If it has ended
// the flow itself, the caller gets no reset here but from the entry, when all members have denied the flow.
bool AgentSteering::denyTried(const FlowPacket& reset)
{
    TargetFlow* flow = m_flows.find(reset.flow);
    if (!flow || flow->answered || flow->synForwarded || flow->isOtherPending)
        return false;
    m_observer.onDecision(
        Decision::NotHeld, reset.flow, { {}, "reset by a target that was asked", m_routes.version() });
    eraseFlow(reset.flow);
    if (std::optional<TriedPacket> tried = m_tried.take(reset.flow)) {
        m_tried.deny(reset.flow, tried->sequence, m_clock.now());
        std::optional<FlowPacket> packet
            = m_format.decode(tried->bytes.data(), tried->bytes.size(), Direction::FromCaller);
        if (packet)
            passOn(tried->frame, *packet, "reset by its target", tried->bytes.data(), tried->bytes.size());
    }
    forwardQueuedRequests();
    return true;
}

void AgentSteering::sendLocated(const FlowId& id, TargetFlow& flow)
{
    if (flow.entryToNotify.port == 0)
        return;
    Frame frame;
    frame.kind = FrameKind::Located;
    encodeFrame(frame, nullptr, 0, m_frameBuffer);
    encodeFlow(id, m_frameBuffer);
    m_output.sendFrame(flow.entryToNotify, m_frameBuffer);
    flow.entryToNotify = {};
}

void AgentSteering::eraseFlow(const FlowId& id)
{
    TargetFlow* flow = m_flows.find(id);
    if (!flow)
        return;
    m_requests.cancel(id, *flow);
    m_admission.onFlowAnswered(id);
    m_flows.erase(id);
}

void AgentSteering::onTick()
{
    if (m_registration.onTick())
        onNewStart(true);
    detectUnanswered();
    m_requests.measureOpenFlows(m_flows.openCount());
    if (m_clock.now() - m_lastExpiry >= expiryInterval)
        expire();
    forwardQueuedRequests();
}

void AgentSteering::detectUnanswered()
{
    Time now = m_clock.now();
    if (now - m_lastTick > maxTickInterval)
        m_pausedUntil = now + maxTickInterval;
    bool hasTarget = m_registration.state() == TargetState::Ready || m_registration.state() == TargetState::Draining;
    if (hasTarget)
        m_observed += std::min(now - m_lastTick, maxTickInterval);
    m_lastTick = now;
    bool wasPaused = now < m_pausedUntil;
    bool isDetecting = !wasPaused && m_registration.state() == TargetState::Ready;
    for (const FlowId& flow : m_admission.onTick()) {
        if (isDetecting)
            m_outliers.onFailed(TargetFailure::SynUnanswered, flow.caller.address);
    }
    auto limitOf = [&](const FlowId& id) {
        Duration limit = wasPaused ? Duration::max() : answerLimitOf(id.service).value_or(Duration::max());
        return std::min(limit, requestPolicyOf(id).timeout);
    };
    m_requests.expireUnanswered(m_flows, limitOf, [&](const FlowId& id, const TargetFlow& flow) {
        if (isDetecting && !flow.isClosing())
            m_outliers.onFailed(TargetFailure::Unanswered, id.caller.address);
    });
}

std::optional<Duration> AgentSteering::answerLimitOf(Endpoint route) const
{
    if (!m_isByWork)
        return m_outliers.answerLimit();
    const CostModel& costs = m_requests.costs();
    return OutlierDetector::answerLimit(costs.quantile(route, answerLimitQuantile), costs.slowest(route));
}

std::optional<Duration> AgentSteering::answerLimit() const
{
    if (!m_isByWork)
        return m_outliers.answerLimit();
    std::optional<Duration> longest;
    m_requests.costs().forEachRoute([&](Endpoint route) { longest = std::max(longest, answerLimitOf(route)); });
    return longest;
}

void AgentSteering::expire()
{
    m_lastExpiry = m_clock.now();
    m_flows.expire(m_lastExpiry, flowIdleLimit(), m_options.closedRetention,
        [this](const FlowId& id, TargetFlow& flow) { m_requests.cancel(id, flow); });
}

} // namespace cicadaward::steering
