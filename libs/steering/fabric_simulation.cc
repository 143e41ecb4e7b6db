#include "steering/fabric_simulation.h"

#include <cstring>

namespace cicadaward::steering {

using namespace std::chrono_literals;

namespace {

    // No configuration routes the first address to the archive or the second one to the hub.
    const Endpoint addresses[] = { { 0xC6120001, 443 }, { 0xC6120002, 443 } };
    const ServiceKey servicesOf[][2]
        = { { fabricServices[0], fabricServices[1] }, { fabricServices[1], fabricServices[2] } };
    constexpr Duration stepLength = 5ms;
    // A flow is broken when more consecutive packets than this do not reach its target.
    constexpr int maxUndeliveredInRow = 12;
    constexpr uint16_t requestBytes = 20;
    // A flow is broken when this many consecutive packets, over at least this time, reach other targets and none
    // reaches its own.
    constexpr int maxMisdelivered = 3;
    constexpr Duration misdeliveryLimit = 2s;
    constexpr uint64_t maxBounceDelayMs = 500; // of a slow target

} // namespace

Fabric::Fabric(uint64_t seed, FabricOptions options)
    : m_options(options)
    , m_random(seed)
    , m_registerSteps(m_random.below(3) == 0 ? 100 : 4)
{
    for (size_t i = 0; i < m_options.entries; ++i)
        m_entries.push_back(std::make_unique<EntryNode>(*this, i));
    std::array<size_t, 3> left = m_options.targets;
    for (size_t i = 0; left != std::array<size_t, 3> {}; ++i) {
        if (left[i % 3] == 0)
            continue;
        --left[i % 3];
        m_agents.push_back(std::make_unique<AgentNode>(*this, m_targets.size()));
        m_targets.push_back({});
        m_targets.back().service = fabricServices[i % 3];
        startTarget(m_targets.size() - 1);
    }
    m_faults.resize(m_options.entries + agentCount());
    m_sentHeartbeats.resize(agentCount());
    m_heldHeartbeats.resize(agentCount());
    changeRoutes();
    for (size_t i = 0; i < agentCount(); ++i) {
        bool isAdded = m_options.processFaults && m_random.below(10) == 0;
        if (isAdded)
            kill(m_options.entries + i, std::chrono::milliseconds(m_random.below(4000)));
        else
            sendHeartbeat(i);
    }
}

std::string Fabric::run()
{
    for (int step = 0; step < 1500 && m_violation.empty(); ++step) {
        m_clock.advance(stepLength);
        if (m_random.below(4) == 0)
            openFlow();
        if (m_random.below(m_options.stepsPerFault) == 0)
            injectFault();
        if (m_options.processFaults && m_random.below(m_options.stepsPerFault) == 0)
            injectProcessFault();
        if (m_options.targetFaults && m_random.below(m_options.stepsPerFault) == 0)
            injectTargetFault();
        if (m_options.heartbeatFaults && m_random.below(m_options.stepsPerFault) == 0)
            injectHeartbeatFault();
        endFaults();
        giveHeldHeartbeats();
        deliver();
        sendDueAnswers();
        tick();
        if (step % 200 == 0) { // each second
            for (size_t i = 0; i < agentCount(); ++i)
                sendHeartbeat(i);
        }
        // An entry's state is at most 400 ms old, since its next poll updates it.
        if (step % 80 == 0)
            distributeState(true);
        announceMembers();
        updateRegister();
        deliverConfirmations();
        sendCallerPackets();
    }
    return m_violation;
}

void Fabric::send(size_t from, Endpoint to, std::vector<uint8_t> bytes)
{
    if (m_random.below(50) == 0)
        return;
    m_network.push({ m_clock.now() + std::chrono::milliseconds(m_random.below(4)), ++m_order, to.address - 0x0A000000,
        false, endpoint(from), std::move(bytes) });
}

void Fabric::deliver()
{
    while (!m_network.empty() && m_network.top().due <= m_clock.now()) {
        FabricPacket packet = m_network.top();
        m_network.pop();
        const Fault& fault = m_faults[packet.to];
        if (fault.down)
            continue;
        if (fault.frozenUntil > m_clock.now()) {
            packet.due = fault.frozenUntil;
            m_network.push(std::move(packet));
            continue;
        }
        deliver(packet);
    }
}

void Fabric::deliver(FabricPacket& packet)
{
    if (packet.to < m_options.entries) {
        m_entries[packet.to]->steering->onFrame(packet.from, packet.bytes.data(), packet.bytes.size());
        return;
    }
    AgentSteering& agent = *m_agents[packet.to - m_options.entries]->steering;
    if (packet.isFromTarget)
        agent.onTargetPacket(packet.bytes.data(), packet.bytes.size());
    else
        agent.onFrame(packet.from, packet.bytes.data(), packet.bytes.size());
}

void Fabric::tick()
{
    for (auto& entry : m_entries) {
        if (isWorking(m_faults[entry->index]))
            entry->steering->onTick();
    }
    for (auto& agent : m_agents) {
        if (isWorking(agentFault(agent->index)))
            agent->steering->onTick();
    }
}

void Fabric::sendFromCaller(const FlowPacket& packet)
{
    size_t entry = m_random.below(m_options.entries);
    if (!isWorking(m_faults[entry]))
        return;
    std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
    m_entries[entry]->steering->onCallerPacket(bytes.data(), bytes.size());
}

void Fabric::openFlow()
{
    Flow flow;
    flow.id = { { 0x64400001, ++m_lastPort }, addresses[m_random.below(2)] };
    m_flows[m_lastPort] = flow;
    m_flows[m_lastPort].nextPacket = m_clock.now() + 200ms;
    sendFromCaller(synPacket(flow.id));
}

void Fabric::sendCallerPackets()
{
    for (auto& [port, flow] : m_flows) {
        if (m_clock.now() < flow.nextPacket || flow.isReset)
            continue;
        if (flow.target == SIZE_MAX) {
            flow.nextPacket = m_clock.now() + 400ms;
            if (++flow.synRetransmits <= 2)
                sendFromCaller(synPacket(flow.id, flow.synRetransmits));
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
        FlowPacket packet = dataPacket(flow.id, flow.hasOpenRequest ? 0 : requestBytes);
        packet.sequence = flow.sequence;
        packet.acknowledged = flow.acknowledged;
        sendFromCaller(packet);
    }
}

void Fabric::onPacketAtTarget(size_t index, std::vector<uint8_t> bytes)
{
    FlowPacket packet;
    std::memcpy(&packet, bytes.data(), sizeof(packet));
    Target& target = m_targets[index];
    auto flow = m_flows.find(packet.flow.caller.port);
    if (flow == m_flows.end())
        return;
    if (packet.syn) {
        bool isCopy = target.flows.count(packet.flow.caller.port) != 0;
        if (!isCopy && !mayOpen(index, packet.flow))
            m_violation = "a new flow at a target that must not take it";
        target.flows.emplace(packet.flow.caller.port, false);
        FlowPacket answer;
        answer.flow = packet.flow;
        answer.syn = answer.ack = true;
        answer.sequence = static_cast<uint32_t>(m_random.next());
        sendFromTarget(index, answer);
        return;
    }
    if (flow->second.target == index && isOpenAt(index, packet.flow.caller.port)) {
        ++m_delivered;
        flow->second.undeliveredInRow = 0;
        flow->second.misdelivered = 0;
        if (packet.length > 0 && packet.sequence == flow->second.sequence) {
            flow->second.sequence += packet.length;
            onRequestAtTarget(index, flow->second);
        }
        return;
    }
    recordMisdelivery(packet.flow.caller.port, flow->second);
    bounce(index, packet);
}

void Fabric::onRequestAtTarget(size_t index, Flow& flow)
{
    Target& target = m_targets[index];
    flow.hasOpenRequest = true;
    bool isFailing = target.failingUntil > m_clock.now();
    if (!isFailing) {
        m_answers.emplace(m_clock.now() + std::chrono::milliseconds(m_random.below(600)), flow.id);
        return;
    }
    if (target.isHanging)
        return;
    target.flows.erase(flow.id.caller.port);
    ++m_resetByTargets;
    FlowPacket reset;
    reset.flow = flow.id;
    reset.reset = reset.ack = true;
    reset.sequence = flow.acknowledged;
    reset.acknowledged = flow.sequence;
    sendFromTarget(index, reset);
}

bool Fabric::isOpenAt(size_t index, uint16_t port) const
{
    auto found = m_targets[index].flows.find(port);
    return found != m_targets[index].flows.end() && found->second;
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
    if (flow.target == SIZE_MAX || flow.lost || flow.isReset || flow.isCountedMisdelivered)
        return;
    flow.isCountedMisdelivered = true;
    if (flow.misdelivered++ == 0)
        flow.misdeliveredSince = m_clock.now();
    if (flow.misdelivered >= maxMisdelivered && m_clock.now() - flow.misdeliveredSince >= misdeliveryLimit)
        m_violation = "packets of flow " + std::to_string(port) + " reach other targets only";
}

void Fabric::bounce(size_t index, FlowPacket packet)
{
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

void Fabric::sendDueAnswers()
{
    while (!m_answers.empty() && m_answers.begin()->first <= m_clock.now()) {
        FlowId id = m_answers.begin()->second;
        m_answers.erase(m_answers.begin());
        Flow& flow = m_flows[id.caller.port];
        if (flow.lost || flow.isReset)
            continue;
        flow.hasOpenRequest = false;
        FlowPacket answer = dataPacket(id, 30);
        answer.sequence = flow.answerEnd;
        flow.answerEnd += answer.length;
        sendFromTarget(flow.target, answer);
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

void Fabric::onPacketAtCaller(const FlowId& id, const std::vector<uint8_t>& bytes, size_t index)
{
    FlowPacket packet;
    std::memcpy(&packet, bytes.data(), sizeof(packet));
    auto found = m_flows.find(id.caller.port);
    if (found == m_flows.end())
        return;
    Flow& flow = found->second;
    if (packet.reset) {
        bool held = flow.target != SIZE_MAX && isOpenAt(flow.target, id.caller.port);
        if (held)
            m_violation = "open flow " + std::to_string(id.caller.port) + " was reset by "
                + (index == SIZE_MAX ? "an entry" : "the agent " + std::to_string(index));
        if (flow.lost && !flow.isReset)
            ++m_lostAndReset;
        flow.isReset = true;
    } else if (packet.syn && flow.target == SIZE_MAX && !flow.isReset) {
        flow.target = index; // the caller acknowledges the first SYN-ACK that it receives
        flow.acknowledged = flow.answerEnd = packet.sequence + 1;
        m_targets[index].flows[id.caller.port] = true;
        flow.nextPacket = m_clock.now();
        ++m_opened;
    } else if (!packet.syn && packet.sequence == flow.acknowledged) {
        flow.acknowledged += packet.length;
    }
}

bool Fabric::mayOpen(size_t index, const FlowId& flow) const
{
    const Target& target = m_targets[index];
    if (target.draining || m_evacuated.count("dc-" + std::to_string(index % 3)) != 0)
        return false;
    const auto& allowed = servicesOf[flow.service == addresses[0] ? 0 : 1];
    return std::find(std::begin(allowed), std::end(allowed), target.service) != std::end(allowed);
}

void Fabric::changeRoutes()
{
    std::vector<Route> routes;
    for (size_t i = 0; i < 2; ++i) {
        std::vector<WeightedService> weights;
        for (ServiceKey service : servicesOf[i]) {
            uint32_t weight = static_cast<uint32_t>(m_random.below(3));
            if (weight > 0)
                weights.push_back({ service, weight });
        }
        if (weights.empty()) // targets of a service that a route no longer names still hold flows
            weights.push_back({ servicesOf[i][m_random.below(2)], 1 });
        routes.push_back(makeRoute(addresses[i], weights));
        routes.back().timeout = 2s;
        routes.back().objective = 200ms;
    }
    m_routes = RouteTable::successor(
        m_routes, makeConfiguration(m_routes.version() + 1, std::move(routes), { "hub", "catalogue", "archive" }));
    distributeState(false);
}

void Fabric::distributeState(bool all)
{
    for (auto& agent : m_agents) {
        if (all || m_random.below(3) != 0 || agent->routes.version() == 0)
            agent->routes = m_routes;
        agent->steering->setState(StateIndex(1), agent->routes, m_evacuated);
    }
    for (auto& entry : m_entries) {
        if (all || m_random.below(3) != 0 || !entry->steering->isReady())
            entry->steering->setState(StateIndex(1), m_routes, m_evacuated);
    }
}

void Fabric::updateRegister()
{
    for (auto& agent : m_agents) {
        if (!isWorking(agentFault(agent->index)))
            continue;
        const MemberRecord& record = agent->steering->record();
        auto found = m_register.find(record.agent);
        bool listed = found != m_register.end() && found->second.isSameTargetStart(record);
        if (record.state == TargetState::Ready && !listed && m_random.below(m_registerSteps) == 0)
            m_register[record.agent] = record;
        else if (record.state == TargetState::Departed && listed && m_random.below(4) == 0)
            m_register.erase(found);
        else if (listed && m_random.below(3) == 0)
            agent->steering->onRegistered(record.incarnation, record.targetStartSequence);
    }
}

void Fabric::requestConfirmation(size_t entry)
{
    Time due = m_clock.now() + std::chrono::milliseconds(m_random.below(80));
    m_confirmations.try_emplace(entry, Confirmation { m_clock.now(), due, m_routes, m_register });
}

void Fabric::deliverConfirmations()
{
    for (auto i = m_confirmations.begin(); i != m_confirmations.end();) {
        if (i->second.due > m_clock.now()) {
            ++i;
            continue;
        }
        bool isWorkingEntry = isWorking(m_faults[i->first]);
        EntrySteering& entry = *m_entries[i->first]->steering;
        Confirmation confirmation = std::move(i->second);
        i = m_confirmations.erase(i);
        if (!isWorkingEntry)
            continue;
        if (confirmation.routes.version() > entry.routes().version())
            entry.setState(StateIndex(1), confirmation.routes, m_evacuated);
        for (auto& [agent, registered] : confirmation.members) {
            MemberRecord record = registered;
            record.state = TargetState::Unknown;
            entry.members().update(record);
        }
        entry.onMembersConfirmed(confirmation.requestedAt);
    }
}

void Fabric::announceMembers()
{
    for (auto& entry : m_entries) {
        for (auto& agent : m_agents) {
            if (m_random.below(20) == 0 && isWorking(agentFault(agent->index)))
                announce(*agent, *entry);
        }
    }
}

// An agent announces itself once it knows its target.
void Fabric::announce(AgentNode& agent, EntryNode& entry)
{
    if (agent.steering->record().service != ServiceKey())
        entry.steering->members().update(agent.steering->record());
}

void Fabric::sendHeartbeat(size_t index)
{
    if (!m_options.heartbeatFaults && !isWorking(agentFault(index)))
        return;
    Target& target = m_targets[index];
    Heartbeat heartbeat;
    heartbeat.id = "t-" + std::to_string(index);
    heartbeat.service = target.service;
    heartbeat.draining = target.draining;
    heartbeat.startTimeMs = target.startTimeMs;
    heartbeat.sequence = target.sequence++;
    heartbeat.slots = 6;
    giveHeartbeat(index, heartbeat);
}

} // namespace cicadaward::steering
