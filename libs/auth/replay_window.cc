#include "auth/replay_window.h"

#include <algorithm>

namespace cicadaward {

bool ReplayWindow::accept(uint64_t sequence)
{
    constexpr uint64_t size = 64;
    if (m_seenBits == 0 || sequence > m_highest) {
        const uint64_t step = sequence - m_highest;
        m_seenBits = m_seenBits == 0 || step >= size ? 1 : (m_seenBits << step) | 1;
        m_highest = sequence;
        return true;
    }
    const uint64_t age = m_highest - sequence;
    if (age >= size)
        return false;
    const uint64_t bit = uint64_t { 1 } << age;
    if ((m_seenBits & bit) != 0)
        return false;
    m_seenBits |= bit;
    return true;
}

bool ReplayGuard::accept(MemberId sender, uint64_t sequence)
{
    if (m_senders.size() >= m_maxSenders && !m_senders.contains(sender) && !m_senders.empty()) {
        const auto oldest = std::min_element(m_senders.begin(), m_senders.end(),
            [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; });
        m_senders.erase(oldest);
        ++m_evictedSenderCount;
    }
    Sender& entry = m_senders[sender];
    entry.lastUse = ++m_useCount;
    return entry.window.accept(sequence);
}

} // namespace cicadaward
