// The owner's decisions about ids that may not be repeated, the backup's copies, and the claimant's reports.
//
//     ledger.on(from, ClaimRequest { ... }); // owner: grants once the backup has confirmed its copy
//     if (!ledger.acceptGrant(reply, digest)) // claimant: false when a newer owner exists, so the grant is void
//         repeatClaim();
//     ledger.finish(record); // claimant or runner: kept here, and reported until the owner confirms
//
// A claim is answered Granted again to the same token, so a lost grant costs a repetition. A claimant that gave up says
// Released, which lets the next claim of the id run. When the claimant of a running claim is asked (ClaimProbe) and
// does not know the token, it has not run and never will, because a process never uses a token twice.
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
    // An answer of a draining member has arrived. False when the tag is not one of this ledger.
    bool onFetched(BlobTransfer::FetchResult& done);

    // Keeps a record of the grant. False when it must not be used: void, known to be over, or no room.
    bool acceptGrant(const ClaimReply& grant, const Digest& digest);
    // Keeps a record of work that this agent runs for the claimant. False when the work must not run.
    bool acceptRun(const std::string& key, const Digest& digest, const ClaimToken& token, const ClaimOrder& order);
    // Final state of a claim: Released, Unknown or Answered.
    void finish(const std::string& key, const Digest& digest, const ClaimToken& token, const ClaimOrder& order,
        RecordState state, const StoredBlob& answer);
    // A grant or probe for a claim of this process that is no longer open.
    void reportUnknownClaim(const std::string& key, const ClaimToken& token);

    size_t reportCount() const { return m_reports.size(); }

private:
    struct Report {
        Record record;
        RetransmitTimer retransmit;
        int sendsLeft = 12; // repetitions; afterwards the owner learns it by a probe
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
    uint64_t m_sequence = 0; // of claims of this process
    std::vector<std::pair<MemberId, Incarnation>> m_backups; // by bucket
    std::map<std::string, Report> m_reports; // by key
    std::map<uint64_t, RecordKey> m_answerFetches; // fetches of answers, by tag
    Time m_nextAnswerFetch;
};

} // namespace cicadaward::request
