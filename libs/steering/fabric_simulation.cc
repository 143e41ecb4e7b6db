// Network, states and members of the simulation. Callers are in fabric_callers.cc, targets in fabric_targets.cc, faults
// in fabric_faults.cc.
#include "steering/fabric_simulation.h"

namespace cicadaward::steering {

using namespace std::chrono_literals;

namespace {

    // No configuration routes the first address to the archive or the second one to the hub.
    const ServiceKey servicesOf[][2]
        = { { fabricServices[0], fabricServices[1] }, { fabricServices[1], fabricServices[2] } };
    constexpr Duration stepLength = 5ms;

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
        deliverRequestedStates();
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
        sendLateCopies();
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
        routes.push_back(makeRoute(fabricAddresses[i], weights));
        routes.back().hasBulkRequests = m_options.linkMbps > 0 && m_random.below(4) != 0;
        routes.back().timeout = 2s;
        routes.back().objective = 200ms;
    }
    RouteTable routesBefore = m_states.empty() ? RouteTable() : newestState().routes;
    addState(RouteTable::successor(routesBefore,
        makeConfiguration(routesBefore.version() + 1, std::move(routes), { "hub", "catalogue", "archive" })));
    distributeState(false);
}

void Fabric::addState(RouteTable routes) { m_states.push_back({ StateIndex(m_states.size() + 1), std::move(routes) }); }

void Fabric::giveState(EntryNode& entry)
{
    entry.steering->setState(newestState().index, newestState().routes, m_evacuated);
}

void Fabric::giveState(AgentNode& agent)
{
    agent.steering->setState(agent.state.index, agent.state.routes, m_evacuated);
}

void Fabric::requestState(size_t process)
{
    m_stateRequests.try_emplace(process, m_clock.now() + std::chrono::milliseconds(m_random.below(80)));
}

void Fabric::deliverRequestedStates()
{
    for (auto i = m_stateRequests.begin(); i != m_stateRequests.end();) {
        auto [process, due] = *i;
        if (due > m_clock.now()) {
            ++i;
            continue;
        }
        i = m_stateRequests.erase(i);
        if (!isWorking(m_faults[process]))
            continue;
        if (process < m_options.entries) {
            giveState(*m_entries[process]);
            continue;
        }
        AgentNode& agent = *m_agents[process - m_options.entries];
        agent.state = newestState();
        giveState(agent);
    }
}

void Fabric::distributeState(bool all)
{
    for (auto& agent : m_agents) {
        if (all || m_random.below(3) != 0 || agent->state.index == StateIndex())
            agent->state = newestState();
        giveState(*agent);
    }
    for (auto& entry : m_entries) {
        if (all || m_random.below(3) != 0 || !entry->steering->isReady())
            giveState(*entry);
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
    m_confirmations.try_emplace(entry, Confirmation { m_clock.now(), due, newestState(), m_register });
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
        if (confirmation.state.routes.version() > entry.routes().version())
            entry.setState(confirmation.state.index, confirmation.state.routes, m_evacuated);
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
