#include "steering/tried_flows.h"

#include <algorithm>

namespace cicadaward::steering {

void TriedFlows::add(const FlowPacket& packet, const Frame& frame, const uint8_t* data, size_t size)
{
    take(packet.flow);
    if (m_packets.size() == maxPackets)
        m_packets.pop_front();
    m_packets.push_back({ packet.flow, packet.sequence, frame, { data, data + size } });
}

std::optional<TriedPacket> TriedFlows::take(const FlowId& flow)
{
    auto found = std::find_if(
        m_packets.begin(), m_packets.end(), [&](const TriedPacket& packet) { return packet.flow == flow; });
    if (found == m_packets.end())
        return std::nullopt;
    std::optional<TriedPacket> packet = std::move(*found);
    m_packets.erase(found);
    return packet;
}

void TriedFlows::deny(const FlowId& flow, uint32_t sequence, Time now)
{
    take(flow);
    dropOldDenials(now);
    m_denials[flow] = { sequence, now };
    m_order.push_back({ flow, now });
}

bool TriedFlows::isDenied(const FlowPacket& packet, Time now) const
{
    auto found = m_denials.find(packet.flow);
    return found != m_denials.end() && now - found->second.at <= retention
        && areSequencesNear(packet.sequence, found->second.sequence);
}

void TriedFlows::forget(const FlowId& flow)
{
    take(flow);
    m_denials.erase(flow);
}

void TriedFlows::dropOldDenials(Time now)
{
    while (!m_order.empty() && (m_order.size() >= maxDenials || now - m_order.front().at > retention)) {
        auto found = m_denials.find(m_order.front().flow);
        if (found != m_denials.end() && found->second.at == m_order.front().at)
            m_denials.erase(found);
        m_order.pop_front();
    }
}

} // namespace cicadaward::steering
