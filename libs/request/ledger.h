// The protocol that runs a request which is not repeatable at most once: the owner's decisions about claims, the
// backup's copies of the records, and the reports of claimants and runners about the final state of a claim.
//
//     ledger.on(from, ClaimRequest { ... }); // owner: grants once the backup has confirmed its copy
//     if (!ledger.acceptGrant(reply, digest)) // claimant: false when the grant must not be used
//         repeatClaim();
//     ledger.finish(key, digest, token, order, RecordState::Answered, answer); // claimant or runner
//
// A final state is stored here and sent to the owner until it acknowledges it, at most 13 times.
//
// The owner grants a repeated claim with the same token again, so a lost grant only costs a retransmission. A claimant
// that has not run the request reports Released, so that the next claim of the id can be granted. When another claim of
// the id arrives, the owner probes the claimant of the running claim (ClaimProbe). A claimant that has neither the
// token nor a record of it has not run the claim and never will, because a process never uses a token twice.
#pragma once

#include "request/blob_transfer.h"
#include "request/bucket_sync.h"

namespace cicadaward::request {

class Ledger {
public:
    Ledger(const AgentView& view, Outbox& out, RecordStore& store, BucketSync& sync, BlobTransfer& blobs)
        : m_view(view)
        , m_out(out)
        , m_store(store)
        , m_sync(sync)
        , m_blobs(blobs)
    {
    }

    void directoryChanged();
    void tick();

    void on(MemberId from, const ClaimRequest& message);
    void on(MemberId from, const RecordCopy& message);
    void on(MemberId from, const RecordCopyAck& message);
    void on(MemberId from, const ClaimResult& message);
    void on(MemberId from, const ClaimResultAck& message);
    // Handles the result of a fetch from a draining member. Returns false if this ledger did not start the fetch.
    bool onFetched(BlobTransfer::FetchResult& done);

    // Stores a record of the grant. Returns false if the grant must not be used: a newer owner exists, the id has a
    // final state, or there is no room.
    bool acceptGrant(const ClaimReply& grant, const Digest& digest);
    // Stores a record of a request that this agent runs for the claimant. Returns false if the request must not run.
    bool acceptRun(const std::string& key, const Digest& digest, const ClaimToken& token, const ClaimOrder& order);
    // Reports the final state of a claim to the owner: Released, Unknown or Answered.
    void finish(const std::string& key, const Digest& digest, const ClaimToken& token, const ClaimOrder& order,
        RecordState state, const StoredBlob& answer);
    // Answers a grant or probe for a claim of this process that is no longer open.
    void reportUnknownClaim(const std::string& key, const ClaimToken& token);

    size_t reportCount() const { return m_reports.size(); }

private:
    struct Report {
        Record record;
        RetransmitTimer retransmit;
        int sendsLeft = 12; // retransmissions; after the last one the owner has to probe
    };

    void reply(const Record& record, ClaimVerdict verdict);
    void replyFromRecord(MemberId from, const ClaimRequest& message, const RecordKey& key, StoredRecord& record);
    void addClaim(const ClaimRequest& message);
    void replicate(const RecordKey& key);
    void onReplicated(const RecordKey& key);
    void fetchDrainingAnswers();

    const AgentView& m_view;
    Outbox& m_out;
    RecordStore& m_store;
    BucketSync& m_sync;
    BlobTransfer& m_blobs;
    uint64_t m_sequence = 0; // of the last claim that this process has ordered as an owner
    std::vector<std::pair<MemberId, Incarnation>> m_backups; // by bucket, in the current directory
    std::map<std::string, Report> m_reports; // by key
    std::map<uint64_t, RecordKey> m_answerFetches; // open fetches from draining members, by tag
    Time m_nextAnswerFetch;
};

} // namespace cicadaward::request
