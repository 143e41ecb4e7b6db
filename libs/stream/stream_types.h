// Counters and limits that the server and the client of a stream share.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadaward {

// Bytes are those of TCP's payload, with HTTP/2 framing. Read on the thread of the io_context.
struct StreamCounters {
    uint64_t bytesSent = 0;
    uint64_t bytesReceived = 0;
    uint64_t connections = 0; // established
    uint64_t requests = 0; // received by a server, sent by a client
    uint64_t refused = 0; // requests or connections rejected because a limit was reached
    uint64_t peerErrors = 0; // connections closed because of what the peer sent
    uint64_t receiveTimeouts = 0; // connections closed by receiveTimeout
};

// A peer that disappears without closing the connection is detected at most receiveTimeout + pingInterval after its
// last byte.
struct StreamLimits {
    std::chrono::milliseconds pingInterval { 1000 }; // a PING is sent when nothing arrived for this long
    std::chrono::milliseconds receiveTimeout { 3000 }; // the connection is closed when nothing arrived for this long
    std::chrono::milliseconds bodyTimeout { 30000 }; // server: for receiving or sending one body
    size_t maxBodyBytes = 8 << 20; // of a request or a reply; a peer that exceeds it is closed
    size_t maxOpenBytes = 64 << 20; // of all bodies held for open requests
    uint32_t maxStreams = 128; // open requests of one connection that a server accepts
};

} // namespace cicadaward
