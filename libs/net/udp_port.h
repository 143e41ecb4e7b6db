// A bound UDP socket that calls a handler for each datagram on the event loop's thread. Sending is possible from any
// thread and never waits: a datagram that does not fit the kernel's send buffer is dropped and counted.
//
//     UdpPort port(context, { address, 7100 }, maxTunnelDatagramBytes, [&](Endpoint sender, uint8_t* data, size_t size)
//     { ...
//     }); if (!port.status().ok())
//         return port.status(); // for example the address is in use
//     port.send({ peerAddress, 7100 }, data, size);
#pragma once

#include "directory/directory.h"

#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <vector>

namespace cicadaward {

class UdpPort {
public:
    // `data` is valid during the call only. Its buffer has 64 bytes beyond maxDatagramSize, for a trailer that is
    // appended in place.
    using Handler = std::function<void(Endpoint sender, uint8_t* data, size_t size)>;

    UdpPort(boost::asio::io_context&, Endpoint listen, size_t maxDatagramSize, Handler);

    const absl::Status& status() const { return m_status; }
    Endpoint localEndpoint() const;

    bool send(Endpoint to, const uint8_t* data, size_t size);
    void close();

    uint64_t receivedDatagrams() const { return m_receivedDatagrams.load(std::memory_order_relaxed); }
    // Datagrams that the kernel dropped because the receive buffer was full. Costs a system call.
    uint64_t receiveDrops();
    uint64_t sendFailures() const { return m_sendFailures.load(std::memory_order_relaxed); }

private:
    void waitForDatagrams();
    void readAvailable();

    boost::asio::ip::udp::socket m_socket;
    std::vector<uint8_t> m_buffer;
    Handler m_handler;
    absl::Status m_status;
    std::atomic<uint64_t> m_receivedDatagrams { 0 };
    std::atomic<uint64_t> m_sendFailures { 0 };
};

} // namespace cicadaward
