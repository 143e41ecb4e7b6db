// The records of request ids that this agent has: those of the buckets it owns, backup copies, and those of requests
// that it has run or is running. They share one table because they describe the same claims. merge() keeps the most
// advanced state of a claim.
//
//     if (!store.merge(record))
//         refuse(); // full
//
// The table is ordered by bucket and key, so that one bucket can be read in pages. Look-up costs O(log n). A record is
// erased when its lifetime has passed. It is never evicted earlier to make room, because its id could then run twice.
#pragma once

#include "request/agent_view.h"

#include <absl/container/btree_map.h>

namespace cicadaward::request {

struct RecordKey {
    uint16_t bucket = 0;
    std::string key;

    friend bool operator<(const RecordKey& a, const RecordKey& b)
    {
        return a.bucket != b.bucket ? a.bucket < b.bucket : a.key < b.key;
    }
};

struct StoredRecord {
    Digest digest;
    ClaimToken token;
    ClaimOrder order;
    RecordState state = RecordState::Claimed;
    Time createdAt;
    std::unique_ptr<StoredBlob> answer; // null when there is none
};

class RecordStore {
public:
    using Map = absl::btree_map<RecordKey, StoredRecord>;

    RecordStore(const AgentView& view, Outbox& out)
        : m_view(view)
        , m_out(out)
    {
    }

    // Returns null if the id has no record. The pointer is valid until the next change of the store.
    StoredRecord* find(const std::string& key);

    // Adds the record or merges it into the existing one. Returns false, without a change, if there is no room.
    bool merge(const Record& record);
    bool isFull() const;
    // Stores the answer of a record. Drops and counts an answer that exceeds the byte limit; the record itself stays.
    void storeAnswer(StoredRecord& record, const StoredBlob& answer);
    void erase(const std::string& key);
    void expire();

    // Records of owned buckets whose state the backup has not confirmed, and when to send them again.
    using Unreplicated = absl::btree_map<RecordKey, RetransmitTimer>;
    Unreplicated& unreplicated() { return m_unreplicated; }
    void markUnreplicated(uint16_t bucket);

    Map& records() { return m_records; }
    Map::iterator bucketBegin(uint16_t bucket) { return m_records.lower_bound({ bucket, "" }); }
    Record toRecord(const RecordKey& key, const StoredRecord& record) const;

    size_t count() const { return m_records.size(); }
    // Accounted memory: keys, answers and the fixed size of the records.
    size_t bytes() const { return m_bytes; }

    // Memory of a record without an answer, measured by request_bench (docs/REQUEST-MEASUREMENTS.md).
    static constexpr size_t recordSizeBytes = 320;

private:
    // Whether the member that holds a large answer is present and not draining.
    bool isAnswerAvailable(const StoredBlob& answer) const;
    static size_t sizeOf(const RecordKey& key, const StoredRecord& record);

    const AgentView& m_view;
    Outbox& m_out;
    Map m_records;
    Unreplicated m_unreplicated;
    std::deque<std::pair<Time, RecordKey>> m_expiry; // in order of insertion
    size_t m_bytes = 0;
};

} // namespace cicadaward::request
