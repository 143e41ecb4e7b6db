// Limits retries to a share of the requests of one caller, so that retries do not multiply an overload.
//
//     budget.addRequest(caller);
//     std::optional<Duration> wait = budget.takeRetry(caller, attempt, remaining);
//     if (!wait)
//         giveUp();
//
// One agent serves one service, so the budget is per service and caller. Each request earns a caller `share` of a
// retry, up to `maxTokens`. The least recently seen caller is forgotten when there are more than `maxCallers`; it
// starts with an empty budget, so forgetting gives nobody more retries.
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
    static constexpr double maxTokens = 10; // retries in a burst
    static constexpr Duration initialBackoff = std::chrono::milliseconds(10);

    RetryBudget(Random& random, double share)
        : m_random(random)
        , m_share(share)
    {
    }

    void addRequest(uint32_t caller);
    // The wait before retry number `retry` (from 1), or nothing when the budget is used up or the wait would pass the
    // deadline. Waits double from `initialBackoff`, each with a random factor in [0.5, 1.5).
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
