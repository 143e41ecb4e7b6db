#include "request/record_store.h"

#include <algorithm>

namespace cicadaward::request {

namespace detail {

    bool isFinal(RecordState state) { return state >= RecordState::Unknown; }

    // A record that says that the id has run or may have run wins over any claim. Otherwise the later claim is valid.
    bool supersedes(const Record& incoming, const StoredRecord& existing)
    {
        if (isFinal(incoming.state) != isFinal(existing.state))
            return isFinal(incoming.state);
        return existing.order < incoming.order;
    }

} // namespace detail

StoredRecord* RecordStore::find(const std::string& key)
{
    auto found = m_records.find({ m_view.bucket(key).value(), key });
    return found == m_records.end() ? nullptr : &found->second;
}

size_t RecordStore::sizeOf(const RecordKey& key, const StoredRecord& record)
{
    return recordSizeBytes + key.key.size() + (record.answer ? sizeof(StoredBlob) + record.answer->bytes.size() : 0);
}

bool RecordStore::isAnswerAvailable(const StoredBlob& answer) const
{
    const Member* holder = m_view.table ? m_view.table->member(answer.holder) : nullptr;
    return holder && holder->process == answer.process && holder->state != MemberState::Draining;
}

bool RecordStore::isFull() const
{
    return m_records.size() >= m_view.config.maxRecords
        || m_bytes + recordSizeBytes + maxKeyBytes > m_view.config.maxRecordBytes;
}

bool RecordStore::merge(const Record& incoming)
{
    RecordKey key { m_view.bucket(incoming.key).value(), incoming.key };
    auto found = m_records.find(key);
    if (found == m_records.end()) {
        if (isFull())
            return false;
        found = m_records.try_emplace(key).first;
        found->second.createdAt = m_view.now() - std::chrono::milliseconds(incoming.ageMs);
        m_bytes += sizeOf(key, found->second);
        m_expiry.emplace_back(m_view.now() + m_view.config.recordLifetime, key);
    } else if (found->second.token != incoming.token) {
        if (!detail::supersedes(incoming, found->second))
            return true;
        m_bytes -= sizeOf(key, found->second);
        found->second.answer.reset();
        m_bytes += sizeOf(key, found->second);
        found->second.state = RecordState::Claimed;
        found->second.order = {};
        found->second.createdAt = m_view.now() - std::chrono::milliseconds(incoming.ageMs);
        m_expiry.emplace_back(m_view.now() + m_view.config.recordLifetime, key);
    }
    StoredRecord& record = found->second;
    record.digest = incoming.digest;
    record.token = incoming.token;
    record.state = std::max(record.state, incoming.state);
    if (record.order < incoming.order)
        record.order = incoming.order;
    if (incoming.answer.size != 0 && !record.answer)
        storeAnswer(record, incoming.answer);
    else if (incoming.answer.size != 0 && incoming.answer.bytes.empty() && record.answer->bytes.empty()
        && !isAnswerAvailable(*record.answer))
        *record.answer = incoming.answer; // another member holds it now
    return true;
}

void RecordStore::storeAnswer(StoredRecord& record, const StoredBlob& answer)
{
    if (record.answer || answer.size == 0)
        return;
    if (m_bytes + sizeof(StoredBlob) + answer.bytes.size() > m_view.config.maxRecordBytes) {
        m_out.count(RequestCounter::AnswerDropped);
        return;
    }
    record.answer = std::make_unique<StoredBlob>(answer);
    m_bytes += sizeof(StoredBlob) + answer.bytes.size();
}

void RecordStore::markUnreplicated(uint16_t bucket)
{
    for (auto it = bucketBegin(bucket); it != m_records.end() && it->first.bucket == bucket; ++it)
        m_unreplicated.try_emplace(it->first);
}

void RecordStore::erase(const std::string& key)
{
    auto found = m_records.find({ m_view.bucket(key).value(), key });
    if (found == m_records.end())
        return;
    m_bytes -= sizeOf(found->first, found->second);
    m_records.erase(found);
}

void RecordStore::expire()
{
    while (!m_expiry.empty() && m_expiry.front().first <= m_view.now()) {
        // A key that was erased and added again has a later entry, which will expire the new record.
        auto found = m_records.find(m_expiry.front().second);
        if (found != m_records.end() && m_view.now() - found->second.createdAt >= m_view.config.recordLifetime) {
            m_bytes -= sizeOf(found->first, found->second);
            m_records.erase(found);
        }
        m_expiry.pop_front();
    }
}

Record RecordStore::toRecord(const RecordKey& key, const StoredRecord& stored) const
{
    Record record { key.key, stored.digest, stored.token, stored.order, stored.state, 0, {} };
    record.ageMs = static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_view.now() - stored.createdAt).count());
    if (stored.answer)
        record.answer = *stored.answer;
    return record;
}

} // namespace cicadaward::request
