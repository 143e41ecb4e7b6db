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
