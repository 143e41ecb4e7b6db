#include "control/control_instance.h"

#include <algorithm>

namespace cicadaward::control {

namespace detail {

    constexpr size_t maxRecordsPerBatch = 512; // about 60 KB; further records are sent in the next batch
    constexpr size_t maxOlderRecords = 64;
    constexpr size_t maxFindings = 64;
    constexpr size_t maxNamesBehind = 64;
    constexpr size_t maxLocalMembers = 8192;

    uint16_t fingerprintOf(const MemberRecord& record) { return recordFingerprint(record.process, record.revision); }

    constexpr size_t renewalSize = 6;

    void appendRenewal(std::string& bytes, MemberId id, uint16_t fingerprint)
    {
        for (int shift = 56; shift >= 32; shift -= 8)
            bytes += static_cast<char>(id.value() >> shift);
        bytes += static_cast<char>(fingerprint >> 8);
        bytes += static_cast<char>(fingerprint);
    }

    std::pair<uint32_t, uint16_t> readRenewal(const std::string& bytes, size_t offset)
    {
        auto byte = [&](size_t i) { return static_cast<unsigned char>(bytes[offset + i]); };
        uint32_t upperHalf = 0;
        for (size_t i = 0; i < 4; ++i)
            upperHalf = upperHalf << 8 | byte(i);
        return { upperHalf, static_cast<uint16_t>(byte(4) << 8 | byte(5)) };
    }

    // True for a change that must not wait for the next batch: the process accepts no new work.
    bool isUrgent(const MemberRecord& record)
    {
        return record.leaving || record.state == MemberState::Draining || record.state == MemberState::TargetDown;
    }

} // namespace detail

ControlInstance::ControlInstance(const Clock& clock, Random& random, ControlInstanceSettings settings)
    : m_clock(clock)
    , m_random(random)
    , m_settings(std::move(settings))
    , m_membership(clock, m_settings.membership)
    , m_publisher(clock, m_settings.publisher)
    , m_relay(clock, m_settings.relay)
    , m_batchSequence(random.next() >> 16) // random, so that a reply to an earlier run of this process matches no batch
    , m_lastBatch(clock.now())
{
}

ControlActions ControlInstance::handle(const ControlEvent& event)
{
    m_actions.clear();
    std::visit([this](const auto& typed) { handleEvent(typed); }, event);
    if (m_flushNow)
        flushBatch();
    publish();
    return std::move(m_actions);
}

// --- raft

void ControlInstance::handleEvent(const EntryApplied& event)
{
    ManifestResult result = m_register.apply(event.index, event.command);
    ManifestCommand command;
    if (!decodeMessage(event.command, command))
        return;
    auto waiting = m_pendingCommands.find(command.token);
    if (waiting == m_pendingCommands.end())
        return;
    answer(waiting->second.request, std::move(result));
    m_pendingCommands.erase(waiting);
}

void ControlInstance::handleEvent(const SnapshotInstalled& event)
{
    if (!m_register.restore(event.snapshot))
        m_actions.push_back(ReportFinding { "the snapshot of the manifest register is damaged" });
}

void ControlInstance::handleEvent(const LeadershipGained& event)
{
    setLeader(event.term, m_settings.id);
    m_membership.reset();
    m_publisher.leadershipGained(event.term);
    m_publisher.recordSeenVersion(
        std::max(m_seen, m_relay.current()->version), std::max(m_seenEpoch, m_relay.current()->manifestEpoch));
}

void ControlInstance::handleEvent(const LeaderChanged& event)
{
    if (event.term < m_term)
        return;
    if (isLeader()) {
        m_publisher.leadershipLost();
        m_membership.reset();
    }
    setLeader(event.term, event.leader);
}

void ControlInstance::handleEvent(const QuorumHeard& event) { m_publisher.recordQuorum(event.at); }

void ControlInstance::setLeader(Term term, ControlInstanceId leader)
{
    m_term = term;
    m_leader = leader;
    for (auto& [id, localMember] : m_localMembers) {
        localMember.isConfirmed = false;
        localMember.recordBatchSequence = 0;
        localMember.requestBatchSequence = 0;
    }
}

// --- announcements

void ControlInstance::handleEvent(const AnnounceReceived& event)
{
    const Announcement& announcement = event.announcement;
    m_seen = std::max(m_seen, announcement.known);
    m_seenEpoch = std::max(m_seenEpoch, announcement.activeEpoch);
    if (isLeader())
        m_publisher.recordSeenVersion(m_seen, m_seenEpoch);
    AnnounceStatus status = storeAnnouncement(announcement);
    if (status != AnnounceStatus::Accepted || (!isLeader() && m_leader == ControlInstanceId())) {
        answerAnnouncement(event.request, announcement.sequence, status, false);
        return;
    }
    auto found = m_localMembers.find(announcement.id);
    if (isLeader()) {
        bool known = updateMembership(announcement.id, found->second.record, announcement.record.has_value(), status);
        m_membership.acknowledge(announcement.id, announcement.activeEpoch);
        answerAnnouncement(event.request, announcement.sequence, status, known && m_publisher.hasQuorum());
        return;
    }
    LocalMember& localMember = found->second;
    if (localMember.request)
        answerAnnouncement(*localMember.request, localMember.requestSequence, AnnounceStatus::Accepted, false);
    localMember.request = event.request;
    localMember.requestSequence = announcement.sequence;
    localMember.requestBatchSequence = 0;
}

AnnounceStatus ControlInstance::storeAnnouncement(const Announcement& announcement)
{
    auto found = m_localMembers.find(announcement.id);
    if (!announcement.record) {
        if (found == m_localMembers.end() || detail::fingerprintOf(found->second.record) != announcement.fingerprint)
            return AnnounceStatus::NeedRecord;
        found->second.lastAnnouncedAt = m_clock.now();
        return AnnounceStatus::Accepted;
    }
    const MemberRecord& record = *announcement.record;
    if (checkRecord(record) != AnnounceStatus::Accepted || memberIdOf(record.name) != announcement.id)
        return AnnounceStatus::Invalid;
    if (found != m_localMembers.end() && record.process < found->second.record.process) {
        if (isLeader())
            m_membership.announce(record);
        else if (m_olderRecords.size() < detail::maxOlderRecords)
            m_olderRecords.push_back(record);
        return AnnounceStatus::OlderIncarnation;
    }
    if (found == m_localMembers.end()) {
        if (m_localMembers.size() >= detail::maxLocalMembers)
            return AnnounceStatus::TableFull;
        found = m_localMembers.emplace(announcement.id, LocalMember()).first;
        found->second.record.revision = 0;
    }
    LocalMember& localMember = found->second;
    localMember.lastAnnouncedAt = m_clock.now();
    bool newer = record.process > localMember.record.process || record.revision > localMember.record.revision;
    if (newer) {
        m_flushNow = m_flushNow || detail::isUrgent(record);
        localMember.record = record;
        localMember.isConfirmed = false;
        localMember.recordBatchSequence = 0;
    }
    return AnnounceStatus::Accepted;
}

bool ControlInstance::updateMembership(MemberId id, const MemberRecord& record, bool hasRecord, AnnounceStatus& status)
{
    if (!hasRecord && m_membership.renew(id, detail::fingerprintOf(record)))
        return true;
    status = m_membership.announce(record);
    if (status == AnnounceStatus::Accepted)
        return true;
    m_localMembers.erase(id);
    return false;
}

void ControlInstance::answerAnnouncement(
    RequestId request, uint64_t sequence, AnnounceStatus status, bool isQuorumConfirmed)
{
    AnnounceReply reply;
    reply.sequence = sequence;
    reply.status = status;
    reply.isQuorumConfirmed = isQuorumConfirmed;
    reply.newest = m_relay.current()->version;
    reply.epoch = m_relay.current()->manifestEpoch;
    answer(request, reply);
}

void ControlInstance::flushBatch()
{
    m_flushNow = false;
    Time now = m_clock.now();
    m_lastBatch = now;
    if (isLeader()) {
        for (const EpochAcknowledgement& acknowledgement : m_relay.takeNewAcknowledgements())
            m_membership.acknowledge(acknowledgement.member, acknowledgement.epoch);
        return;
    }
    if (m_leader == ControlInstanceId())
        return;
    AnnouncementBatch batch;
    batch.sequence = ++m_batchSequence;
    batch.term = m_term;
    batch.known = m_relay.current()->version;
    batch.seen = m_seen;
    batch.seenEpoch = m_seenEpoch;
    batch.records.swap(m_olderRecords);
    for (auto& [id, localMember] : m_localMembers) {
        bool unsent = localMember.request && localMember.requestBatchSequence == 0;
        if (localMember.isConfirmed) {
            if (unsent) {
                localMember.renewalBatchSequence = batch.sequence;
                localMember.renewalPosition = static_cast<uint32_t>(batch.renewals.size() / detail::renewalSize);
                detail::appendRenewal(batch.renewals, id, detail::fingerprintOf(localMember.record));
            }
        } else if (unsent || localMember.recordBatchSequence == 0
            || now - localMember.recordSentAt >= 2 * m_settings.batchInterval) {
            if (batch.records.size() >= detail::maxRecordsPerBatch)
                continue;
            batch.records.push_back(localMember.record);
            localMember.recordBatchSequence = batch.sequence;
            localMember.recordSentAt = now;
        }
        if (unsent)
            localMember.requestBatchSequence = batch.sequence;
    }
    batch.acknowledgements = m_relay.takeNewAcknowledgements();
    m_actions.push_back(SendToInstance { m_leader, std::move(batch) });
}

void ControlInstance::handleMessage(ControlInstanceId from, const AnnouncementBatch& batch)
{
    if (!isLeader() || batch.term != m_term)
        return;
    m_publisher.recordSeenVersion(batch.seen, batch.seenEpoch);
    m_publisher.recordSeenVersion(batch.known, Epoch());
    BatchReply reply;
    reply.sequence = batch.sequence;
    reply.term = m_term;
    for (const MemberRecord& record : batch.records) {
        AnnounceStatus status = m_membership.announce(record);
        if (status != AnnounceStatus::Accepted)
            reply.refused.push_back({ memberIdOf(record.name), record.process, status });
    }
    for (size_t offset = 0; offset + detail::renewalSize <= batch.renewals.size(); offset += detail::renewalSize) {
        auto [upperHalf, fingerprint] = detail::readRenewal(batch.renewals, offset);
        if (!m_membership.renewByPrefix(upperHalf, fingerprint))
            reply.needRecord.push_back(static_cast<uint32_t>(offset / detail::renewalSize));
    }
    for (const EpochAcknowledgement& acknowledgement : batch.acknowledgements)
        m_membership.acknowledge(acknowledgement.member, acknowledgement.epoch);
    reply.quorum = m_publisher.hasQuorum();
    if (batch.known < m_relay.current()->version) {
        WatchRequest all;
        all.known = batch.known;
        WatchReply changes = m_relay.changesSince(all);
        reply.delta = std::move(changes.delta);
        reply.snapshot = std::move(changes.snapshot);
    }
    m_actions.push_back(SendToInstance { from, std::move(reply) });
}

void ControlInstance::handleMessage(ControlInstanceId from, const BatchReply& reply)
{
    if (reply.snapshot)
        m_relay.advance(std::make_shared<const Directory>(*reply.snapshot));
    else if (reply.delta)
        m_relay.advance(*reply.delta);
    answerWatches();
    if (reply.term != m_term || from != m_leader)
        return;
    for (const MemberRefusal& refusal : reply.refused) {
        auto found = m_localMembers.find(refusal.member);
        if (found == m_localMembers.end() || found->second.record.process != refusal.process)
            continue;
        if (found->second.request)
            answerAnnouncement(*found->second.request, found->second.requestSequence, refusal.status, false);
        m_localMembers.erase(found);
    }
    for (auto& [id, localMember] : m_localMembers) {
        if (localMember.renewalBatchSequence == reply.sequence
            && std::binary_search(reply.needRecord.begin(), reply.needRecord.end(), localMember.renewalPosition)) {
            localMember.isConfirmed = false;
            localMember.renewalBatchSequence = 0;
            localMember.requestBatchSequence = 0;
            m_flushNow = true;
            continue;
        }
        if (localMember.recordBatchSequence == reply.sequence) {
            localMember.isConfirmed = true;
            localMember.recordBatchSequence = 0;
        }
        if (localMember.request && localMember.requestBatchSequence == reply.sequence) {
            answerAnnouncement(
                *localMember.request, localMember.requestSequence, AnnounceStatus::Accepted, reply.quorum);
            localMember.request.reset();
        }
    }
}

void ControlInstance::handleMessage(ControlInstanceId, const DirectoryUpdate& update)
{
    m_relay.advance(update.delta);
    answerWatches();
}

void ControlInstance::handleMessage(ControlInstanceId, const CommandForward& forward)
{
    if (isLeader())
        m_actions.push_back(ProposeCommand { forward.command });
}

void ControlInstance::handleEvent(const InstanceMessageReceived& event)
{
    std::visit([&](const auto& message) { handleMessage(event.from, message); }, event.message);
}

// --- subscribers, commands and status

void ControlInstance::handleEvent(const WatchReceived& event)
{
    m_seen = std::max(m_seen, event.watch.known);
    m_seenEpoch = std::max(m_seenEpoch, event.watch.activeEpoch);
    if (isLeader())
        m_publisher.recordSeenVersion(m_seen, m_seenEpoch);
    if (std::optional<WatchReply> reply = m_relay.watch(event.request, event.watch))
        answer(event.request, std::move(*reply));
}

void ControlInstance::handleEvent(const CommandReceived& event)
{
    ManifestCommand command = event.command;
    ManifestResult refusal;
    refusal.currentVersion = m_register.version();
    if (m_leader == ControlInstanceId())
        refusal.outcome = ManifestOutcome::NoLeader;
    else if (m_pendingCommands.size() >= m_settings.maxPendingCommands)
        refusal.outcome = ManifestOutcome::Busy;
    else if (command.dataCentre.empty()) {
        // Documents that no instance would accept are not written to the log.
        Findings findings;
        if (!parseManifest("manifest", command.manifest, findings)) {
            refusal.outcome = ManifestOutcome::Invalid;
            for (const Finding& finding : findings.all()) {
                if (refusal.findings.size() < detail::maxFindings)
                    refusal.findings.push_back(finding.place.key + ": " + finding.message);
            }
        }
    }
    if (refusal.outcome != ManifestOutcome::Unknown) {
        answer(event.request, std::move(refusal));
        return;
    }
    command.token = m_random.next();
    m_pendingCommands[command.token] = { event.request, m_clock.now() + m_settings.commandTimeout };
    std::string bytes = encodeMessage(command);
    if (isLeader())
        m_actions.push_back(ProposeCommand { std::move(bytes) });
    else
        m_actions.push_back(SendToInstance { m_leader, CommandForward { std::move(bytes) } });
}

void ControlInstance::handleEvent(const StatusReceived& event)
{
    StatusReply reply;
    reply.leader = m_leader;
    reply.isLeader = isLeader();
    reply.manifestVersion = m_register.version();
    reply.epoch = m_register.epoch();
    reply.directory = m_relay.current()->version;
    reply.findings = m_findings;
    if (isLeader()) {
        flushBatch();
        reply.members = m_membership.members().size();
        reply.behindCount = m_membership.countBehind(reply.epoch, reply.behind, detail::maxNamesBehind);
    } else {
        reply.members = m_relay.subscriberCount();
        reply.behindCount = m_relay.countBehind(reply.epoch, reply.behind, detail::maxNamesBehind);
    }
    answer(event.request, std::move(reply));
}

void ControlInstance::handleEvent(const RequestClosed& event)
{
    m_relay.close(event.request);
    for (auto& [id, localMember] : m_localMembers) {
        if (localMember.request == event.request)
            localMember.request.reset();
    }
    for (auto it = m_pendingCommands.begin(); it != m_pendingCommands.end();) {
        if (it->second.request == event.request)
            m_pendingCommands.erase(it++);
        else
            ++it;
    }
}

void ControlInstance::handleEvent(const Tick&)
{
    Time now = m_clock.now();
    if (isLeader()) {
        m_membership.tick(m_publisher.hasQuorum());
        for (std::string& finding : m_membership.takeFindings()) {
            m_actions.push_back(ReportFinding { finding });
            m_findings.push_back(std::move(finding));
            if (m_findings.size() > detail::maxFindings)
                m_findings.erase(m_findings.begin());
        }
    }
    if (now - m_lastBatch >= m_settings.batchInterval) {
        expireLocalMembers();
        flushBatch();
    }
    for (auto it = m_pendingCommands.begin(); it != m_pendingCommands.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        ManifestResult unknown;
        unknown.currentVersion = m_register.version();
        answer(it->second.request, std::move(unknown));
        m_pendingCommands.erase(it++);
    }
    answerWatches();
}

void ControlInstance::expireLocalMembers()
{
    Time now = m_clock.now();
    for (auto it = m_localMembers.begin(); it != m_localMembers.end();) {
        LocalMember& localMember = it->second;
        // The leader has not answered the batch. A reply now lets the process try another instance within its lease.
        if (localMember.request && now - localMember.lastAnnouncedAt >= 2 * m_settings.batchInterval) {
            answerAnnouncement(*localMember.request, localMember.requestSequence, AnnounceStatus::Accepted, false);
            localMember.request.reset();
        }
        if (now - localMember.lastAnnouncedAt >= std::chrono::milliseconds(3 * localMember.record.intervalMs))
            m_localMembers.erase(it++);
        else
            ++it;
    }
}

void ControlInstance::publish()
{
    if (!isLeader())
        return;
    std::shared_ptr<const Directory> directory = m_publisher.publish(m_register, m_membership);
    if (!directory)
        return;
    DirectoryUpdate update;
    update.term = m_term;
    update.delta = makeDelta(*m_relay.current(), *directory);
    if (!m_relay.advance(std::move(directory))) {
        m_actions.push_back(ReportFinding { "the directory that was built is not newer than the present one" });
        return;
    }
    m_publisher.recordSeenVersion(m_relay.current()->version, m_relay.current()->manifestEpoch);
    m_actions.push_back(SendToAllInstances { std::move(update) });
    answerWatches();
}

void ControlInstance::answerWatches()
{
    for (auto& [request, reply] : m_relay.takeDueReplies())
        answer(request, std::move(reply));
}

} // namespace cicadaward::control
