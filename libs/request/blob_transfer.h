// Answers and requests that are too large for one peer message: kept at the agent that has them, fetched in parts.
//
//     StoredBlob stored = blobs.keep(encodeAnswer(answer), lifetime); // inline when small
//     blobs.fetch(tag, stored, deadline);
//     for (auto& done : blobs.takeFetchResults()) ...
//
// A fetch asks for up to `window` parts at a time, repeats what is missing, and compares the digest of the whole, so a
// partial or damaged transfer is never passed on.
#pragma once

#include "request/agent_view.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <map>

namespace cicadaward::request {

class BlobTransfer {
public:
    static constexpr size_t maxBlobBytes = 16 << 20; // bytes
    static constexpr size_t maxFetches = 64;
    static constexpr size_t maxPartsInFlight = 16; // parts

    struct FetchResult {
        uint64_t tag = 0;
        bool isComplete = false;
        std::string bytes;
    };

    BlobTransfer(const AgentView& view, Outbox& out)
        : m_view(view)
        , m_out(out)
    {
    }

    // A result with size 0 means that there was no room.
    StoredBlob store(std::string bytes, Duration lifetime);
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
        size_t requestedParts = 0; // parts asked for the first time
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
