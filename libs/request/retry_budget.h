// A token bucket that limits the retries of each caller to a share of its requests, so that retries do not amplify an
// overload.
//
//     budget.addRequest(caller);
//     std::optional<Duration> wait = budget.takeRetry(caller, retry, remaining);
//     if (!wait)
//         reportFailure();
//
// One agent serves one service, so the budget is per service and caller. Each request adds `share` tokens, up to
// `maxTokens`; each retry takes one. When there are more than `maxCallers`, the least recently seen caller is evicted.
// It starts again with an empty bucket, so eviction gives no caller more retries.
#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <list>
#include <optional>

namespace cicadaward::request {

class RetryBudget {
public:
    static constexpr size_t maxCallers = 4096;
    static constexpr double maxTokens = 10; // the largest burst of retries
    static constexpr Duration initialBackoff = std::chrono::milliseconds(10);

    RetryBudget(Random& random, double share)
        : m_random(random)
        , m_share(share)
    {
    }

    void addRequest(uint32_t caller);
    // Takes a token and returns the wait before retry number `retry` (from 1). Returns nothing if the bucket is empty
    // or the wait would reach `remaining`, the time until the deadline. Waits double from `initialBackoff`, up to 64
    // times it, and are multiplied by a random factor in [0.5, 1.5).
    std::optional<Duration> takeRetry(uint32_t caller, uint32_t retry, Duration remaining);

private:
    struct Entry {
        double tokens = 0;
        std::list<uint32_t>::iterator lruPosition;
    };
    Entry& entry(uint32_t caller);

    Random& m_random;
    double m_share;
    absl::flat_hash_map<uint32_t, Entry> m_entries;
    std::list<uint32_t> m_lruCallers; // most recent first
};

} // namespace cicadaward::request
