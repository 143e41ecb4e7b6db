// The part of EntrySteering that offers new flows. They are offered to members in rendezvous order; an offer that an
// agent with a newer state has denied is repeated when the entry has that state.
#include "steering/entry_steering.h"
#include "steering/offer_walk.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // Members that a new flow is offered to. With more, a caller would wait longer than its latency objective.
    constexpr size_t maxCandidates = 8;
    // Bounds the list of pending offers. Offers beyond it are not tracked, so they never count as unanswered.
    constexpr size_t maxPendingOffers = 4096;
    constexpr size_t maxOutdatedOffers = 1024; // further ones wait for the caller's next copy

} // namespace

void EntrySteering::onSyn(const FlowPacket& packet, const uint8_t* data, size_t size)
{
    if (admitBulk(packet, data, size))
        offer(packet, m_clock.now(), data, size);
}

EntrySteering::OfferPlan EntrySteering::planOffer(const FlowId& flow, bool isOtherFlow, uint8_t synRetransmission) const
{
    OfferPlan plan;
    plan.route = m_routes.find(flow.service);
    if (!plan.route) {
        plan.decision = Decision::NoRoute;
        plan.reason = "no route for the address";
        return plan;
    }
    uint64_t hash = flow.hash();
    plan.service = plan.route->selectService(hash);
    std::vector<Endpoint> candidates = m_members.candidatesForNewFlow(hash, plan.service, m_evacuated, maxCandidates);
    if (candidates.empty()) {
        bool isKnown = m_members.hasMembersOf(plan.service);
        plan.decision = isKnown ? Decision::Refused : Decision::Unready;
        plan.reason = isKnown ? "no ready member" : "no member is known yet";
        return plan;
    }
    // Each retransmission starts at the next member, so that one dead agent does not receive all of them.
    std::rotate(candidates.begin(), candidates.begin() + synRetransmission % candidates.size(), candidates.end());
    plan.shouldCompareLoad = synRetransmission == 0 && candidates.size() > 1;
    auto cached = m_flows.find(flow);
    Endpoint agent = cached == m_flows.end() ? Endpoint() : cached->second.agent;
    if (agent.port != 0 && !(isOtherFlow && isEvacuated(agent))) {
        plan.members.push_back(agent);
        plan.shouldCompareLoad = false;
        // A member that is listed once more is taken for the last resort, see isLastResort().
        candidates.erase(std::remove(candidates.begin(), candidates.end(), agent), candidates.end());
    }
    plan.members.insert(plan.members.end(), candidates.begin(), candidates.end());
    return plan;
}

// `arrived` is earlier than now for a SYN that is offered again.
void EntrySteering::offer(const FlowPacket& packet, Time arrived, const uint8_t* data, size_t size)
{
    auto known = m_flows.find(packet.flow);
    bool isOtherFlow
        = known == m_flows.end() || !known->second.hasCallerIsn || known->second.callerIsn != packet.sequence;
    OfferPlan plan = planOffer(packet.flow, isOtherFlow, packet.synRetransmission);
    if (plan.decision == Decision::Refused) {
        refuse(packet, plan.reason);
        return;
    }
    if (plan.decision != Decision::Offered) {
        m_observer.onDecision(plan.decision, packet.flow, { {}, plan.reason, m_routes.version() });
        return;
    }
    Frame frame = makeOffer(plan.members, plan.shouldCompareLoad);
    frame.service = plan.service;
    frame.state = m_state;
    frame.entry = m_options.self;
    CachedFlow* cachedFlow = findOrAddFlow(packet.flow);
    if (cachedFlow && isOtherFlow)
        startFlow(packet.flow, *cachedFlow, packet.sequence);
    if (cachedFlow && packet.synRetransmission == 0)
        cachedFlow->firstSynAt = arrived;
    if (cachedFlow)
        cachedFlow->offeredBy = m_state;
    m_searches.cancel(packet.flow);
    Endpoint second = frame.members.size() > 1 ? frame.members[1] : Endpoint();
    if (m_offers.size() < maxPendingOffers)
        m_offers.push_back(
            { packet.flow, frame.members[0], frame.shouldCompareLoad ? second : Endpoint(), m_clock.now() });
    send(frame.members[0], frame, data, size);
    if (plan.route->hasBulkRequests && m_bulk.hasLimit())
        m_bulk.onOffered(packet.flow);
    m_observer.onDecision(Decision::Offered, packet.flow, { frame.members[0], "", m_routes.version(), 0, m_state });
}

// No member of the list accepted the new flow.
void EntrySteering::onOfferReturned(Endpoint sender, const Frame& frame, const FlowPacket& packet)
{
    auto found = m_flows.find(packet.flow);
    bool isInTime = found != m_flows.end() && m_clock.now() - found->second.firstSynAt < m_options.refusalWindow;
    ReturnedOffer returned = decideReturnedOffer(frame, isInTime);
    if (returned.decision == Decision::Refused)
        refuse(packet, returned.reason);
    else
        m_observer.onDecision(returned.decision, packet.flow, { sender, returned.reason, m_routes.version() });
}

void EntrySteering::onOfferOutdated(
    Endpoint sender, const Frame& frame, const FlowPacket& packet, const uint8_t* data, size_t size)
{
    DecisionInputs inputs { sender, "a member has a newer state", m_routes.version(), 0, m_state, frame.state };
    if (frame.state == StateIndex() || frame.state > StateIndex(m_state.value() + maxStateLead)) {
        inputs.reason = "impossible state index";
        m_observer.onDecision(Decision::Malformed, packet.flow, inputs);
        return;
    }
    m_observer.onDecision(Decision::Outdated, packet.flow, inputs);
    // The agent has answered.
    m_offers.erase(std::remove_if(m_offers.begin(), m_offers.end(),
                       [&](const PendingOffer& offer) { return offer.flow == packet.flow; }),
        m_offers.end());
    if (frame.state > m_state)
        m_output.newerStateSeen(frame.state);
    auto found = m_flows.find(packet.flow);
    if (found == m_flows.end() || frame.state <= found->second.offeredBy)
        return; // each repetition needs a newer state, so their number is bounded
    Time arrived = packet.synRetransmission == 0 ? found->second.firstSynAt : m_clock.now();
    if (m_outdatedOffers.size() < maxOutdatedOffers)
        m_outdatedOffers.push_back({ frame.state, arrived, { data, data + size } });
    repeatOutdatedOffers();
}

// Offers the SYNs again whose state has arrived. Those that are too old are left to the caller's next copy.
void EntrySteering::repeatOutdatedOffers()
{
    std::deque<OutdatedOffer> offers;
    offers.swap(m_outdatedOffers);
    for (OutdatedOffer& outdated : offers) {
        if (m_clock.now() - outdated.arrived >= m_options.refusalWindow)
            continue;
        if (outdated.needed > m_state) {
            m_outdatedOffers.push_back(std::move(outdated));
            continue;
        }
        std::optional<FlowPacket> packet
            = m_format.decode(outdated.bytes.data(), outdated.bytes.size(), Direction::FromCaller);
        if (packet)
            offer(*packet, outdated.arrived, outdated.bytes.data(), outdated.bytes.size());
    }
}

// A reset ends the connection attempt immediately, so that the caller can try again within its latency objective. Only
// the original SYN is answered with a reset: a retransmission may race with a target that accepted an earlier copy.
void EntrySteering::refuse(const FlowPacket& packet, const char* reason)
{
    m_observer.onDecision(Decision::Refused, packet.flow, { {}, reason, m_routes.version() });
    if (packet.synRetransmission != 0 || !isReady())
        return;
    m_bulk.onNotAccepted(packet.flow);
    m_output.sendToCaller(packet.flow, m_format.reset(packet.flow, 0));
}

// The caller opens another flow between the same ends. What is known of the earlier one does not apply to it, but for
// the agent, which is asked first because the SYN may be a late copy.
void EntrySteering::startFlow(const FlowId& id, CachedFlow& cachedFlow, uint32_t callerIsn)
{
    if (cachedFlow.isAwaitingConfirmation) {
        m_deniedFlows.erase(std::remove_if(m_deniedFlows.begin(), m_deniedFlows.end(),
                                [&](const DeniedFlow& denied) { return denied.flow == id; }),
            m_deniedFlows.end());
    }
    Endpoint agent = cachedFlow.agent;
    cachedFlow = {};
    cachedFlow.agent = agent;
    cachedFlow.lastPacket = m_clock.now();
    cachedFlow.hasCallerIsn = true;
    cachedFlow.callerIsn = callerIsn;
}

bool EntrySteering::isEvacuated(Endpoint agent) const
{
    const MemberRecord* member = m_members.find(agent);
    return member && m_evacuated.count(member->dataCentre) != 0;
}

void EntrySteering::countUnansweredOffer(Endpoint agent)
{
    if (agent.port == 0)
        return;
    uint8_t& unansweredOffers = m_unansweredOffers[agent];
    if (++unansweredOffers < m_options.offersUntilSuspected)
        return;
    unansweredOffers = m_options.offersUntilSuspected;
    m_members.markSuspect(agent, m_options.minSuspicionDuration);
}

void EntrySteering::checkUnansweredOffers()
{
    Time now = m_clock.now();
    while (!m_offers.empty() && now - m_offers.front().sent >= m_options.offerTimeout) {
        const PendingOffer& offer = m_offers.front();
        auto found = m_flows.find(offer.flow);
        if (found == m_flows.end() || found->second.agent.port == 0) {
            countUnansweredOffer(offer.first);
            countUnansweredOffer(offer.second);
        }
        m_offers.pop_front();
    }
}

} // namespace cicadaward::steering
