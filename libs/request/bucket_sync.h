// Which buckets this agent may decide for, and the take-over of buckets from earlier owners.
//
//     if (!sync.isSettled(bucket))
//         return; // the claimant repeats its claim
//     if (sync.mayHaveLostRecord(key))
//         answerUnknown();
//
// A bucket is settled once every member of the service has sent its records, or has been absent from the directory for
// the lease and has therefore fenced itself. A member that answers promises to act on no older version for these
// buckets: it neither decides, nor stores copies, nor accepts grants of an older version. So at most one agent decides
// for a bucket at any moment, and no grant that is still on its way can be used after the new owner has settled.
//
// Lost records: each granted claim is kept by at least two members (owner and backup; also the claimant when it is a
// third one). Records are therefore complete while fewer than two members have lost theirs within the record lifetime.
// A member counts as lost when it left the directory, restarted, or missed directory versions without control contact;
// members tell each other about the losses they know. With two or more, the buckets get an amnesia time: an id that
// could have been seen before that time is `unknown`. A member answers only once its directory is at least as new as
// the question, so that it vouches for all losses until then. The rule counts members and not their buckets, and it
// ignores copies that were repaired in between, so it errs towards `unknown`.
#pragma once

#include "request/record_store.h"

#include <map>
#include <optional>

namespace cicadaward::request {

class BucketSync {
public:
    BucketSync(const AgentView& view, Outbox& out, RecordStore& store);

    // `before` may be null. Called after the view has the new directory.
    void directoryChanged(const std::shared_ptr<const Directory>& before, bool wasFenced);
    void tick();
    void on(MemberId from, const SyncRequest& message);
    void on(MemberId from, const SyncReply& message);

    bool isSettled(BucketId bucket) const
    {
        return bucket.value() < m_buckets.size() && m_buckets[bucket.value()].settled;
    }
    // Whether a decision of an owner at `version` still counts here.
    bool acceptsVersion(BucketId bucket, DirectoryVersion version) const
    {
        return bucket.value() >= m_buckets.size() || version >= m_buckets[bucket.value()].promisedVersion;
    }
    // The id could have been seen before records were lost, or before the lifetime of records.
    bool mayHaveLostRecord(const std::string& key) const;
    size_t unsettledCount() const;
    // Every bucket that this agent owned has been read by a later owner, or nobody can own buckets.
    bool isHandedOver() const;

    // Milliseconds since 1970 in a UUIDv7 in its usual text form; nothing for any other key.
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
        bool hasReplied = false; // at least one page; the member holds records
        std::optional<Time> absentSince;
        uint16_t fromBucket = 0;
        std::string fromKey;
        RetransmitTimer retransmit;
    };
    struct Session {
        uint64_t id = 0;
        DirectoryVersion version;
        Time earliestSettle;
        bool hasOverflowed = false; // the store had no room for all records
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
    Time m_startedAt;
    std::vector<Bucket> m_buckets;
    std::vector<Session> m_sessions;
    std::map<MemberId, Time> m_recordLosses; // when each member lost its records
    std::map<MemberId, std::pair<Incarnation, Time>> m_departed; // absent from the directory, since when
};

} // namespace cicadaward::request
