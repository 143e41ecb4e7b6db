// Targets of the simulation in fabric_simulation.h, and the reference model of what they may be given.
#include "steering/fabric_simulation.h"

#include <algorithm>
#include <cstring>

namespace cicadaward::steering {

using namespace std::chrono_literals;

namespace {

    // A flow is broken when this many consecutive packets, over at least this time, reach other targets and none
    // reaches its own.
    constexpr int maxMisdelivered = 3;
    constexpr Duration misdeliveryLimit = 2s;
    constexpr uint64_t maxBounceDelayMs = 500; // of a slow target
    constexpr uint16_t answerBytes = 30;
    constexpr uint32_t flowWindowBytes = 1 << 16; // more than a simulated flow sends
    constexpr Duration rememberedAfterEnd = 3s; // less than AgentOptions::closedRetention

    bool flipCoin(Random& random) { return random.below(2) == 0; }

} // namespace

// True when the caller's packet is one of the flow with this initial sequence number.
bool Fabric::isOf(const FlowPacket& packet, uint32_t callerIsn)
{
    return packet.sequence - callerIsn < flowWindowBytes;
}

bool Fabric::isOpenAt(size_t index, const Flow& flow) const
{
    auto found = m_targets[index].flows.find(flow.id.caller.port);
    return found != m_targets[index].flows.end() && found->second.isChosen && found->second.callerIsn == flow.callerIsn;
}

void Fabric::onPacketAtTarget(size_t index, std::vector<uint8_t> bytes)
{
    FlowPacket packet;
    std::memcpy(&packet, bytes.data(), sizeof(packet));
    uint16_t port = packet.flow.caller.port;
    auto found = m_flows.find(port);
    if (found == m_flows.end())
        return;
    Flow& flow = found->second;
    if (packet.syn) {
        onSynAtTarget(index, packet, flow);
        return;
    }
    bool isCurrent = isOf(packet, flow.callerIsn);
    if (isCurrent && flow.target == index && isOpenAt(index, flow)) {
        onOwnPacketAtTarget(index, packet, flow);
        return;
    }
    if (isCurrent)
        recordMisdelivery(port, flow);
    auto held = m_targets[index].flows.find(port);
    bool isHeld = held != m_targets[index].flows.end() && held->second.isChosen;
    if (!isHeld)
        bounce(index, packet);
    else if (isOf(packet, held->second.callerIsn))
        onEndAtTarget(index, packet);
}

void Fabric::onSynAtTarget(size_t index, const FlowPacket& syn, const Flow& flow)
{
    uint16_t port = syn.flow.caller.port;
    Target& target = m_targets[index];
    bool isCopy = !target.admittedSyns.emplace(port, syn.sequence).second;
    auto held = target.flows.find(port);
    bool isHeld = held != target.flows.end() && held->second.callerIsn == syn.sequence;
    if (!isCopy && !isHeld && !mayOpen(index, syn.flow))
        m_violation = "a new flow at a target that must not take it, port " + std::to_string(port);
    if (held == target.flows.end()) {
        takeFlow(index, syn);
        return;
    }
    if (!isHeld) {
        // No target gives up the flow that the caller has now for a late copy of an earlier SYN.
        bool isCurrent = flow.callerIsn == held->second.callerIsn && !flow.isOver();
        if (!isCurrent && m_random.below(3) == 0) {
            target.flows.erase(held);
            ++m_takenInPlace;
            takeFlow(index, syn);
        } else if (flipCoin(m_random)) {
            bounce(index, syn);
        }
        return;
    }
    FlowPacket answer = dataPacket(syn.flow, 0);
    answer.syn = true;
    answer.sequence = held->second.targetIsn;
    answer.acknowledged = syn.sequence + 1;
    sendFromTarget(index, answer);
}

void Fabric::takeFlow(size_t index, const FlowPacket& syn)
{
    uint16_t port = syn.flow.caller.port;
    Target& target = m_targets[index];
    auto ended = target.endedFlows.find(port);
    bool isKnownCopy = ended != target.endedFlows.end() && ended->second.callerIsn == syn.sequence
        && m_clock.now() - ended->second.ended < rememberedAfterEnd;
    if (isKnownCopy)
        m_violation = "a copy of the SYN of an ended flow opens a flow, port " + std::to_string(port);
    HeldFlow held;
    held.callerIsn = syn.sequence;
    held.targetIsn = static_cast<uint32_t>(m_random.next());
    held.answerEnd = held.targetIsn + 1;
    held.expected = held.callerIsn + 1;
    held.agentIncarnation = m_agents[index]->incarnation;
    target.flows[port] = held;
    FlowPacket answer = dataPacket(syn.flow, 0);
    answer.syn = true;
    answer.sequence = held.targetIsn;
    answer.acknowledged = syn.sequence + 1;
    sendFromTarget(index, answer);
}

void Fabric::onOwnPacketAtTarget(size_t index, const FlowPacket& packet, Flow& flow)
{
    ++m_delivered;
    flow.undeliveredInRow = 0;
    flow.misdelivered = 0;
    if (packet.fin || packet.reset) {
        onEndAtTarget(index, packet);
    } else if (packet.length > 0 && packet.sequence == flow.sequence) {
        flow.sequence += packet.length;
        m_targets[index].flows.at(flow.id.caller.port).expected = flow.sequence;
        onRequestAtTarget(index, flow);
    }
}

// Handles the caller's last packet. A target may keep a flow open that its caller has closed.
void Fabric::onEndAtTarget(size_t index, const FlowPacket& packet)
{
    uint16_t port = packet.flow.caller.port;
    Target& target = m_targets[index];
    HeldFlow held = target.flows.at(port);
    bool isOver = packet.reset || (packet.fin && (held.hasClosed || m_random.below(4) != 0));
    if (!isOver)
        return;
    target.flows.erase(port);
    if (held.agentIncarnation == m_agents[index]->incarnation)
        target.endedFlows[port] = { held.callerIsn, m_clock.now() };
    if (packet.reset || held.hasClosed)
        return;
    FlowPacket fin = dataPacket(packet.flow, 0);
    fin.fin = true;
    fin.sequence = held.answerEnd;
    fin.acknowledged = packet.sequence + 1;
    sendFromTarget(index, fin);
}

void Fabric::onRequestAtTarget(size_t index, Flow& flow)
{
    Target& target = m_targets[index];
    flow.hasOpenRequest = true;
    bool isFailing = target.failingUntil > m_clock.now();
    if (!isFailing) {
        m_answers.emplace(
            m_clock.now() + std::chrono::milliseconds(m_random.below(600)), Answer { flow.id, index, flow.callerIsn });
        return;
    }
    if (target.isHanging)
        return;
    target.flows.erase(flow.id.caller.port);
    ++m_resetByTargets;
    // An agent takes a reset of a flow that it does not know for a denial, so its caller may hear nothing.
    flow.lost = flow.lost || flow.isUnknownToAgent;
    FlowPacket reset;
    reset.flow = flow.id;
    reset.reset = reset.ack = true;
    reset.sequence = flow.acknowledged;
    reset.acknowledged = flow.sequence;
    sendFromTarget(index, reset);
}

// A packet that is queued at the agent of the flow's target counts as delivered.
void Fabric::recordQueuedRequest(size_t index, uint16_t port)
{
    ++m_requestsQueued;
    auto found = m_flows.find(port);
    if (found != m_flows.end() && found->second.target == index)
        found->second.undeliveredInRow = 0;
}

void Fabric::recordMisdelivery(uint16_t port, Flow& flow)
{
    if (flow.target == SIZE_MAX || flow.lost || flow.isOver() || flow.isCountedMisdelivered)
        return;
    flow.isCountedMisdelivered = true;
    if (flow.misdelivered++ == 0)
        flow.misdeliveredSince = m_clock.now();
    if (flow.misdelivered >= maxMisdelivered && m_clock.now() - flow.misdeliveredSince >= misdeliveryLimit)
        m_violation = "packets of flow " + std::to_string(port) + " reach other targets only";
}

void Fabric::bounce(size_t index, FlowPacket packet)
{
    m_targets[index].endedFlows.erase(packet.flow.caller.port);
    packet.bounced = true;
    if (m_targets[index].slowUntil <= m_clock.now()) {
        sendFromTarget(index, packet);
        return;
    }
    if (m_random.below(20) == 0)
        return;
    m_network.push({ m_clock.now() + std::chrono::milliseconds(m_random.below(maxBounceDelayMs)), ++m_order,
        m_options.entries + index, true, {}, FakePacketFormat::encode(packet) });
}

// A target answers although the caller has vanished.
void Fabric::sendDueAnswers()
{
    while (!m_answers.empty() && m_answers.begin()->first <= m_clock.now()) {
        Answer due = m_answers.begin()->second;
        m_answers.erase(m_answers.begin());
        uint16_t port = due.flow.caller.port;
        auto held = m_targets[due.target].flows.find(port);
        if (held == m_targets[due.target].flows.end() || held->second.callerIsn != due.callerIsn
            || held->second.hasClosed)
            continue;
        FlowPacket answer = dataPacket(due.flow, answerBytes);
        answer.sequence = held->second.answerEnd;
        held->second.answerEnd += answer.length;
        answer.acknowledged = held->second.expected;
        Flow& flow = m_flows[port];
        if (flow.callerIsn == due.callerIsn)
            flow.hasOpenRequest = flow.isUnknownToAgent = false;
        sendFromTarget(due.target, answer);
    }
}

void Fabric::sendFromTarget(size_t index, const FlowPacket& packet)
{
    std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
    if (isWorking(agentFault(index)))
        m_agents[index]->steering->onTargetPacket(bytes.data(), bytes.size());
    else
        m_network.push({ m_clock.now(), ++m_order, m_options.entries + index, true, {}, std::move(bytes) });
}

bool Fabric::mayOpen(size_t index, const FlowId& flow) const
{
    const Target& target = m_targets[index];
    bool isEvacuated = m_evacuated.count("dc-" + std::to_string(index % 3)) != 0;
    return !target.draining && !isEvacuated && mayHaveService(index, flow);
}

// A new flow is admitted by the newer of two states: that of the entry that offers it, and that of the target's agent.
bool Fabric::mayHaveService(size_t index, const FlowId& flow) const
{
    return std::any_of(m_states.begin(), m_states.end(), [&](const State& state) {
        const Route* route = state.routes.find(flow.service);
        return state.index >= m_agents[index]->state.index && route && route->takesNewFlows(m_targets[index].service);
    });
}

} // namespace cicadaward::steering
