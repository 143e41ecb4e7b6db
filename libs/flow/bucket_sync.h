// Take-over of buckets. The new owner of a bucket asks every member that may hold flows of the bucket for these flows.
// A missing answer blocks all decisions about the bucket (placing flows and answering segments of unknown flows with a
// reset), or only the resets. A bucket is settled when no missing answer blocks all decisions. Internal to the library.
//
// A member that joins while a bucket is settled may return with flows from before its absence. It is asked too, but the
// owner continues to place new flows of the bucket; only segments of unknown flows wait for the answer (isComplete()).
#pragma once

#include "core/random.h"
#include "flow/agent_state.h"

#include <map>
#include <vector>

namespace cicadaward::flow::detail {

class BucketSync {
public:
    BucketSync(AgentState& state, Random& random)
        : m_state(state)
        , m_random(random)
    {
    }

    void resize(size_t buckets);

    // Starts the take-over of the bucket, again if it had been taken over before: all members that may hold flows are
    // asked.
    void takeOver(BucketId bucket);
    // Ends the ownership of the bucket, even while its take-over is running.
    void release(BucketId bucket);
    // Asks a member that has joined about all buckets that are owned here.
    void memberJoined(MemberId member);

    bool isTakenOver(BucketId bucket) const { return m_buckets[bucket.value()].takenOver; }
    bool isSettled(BucketId bucket) const
    {
        return isTakenOver(bucket) && m_buckets[bucket.value()].decisionBlockers == 0;
    }
    bool isComplete(BucketId bucket) const { return isSettled(bucket) && m_buckets[bucket.value()].resetBlockers == 0; }
    size_t takenOverCount() const { return m_takenOverCount; }
    size_t settledCount() const { return m_settledCount; }

    // True when the reply belongs to the current session with this member, so that its flows may be recorded.
    bool isCurrentReply(MemberId sender, const BucketSyncReply& reply) const;
    // Marks the buckets that the reply answers. Returns those whose queued packets can be handled again.
    std::vector<BucketId> handleReply(MemberId sender, const BucketSyncReply& reply);
    // Repeats requests. A member that has been absent for the lease time can no longer place or admit flows, so
    // decisions stop waiting for it; resets wait until absentMemberTimeout, because its flows continue. Returns the
    // buckets whose queued packets can be handled again.
    std::vector<BucketId> tick();

private:
    // What the missing answer of a member blocks.
    enum class Blocking : uint8_t {
        None,
        Resets,
        Decisions,
    };
    struct Bucket {
        bool takenOver = false;
        uint16_t decisionBlockers = 0; // members whose missing answer blocks decisions
        uint16_t resetBlockers = 0; // members whose missing answer blocks only resets of unknown flows
    };
    struct Parts {
        std::vector<bool> seen;
        size_t count = 0;
    };
    // The unanswered requests to one member.
    struct Session {
        uint64_t id = 0;
        std::vector<Blocking> blockingByBucket;
        size_t pendingBuckets = 0; // buckets that the member has not answered for
        std::map<BucketId, Parts> parts; // received parts of buckets whose flows need several datagrams
        Time nextRequest;
        Duration interval {};
    };

    // What a missing answer of this member blocks now. While the member is absent, it falls from Decisions to Resets to
    // None.
    Blocking blockingOf(MemberId member, const Peer& peer) const;
    void awaitReply(MemberId member, BucketId bucket, Blocking blocking);
    // Lowers what the missing answer blocks. Returns true when queued packets of the bucket can be handled again.
    bool lowerBlocking(Session& session, BucketId bucket, Blocking blocking);
    void sendRequest(MemberId member, Session& session);

    AgentState& m_state;
    Random& m_random;
    std::vector<Bucket> m_buckets;
    std::map<MemberId, Session> m_sessions;
    size_t m_takenOverCount = 0;
    size_t m_settledCount = 0;
};

} // namespace cicadaward::flow::detail
