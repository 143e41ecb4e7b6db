// Callers of the simulation in fabric_simulation.h: they open flows, retransmit, end flows and use their ports again.
#include "steering/fabric_simulation.h"

#include <algorithm>
#include <cstring>

namespace cicadaward::steering {

using namespace std::chrono_literals;

namespace {

    // A flow is broken when more consecutive packets than this do not reach its target.
    constexpr int maxUndeliveredInRow = 12;
    constexpr uint16_t requestBytes = 20;
    constexpr uint8_t maxSynRetransmits = 2;
    constexpr uint64_t maxLatenessMs = 2000; // of a late copy
    constexpr uint64_t synsPerLateCopy = 8;
    constexpr uint64_t packetsPerLateCopy = 40;
    constexpr uint64_t maxFlowAgeMs = 3000; // of the flows that callers end
    constexpr uint32_t resetWindowBytes = 76'800; // distance from the caller's last acknowledgement
    constexpr uint64_t minReopenPauseMs = 50;
    constexpr uint64_t maxReopenPauseMs = 10'000;

    // Short pauses are as frequent as long ones on a logarithmic scale.
    Duration reopenPause(Random& random)
    {
        uint64_t pauseMs = (minReopenPauseMs + random.below(minReopenPauseMs)) << random.below(8);
        return std::chrono::milliseconds(std::min(pauseMs, maxReopenPauseMs));
    }

} // namespace

void Fabric::sendFromCaller(const FlowPacket& packet)
{
    std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
    if (m_options.portReuse && m_random.below(packet.syn ? synsPerLateCopy : packetsPerLateCopy) == 0)
        m_lateCopies.emplace(m_clock.now() + std::chrono::milliseconds(m_random.below(maxLatenessMs)), bytes);
    sendFromCaller(bytes);
}

void Fabric::sendFromCaller(const std::vector<uint8_t>& bytes)
{
    size_t entry = m_random.below(m_options.entries);
    if (isWorking(m_faults[entry]))
        m_entries[entry]->steering->onCallerPacket(bytes.data(), bytes.size());
}

void Fabric::sendLateCopies()
{
    while (!m_lateCopies.empty() && m_lateCopies.begin()->first <= m_clock.now()) {
        std::vector<uint8_t> bytes = std::move(m_lateCopies.begin()->second);
        m_lateCopies.erase(m_lateCopies.begin());
        sendFromCaller(bytes);
    }
}

FlowPacket Fabric::callerPacket(const Flow& flow, uint16_t length) const
{
    FlowPacket packet = dataPacket(flow.id, length);
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    return packet;
}

FlowPacket Fabric::callerSyn(const Flow& flow) const
{
    FlowPacket syn = synPacket(flow.id, flow.synRetransmits);
    syn.sequence = flow.callerIsn;
    return syn;
}

void Fabric::openFlow() { startFlow(++m_lastPort, fabricAddresses[m_random.below(2)]); }

// Replaces the caller's earlier flow between the same ends.
void Fabric::startFlow(uint16_t port, Endpoint service)
{
    Flow& flow = m_flows[port];
    flow = {};
    flow.id = { { 0x64400001, port }, service };
    flow.callerIsn = static_cast<uint32_t>(m_random.next());
    flow.sequence = flow.callerIsn + 1;
    flow.nextPacket = m_clock.now() + 200ms;
    sendFromCaller(callerSyn(flow));
}

void Fabric::sendCallerPackets()
{
    for (auto& [port, flow] : m_flows) {
        if (m_options.portReuse && flow.isOver()) {
            reopen(flow);
            continue;
        }
        if (flow.endsAt && *flow.endsAt <= m_clock.now())
            end(flow);
        if (m_clock.now() < flow.nextPacket || flow.isOver())
            continue;
        if (flow.target == SIZE_MAX) {
            flow.nextPacket = m_clock.now() + 400ms;
            if (++flow.synRetransmits <= maxSynRetransmits)
                sendFromCaller(callerSyn(flow));
            else
                flow.isReset = true;
            continue;
        }
        flow.nextPacket = m_clock.now() + 200ms;
        flow.isCountedMisdelivered = false;
        if (!isWorking(agentFault(flow.target)) && !flow.lost) {
            flow.undeliveredInRow = 0;
            flow.misdelivered = 0;
        }
        if (++flow.undeliveredInRow > maxUndeliveredInRow && flow.lost)
            flow.isReset = true; // the caller gives up
        else if (flow.undeliveredInRow > maxUndeliveredInRow)
            m_violation = "flow " + std::to_string(port) + " no longer reaches its target";
        sendFromCaller(callerPacket(flow, flow.hasOpenRequest ? 0 : requestBytes));
    }
}

// The caller, the target, or both close the flow, the caller resets it, or it sends nothing any more. The packets may
// be lost.
void Fabric::end(Flow& flow)
{
    flow.hasEnded = true;
    FlowPacket last = callerPacket(flow, 0);
    uint64_t kind = m_random.below(5);
    bool isByTarget = kind == 0 || kind == 1;
    if (isByTarget && isOpenAt(flow.target, flow)) {
        HeldFlow& held = m_targets[flow.target].flows.at(flow.id.caller.port);
        held.hasClosed = true;
        FlowPacket fin = dataPacket(flow.id, 0);
        fin.fin = true;
        fin.sequence = held.answerEnd;
        fin.acknowledged = flow.sequence;
        sendFromTarget(flow.target, fin);
    }
    last.fin = kind == 1 || kind == 2;
    last.reset = kind == 3;
    if (last.fin || last.reset)
        sendFromCaller(last);
}

void Fabric::reopen(Flow& flow)
{
    if (!flow.reopensAt)
        flow.reopensAt = m_clock.now() + reopenPause(m_random);
    if (*flow.reopensAt > m_clock.now())
        return;
    ++m_reopened;
    startFlow(flow.id.caller.port, flow.id.service);
}

void Fabric::onPacketAtCaller(const FlowId& id, const std::vector<uint8_t>& bytes, size_t index)
{
    FlowPacket packet;
    std::memcpy(&packet, bytes.data(), sizeof(packet));
    auto found = m_flows.find(id.caller.port);
    if (found == m_flows.end())
        return;
    Flow& flow = found->second;
    // A reset that is due to a late packet of an earlier flow is no reset of this one.
    bool isInWindow = packet.sequence - flow.acknowledged + resetWindowBytes < 2 * resetWindowBytes;
    if (packet.reset && flow.target != SIZE_MAX && !isInWindow) {
        return;
    } else if (packet.reset) {
        bool held = flow.target != SIZE_MAX && isOpenAt(flow.target, flow) && !flow.hasEnded;
        if (held)
            m_violation = "open flow " + std::to_string(id.caller.port) + " was reset by "
                + (index == SIZE_MAX ? "an entry" : "the agent " + std::to_string(index));
        if (flow.lost && !flow.isReset)
            ++m_lostAndReset;
        flow.isReset = true;
    } else if (packet.syn && flow.target == SIZE_MAX && !flow.isOver() && packet.acknowledged == flow.callerIsn + 1) {
        onSynAckAtCaller(index, packet, flow);
    } else if (!packet.syn && packet.sequence == flow.acknowledged) {
        flow.acknowledged += packet.length;
    }
}

// The caller acknowledges the first SYN-ACK that it receives.
void Fabric::onSynAckAtCaller(size_t index, const FlowPacket& synAck, Flow& flow)
{
    flow.target = index;
    flow.acknowledged = synAck.sequence + 1;
    flow.nextPacket = m_clock.now();
    ++m_opened;
    auto held = m_targets[index].flows.find(flow.id.caller.port);
    bool isHeld = held != m_targets[index].flows.end() && held->second.callerIsn == flow.callerIsn;
    if (isHeld) {
        held->second.isChosen = true;
    } else { // the target has ended since
        flow.lost = true;
        ++m_lost;
    }
    if (m_options.portReuse && m_random.below(2) == 0)
        flow.endsAt = m_clock.now() + std::chrono::milliseconds(m_random.below(maxFlowAgeMs));
}

} // namespace cicadaward::steering
