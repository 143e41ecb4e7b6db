#include "cluster/group_simulation_instance.h"

#include "cluster/codec.h"
#include "cluster/fragments.h"

#include <algorithm>

namespace cicadaward::cluster {

namespace {

    constexpr Duration stepLength = std::chrono::milliseconds(20);
    // A thousandth of the sizes in use, for small disks.
    constexpr uint64_t diskBytes = 64 << 10;
    constexpr size_t maxSmallMessageBytes = 64;
    constexpr size_t maxSmallInflightSnapshotBytes = 256;
    constexpr size_t maxSmallUncommittedBytes = 8 << 10;
    constexpr LogIndex smallEntriesPerSnapshot = 36;
    constexpr size_t smallBytesPerSnapshot = 4 << 10;
    constexpr size_t minPadding = 700;
    constexpr size_t maxPadding = 1700;
    constexpr uint32_t firstAddress = 0x0A000001;
    constexpr uint16_t peerPort = 7720;
    constexpr uint32_t firstAgent = 0x0B000100;
    constexpr size_t memberCount = 4;
    const std::string dataCentre = "east";

} // namespace

GroupSimulation::GroupSimulation(uint64_t seed, size_t instances, size_t toleratedLosses, bool hasSmallDisks)
    : m_toleratedLosses(toleratedLosses)
    , m_random(seed)
{
    constexpr size_t initialVoterCount = 3;
    constexpr uint64_t firstInitialVoterId = 100;
    ControlOptions options;
    options.consensus.electionTimeout = std::chrono::milliseconds(400);
    options.consensus.heartbeatInterval = std::chrono::milliseconds(50);
    options.consensus.promoteLearners = false;
    options.consensus.leaseReads = false;
    options.group.toleratedLosses = toleratedLosses;
    options.entriesPerSnapshot = 8 + m_random.below(30);
    options.minBytesPerSnapshot = seed % 2 ? smallBytesPerSnapshot : options.minBytesPerSnapshot;
    options.consensus.retainedBytes = seed % 3 ? smallBytesPerSnapshot : options.consensus.retainedBytes;
    options.consensus.retainedBytesForFollowers = 4 * options.consensus.retainedBytes;
    if (hasSmallDisks) {
        options.entriesPerSnapshot = smallEntriesPerSnapshot;
        options.consensus.maxMessageBytes = maxSmallMessageBytes;
        options.consensus.maxInflightSnapshotBytes = maxSmallInflightSnapshotBytes;
        options.consensus.maxUncommittedBytes = maxSmallUncommittedBytes;
        options.consensus.retainedEntries = options.entriesPerSnapshot;
    }
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
        if (hasSmallDisks)
            m_instances.back()->setCapacity(diskBytes);
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
        m_submitsRequests = end - m_clock.now() > detail::settleTime;
        step(false);
    }
    if (m_violation.empty())
        checkEnd();
}

void GroupSimulation::runDiskFaults(Duration ackBound)
{
    m_hasLargeChanges = true;
    runFor(m_random.below(2) == 0 ? std::chrono::seconds(3) : std::chrono::seconds(8));
    for (size_t index : shuffledInstances()) {
        Instance& instance = *m_instances[index];
        Duration length = std::chrono::milliseconds(500 + m_random.below(4000));
        beginDiskFault(instance, m_clock.now() + length);
        runFor(length / 2);
        if (m_random.below(4) == 0) { // its process ends, or it loses power too
            instance.crash(m_random.below(2) == 0);
            instance.start();
        }
        runFor(length - length / 2);
        instance.endDiskFault();
        instance.setDiskDelay(std::chrono::milliseconds(5));
        if (m_random.below(4) == 0) {
            Instance& other = *m_instances[m_random.below(m_instances.size())];
            m_random.below(2) == 0 ? other.crash(m_random.below(2) == 0) : other.setFrozen(true);
            runFor(std::chrono::milliseconds(m_random.below(2000)));
            repair();
        }
        runFor(std::chrono::milliseconds(m_random.below(3000)));
    }
    uint64_t acknowledged = m_acknowledged;
    uint64_t reads = m_reads;
    runFor(ackBound);
    if (m_acknowledged == acknowledged || m_reads == reads)
        fail("no change or read was answered after the last fault");
    m_submitsRequests = false;
    runFor(detail::settleTime);
    if (m_violation.empty())
        checkEnd();
}

void GroupSimulation::runFor(Duration duration)
{
    for (Time end = m_clock.now() + duration; m_clock.now() < end && m_violation.empty();)
        step(false);
}

void GroupSimulation::refuseRequests(size_t index)
{
    std::vector<RequestNumber> refused;
    for (const auto& [request, pending] : m_pendingRequests) {
        if (pending.instance == index)
            refused.push_back(request);
    }
    for (RequestNumber request : refused)
        onAnswer(request, Answer());
}

void GroupSimulation::step(bool withFaults)
{
    m_clock.advance(stepLength);
    if (withFaults && m_random.below(15) == 0)
        injectFault();
    if (m_submitsRequests && m_random.below(m_hasLargeChanges ? 2 : 5) == 0)
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

void GroupSimulation::submitRequest()
{
    size_t index = m_random.below(m_instances.size());
    for (size_t i = 0; m_hasLargeChanges && i < m_instances.size(); ++i) {
        if (m_instances[i]->isUp() && m_instances[i]->core()->status().canRead)
            index = i;
    }
    Instance& instance = *m_instances[index];
    if (!instance.isUp() || instance.isFrozen())
        return;
    RequestNumber request = ++m_lastRequest;
    PendingRequest& pending = m_pendingRequests[request];
    pending.instance = index;
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
        std::string text = std::to_string(pending.version) + "/" + std::to_string(request) + "/";
        for (uint64_t size = m_hasLargeChanges ? minPadding + m_random.below(maxPadding - minPadding) : 0; size > 0;
             --size)
            text += static_cast<char>(m_random.below(256));
        pending.text = compress(text);
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
    std::string text = decompress(answer.compressedText, 2 * maxPadding).value_or("");
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
        if (!instance->isUp()) {
            fail("a store does not work at the end");
            return;
        }
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
