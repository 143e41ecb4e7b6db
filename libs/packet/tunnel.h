// Encodes and decodes the datagram that carries one IP packet, or one message, between two processes.
//
//     uint8_t buffer[maxTunnelDatagramBytes];
//     size_t size = encodeTunnel(header, packet, packetSize, buffer);
//     ...
//     TunnelHeader header;
//     if (!decodeTunnel(buffer, size, header))
//         drop();
//
// The header is followed by the IP packet. All numbers are big endian. The keyed hash is added by the auth library.
#pragma once

#include "core/ids.h"
#include "core/version.h"
#include "packet/ip_packet.h"

namespace cicadaward {

enum class TunnelKind : uint8_t {
    ToOwner = 1, // to the bucket's owner, which decides
    ToHolder = 2, // to the holder of an established flow
    OpenFlow = 3, // to the member that the owner has chosen for a new flow
    PeerMessage = 4, // carries a message between the flow state machines of two agents, not an IP packet
    RequestMessage = 5, // carries a message between the request state machines of two agents, not an IP packet
};

struct TunnelHeader {
    TunnelKind kind = TunnelKind::ToOwner;
    uint8_t hops = 0; // processes that have forwarded the packet
    BucketId bucket;
    ServiceId service;
    DirectoryVersion version; // the sender's
    MemberId sender;
    DataCentreId dataCentre; // the sender's
    Incarnation targetIncarnation; // of the holder, 0 when the sender does not know it
};

constexpr size_t tunnelHeaderBytes = 44; // bytes
constexpr size_t maxTunnelDatagramBytes = tunnelHeaderBytes + maxIpPacketBytes; // bytes

// A packet is dropped after this many hops, so that inconsistent routing tables cannot make it loop.
constexpr uint8_t maxHops = 4;

// Writes the header and the payload to `out`, which has room for maxTunnelDatagramBytes bytes. Returns the bytes
// written. `payload` may already stand at out + tunnelHeaderBytes.
size_t encodeTunnel(const TunnelHeader& header, const uint8_t* payload, size_t payloadSize, uint8_t* out);

// Returns false when the datagram is too short, has another format version or an unknown kind.
bool decodeTunnel(const uint8_t* data, size_t size, TunnelHeader& header);

} // namespace cicadaward
