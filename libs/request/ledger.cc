#include "request/ledger.h"

#include <algorithm>

namespace cicadaward::request {

namespace detail {

    constexpr size_t maxCopiesPerTick = 64; // bounds the burst after the backup has changed
    constexpr size_t maxReports = 4096;
    constexpr size_t maxAnswerFetches = 8; // concurrent fetches
    constexpr uint64_t answerFetchTag = uint64_t(1) << 63; // distinct from requests and runs, which count up from 1

} // namespace detail

void Ledger::directoryChanged()
{
    m_backups.resize(m_view.table ? m_view.table->bucketCount() : 0);
    for (size_t i = 0; i < m_backups.size(); ++i) {
        BucketId bucket(static_cast<uint16_t>(i));
        const Member* backup = m_view.backup(bucket);
        auto current = backup ? std::make_pair(backup->id, backup->process) : std::pair<MemberId, Incarnation>();
        if (current != m_backups[i] && m_sync.isSettled(bucket))
            m_store.markUnreplicated(bucket.value());
        m_backups[i] = current;
    }
}

void Ledger::reply(const Record& record, ClaimVerdict verdict)
{
    m_out.send(record.token.member,
        ClaimReply { record.key, record.token, m_view.version(), verdict, record.order,
            verdict == ClaimVerdict::Answered ? record.answer : StoredBlob() });
}

void Ledger::on(MemberId from, const ClaimRequest& message)
{
    BucketId bucket = m_view.bucket(message.key);
    if (message.service != m_view.config.service || !m_view.owns(bucket) || !m_sync.isSettled(bucket)
        || m_view.isFenced())
        return m_out.count(RequestCounter::StaleMessage);
    RecordKey key { bucket.value(), message.key };
    if (StoredRecord* record = m_store.find(message.key))
        return replyFromRecord(from, message, key, *record);
    addClaim(message);
}

void Ledger::addClaim(const ClaimRequest& message)
{
    Record record { message.key, message.digest, message.token, { m_view.version(), ++m_sequence },
        RecordState::Claimed, 0, {} };
    if (m_sync.mayHaveLostRecord(message.key)) {
        m_out.count(RequestCounter::DuplicatePrevented);
        return reply(record, ClaimVerdict::Unknown);
    }
    if (!m_store.merge(record)) {
        m_out.count(RequestCounter::RefusedFull);
        return reply(record, ClaimVerdict::Full);
    }
    replicate({ m_view.bucket(message.key).value(), message.key });
}

void Ledger::replyFromRecord(MemberId from, const ClaimRequest& message, const RecordKey& key, StoredRecord& stored)
{
    Record answer = m_store.toRecord(key, stored);
    bool own = stored.token == message.token;
    if (stored.state == RecordState::Released) {
        // A late duplicate of the released claim is dropped. A claim with another token may run.
        if (own)
            return m_out.count(RequestCounter::StaleMessage);
        m_store.erase(key.key);
        return addClaim(message);
    }
    if (own && stored.state == RecordState::Claimed)
        return; // tick() repeats the copy to the backup
    answer.token = message.token;
    if (stored.digest != message.digest) {
        m_out.count(RequestCounter::Conflict);
        return reply(answer, ClaimVerdict::Conflict);
    }
    if (own && stored.state == RecordState::Running)
        return reply(answer, ClaimVerdict::Granted);
    if (stored.state == RecordState::Answered || stored.state == RecordState::Unknown) {
        m_out.count(RequestCounter::DuplicatePrevented);
        return reply(answer, stored.state == RecordState::Answered ? ClaimVerdict::Answered : ClaimVerdict::Unknown);
    }
    bool claimantPresent = m_view.isPresent(stored.token.member, stored.token.process);
    if (claimantPresent)
        m_out.send(stored.token.member, ClaimProbe { key.key, stored.token });
    else
        m_out.count(RequestCounter::DuplicatePrevented);
    (void)from;
    reply(answer, claimantPresent ? ClaimVerdict::Running : ClaimVerdict::Unknown);
}

void Ledger::replicate(const RecordKey& key)
{
    auto found = m_store.records().find(key);
    if (found == m_store.records().end() || !m_sync.isSettled(BucketId(key.bucket))) {
        m_store.unreplicated().erase(key);
        return;
    }
    const Member* backup = m_view.backup(BucketId(key.bucket));
    if (!backup)
        return onReplicated(key);
    RetransmitTimer& retransmit = m_store.unreplicated()[key];
    if (retransmit.interval == Duration())
        retransmit.start(m_view);
    m_out.send(
        backup->id, RecordCopy { m_view.config.service, m_view.version(), m_store.toRecord(key, found->second) });
}

void Ledger::onReplicated(const RecordKey& key)
{
    m_store.unreplicated().erase(key);
    auto found = m_store.records().find(key);
    if (found == m_store.records().end() || !m_sync.isSettled(BucketId(key.bucket)))
        return;
    StoredRecord& record = found->second;
    if (record.state == RecordState::Released) {
        m_store.erase(key.key);
    } else if (record.state == RecordState::Claimed) {
        record.state = RecordState::Running;
        if (!m_view.isFenced())
            reply(m_store.toRecord(key, record), ClaimVerdict::Granted);
    }
}

void Ledger::on(MemberId from, const RecordCopy& message)
{
    BucketId bucket = m_view.bucket(message.record.key);
    if (message.service != m_view.config.service || !m_view.table || !m_sync.acceptsVersion(bucket, message.version))
        return m_out.count(RequestCounter::StaleMessage);
    Record record = message.record;
    RecordCopyAck reply { record.key, record.token, record.state, true };
    StoredRecord* stored = m_store.find(record.key);
    if (record.state == RecordState::Released) {
        if (stored && stored->token == record.token && stored->state <= RecordState::Released)
            m_store.erase(record.key);
    } else {
        // The owner may grant the claim as soon as it has the acknowledgement, so the copy counts as granted.
        record.state = std::max(record.state, RecordState::Running);
        reply.stored = m_store.merge(record);
    }
    m_out.send(from, reply);
}

void Ledger::on(MemberId from, const RecordCopyAck& message)
{
    BucketId bucket = m_view.bucket(message.key);
    const Member* backup = m_view.backup(bucket);
    StoredRecord* stored = m_store.find(message.key);
    if (!backup || backup->id != from || !m_view.owns(bucket) || !stored || stored->token != message.token
        || stored->state != message.state)
        return m_out.count(RequestCounter::StaleMessage);
    RecordKey key { bucket.value(), message.key };
    if (message.stored)
        return onReplicated(key);
    if (stored->state != RecordState::Claimed)
        return; // tick() repeats the copy until the backup has room
    Record record = m_store.toRecord(key, *stored);
    m_store.unreplicated().erase(key);
    m_store.erase(message.key);
    m_out.count(RequestCounter::RefusedFull);
    reply(record, ClaimVerdict::Full);
}

void Ledger::on(MemberId from, const ClaimResult& message)
{
    const Record& done = message.record;
    BucketId bucket = m_view.bucket(done.key);
    if (message.service != m_view.config.service || !m_view.owns(bucket) || !m_sync.isSettled(bucket))
        return m_out.count(RequestCounter::StaleMessage); // the sender repeats it to the owner in the next directory
    RecordKey key { bucket.value(), done.key };
    StoredRecord* stored = m_store.find(done.key);
    if (done.state == RecordState::Released) {
        if (stored && stored->token == done.token && stored->state < RecordState::Released) {
            stored->state = RecordState::Released;
            replicate(key);
        }
    } else if (done.state > RecordState::Released) {
        // Without room the result is not stored here. The sender has it and sends it to the next owner (SyncReply).
        if (m_store.merge(done))
            replicate(key);
    }
    m_out.send(from, ClaimResultAck { done.key, done.token });
}

void Ledger::on(MemberId, const ClaimResultAck& message)
{
    auto found = m_reports.find(message.key);
    if (found != m_reports.end() && found->second.record.token == message.token)
        m_reports.erase(found);
}

bool Ledger::acceptGrant(const ClaimReply& grant, const Digest& digest)
{
    if (!m_sync.acceptsVersion(m_view.bucket(grant.key), grant.version)) {
        m_out.count(RequestCounter::StaleMessage);
        return false;
    }
    return acceptRun(grant.key, digest, grant.token, grant.order);
}

bool Ledger::acceptRun(const std::string& key, const Digest& digest, const ClaimToken& token, const ClaimOrder& order)
{
    StoredRecord* stored = m_store.find(key);
    if (stored && stored->state >= RecordState::Unknown)
        return false;
    if (stored && stored->token != token && !(stored->order < order))
        return false;
    return m_store.merge(Record { key, digest, token, order, RecordState::Running, 0, {} });
}

void Ledger::finish(const std::string& key, const Digest& digest, const ClaimToken& token, const ClaimOrder& order,
    RecordState state, const StoredBlob& answer)
{
    Record record { key, digest, token, order, state, 0, answer };
    BucketId bucket = m_view.bucket(key);
    if (state != RecordState::Released) {
        m_store.merge(record);
    } else if (!m_view.owns(bucket)) {
        StoredRecord* stored = m_store.find(key);
        if (stored && stored->token == token && stored->state < RecordState::Released)
            m_store.erase(key);
    }
    if (m_reports.size() < detail::maxReports || m_reports.count(key) > 0) {
        Report& report = m_reports[key];
        report = { record, {}, 12 };
        report.retransmit.start(m_view);
    }
    if (const Member* owner = m_view.owner(bucket))
        m_out.send(owner->id, ClaimResult { m_view.config.service, record });
}

void Ledger::reportUnknownClaim(const std::string& key, const ClaimToken& token)
{
    if (token.member != m_view.config.self || token.process != m_view.config.process)
        return m_out.count(RequestCounter::StaleMessage);
    Record record { key, {}, token, {}, RecordState::Released, 0, {} };
    StoredRecord* stored = m_store.find(key);
    if (stored && stored->token == token && stored->state >= RecordState::Running) {
        record = m_store.toRecord({ m_view.bucket(key).value(), key }, *stored);
        // This process no longer runs the claim, but another member may be running it on its behalf.
        record.state = std::max(record.state, RecordState::Unknown);
    }
    if (const Member* owner = m_view.owner(m_view.bucket(key)))
        m_out.send(owner->id, ClaimResult { m_view.config.service, record });
}

// The owners fetch the large answers that a draining member holds, because they are lost when it stops.
void Ledger::fetchDrainingAnswers()
{
    m_nextAnswerFetch = m_view.now() + m_view.config.retransmitInterval * 8;
    for (const auto& [key, record] : m_store.records()) {
        if (m_answerFetches.size() >= detail::maxAnswerFetches)
            return;
        if (!record.answer || !record.answer->bytes.empty() || !m_sync.isSettled(BucketId(key.bucket)))
            continue;
        const Member* holder = m_view.table->member(record.answer->holder);
        if (!holder || holder->state != MemberState::Draining || holder->id == m_view.config.self)
            continue;
        uint64_t tag = detail::answerFetchTag | m_view.random.next();
        m_answerFetches[tag] = key;
        m_blobs.fetch(tag, *record.answer, m_view.now() + m_view.config.lease);
    }
}

bool Ledger::onFetched(BlobTransfer::FetchResult& done)
{
    auto answerFetch = m_answerFetches.find(done.tag);
    if (answerFetch == m_answerFetches.end())
        return false;
    RecordKey key = answerFetch->second;
    m_answerFetches.erase(answerFetch);
    auto found = m_store.records().find(key);
    if (found == m_store.records().end() || !done.isComplete)
        return true;
    Duration age = m_view.now() - found->second.createdAt;
    StoredBlob kept = m_blobs.store(std::move(done.bytes), m_view.config.recordLifetime - age);
    if (kept.size != 0 && found->second.answer) {
        *found->second.answer = kept;
        replicate(key);
        m_nextAnswerFetch = m_view.now();
    }
    return true;
}

void Ledger::tick()
{
    if (m_view.now() >= m_nextAnswerFetch && m_view.table) {
        bool draining = false;
        for (const Member& member : m_view.table->members())
            draining = draining || member.state == MemberState::Draining;
        if (draining)
            fetchDrainingAnswers();
    }
    std::vector<RecordKey> due;
    for (auto& [key, retransmit] : m_store.unreplicated()) {
        if (due.size() < detail::maxCopiesPerTick && retransmit.fireIfDue(m_view))
            due.push_back(key);
    }
    for (const RecordKey& key : due)
        replicate(key);
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        Report& report = it->second;
        const Member* owner = m_view.owner(m_view.bucket(it->first));
        if (report.retransmit.fireIfDue(m_view)) {
            if (owner)
                m_out.send(owner->id, ClaimResult { m_view.config.service, report.record });
            --report.sendsLeft;
        }
        it = report.sendsLeft > 0 ? std::next(it) : m_reports.erase(it);
    }
}

} // namespace cicadaward::request
