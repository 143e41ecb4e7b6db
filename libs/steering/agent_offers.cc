// The part of AgentSteering that decides on new flows. A new flow goes to the less loaded of two members; a member that
// must not accept it passes it on to the next one.
#include "steering/agent_steering.h"

#include <algorithm>

namespace cicadaward::steering {

// Returns why the target must not receive a new flow now, or null when it may.
const char* AgentSteering::refusalReason(const FlowId& flow) const
{
    if (!m_hasState)
        return "no state from control yet";
    const ServicePolicy* policy
        = m_registration.lastHeartbeat() ? m_routes.policy(m_registration.lastHeartbeat()->service) : nullptr;
    if (const char* reason = m_admission.refusalReason(m_registration, policy))
        return reason;
    if (!isRegistered())
        return "target is not registered yet";
    if (m_evacuatedDataCentres.count(m_options.dataCentre) != 0)
        return "data centre is evacuated";
    if (m_flows.isFull() || (policy && policy->maxFlows != 0 && m_flows.size() >= policy->maxFlows))
        return "flow limit is reached";
    if (m_requests.isOverloaded(requestPolicyOf(flow).timeout))
        return "requests would wait too long";
    return nullptr;
}

// The routes of the newer state decide about a new flow. With weights, each service that gets new flows is allowed,
// because the entry's choice by older weights is also one by the newer ones.
bool AgentSteering::isOutdated(const FlowId& flow, ServiceKey service, StateIndex offeredBy) const
{
    if (offeredBy == StateIndex() || offeredBy >= m_state)
        return false;
    const Route* route = m_routes.find(flow.service);
    return !route || !route->takesNewFlows(service);
}

ServiceKey AgentSteering::ownService() const
{
    return m_registration.lastHeartbeat() ? m_registration.lastHeartbeat()->service : ServiceKey();
}

// Decides on the SYN of a flow that this agent does not know.
OfferVerdict AgentSteering::judgeOffer(const FlowId& flow, ServiceKey service, StateIndex offeredBy) const
{
    OfferVerdict verdict;
    verdict.isOutdated = isOutdated(flow, service, offeredBy);
    if (verdict.isOutdated)
        return verdict;
    bool isOfOtherTarget = ownService() != ServiceKey() && service != ownService();
    verdict.refusal = isOfOtherTarget ? "target runs another service" : refusalReason(flow);
    if (verdict.refusal) {
        verdict.mayAcceptLater
            = !m_hasState || m_registration.state() == TargetState::Unknown || isAwaitingRegistration();
        return verdict;
    }
    const Route* route = m_routes.find(flow.service);
    verdict.isEjected = !m_outliers.mayTakeFlow(route && route->isIdempotent);
    verdict.isTrial = m_outliers.state() == OutlierState::HalfOpen;
    verdict.load = placementLoad(flow);
    verdict.loadUnit = m_isByWork ? LoadUnit::HundredMicroseconds : LoadUnit::RequestsPer100Slots;
    return verdict;
}

// The frame goes straight back to the entry: the other members were chosen by the same state, and their agents may be
// behind too.
void AgentSteering::denyOutdated(Frame& frame, const FlowPacket& packet, const uint8_t* data, size_t size)
{
    m_observer.onDecision(Decision::Outdated, packet.flow,
        { frame.entry, "offered by an older state", m_routes.version(), 0, m_state, frame.state });
    frame.kind = FrameKind::Returned;
    frame.isOutdated = true;
    frame.mayAcceptLater = true; // entries of earlier versions know this one only, and wait for the next copy
    frame.state = m_state;
    encodeFrame(frame, data, size, m_frameBuffer);
    m_output.sendFrame(frame.entry, m_frameBuffer);
}

// Handles a SYN between the ends of a known flow that opens no new one. Returns false when it is to be decided like
// that of an unknown flow.
bool AgentSteering::handleCopy(
    TargetFlow& known, const Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    DecisionInputs inputs { frame.entry, "its flow has ended", m_routes.version(), 0, m_state, frame.state };
    if (known.isEndedCopy(packet)) {
        m_observer.onDecision(Decision::Repeated, packet.flow, inputs);
        return true;
    }
    if (known.isOther(packet))
        known.noteOther(packet);
    bool isOpened = known.synForwarded && known.isOpenedBy(packet);
    bool hasTarget = m_registration.state() != TargetState::Departed && !m_registration.isContested();
    if (!isOpened || known.targetEnded || !hasTarget)
        return false;
    known.entryToNotify = frame.entry;
    forwardToTarget(frame, packet.flow, data, size);
    inputs.reason = "its flow is known";
    m_observer.onDecision(Decision::Repeated, packet.flow, inputs);
    return true;
}

void AgentSteering::onOffer(Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    if (m_hasState && frame.state > StateIndex(m_state.value() + maxStateLead)) {
        m_observer.onDecision(Decision::Malformed, packet.flow,
            { frame.entry, "impossible state index", m_routes.version(), 0, m_state, frame.state });
        return;
    }
    removeRepeatedMember(frame);
    if (m_hasState && frame.state > m_state)
        m_output.newerStateSeen(frame.state);
    if (TargetFlow* known = m_flows.find(packet.flow); known && handleCopy(*known, frame, packet, data, size))
        return;
    OfferVerdict verdict = judgeOffer(packet.flow, frame.service, frame.state);
    OfferStep step = takeOfferStep(frame, verdict, m_options.self);
    m_comparedOffers += step.comparison == LoadComparison::Compared ? 1 : 0;
    m_incomparableOffers += step.comparison == LoadComparison::OtherUnit ? 1 : 0;
    switch (step.action) {
    case OfferAction::Accept:
        accept(frame, packet, verdict.load, data, size);
        return;
    case OfferAction::Deny:
        denyOutdated(frame, packet, data, size);
        return;
    case OfferAction::Compare:
    case OfferAction::PassOn:
        break;
    }
    encodeFrame(frame, data, size, m_frameBuffer);
    m_output.sendFrame(step.next, m_frameBuffer);
    DecisionInputs inputs { step.next, step.reason, m_routes.version(), 0, m_state, frame.state };
    if (step.action == OfferAction::Compare)
        inputs = { step.next, step.reason, m_routes.version(), verdict.load };
    m_observer.onDecision(Decision::PassedOn, packet.flow, inputs);
}

void AgentSteering::accept(Frame& frame, const FlowPacket& packet, uint16_t ownLoad, uint8_t* data, size_t size)
{
    Time now = m_clock.now();
    m_tried.forget(packet.flow);
    if (TargetFlow* known = m_flows.find(packet.flow)) {
        if (!known->isOver()) {
            offerBeside(*known, frame, packet, data, size);
            return;
        }
        m_requests.cancel(packet.flow, *known);
    }
    TargetFlow* flow = m_flows.replace(packet.flow, packet.sequence, now);
    if (!flow)
        return;
    flow->connectStart = now - packet.age;
    flow->entryToNotify = frame.entry;
    m_admission.onSynForwarded(packet.flow);
    m_outliers.onFlowAccepted();
    m_requests.onFlowAccepted(packet.flow, m_flows);
    frame.shouldCompareLoad = false;
    flow->synMark = recordForwarded(frame, packet.flow);
    sendToTarget(flow->synMark, data, size);
    m_observer.onDecision(
        Decision::Accepted, packet.flow, { frame.entry, "", m_routes.version(), ownLoad, m_state, frame.state });
}

// The known flow may still be open. The target decides: it answers the SYN if it holds the new flow in its place. Until
// it does, each copy of the SYN passes the checks again.
void AgentSteering::offerBeside(TargetFlow& known, Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    known.noteOther(packet);
    if (!known.isOtherPending) // otherwise a copy: it was counted
        m_admission.onSynForwarded(packet.flow);
    known.isOtherPending = true;
    frame.shouldCompareLoad = false;
    known.otherSynMark = recordForwarded(frame, packet.flow);
    known.otherForwarded = m_clock.now();
    known.entryToNotify = frame.entry;
    sendToTarget(known.otherSynMark, data, size);
    m_observer.onDecision(Decision::Accepted, packet.flow,
        { frame.entry, "beside a known flow", m_routes.version(), placementLoad(packet.flow), m_state, frame.state });
}

TargetFlow* AgentSteering::replaceByOther(const FlowId& id, TargetFlow& known)
{
    m_requests.cancel(id, known);
    uint32_t synMark = known.otherSynMark;
    Endpoint entryToNotify = known.entryToNotify;
    TargetFlow* flow = m_flows.replace(id, known.otherIsn, known.otherForwarded);
    flow->synMark = synMark;
    flow->entryToNotify = entryToNotify;
    return flow;
}

} // namespace cicadaward::steering
