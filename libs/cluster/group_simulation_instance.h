// The instances of GroupSimulation. Only the files of the simulation include this header.
#pragma once

#include "cluster/group_simulation.h"

namespace cicadaward::cluster {

namespace detail {

    // Long enough for the last requests to reach all instances before the final checks.
    constexpr Duration settleTime = std::chrono::seconds(1);
    constexpr Duration storeReopenInterval = std::chrono::milliseconds(500);
    // A thousandth of the sizes in use, for small disks.
    constexpr uint64_t segmentBytes = 4 << 10;
    constexpr size_t maxFrameBytes = 2 << 10;

} // namespace detail

// One process with its disk. A batch that is being written when the process crashes may be on the disk or not; after a
// power loss it is not. As in the daemon, a write that fails ends the core, and the store is opened again at intervals.
class GroupSimulation::Instance final : public ControlOutput {
public:
    Instance(GroupSimulation& simulation, size_t index, InstanceId identity, ControlOptions options)
        : m_simulation(simulation)
        , m_index(index)
        , m_options(std::move(options))
    {
        emptyDisk(identity);
    }

    void bootstrap(const std::map<InstanceId, InstanceAddress>& initialVoters)
    {
        if (openStore())
            writeToDisk(groupBootstrapBatch(initialVoters));
    }
    // The settings may name other seeds at a later start.
    void replaceSeeds(std::vector<Endpoint> seeds) { m_options.seeds = std::move(seeds); }
    void start()
    {
        m_running = true;
        m_frozen = false;
        startCore();
    }
    void crash(bool power)
    {
        for (Batch& batch : m_pending) {
            if (power || m_simulation.m_random.below(2) || !writeToDisk(batch.batch))
                break;
        }
        endCore();
        m_running = false;
        if (power)
            m_files->crash();
    }
    void wipe(InstanceId identity)
    {
        crash(true);
        emptyDisk(identity);
    }
    void tick()
    {
        Time now = m_simulation.m_clock.now();
        if (!m_running || m_frozen)
            return;
        if (!m_core && now >= m_nextOpenTime && now >= m_stallEnd)
            startCore();
        while (!m_pending.empty() && std::max(m_pending.front().due, m_stallEnd) <= now) {
            Batch batch = std::move(m_pending.front());
            m_pending.erase(m_pending.begin());
            if (!writeToDisk(batch.batch)) {
                endCore();
                m_simulation.refuseRequests(m_index);
                return;
            }
            m_core->onPersisted(batch.batchNumber);
        }
        if (m_core)
            m_core->onTick();
    }

    bool isRunning() const { return m_running; }
    bool isUp() const { return m_core != nullptr; } // runs, and its store works
    bool isFrozen() const { return m_frozen; }
    void setFrozen(bool frozen) { m_frozen = frozen; }
    void setDiskDelay(Duration delay) { m_diskDelay = delay; }
    void setCapacity(uint64_t bytes)
    {
        m_capacity = bytes;
        endDiskFault();
    }
    void endDiskFault()
    {
        m_files->faults() = MemoryFileSystem::Faults();
        m_files->faults().capacity = m_capacity;
    }
    void stallDisk(Time end) { m_stallEnd = end; } // no write is answered before `end`
    MemoryFileSystem& files() { return *m_files; }
    ControlCore* core() { return m_core.get(); }
    InstanceId identity() const { return m_identity; }

    void sendMessage(Endpoint to, const Envelope& envelope) override { m_simulation.send(m_index, to, envelope); }
    void persist(uint64_t batchNumber, const StoreBatch& batch) override
    {
        m_pending.push_back({ m_simulation.m_clock.now() + m_diskDelay, batchNumber, batch });
    }
    void answer(RequestNumber request, const Answer& answer) override { m_simulation.onAnswer(request, answer); }
    void onEvent(ControlEvent event, const std::string&, LogIndex) override
    {
        if (event == ControlEvent::MembershipChanged)
            ++m_simulation.m_membershipChanges;
    }
    void stopped() override { }

private:
    struct Batch {
        Time due;
        uint64_t batchNumber;
        StoreBatch batch;
    };

    void emptyDisk(InstanceId identity)
    {
        m_identity = identity;
        m_wasOpened = false;
        m_files = std::make_unique<MemoryFileSystem>(m_simulation.m_random.next());
    }
    bool openStore()
    {
        m_store.reset(); // releases the folder's lock
        StoreOptions options;
        options.segmentBytes = detail::segmentBytes;
        options.maxFrameBytes = detail::maxFrameBytes;
        options.instanceId = m_wasOpened ? InstanceId() : m_identity;
        absl::StatusOr<std::unique_ptr<Store>> store = Store::open(*m_files, "data", m_simulation.m_random, options);
        if (store.status().code() == absl::StatusCode::kDataLoss)
            m_simulation.fail("a store reports damage: " + std::string(store.status().message()));
        if (!store.ok())
            return false;
        if ((*store)->instance() != m_identity)
            m_simulation.fail("a store comes back under another identity");
        m_store = std::move(*store);
        m_wasOpened = true;
        return true;
    }
    void startCore()
    {
        endCore();
        if (openStore())
            m_core = std::make_unique<ControlCore>(m_options, m_simulation.m_clock, m_simulation.m_random,
                m_store->takeContents(), static_cast<ControlOutput&>(*this));
    }
    void endCore()
    {
        m_core.reset();
        m_store.reset();
        m_pending.clear();
        m_nextOpenTime = m_simulation.m_clock.now() + detail::storeReopenInterval;
    }
    bool writeToDisk(const StoreBatch& batch) { return m_store->write(batch).ok(); }

    GroupSimulation& m_simulation;
    const size_t m_index;
    ControlOptions m_options;
    InstanceId m_identity;
    bool m_wasOpened = false; // the disk holds the identity
    std::unique_ptr<MemoryFileSystem> m_files;
    std::unique_ptr<Store> m_store; // null while it has failed
    std::vector<Batch> m_pending;
    std::optional<uint64_t> m_capacity;
    Duration m_diskDelay = std::chrono::milliseconds(5);
    Time m_stallEnd;
    Time m_nextOpenTime;
    std::unique_ptr<ControlCore> m_core;
    bool m_running = false;
    bool m_frozen = false;
};

} // namespace cicadaward::cluster
