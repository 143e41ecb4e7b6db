#include "request/retry_budget.h"

#include <algorithm>

namespace cicadaward::request {

RetryBudget::Entry& RetryBudget::entry(uint32_t caller)
{
    auto found = m_entries.find(caller);
    if (found != m_entries.end()) {
        m_lruCallers.splice(m_lruCallers.begin(), m_lruCallers, found->second.lruPosition);
        return found->second;
    }
    if (m_entries.size() >= maxCallers) {
        m_entries.erase(m_lruCallers.back());
        m_lruCallers.pop_back();
    }
    m_lruCallers.push_front(caller);
    Entry& added = m_entries[caller];
    added.lruPosition = m_lruCallers.begin();
    return added;
}

void RetryBudget::addRequest(uint32_t caller)
{
    Entry& found = entry(caller);
    found.tokens = std::min(found.tokens + m_share, maxTokens);
}

std::optional<Duration> RetryBudget::takeRetry(uint32_t caller, uint32_t retry, Duration remaining)
{
    Entry& found = entry(caller);
    // Tolerates the rounding error of the sum: ten times 0.1 is slightly less than 1.
    if (found.tokens + 1e-9 < 1)
        return std::nullopt;
    double factor = 0.5 + m_random.unit();
    double scale = static_cast<double>(1U << std::min<uint32_t>(retry - 1, 6));
    Duration wait = std::chrono::duration_cast<Duration>(initialBackoff * (scale * factor));
    if (wait >= remaining)
        return std::nullopt;
    found.tokens -= 1;
    return wait;
}

} // namespace cicadaward::request
