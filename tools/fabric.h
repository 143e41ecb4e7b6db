// Stand-in for the platform's fabric: hands each packet from a caller to a random entry, and each packet from the
// system to the caller that it is addressed to. It keeps sending to an entry that has died until the driver removes it,
// as a real fabric does until its own health check has failed.
#pragma once

#include "core/random.h"
#include "net/udp_port.h"
#include "packet/ip_packet.h"

#include <mutex>
#include <vector>

namespace cicadaward {

class Fabric {
public:
    using Receiver = std::function<void(const IpPacket&, const uint8_t* data, size_t size)>;

    // `listen` is where agents send packets for callers. `receiver` runs on the event loop's thread.
    Fabric(boost::asio::io_context&, Endpoint listen, uint64_t seed, Receiver receiver);

    const absl::Status& status() const { return m_port.status(); }

    void setEntries(std::vector<Endpoint>);
    void addEntry(Endpoint);
    void removeEntry(Endpoint);

    // From any thread.
    void send(const uint8_t* packet, size_t size);

private:
    std::mutex m_mutex;
    Random m_random;
    std::vector<Endpoint> m_entries;
    UdpPort m_port;
};

} // namespace cicadaward
