#include "cluster/group_simulation.h"

#include "cluster/codec.h"
#include "cluster/fragments.h"

#include <algorithm>

namespace cicadaward::cluster {

namespace {

    constexpr Duration stepLength = std::chrono::milliseconds(20);
    // Long enough for the last requests to reach all instances before the final checks.
    constexpr Duration settleTime = std::chrono::seconds(1);
    constexpr uint32_t firstAddress = 0x0A000001;
    constexpr uint16_t peerPort = 7720;
    constexpr uint32_t firstAgent = 0x0B000100;
    constexpr size_t memberCount = 4;
    const std::string dataCentre = "east";

} // namespace

// One process with its disk. A batch that is being written when the process crashes may be on the disk or not; after a
// power loss it is not.
class GroupSimulation::Instance final : public ControlOutput {
public:
    Instance(GroupSimulation& simulation, size_t index, InstanceId identity, ControlOptions options)
        : m_simulation(simulation)
        , m_index(index)
        , m_options(std::move(options))
    {
        m_disk.instance = identity;
    }

    void bootstrap(const std::map<InstanceId, InstanceAddress>& initialVoters)
    {
        writeToDisk(groupBootstrapBatch(initialVoters));
    }
    // The settings may name other seeds at a later start.
    void replaceSeeds(std::vector<Endpoint> seeds) { m_options.seeds = std::move(seeds); }
    void start()
    {
        m_pending.clear();
        m_frozen = false;
        m_core = std::make_unique<ControlCore>(
            m_options, m_simulation.m_clock, m_simulation.m_random, m_disk, static_cast<ControlOutput&>(*this));
    }
    void crash(bool power)
    {
        for (Batch& batch : m_pending) {
            if (power || m_simulation.m_random.below(2))
                break;
            writeToDisk(batch.batch);
        }
        m_pending.clear();
        m_core.reset();
    }
    void wipe(InstanceId identity)
    {
        crash(true);
        m_disk = StoreContents();
        m_disk.instance = identity;
    }
    void tick()
    {
        if (!m_core || m_frozen)
            return;
        while (!m_pending.empty() && m_pending.front().due <= m_simulation.m_clock.now()) {
            Batch batch = std::move(m_pending.front());
            m_pending.erase(m_pending.begin());
            writeToDisk(batch.batch);
            m_core->onPersisted(batch.batchNumber);
        }
        m_core->onTick();
    }

    bool isUp() const { return m_core != nullptr; }
    bool isFrozen() const { return m_frozen; }
    void setFrozen(bool frozen) { m_frozen = frozen; }
    void setDiskDelay(Duration delay) { m_diskDelay = delay; }
    ControlCore* core() { return m_core.get(); }
    InstanceId identity() const { return m_disk.instance; }

    void sendMessage(Endpoint to, const Envelope& envelope) override { m_simulation.send(m_index, to, envelope); }
    void persist(uint64_t batchNumber, const StoreBatch& batch) override
    {
        m_pending.push_back({ m_simulation.m_clock.now() + m_diskDelay, batchNumber, batch });
    }
    void answer(RequestNumber request, const Answer& answer) override { m_simulation.onAnswer(request, answer); }
    void onEvent(ControlEvent, const std::string&, LogIndex) override { }
    void stopped() override { }

private:
    struct Batch {
        Time due;
        uint64_t batchNumber;
        StoreBatch batch;
    };

    void writeToDisk(const StoreBatch& batch)
    {
        if (batch.state)
            m_disk.state = *batch.state;
        if (batch.snapshot) {
            m_disk.snapshot = *batch.snapshot;
            m_disk.entries.clear();
        }
        for (const LogEntry& entry : batch.entries) {
            while (!m_disk.entries.empty() && m_disk.entries.back().index >= entry.index)
                m_disk.entries.pop_back();
            m_disk.entries.push_back(entry);
        }
    }

    GroupSimulation& m_simulation;
    const size_t m_index;
    ControlOptions m_options;
    StoreContents m_disk;
    std::vector<Batch> m_pending;
    Duration m_diskDelay = std::chrono::milliseconds(5);
    std::unique_ptr<ControlCore> m_core;
    bool m_frozen = false;
};

GroupSimulation::GroupSimulation(uint64_t seed, size_t instances)
    : m_random(seed)
{
    constexpr size_t initialVoterCount = 3;
    constexpr uint64_t firstInitialVoterId = 100;
    ControlOptions options;
    options.consensus.electionTimeout = std::chrono::milliseconds(400);
    options.consensus.heartbeatInterval = std::chrono::milliseconds(50);
    options.consensus.promoteLearners = false;
    options.consensus.leaseReads = false;
    options.entriesPerSnapshot = 8 + m_random.below(30);
    std::map<InstanceId, InstanceAddress> group;
    for (size_t i = 0; i < initialVoterCount; ++i) {
        options.seeds.push_back(endpointOf(i));
        group[InstanceId(firstInitialVoterId + i)] = { endpointOf(i), endpointOf(i) };
    }
    for (size_t i = 0; i < instances; ++i) {
        options.self = { endpointOf(i), endpointOf(i) };
        InstanceId id = i < initialVoterCount ? InstanceId(firstInitialVoterId + i) : InstanceId(m_random.next() | 1);
        m_instances.push_back(std::make_unique<Instance>(*this, i, id, options));
        if (i < initialVoterCount)
            m_instances.back()->bootstrap(group);
        m_instances.back()->start();
    }
    m_partitionSide.resize(instances);
    for (uint32_t i = 0; i < memberCount; ++i) {
        SimulatedMember member;
        member.record.agent = { firstAgent + i, peerPort };
        member.record.incarnation = 1;
        m_members.push_back(member);
    }
}

GroupSimulation::~GroupSimulation() = default;

Endpoint GroupSimulation::endpointOf(size_t index) const
{
    return { firstAddress + static_cast<uint32_t>(index), peerPort };
}

std::optional<size_t> GroupSimulation::indexOf(Endpoint endpoint) const
{
    size_t index = endpoint.address - firstAddress;
    return index < m_instances.size() ? std::optional<size_t>(index) : std::nullopt;
}

void GroupSimulation::fail(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

bool GroupSimulation::isCut(size_t a, size_t b) const
{
    return m_partitioned && m_partitionSide[a] != m_partitionSide[b];
}

void GroupSimulation::send(size_t from, Endpoint to, const Envelope& envelope)
{
    if (to.address - firstAgent < m_members.size())
        onPollReply(m_members[to.address - firstAgent], envelope);
    std::optional<size_t> index = indexOf(to);
    if (!index || isCut(from, *index) || m_random.unit() < m_loss)
        return;
    Duration delay = std::chrono::milliseconds(1 + m_random.below(m_random.below(10) == 0 ? 200 : 10));
    m_network.push_back({ m_clock.now() + delay, *index, endpointOf(from), envelope });
}

void GroupSimulation::deliver()
{
    std::vector<Message> due;
    auto later = std::partition(
        m_network.begin(), m_network.end(), [&](const Message& message) { return message.due > m_clock.now(); });
    std::move(later, m_network.end(), std::back_inserter(due));
    m_network.erase(later, m_network.end());
    for (Message& message : due) {
        Instance& instance = *m_instances[message.to];
        if (instance.isUp() && !instance.isFrozen())
            instance.core()->onMessage(message.from, message.envelope);
    }
}

void GroupSimulation::run(Duration faultDuration, Duration recoveryDuration)
{
    for (Time end = m_clock.now() + faultDuration; m_clock.now() < end && m_violation.empty();)
        step(true);
    repair();
    for (Time end = m_clock.now() + recoveryDuration; m_clock.now() < end && m_violation.empty();) {
        m_submitsRequests = end - m_clock.now() > settleTime;
        step(false);
    }
    if (m_violation.empty())
        checkEnd();
}

void GroupSimulation::step(bool withFaults)
{
    m_clock.advance(stepLength);
    if (withFaults && m_random.below(15) == 0)
        injectFault();
    if (m_submitsRequests && m_random.below(5) == 0)
        submitRequest();
    if (m_submitsRequests && m_random.below(4) == 0)
        announce(withFaults);
    deliver();
    for (auto& instance : m_instances)
        instance->tick();
    checkLeaders();
    if (m_isRecoveringDisk && isHealthy())
        m_isRecoveringDisk = false;
}

// A second disk may be lost only after the group has recovered from the first loss, when every member of the group is a
// running instance.
bool GroupSimulation::isHealthy() const
{
    for (const auto& instance : m_instances) {
        if (!instance->isUp() || instance->isFrozen())
            return false;
    }
    for (const auto& instance : m_instances) {
        raft::RaftStatus status = instance->core()->status();
        if (!instance->core()->status().canRead)
            continue;
        bool allLive = status.instances.size() == m_instances.size()
            && std::all_of(status.instances.begin(), status.instances.end(), [&](const raft::InstanceStatus& member) {
                   return member.isVoter && member.isCaughtUp
                       && std::any_of(m_instances.begin(), m_instances.end(),
                           [&](const auto& live) { return live->identity() == member.id; });
               });
        if (allLive && !status.hasPendingChange)
            return true;
    }
    return false;
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
        if (instance.isUp())
            instance.crash(m_random.below(2) == 0);
        break;
    case 2:
    case 3:
        if (!instance.isUp())
            instance.start();
        break;
    case 4:
        instance.setFrozen(instance.isUp() && !instance.isFrozen());
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
        if (!instance->isUp())
            instance->start();
    }
}

void GroupSimulation::submitRequest()
{
    Instance& instance = *m_instances[m_random.below(m_instances.size())];
    if (!instance.isUp() || instance.isFrozen())
        return;
    RequestNumber request = ++m_lastRequest;
    PendingRequest& pending = m_pendingRequests[request];
    uint64_t kind = m_random.below(10);
    if (kind < 4) {
        pending.minVersion = m_acknowledgedVersion;
        instance.core()->readConfiguration(request);
    } else if (kind < 8 || m_isEvacuationPending) {
        // Operators may use the same version for different contents, and older requests may be repeated.
        pending.version = m_lastVersion + m_random.below(3);
        if (m_random.below(6) == 0 && pending.version > 2)
            pending.version -= 2;
        m_lastVersion = std::max(m_lastVersion, pending.version);
        pending.text = compress(std::to_string(pending.version) + "/" + std::to_string(request));
        steering::Configuration configuration;
        configuration.version = pending.version;
        instance.core()->putConfiguration(request, configuration, pending.text);
    } else {
        pending.isEvacuated = m_random.below(2) == 0;
        m_isEvacuationPending = true;
        m_expectedEvacuated.reset();
        instance.core()->setDataCentre(request, dataCentre, *pending.isEvacuated);
    }
}

// Polls one instance as an agent and an entry at once: announces a member and requests a confirmation.
void GroupSimulation::announce(bool mayChange)
{
    SimulatedMember& member = m_members[m_random.below(m_members.size())];
    steering::MemberRecord& record = member.record;
    if (mayChange && (record.sequence == 0 || m_random.below(6) == 0)) {
        bool departs = record.state == steering::TargetState::Ready && m_random.below(2) == 0;
        record.state = departs ? steering::TargetState::Departed : steering::TargetState::Ready;
        ++record.sequence;
        if (!departs)
            record.targetStartSequence = record.sequence;
        member.registered = false;
    }
    Instance& instance = *m_instances[m_random.below(m_instances.size())];
    if (!instance.isUp() || instance.isFrozen())
        return;
    Poll poll;
    poll.wantsMembers = true;
    poll.digest.resize(steering::digestBuckets); // it has no members
    poll.records = { record };
    poll.confirmationNumber = ++m_lastConfirmation;
    std::vector<steering::MemberRecord>& registered = m_confirmations[m_lastConfirmation];
    for (const SimulatedMember& other : m_members) {
        if (other.registered)
            registered.push_back(other.record);
    }
    instance.core()->onMessage(record.agent, { MessageKind::Poll, encodeMessage(poll) });
}

// Checks that a confirmed reply names every member that was registered when the poll was sent and has not departed
// since.
void GroupSimulation::onPollReply(SimulatedMember& polled, const Envelope& envelope)
{
    PollReply reply;
    if (!decodeMessage(envelope.body, reply))
        return;
    bool told = reply.registeredIncarnation == polled.record.incarnation
        && reply.registeredStart == polled.record.targetStartSequence;
    if (told && polled.record.state == steering::TargetState::Ready)
        polled.registered = true;
    auto asked = m_confirmations.find(reply.confirmationNumber);
    if (asked == m_confirmations.end())
        return;
    for (const steering::MemberRecord& record : asked->second) {
        auto member = std::find_if(m_members.begin(), m_members.end(),
            [&](const SimulatedMember& candidate) { return candidate.record.agent == record.agent; });
        if (!member->registered || !member->record.isSameTargetStart(record))
            continue;
        bool named = std::any_of(reply.members.begin(), reply.members.end(), [&](const steering::MemberRecord& row) {
            return row.agent == record.agent && row.state != steering::TargetState::Departed;
        });
        if (!named)
            fail("a confirmed reply does not name a registered member");
        ++m_confirmedMembers;
    }
    m_confirmations.erase(m_confirmations.begin(), std::next(asked));
}

void GroupSimulation::onAnswer(RequestNumber request, const Answer& answer)
{
    auto found = m_pendingRequests.find(request);
    if (found == m_pendingRequests.end())
        return;
    PendingRequest pending = found->second;
    m_pendingRequests.erase(found);
    if (pending.isEvacuated) {
        m_isEvacuationPending = false;
        // Without an acknowledgement the command may still be committed, even after a later one, so the expected value
        // stays unknown until a request is acknowledged.
        if (answer.kind == AnswerKind::Done) {
            m_expectedEvacuated = pending.isEvacuated;
            ++m_acknowledged;
        }
        return;
    }
    if (answer.kind == AnswerKind::Done) {
        ++m_acknowledged;
        m_acknowledgedVersion = std::max(m_acknowledgedVersion, pending.version);
    }
    if (answer.kind != AnswerKind::Configuration)
        return;
    ++m_reads;
    std::string text = decompress(answer.compressedText, 1000).value_or("");
    uint64_t version = text.empty() ? 0 : std::stoull(text);
    if (version < pending.minVersion)
        fail("a read gave version " + std::to_string(version) + " after " + std::to_string(pending.minVersion)
            + " was acknowledged");
    auto [seen, isNew] = m_texts.emplace(version, text);
    if (!isNew && seen->second != text)
        fail("version " + std::to_string(version) + " was read with two contents");
}

void GroupSimulation::checkLeaders()
{
    for (auto& instance : m_instances) {
        if (!instance->isUp() || !instance->core()->status().canRead)
            continue;
        raft::RaftStatus status = instance->core()->status();
        auto [known, isNew] = m_leaders.emplace(status.term.value(), status.self.value());
        if (!isNew && known->second != status.self.value())
            fail("two leaders in term " + std::to_string(status.term.value()));
        if (!instance->isFrozen() && instance->core()->state().routes().version() < m_acknowledgedVersion)
            fail("the leader of term " + std::to_string(status.term.value()) + " lacks version "
                + std::to_string(m_acknowledgedVersion));
    }
}

void GroupSimulation::checkEnd()
{
    for (auto& instance : m_instances) {
        const State& state = instance->core()->state();
        if (state.routes().version() < m_acknowledgedVersion)
            fail("an instance ends with version " + std::to_string(state.routes().version()) + " below "
                + std::to_string(m_acknowledgedVersion));
        if (m_expectedEvacuated && (state.evacuatedDataCentres().count(dataCentre) != 0) != *m_expectedEvacuated)
            fail("an acknowledged evacuation is not in force at the end");
    }
    bool served = std::any_of(
        m_instances.begin(), m_instances.end(), [](const auto& i) { return i->core()->status().canRead; });
    if (!served)
        fail("no leader at the end");
    if (!isHealthy())
        fail("the group has not recovered at the end");
    for (const SimulatedMember& member : m_members) {
        if (member.record.state == steering::TargetState::Ready && !member.registered)
            fail("a member that announces itself is not registered at the end");
    }
}

} // namespace cicadaward::cluster
