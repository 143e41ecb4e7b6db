// Take-over of buckets: which members have still to say which flows of a bucket they hold. A bucket is settled when
// nobody is left. Internal to the library.
//
// A member that joins later, while a bucket is settled, may return with flows from before its absence. It is asked too,
// but the bucket goes on placing new flows: only a segment of an unknown flow has to wait for the answer
// (isComplete()).
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

    // Starts over for this bucket: all members that may hold flows are asked.
    void takeOver(BucketId bucket);
    void release(BucketId bucket);
    // Asks a member that joined for all buckets that are owned here.
    void memberJoined(MemberId member);

    bool isTaken(BucketId bucket) const { return m_buckets[bucket.value()].taken; }
    bool isSettled(BucketId bucket) const { return isTaken(bucket) && m_buckets[bucket.value()].decisionBlockers == 0; }
    bool isComplete(BucketId bucket) const { return isSettled(bucket) && m_buckets[bucket.value()].resetBlockers == 0; }
    size_t takenCount() const { return m_taken; }
    size_t settledCount() const { return m_settled; }

    // True when the reply belongs to the current session with this member, so that its flows may be learned.
    bool isCurrentReply(MemberId sender, const BucketSyncReply& reply) const;
    // Marks the answered buckets; returns those whose packets can be decided again.
    std::vector<BucketId> handleReply(MemberId sender, const BucketSyncReply& reply);
    // Repeats requests. A member that has been absent for the lease has fenced itself, so decisions no longer wait for
    // it; resets wait for another while, because its flows continue. Returns as answered() does.
    std::vector<BucketId> tick();

private:
    enum class Blocking : uint8_t {
        None,
        Resets,
        Decisions,
    };
    struct Bucket {
        bool taken = false;
        uint16_t decisionBlockers = 0; // members without whose answer nothing is decided
        uint16_t resetBlockers = 0; // members without whose answer no segment is reset
    };
    struct Parts {
        std::vector<bool> seen;
        size_t count = 0;
    };
    struct Session {
        uint64_t id = 0;
        std::vector<Blocking> blockingByBucket; // for each bucket
        size_t pendingBuckets = 0; // buckets with a need
        std::map<BucketId, Parts> parts; // of buckets that need several datagrams
        Time nextRequest;
        Duration interval {};
    };

    // What has to be known from this member now; falls from Hard to Soft to None while it is absent.
    Blocking blockingOf(MemberId member, const Peer& peer) const;
    void awaitReply(MemberId member, BucketId bucket, Blocking blocking);
    // Lowers the need. Returns true when the packets of the bucket can be decided again.
    bool lowerBlocking(Session& session, BucketId bucket, Blocking blocking);
    void sendRequest(MemberId member, Session& session);

    AgentState& m_state;
    Random& m_random;
    std::vector<Bucket> m_buckets;
    std::map<MemberId, Session> m_sessions;
    size_t m_taken = 0;
    size_t m_settled = 0;
};

} // namespace cicadaward::flow::detail
