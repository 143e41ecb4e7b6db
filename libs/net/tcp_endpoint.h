// End point of TCP connections whose packets arrive inside datagrams instead of through the kernel. The agent uses it
// to terminate callers' connections at a service address; load tools use it as the TCP stack of callers.
//
//     TcpEndpoint endpoint({ serviceAddress }, sendIpPacket, handleEvent);
//     endpoint.listen(8080);
//     endpoint.input(packet, size);                 // from the network
//     ... handleEvent(TcpEvent { id, TcpEventKind::Data, "GET / ..." })
//     endpoint.send(id, response);
//     endpoint.close(id);
//
// The stack is lwIP, which has one instance in a process, so a process has at most one TcpEndpoint. `output` and
// `events` are called one at a time with the stack's lock held, on lwIP's thread or on the thread that calls in; they
// must not block and must not call back into the end point. All member functions may be called from any thread. Bytes
// that wait for room in the stack's send buffer are bounded by maxUnsentBytes per connection; send() returns false
// beyond it.
#pragma once

#include "directory/directory.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadaward {

enum class TcpEventKind : uint8_t {
    Opened, // accepted, or connect() has succeeded
    Data,
    PeerClosed, // the peer has sent FIN; the connection can still send
    Closed, // the connection has ended; its id is not reused
};

struct TcpEvent {
    ConnectionId connection;
    TcpEventKind kind = TcpEventKind::Opened;
    std::string data; // for Data
    Endpoint peer; // for Opened
    uint16_t localPort = 0; // for Opened
    bool reset = false; // for Closed: ended by a reset or a failure instead of an orderly close
};

constexpr size_t maxUnsentBytes = 4 << 20;

class TcpEndpoint {
public:
    using PacketOutput = std::function<void(const uint8_t* packet, size_t size)>;
    using EventHandler = std::function<void(TcpEvent&&)>;

    // `addresses`: the local IPv4 addresses, at least one. The first one is the source of connect() by default.
    TcpEndpoint(const std::vector<uint32_t>& addresses, PacketOutput output, EventHandler events);
    ~TcpEndpoint();

    TcpEndpoint(const TcpEndpoint&) = delete;
    TcpEndpoint& operator=(const TcpEndpoint&) = delete;

    absl::Status listen(uint16_t port);
    // The result arrives as an Opened or Closed event. `localAddress` is one of the addresses of the constructor.
    absl::StatusOr<ConnectionId> connect(uint32_t localAddress, Endpoint to);

    // Takes one IP packet. Drops the packet when the stack has no memory for it; TCP retransmits it.
    void input(const uint8_t* packet, size_t size);

    // Returns false when the connection has ended or `bytes` would exceed maxUnsentBytes.
    bool send(ConnectionId, const std::string& bytes);
    // Closes after all unsent bytes were sent.
    void close(ConnectionId);
    // Resets the connection at once.
    void abort(ConnectionId);

    size_t connectionCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cicadaward
