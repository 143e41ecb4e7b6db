// Decides for which buckets this agent may grant claims, and takes buckets over from their earlier owners.
//
//     if (!sync.isSettled(bucket))
//         return; // the claimant repeats its claim
//     if (sync.mayHaveLostRecord(key))
//         answerUnknown();
//
// A new owner asks every member of the service for its records of the bucket (SyncRequest). The bucket is settled, and
// the owner may grant claims, once each member has sent its records or has been absent from the directory for the lease
// and is therefore fenced. A member that replies promises, as in Paxos, to act on no older directory version for these
// buckets: it neither grants claims, nor stores copies, nor accepts grants of an older version. So at most one agent
// grants claims for a bucket at any time, and a grant that is in flight cannot be used once the new owner has settled.
//
// Lost records: each granted claim is stored by at least two members (the owner and the backup, and the claimant if it
// is a third one). Records are therefore complete while fewer than two members have lost theirs within the record
// lifetime. A member counts as having lost its records when it left the directory, restarted, or missed directory
// versions without control contact; members exchange the losses that they know of. After two or more losses a settled
// bucket is in quarantine: an id that could have been used before the last loss is answered `unknown`, until the record
// lifetime has passed since that loss. A member replies only once its directory is at least as new as that of the
// request, so that its reply includes all losses up to that version. The rule counts members and not their buckets, and
// it ignores records that have been replicated again in between, so it errs towards `unknown`.
#pragma once

#include "request/record_store.h"

#include <map>
#include <optional>

namespace cicadaward::request {

class BucketSync {
public:
    BucketSync(const AgentView& view, Outbox& out, RecordStore& store);

    // Call after the view has the new directory. `before` is the previous one and may be null.
    void directoryChanged(const std::shared_ptr<const Directory>& before, bool wasFenced);
    void tick();
    void on(MemberId from, const SyncRequest& message);
    void on(MemberId from, const SyncReply& message);

    bool isSettled(BucketId bucket) const
    {
        return bucket.value() < m_buckets.size() && m_buckets[bucket.value()].settled;
    }
    // Whether this agent still accepts copies and grants of an owner at `version`.
    bool acceptsVersion(BucketId bucket, DirectoryVersion version) const
    {
        return bucket.value() >= m_buckets.size() || version >= m_buckets[bucket.value()].promisedVersion;
    }
    // Whether the id may have had a record that was lost or has expired.
    bool mayHaveLostRecord(const std::string& key) const;
    size_t unsettledCount() const;
    // Whether a later owner has fetched the records of every bucket that this agent owned, or no member can own
    // buckets.
    bool isHandedOver() const;

    // The creation time in a UUIDv7 in its usual text form, in ms since 1970; nothing for any other key.
    static std::optional<std::chrono::milliseconds> creationTime(const std::string& key);

private:
    struct Bucket {
        DirectoryVersion promisedVersion;
        bool settled = false;
        bool needsHandOver = false;
        std::chrono::milliseconds quarantineCutoff {};
        Time quarantineEnd {};
    };
    struct SyncPeer {
        MemberId member;
        Incarnation process;
        bool isComplete = false;
        bool hasReplied = false; // with at least one page
        std::optional<Time> absentSince;
        uint16_t fromBucket = 0;
        std::string fromKey;
        RetransmitTimer retransmit;
    };
    struct Session {
        uint64_t id = 0;
        DirectoryVersion version;
        Time earliestSettle;
        bool hasOverflowed = false; // the record store had no room for all records
        std::vector<uint16_t> buckets;
        std::vector<SyncPeer> peers;
    };

    void updateRecordLosses(const Directory* before, bool missedVersions);
    void startSessions();
    void restartSessions();
    void sendSyncRequest(const Session& session, SyncPeer& peer);
    void settleWhenComplete(Session& session);
    std::optional<Time> lossCutoff(const Session& session) const;
    void unsettle(uint16_t bucket);

    const AgentView& m_view;
    Outbox& m_out;
    RecordStore& m_store;
    Time m_startedAt; // of this process
    std::vector<Bucket> m_buckets;
    std::vector<Session> m_sessions;
    std::map<MemberId, Time> m_recordLosses; // when each member lost its records
    std::map<MemberId, std::pair<Incarnation, Time>> m_departed; // members that left the directory, and when
};

} // namespace cicadaward::request
