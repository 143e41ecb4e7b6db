// The faults that GroupSimulation injects, and their repair.
#include "cluster/group_simulation_instance.h"

#include <algorithm>

namespace cicadaward::cluster {

void GroupSimulation::beginDiskFault(Instance& instance, Time end)
{
    MemoryFileSystem::Faults& faults = instance.files().faults();
    ++m_diskFaults;
    switch (m_random.below(6)) {
    case 0:
        instance.stallDisk(end);
        break;
    case 1:
        instance.setDiskDelay(std::chrono::milliseconds(100 + m_random.below(900)));
        break;
    case 2:
        faults.syncFailure = 1;
        break;
    case 3: // each write is refused after a part of it
        faults.capacity = instance.files().usedBytes() + m_random.below(2000);
        break;
    default:
        faults.capacity = 0;
        faults.refusesNames = m_random.below(2) == 0;
    }
}

void GroupSimulation::loseDisk(size_t index)
{
    if (m_isRecoveringDisk || !isHealthy())
        return;
    m_isRecoveringDisk = true;
    ++m_lostDisks;
    m_instances[index]->wipe(InstanceId(m_random.next() | 1));
    // In one of three cases all other instances lose power at the same time.
    if (m_random.below(3) == 0) {
        for (auto& instance : m_instances) {
            instance->crash(true);
            instance->start();
        }
        return;
    }
    m_instances[index]->start();
}

void GroupSimulation::runReplacements()
{
    constexpr int rounds = 3;
    awaitRecovery();
    for (int i = 0; i < rounds && m_violation.empty(); ++i) {
        replaceAndLoseDisks();
        repair();
        awaitRecovery();
    }
    m_submitsRequests = false;
    runFor(detail::settleTime);
    if (m_violation.empty())
        checkEnd();
}

void GroupSimulation::awaitRecovery()
{
    constexpr Duration recoveryBound = std::chrono::seconds(15);
    for (Time end = m_clock.now() + recoveryBound; m_clock.now() < end && m_violation.empty();) {
        step(false);
        if (isHealthy())
            return;
    }
    fail("the group has not recovered from replacements and lost disks");
}

// Some instances freeze, seconds apart and for longer than the silence timeout. They keep their disks, so a group that
// tolerates the loss of the other disks must recover when all instances are back.
void GroupSimulation::replaceAndLoseDisks()
{
    struct Freeze {
        size_t instance;
        Time from;
        Time to;
    };
    auto upToMs = [&](uint64_t ms) { return Duration(std::chrono::milliseconds(m_random.below(ms))); };
    std::vector<Freeze> freezes;
    std::vector<size_t> order = shuffledInstances();
    order.resize(1 + m_random.below(order.size() / 2));
    Time from = m_clock.now();
    Time end = from;
    for (size_t index : order) {
        from += upToMs(4000);
        freezes.push_back({ index, from, from + std::chrono::seconds(3) + upToMs(4000) });
        end = std::max(end, freezes.back().to + std::chrono::seconds(2));
    }
    const uint64_t lossAtChange = m_membershipChanges + 1 + m_random.below(5);
    const Duration lossDelay = upToMs(300); // about the time between two changes
    const Duration restartDelay = upToMs(2000);
    std::optional<Time> loss;
    std::vector<size_t> lost;
    while (m_clock.now() < end && m_violation.empty()) {
        step(false);
        Time now = m_clock.now();
        for (const Freeze& freeze : freezes)
            m_instances[freeze.instance]->setFrozen(freeze.from <= now && now < freeze.to);
        if (!loss && m_membershipChanges >= lossAtChange)
            loss = now + lossDelay;
        if (loss && lost.empty() && now >= *loss)
            lost = loseToleratedDisks();
        for (size_t index : lost) {
            if (now >= *loss + restartDelay && !m_instances[index]->isRunning())
                m_instances[index]->start();
        }
    }
}

// The leader is among them in half of the cases: it knows of changes that others don't. Returns the instances, which
// don't run.
std::vector<size_t> GroupSimulation::loseToleratedDisks()
{
    std::vector<size_t> order = shuffledInstances();
    if (m_random.below(2) == 0) {
        std::stable_partition(order.begin(), order.end(),
            [&](size_t index) { return m_instances[index]->isUp() && m_instances[index]->core()->status().canRead; });
    }
    order.resize(1 + m_random.below(m_toleratedLosses));
    for (size_t index : order)
        m_instances[index]->wipe(InstanceId(m_random.next() | 1));
    m_lostDisks += order.size();
    return order;
}

std::vector<size_t> GroupSimulation::shuffledInstances()
{
    std::vector<size_t> order;
    for (size_t i = 0; i < m_instances.size(); ++i)
        order.insert(order.begin() + static_cast<std::ptrdiff_t>(m_random.below(i + 1)), i);
    return order;
}

void GroupSimulation::injectFault()
{
    size_t index = m_random.below(m_instances.size());
    Instance& instance = *m_instances[index];
    switch (m_random.below(13)) {
    case 11: { // replaces the seeds by two members, one of which may be down, and an address where no process answers
        if (!isHealthy())
            break;
        std::vector<Endpoint> seeds { endpointOf(index), endpointOf((index + 1) % m_instances.size()), { 1, 1 } };
        for (auto& other : m_instances)
            other->replaceSeeds(seeds);
        break;
    }
    case 0:
    case 1:
        if (instance.isRunning())
            instance.crash(m_random.below(2) == 0);
        break;
    case 2:
    case 3:
        if (!instance.isRunning())
            instance.start();
        break;
    case 4:
        instance.setFrozen(instance.isRunning() && !instance.isFrozen());
        break;
    case 5:
        m_partitioned = !m_partitioned;
        for (size_t i = 0; i < m_partitionSide.size(); ++i)
            m_partitionSide[i] = m_random.below(2) == 0;
        break;
    case 6:
        instance.setDiskDelay(std::chrono::milliseconds(m_random.below(3) == 0 ? 700 : 5));
        break;
    case 7:
        m_loss = m_random.below(2) == 0 ? 0 : 0.1;
        break;
    case 8:
    case 9:
        loseDisk(index);
        break;
    case 10: // all instances lose power
        for (auto& other : m_instances) {
            other->crash(true);
            other->start();
        }
        break;
    default:
        repair();
    }
}

void GroupSimulation::repair()
{
    m_partitioned = false;
    m_loss = 0;
    for (auto& instance : m_instances) {
        instance->setFrozen(false);
        instance->setDiskDelay(std::chrono::milliseconds(5));
        if (!instance->isRunning())
            instance->start();
    }
}

} // namespace cicadaward::cluster
