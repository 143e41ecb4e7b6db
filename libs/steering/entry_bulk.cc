// The part of EntrySteering that holds back new flows with bulk requests while the link is busy, see BulkAdmission.
#include "steering/placement_explanation.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr const char* waitingReason = "link is busy with bulk transfers";
    constexpr const char* refusedReason = "bulk transfers would wait too long";

} // namespace

bool EntrySteering::isBulkFlow(const FlowId& flow) const
{
    const Route* route = m_routes.find(flow.service);
    return route && route->hasBulkRequests;
}

// Returns true when the SYN is to be offered now.
bool EntrySteering::admitBulk(const FlowPacket& packet, const uint8_t* data, size_t size)
{
    const Route* route = m_bulk.hasLimit() ? m_routes.find(packet.flow.service) : nullptr;
    if (!route || !route->hasBulkRequests)
        return true;
    auto found = m_flows.find(packet.flow);
    if (found != m_flows.end() && found->second.hasCallerIsn && found->second.callerIsn == packet.sequence)
        return true; // a member may have the flow
    switch (m_bulk.onSyn(packet, route->objective, data, size)) {
    case BulkAdmission::Verdict::Offer:
        return true;
    case BulkAdmission::Verdict::Wait:
        m_observer.onDecision(Decision::Waiting, packet.flow, { {}, waitingReason, m_routes.version(), 0, m_state });
        return false;
    case BulkAdmission::Verdict::Refuse:
        refuseBulk(packet.flow);
        return false;
    case BulkAdmission::Verdict::Drop:
        break;
    }
    return false;
}

std::optional<BulkAdmissionAnswer> EntrySteering::explainBulkAdmission(const FlowId& flow, const Route& route) const
{
    if (!m_bulk.hasLimit() || !route.hasBulkRequests)
        return std::nullopt;
    FlowPacket syn;
    syn.flow = flow;
    syn.syn = true;
    BulkAdmission::Verdict verdict = m_bulk.verdict(syn, route.objective);
    BulkAdmissionAnswer answer;
    if (verdict == BulkAdmission::Verdict::Refuse)
        answer.refusal = refusedReason;
    if (verdict == BulkAdmission::Verdict::Wait)
        answer.wait = std::max<Duration>(m_bulk.expectedWait(route.objective), std::chrono::milliseconds(1));
    return answer;
}

void EntrySteering::refuseBulk(const FlowId& flow)
{
    m_observer.onDecision(Decision::Refused, flow, { {}, refusedReason, m_routes.version(), 0, m_state });
    m_output.sendToCaller(flow, m_format.reset(flow, 0));
}

void EntrySteering::recordTraffic(const FlowPacket& packet, size_t size, bool isClosing)
{
    if (!m_bulk.hasLimit())
        return;
    if (!isBulkFlow(packet.flow))
        m_bulk.onOtherTraffic(size);
    else if (isClosing)
        m_bulk.onEnded(packet.flow);
    else
        m_bulk.onPacket(packet.flow);
}

void EntrySteering::offer(const WaitingSyn& syn)
{
    if (std::optional<FlowPacket> packet = m_format.decode(syn.bytes.data(), syn.bytes.size(), Direction::FromCaller))
        offer(*packet, syn.arrived, syn.bytes.data(), syn.bytes.size());
}

// A SYN that no member gets is not counted as active, so the next one follows at once.
void EntrySteering::offerAdmittedBulk()
{
    while (std::optional<WaitingSyn> syn = m_bulk.takeAdmitted())
        offer(*syn);
}

void EntrySteering::updateBulkRoutes()
{
    for (const WaitingSyn& syn : m_bulk.onRoutesChanged([this](const FlowId& flow) { return isBulkFlow(flow); }))
        offer(syn);
}

void EntrySteering::tickBulk()
{
    if (!m_bulk.hasLimit())
        return;
    for (const WaitingSyn& syn : m_bulk.onTick())
        refuseBulk(syn.flow);
    offerAdmittedBulk();
    m_searches.setLinkBusy(m_bulk.isLinkBusy());
}

} // namespace cicadaward::steering
