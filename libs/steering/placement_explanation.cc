#include "steering/placement_explanation.h"

#include <algorithm>

namespace cicadaward::steering {

EntryExplanation EntrySteering::explain(const PlacementQuestion& question) const
{
    constexpr bool isOtherFlow = true;
    constexpr uint8_t originalSyn = 0;
    OfferPlan plan = planOffer(question.flow, isOtherFlow, originalSyn);
    EntryExplanation explanation;
    explanation.state = m_state;
    explanation.version = m_routes.version();
    explanation.isReady = isReady();
    explanation.decision = plan.decision;
    explanation.reason = plan.reason;
    if (!plan.route)
        return explanation;
    explanation.route = plan.route->name;
    explanation.service = plan.service;
    if (const ServicePolicy* policy = m_routes.policy(plan.service))
        explanation.serviceName = policy->name;
    explanation.shouldCompareLoad = plan.shouldCompareLoad;
    if (plan.decision == Decision::Offered)
        explanation.bulkAdmission = explainBulkAdmission(question.flow, *plan.route);
    auto cached = m_flows.find(question.flow);
    for (Endpoint agent : plan.members) {
        ExplainedMember member;
        member.agent = agent;
        if (const MemberRecord* record = m_members.find(agent)) {
            member.dataCentre = record->dataCentre;
            member.state = record->state;
        }
        member.isSuspected = m_members.isSuspect(agent);
        member.heldEarlierFlow = cached != m_flows.end() && cached->second.agent == agent;
        explanation.members.push_back(member);
    }
    std::vector<ExcludedMember> excluded = m_members.excludedFromNewFlows(plan.service, m_evacuated);
    explanation.excludedCount = excluded.size();
    excluded.resize(std::min(excluded.size(), maxExplainedExclusions));
    for (const ExcludedMember& member : excluded)
        explanation.excluded.push_back({ member.agent, member.reason });
    return explanation;
}

AgentExplanation AgentSteering::explain(
    const PlacementQuestion& question, ServiceKey service, StateIndex offeredBy) const
{
    OfferVerdict verdict = judgeOffer(question.flow, service == ServiceKey() ? ownService() : service, offeredBy);
    AgentExplanation explanation;
    explanation.state = m_state;
    explanation.version = m_routes.version();
    explanation.targetState = m_registration.state();
    if (const ServicePolicy* policy = m_routes.policy(ownService()))
        explanation.service = policy->name;
    explanation.refusal = verdict.refusal ? verdict.refusal : "";
    explanation.isOutdated = verdict.isOutdated;
    explanation.mayAcceptLater = verdict.mayAcceptLater;
    explanation.isEjected = verdict.isEjected;
    explanation.isTrial = verdict.isTrial;
    explanation.load = placementLoad(question.flow);
    explanation.loadUnit = loadUnitName(m_isByWork ? LoadUnit::HundredMicroseconds : LoadUnit::RequestsPer100Slots);
    explanation.openFlows = m_flows.openCount();
    explanation.waitingRequests = m_requests.queuedCount();
    const TargetFlow* known = m_flows.find(question.flow);
    explanation.hasEarlierFlow = known && !known->isOver();
    return explanation;
}

OfferVerdict AgentExplanation::verdict() const
{
    bool isTime = loadUnit == loadUnitName(LoadUnit::HundredMicroseconds);
    LoadUnit unit = isTime ? LoadUnit::HundredMicroseconds : LoadUnit::RequestsPer100Slots;
    return { refusal.empty() ? nullptr : refusal.c_str(), isOutdated, mayAcceptLater, isEjected, isTrial, load, unit };
}

namespace {

    // One visit of an offer that nobody sent. Returns the step, and changes the frame to what the next member gets.
    PlacementStep visit(
        Frame& frame, Endpoint member, const std::map<Endpoint, AgentExplanation>& answers, Endpoint& next)
    {
        auto answer = answers.find(member);
        if (answer == answers.end()) {
            next = advanceToNextMember(frame);
            return { member, false, OfferAction::PassOn, "no answer" };
        }
        removeRepeatedMember(frame);
        OfferStep step = takeOfferStep(frame, answer->second.verdict(), member);
        next = step.next;
        return { member, true, step.action, step.reason };
    }

} // namespace

// Ends: each step visits a further position of the frame, or ends the comparison, which happens once. A member is
// appended at its first visit only.
PlacementExplanation explainPlacement(
    const EntryExplanation& entry, const std::map<Endpoint, AgentExplanation>& answers)
{
    PlacementExplanation placement;
    placement.decision = entry.decision;
    placement.reason = entry.reason;
    if (entry.decision != Decision::Offered || entry.members.empty())
        return placement;
    if (entry.bulkAdmission && !entry.bulkAdmission->refusal.empty()) {
        placement.decision = Decision::Refused;
        placement.reason = entry.bulkAdmission->refusal;
        return placement;
    }
    std::vector<Endpoint> members;
    for (const ExplainedMember& member : entry.members)
        members.push_back(member.agent);
    Frame frame = makeOffer(members, entry.shouldCompareLoad);
    Endpoint member = members.front();
    while (frame.kind == FrameKind::Offer) {
        Endpoint next;
        placement.steps.push_back(visit(frame, member, answers, next));
        const PlacementStep& step = placement.steps.back();
        placement.isCertain = placement.isCertain && step.isAnswered;
        if (step.action == OfferAction::Accept || step.action == OfferAction::Deny) {
            bool isAccepted = step.action == OfferAction::Accept;
            placement.decision = isAccepted ? Decision::Accepted : Decision::Outdated;
            placement.member = isAccepted ? member : Endpoint();
            placement.reason = step.reason;
            return placement;
        }
        member = next;
    }
    if (answers.empty()) {
        placement.decision = Decision::Unready;
        placement.reason = "no member answered";
        return placement;
    }
    ReturnedOffer returned = decideReturnedOffer(frame, true);
    placement.decision = returned.decision;
    placement.reason = returned.reason;
    return placement;
}

} // namespace cicadaward::steering
