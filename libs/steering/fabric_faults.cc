// Faults of the simulation in fabric_simulation.h.
#include "steering/fabric_simulation.h"

namespace cicadaward::steering {

using namespace std::chrono_literals;

void Fabric::injectFault()
{
    size_t agent = m_random.below(agentCount());
    if (!isWorking(agentFault(agent)))
        return; // the target runs on the same instance
    switch (m_random.below(10)) {
    case 0: // planned restart of an entry: no memory, but it receives state and members before it is ready
        startEntry(m_random.below(m_options.entries));
        break;
    case 1:
        restartAgent(agent);
        sendHeartbeat(agent);
        break;
    case 2:
        m_targets[agent].draining = !m_targets[agent].draining;
        if (!m_targets[agent].draining) {
            restartTarget(agent); // a drained target becomes ready only by a restart
        }
        sendHeartbeat(agent);
        break;
    case 3: // crash; a target of another service may take over the address
        m_targets[agent].service = fabricServices[m_random.below(3)];
        restartTarget(agent);
        sendHeartbeat(agent);
        break;
    case 6: // departure; another target starts there and sends a heartbeat at once or in the next round
        m_agents[agent]->steering->onDeparture("t-" + std::to_string(agent));
        restartTarget(agent);
        m_targets[agent].service = fabricServices[m_random.below(3)];
        if (m_random.below(2) == 0)
            sendHeartbeat(agent);
        break;
    case 7: // an agent and its target restart
        restartTarget(agent);
        restartAgent(agent);
        sendHeartbeat(agent);
        break;
    case 8:
        if (m_random.below(4) == 0)
            simulatePowerLoss();
        break;
    case 4:
        changeRoutes();
        break;
    case 5:
        if (m_evacuated.empty())
            m_evacuated.insert("dc-" + std::to_string(m_random.below(3)));
        else
            m_evacuated.clear();
        addState(newestState().routes);
        distributeState(false);
        break;
    default:
        break;
    }
}

void Fabric::injectProcessFault()
{
    size_t process = m_random.below(m_faults.size());
    size_t agent = m_random.below(agentCount());
    switch (m_random.below(6)) {
    case 0:
        kill(process, std::chrono::milliseconds(100 + m_random.below(700)));
        break;
    case 1:
        freeze(process, std::chrono::milliseconds(100 + m_random.below(1500)));
        break;
    case 2: // slow targets are often neighbours, such as a whole rack
        for (size_t i = 0; i < 1 + agentCount() / 4; ++i)
            m_targets[(agent + i) % agentCount()].slowUntil = m_clock.now() + 2s;
        break;
    case 3: // the agents of a rack fail
        for (size_t i = 0; i < 1 + agentCount() / 6; ++i)
            kill(m_options.entries + (agent + i) % agentCount(), std::chrono::milliseconds(100 + m_random.below(400)));
        break;
    case 4:
        for (size_t i = 0; m_toReplace.empty() && i < agentCount(); ++i) {
            if (m_targets[i].service == m_targets[agent].service)
                m_toReplace.push_back(i);
        }
        break;
    default:
        for (size_t i = 0; m_toRestart.empty() && i < m_options.entries; ++i)
            m_toRestart.push_back(i);
        break;
    }
}

void Fabric::injectTargetFault()
{
    size_t first = m_random.below(agentCount());
    bool isWholeService = m_random.below(8) == 0;
    bool isHanging = m_random.below(3) == 0;
    Time end = m_clock.now() + std::chrono::milliseconds(200 + m_random.below(2000));
    for (size_t i = 0; i < agentCount(); ++i) {
        bool isNeighbour = (i + agentCount() - first) % agentCount() <= agentCount() / 6;
        bool isAffected = isWholeService ? m_targets[i].service == m_targets[first].service : isNeighbour;
        if (!isAffected)
            continue;
        m_targets[i].failingUntil = end;
        m_targets[i].isHanging = isHanging;
    }
}

// Another writer names a service that may be unknown, any id, and a start that may look newer or older than the
// target's, or have no time. Only the id and the start of the target itself never come together.
Heartbeat Fabric::foreignHeartbeat(size_t index)
{
    const Target& target = m_targets[index];
    Heartbeat heartbeat;
    bool hasOwnId = m_random.below(3) == 0;
    heartbeat.id = hasOwnId ? "t-" + std::to_string(index) : "x-" + std::to_string(m_random.below(2));
    // Between the end of a target and the first heartbeat of the next one, nothing tells who is at the address.
    bool hasTarget = target.sequence > 1;
    heartbeat.service
        = m_random.below(2) == 0 || !hasTarget ? serviceKey("unknown") : fabricServices[m_random.below(3)];
    heartbeat.draining = m_random.below(4) == 0;
    heartbeat.startTimeMs = m_random.below(4) == 0 ? 0 : target.startTimeMs + 5 * m_random.below(3) - 5;
    if (hasOwnId && heartbeat.startTimeMs == target.startTimeMs)
        heartbeat.startTimeMs += 5;
    heartbeat.sequence = m_random.below(2) == 0 ? m_random.below(3) : m_random.below(1000);
    heartbeat.slots = 6;
    return heartbeat;
}

Heartbeat Fabric::lateHeartbeat(size_t index)
{
    const std::deque<Heartbeat>& sent = m_sentHeartbeats[index];
    return sent.empty() ? foreignHeartbeat(index) : sent[m_random.below(sent.size())];
}

void Fabric::injectHeartbeatFault()
{
    size_t index = m_random.below(agentCount());
    Heartbeat heartbeat = m_random.below(2) == 0 ? foreignHeartbeat(index) : lateHeartbeat(index);
    if (isWorking(agentFault(index)) && m_random.below(40) == 0)
        freeze(m_options.entries + index, 5s); // longer than AgentOptions::heartbeatTimeout
    giveHeartbeat(index, heartbeat);
}

void Fabric::giveHeartbeat(size_t index, const Heartbeat& heartbeat)
{
    constexpr size_t maxKept = 8;
    if (heartbeat.id == "t-" + std::to_string(index) && heartbeat.startTimeMs == m_targets[index].startTimeMs)
        m_sentHeartbeats[index].push_back(heartbeat);
    if (m_sentHeartbeats[index].size() > maxKept)
        m_sentHeartbeats[index].pop_front();
    if (isWorking(agentFault(index)))
        m_agents[index]->steering->onHeartbeat(heartbeat);
    else if (!agentFault(index).down)
        m_heldHeartbeats[index].push_back(heartbeat);
}

void Fabric::giveHeldHeartbeats()
{
    for (size_t i = 0; i < agentCount(); ++i) {
        if (agentFault(i).down)
            m_heldHeartbeats[i].clear();
        for (; isWorking(agentFault(i)) && !m_heldHeartbeats[i].empty(); m_heldHeartbeats[i].pop_front())
            m_agents[i]->steering->onHeartbeat(m_heldHeartbeats[i].front());
    }
}

void Fabric::kill(size_t process, Duration duration)
{
    m_faults[process].down = true;
    m_faults[process].downUntil = m_clock.now() + duration;
}

void Fabric::freeze(size_t process, Duration duration) { m_faults[process].frozenUntil = m_clock.now() + duration; }

void Fabric::endFaults()
{
    for (size_t process = 0; process < m_faults.size(); ++process) {
        Fault& fault = m_faults[process];
        if (!fault.down || fault.downUntil > m_clock.now())
            continue;
        fault.down = false;
        if (process < m_options.entries) {
            startEntry(process);
            continue;
        }
        restartAgent(process - m_options.entries);
        sendHeartbeat(process - m_options.entries);
    }
    if (!m_toReplace.empty() && m_random.below(20) == 0)
        replaceNext();
    if (!m_toRestart.empty() && m_random.below(20) == 0) {
        startEntry(m_toRestart.back());
        m_toRestart.pop_back();
    }
}

// Replaces the next target of a service: the first call drains it, a later call ends it and starts another at its
// address.
void Fabric::replaceNext()
{
    size_t index = m_toReplace.back();
    if (!isWorking(agentFault(index)))
        return;
    if (!m_targets[index].draining) {
        m_targets[index].draining = true;
        sendHeartbeat(index);
        return;
    }
    m_toReplace.pop_back();
    m_agents[index]->steering->onDeparture("t-" + std::to_string(index));
    restartTarget(index);
    sendHeartbeat(index);
}

// Starts an entry without memory, and gives it state and members as an entry has them when it becomes ready.
void Fabric::startEntry(size_t index)
{
    EntryNode& entry = *m_entries[index];
    m_faults[index] = {};
    entry.start();
    giveState(entry);
    for (auto& other : m_agents)
        announce(*other, entry);
}

void Fabric::startTarget(size_t index)
{
    Target& target = m_targets[index];
    auto now = static_cast<uint64_t>(m_clock.wallTime().count());
    target.startTimeMs = std::max(now, target.startTimeMs + 10);
    target.sequence = 1;
}

void Fabric::restartTarget(size_t index)
{
    startTarget(index);
    m_targets[index].draining = false;
    for (auto& [port, held] : m_targets[index].flows) {
        auto found = m_flows.find(port);
        bool isCurrent = found != m_flows.end() && found->second.callerIsn == held.callerIsn;
        if (!isCurrent || found->second.target != index || found->second.isOver())
            continue;
        found->second.lost = true;
        found->second.undeliveredInRow = 0;
        ++m_lost;
    }
    m_targets[index].flows.clear();
    m_targets[index].endedFlows.clear();
    m_targets[index].admittedSyns.clear();
}

void Fabric::restartAgent(size_t index)
{
    for (auto& [port, flow] : m_flows) {
        flow.misdelivered = flow.target == index ? 0 : flow.misdelivered;
        flow.isUnknownToAgent = flow.isUnknownToAgent || flow.target == index;
    }
    m_targets[index].endedFlows.clear();
    m_targets[index].admittedSyns.clear();
    m_agents[index]->start();
    giveState(*m_agents[index]);
}

void Fabric::simulatePowerLoss()
{
    for (size_t i = 0; i < agentCount(); ++i) {
        restartTarget(i);
        restartAgent(i);
        sendHeartbeat(i);
    }
    for (auto& entry : m_entries) {
        entry->start(); // packets of callers may arrive before its state
        if (m_random.below(2) == 0)
            giveState(*entry);
    }
    m_confirmations.clear();
}

} // namespace cicadaward::steering
