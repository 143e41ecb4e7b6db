// Parses the headers of an IPv4 packet without allocation. A packet that cannot be forwarded gives an error value:
//
//     auto parsed = parseIpPacket(data, size);
//     if (auto* error = std::get_if<PacketError>(&parsed))
//         metrics.count(*error);
//     else
//         route(std::get<IpPacket>(parsed).key);
//
// IPv6 and fragments are rejected: a fragment after the first has no ports, and the network in front of the load
// balancer does not fragment.
#pragma once

#include "packet/flow_key.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cicadaward {

enum class PacketError : uint8_t {
    Truncated,
    NotIpv4,
    BadHeaderLength,
    BadTotalLength,
    Fragment,
    UnsupportedProtocol,
};
constexpr size_t packetErrorCount = 6;
const char* packetErrorName(PacketError error);

struct TcpFlags {
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;

    // Only the first segment of a connection has SYN without ACK.
    bool isInitialSyn() const { return syn && !ack; }
};

// Largest IP packet that is forwarded, bytes.
constexpr size_t maxIpPacketBytes = 9000;

struct IpPacket {
    FlowKey key;
    TcpFlags flags; // all false for UDP
    uint32_t tcpSequence = 0;
    uint32_t tcpAcknowledgement = 0;
    uint16_t payloadOffset = 0; // bytes from the start of the IP header
    uint16_t payloadSize = 0; // bytes
};

std::variant<IpPacket, PacketError> parseIpPacket(const uint8_t* data, size_t size);

// Builds the RST that closes the connection at the sender of `packet` (RFC 9293, 3.10.7.1). 40 bytes.
std::vector<uint8_t> buildTcpReset(const IpPacket& packet);

// Builds an IPv4 packet with a TCP segment, including both checksums. `flags` sets the header bits; the window is
// 65,535 bytes.
std::vector<uint8_t> buildTcpPacket(
    const FlowKey& key, TcpFlags flags, uint32_t sequence, uint32_t acknowledgement, const std::string& payload);

} // namespace cicadaward
