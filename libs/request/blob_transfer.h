// Transfers encoded answers and requests (blobs) that are too large for one peer message. A blob is stored at the agent
// that has it, and other agents fetch it in parts.
//
//     StoredBlob stored = blobs.store(encodeAnswer(answer), lifetime); // with the bytes inline if small
//     blobs.fetch(tag, stored, deadline);
//     for (auto& done : blobs.takeFetchResults()) ...
//
// A fetch requests up to `maxPartsInFlight` parts at a time, requests missing parts again, and compares the digest of
// the complete blob, so that a partial or damaged blob is never used.
#pragma once

#include "request/agent_view.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <map>

namespace cicadaward::request {

class BlobTransfer {
public:
    static constexpr size_t maxBlobBytes = 16 << 20;
    static constexpr size_t maxFetches = 64;
    static constexpr size_t maxPartsInFlight = 16;

    struct FetchResult {
        uint64_t tag = 0;
        bool isComplete = false; // `bytes` holds the complete blob, otherwise nothing
        std::string bytes;
    };

    BlobTransfer(const AgentView& view, Outbox& out)
        : m_view(view)
        , m_out(out)
    {
    }

    // Returns a StoredBlob of size 0 if there is no room.
    StoredBlob store(std::string bytes, Duration lifetime);
    // The result is returned by takeFetchResults() with the same `tag`. The fetch fails at `deadline`, or when the
    // holder has left the directory or restarted.
    void fetch(uint64_t tag, const StoredBlob& stored, Time deadline);
    void cancel(uint64_t tag) { m_fetches.erase(tag); }
    std::vector<FetchResult> takeFetchResults() { return std::exchange(m_fetchResults, {}); }
    bool hasFetchResults() const { return !m_fetchResults.empty(); }

    void on(MemberId from, const FetchRequest& message);
    void on(MemberId from, const FetchReply& message);
    void tick();

    size_t bytes() const { return m_bytes; }

private:
    struct Blob {
        std::string bytes;
        Time expiry;
    };
    struct Fetch {
        StoredBlob stored;
        Time deadline;
        std::string bytes;
        std::vector<bool> received;
        size_t missingParts = 0;
        size_t requestedParts = 0; // parts [0, requestedParts) have been requested at least once
        RetransmitTimer retransmit;
    };
    void finish(uint64_t tag, bool isComplete, std::string bytes);
    void requestPart(const Fetch& fetch, size_t part);

    const AgentView& m_view;
    Outbox& m_out;
    absl::flat_hash_map<uint64_t, Blob> m_blobs;
    absl::btree_map<std::pair<Time, uint64_t>, bool> m_expiry;
    size_t m_bytes = 0;
    std::map<uint64_t, Fetch> m_fetches;
    std::vector<FetchResult> m_fetchResults;
};

} // namespace cicadaward::request
