// Codec of the datagram that carries one IP packet between two processes of the system.
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
    PeerMessage = 4, // a message between the flow machines of two agents instead of an IP packet
    RequestMessage = 5, // a message between the request machines of two agents instead of an IP packet
};

struct TunnelHeader {
    TunnelKind kind = TunnelKind::ToOwner;
    uint8_t hops = 0; // processes passed since the fabric
    BucketId bucket;
    ServiceId service;
    DirectoryVersion version; // the sender's
    MemberId sender;
    DataCentreId dataCentre; // the sender's
    Incarnation targetIncarnation; // of the holder, 0 when the sender does not know it
};

constexpr size_t tunnelHeaderBytes = 44; // bytes
constexpr size_t maxTunnelDatagramBytes = tunnelHeaderBytes + maxIpPacketBytes; // bytes

// A packet that has passed this many processes is dropped, so that disagreeing tables cannot loop it.
constexpr uint8_t maxHops = 4;

// Writes the header and the payload to `out`, which has room for maxTunnelDatagramBytes bytes. Returns the bytes
// written. `payload` may already stand at out + tunnelHeaderBytes.
size_t encodeTunnel(const TunnelHeader& header, const uint8_t* payload, size_t payloadSize, uint8_t* out);

// Returns false on a short datagram, another format version or an unknown kind.
bool decodeTunnel(const uint8_t* data, size_t size, TunnelHeader& header);

} // namespace cicadaward
