#include "steering/early_packets.h"

namespace cicadaward::steering {

bool EarlyPackets::add(const uint8_t* data, size_t size)
{
    if (m_packets.size() >= m_options.maxPackets || m_bytes + size > m_options.maxBytes)
        return false;
    m_packets.push_back({ m_clock.now(), std::vector<uint8_t>(data, data + size) });
    m_bytes += size;
    return true;
}

std::vector<std::vector<uint8_t>> EarlyPackets::takeOverdue()
{
    return takeArrivedBy(m_clock.now() - m_options.maxWait);
}

std::vector<std::vector<uint8_t>> EarlyPackets::takeAll() { return takeArrivedBy(m_clock.now()); }

std::vector<std::vector<uint8_t>> EarlyPackets::takeArrivedBy(Time arrived)
{
    std::vector<std::vector<uint8_t>> taken;
    while (!m_packets.empty() && m_packets.front().arrived <= arrived) {
        m_bytes -= m_packets.front().bytes.size();
        taken.push_back(std::move(m_packets.front().bytes));
        m_packets.pop_front();
    }
    return taken;
}

} // namespace cicadaward::steering
