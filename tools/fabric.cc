#include "fabric.h"

#include <algorithm>

namespace cicadaward {

Fabric::Fabric(boost::asio::io_context& context, Endpoint listen, uint64_t seed, Receiver receiver)
    : m_random(seed)
    , m_port(context, listen, maxIpPacketBytes, [receiver = std::move(receiver)](Endpoint, uint8_t* data, size_t size) {
        auto parsed = parseIpPacket(data, size);
        if (auto* packet = std::get_if<IpPacket>(&parsed))
            receiver(*packet, data, size);
    })
{
}

void Fabric::setEntries(std::vector<Endpoint> entries)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_entries = std::move(entries);
}

void Fabric::addEntry(Endpoint entry)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (std::find(m_entries.begin(), m_entries.end(), entry) == m_entries.end())
        m_entries.push_back(entry);
}

void Fabric::removeEntry(Endpoint entry)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_entries.erase(std::remove(m_entries.begin(), m_entries.end(), entry), m_entries.end());
}

void Fabric::send(const uint8_t* packet, size_t size)
{
    Endpoint entry;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_entries.empty())
            return;
        entry = m_entries[m_random.below(m_entries.size())];
    }
    m_port.send(entry, packet, size);
}

} // namespace cicadaward
