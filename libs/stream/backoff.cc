#include "stream/backoff.h"

#include <algorithm>

namespace cicadaward {

std::chrono::milliseconds Backoff::next()
{
    const int64_t initialDelay = std::max<int64_t>(1, m_limits.initialDelay.count());
    const int64_t maxDelay = std::max(initialDelay, static_cast<int64_t>(m_limits.maxDelay.count()));
    int64_t delay = initialDelay;
    for (int i = 0; i < m_attempts && delay < maxDelay; ++i)
        delay = std::min(maxDelay, delay * 2);
    const int64_t minDelay = m_attempts == 0 ? 0 : delay / 2;
    m_attempts = std::min(m_attempts + 1, 64);
    return std::chrono::milliseconds(
        minDelay + static_cast<int64_t>(m_random.below(static_cast<uint64_t>(delay - minDelay) + 1)));
}

} // namespace cicadaward
