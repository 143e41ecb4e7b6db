// Reads headers through the C library's structs. Only the tests use libtins, as the reference implementation: it
// allocates an object for each header, which is too slow for the forwarding path.

#include "packet/ip_packet.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace cicadaward {

namespace detail {

    constexpr uint16_t moreFragments = 0x2000;
    constexpr uint16_t fragmentOffsetMask = 0x1fff;

    uint32_t addToChecksum(const uint8_t* data, size_t size, uint32_t sum)
    {
        for (size_t i = 0; i + 1 < size; i += 2)
            sum += static_cast<uint32_t>(data[i] << 8 | data[i + 1]);
        if (size % 2 == 1)
            sum += static_cast<uint32_t>(data[size - 1] << 8);
        return sum;
    }

    uint16_t foldChecksum(uint32_t sum)
    {
        while (sum >> 16)
            sum = (sum & 0xffff) + (sum >> 16);
        return static_cast<uint16_t>(~sum);
    }

    uint16_t tcpChecksum(const iphdr& ip, const uint8_t* segment, size_t size)
    {
        uint32_t sum = addToChecksum(reinterpret_cast<const uint8_t*>(&ip.saddr), 8, 0);
        sum += IPPROTO_TCP + static_cast<uint32_t>(size);
        return foldChecksum(addToChecksum(segment, size, sum));
    }

    std::variant<IpPacket, PacketError> parseTcp(IpPacket packet, const uint8_t* segment, size_t size)
    {
        if (size < sizeof(tcphdr))
            return PacketError::Truncated;
        tcphdr tcp;
        std::memcpy(&tcp, segment, sizeof(tcp));
        size_t headerSize = tcp.doff * 4U;
        if (headerSize < sizeof(tcphdr) || headerSize > size)
            return PacketError::BadHeaderLength;
        packet.key.sourcePort = ntohs(tcp.source);
        packet.key.destinationPort = ntohs(tcp.dest);
        packet.flags = { tcp.syn != 0, tcp.ack != 0, tcp.fin != 0, tcp.rst != 0 };
        packet.tcpSequence = ntohl(tcp.seq);
        packet.tcpAcknowledgement = ntohl(tcp.ack_seq);
        packet.payloadOffset = static_cast<uint16_t>(packet.payloadOffset + headerSize);
        packet.payloadSize = static_cast<uint16_t>(size - headerSize);
        return packet;
    }

    std::variant<IpPacket, PacketError> parseUdp(IpPacket packet, const uint8_t* segment, size_t size)
    {
        if (size < sizeof(udphdr))
            return PacketError::Truncated;
        udphdr udp;
        std::memcpy(&udp, segment, sizeof(udp));
        packet.key.sourcePort = ntohs(udp.source);
        packet.key.destinationPort = ntohs(udp.dest);
        packet.payloadOffset = static_cast<uint16_t>(packet.payloadOffset + sizeof(udphdr));
        packet.payloadSize = static_cast<uint16_t>(size - sizeof(udphdr));
        return packet;
    }

} // namespace detail

const char* packetErrorName(PacketError error)
{
    static const char* const names[packetErrorCount]
        = { "truncated", "not_ipv4", "bad_header_length", "bad_total_length", "fragment", "unsupported_protocol" };
    return names[static_cast<size_t>(error)];
}

std::variant<IpPacket, PacketError> parseIpPacket(const uint8_t* data, size_t size)
{
    iphdr ip;
    if (size < sizeof(ip))
        return PacketError::Truncated;
    std::memcpy(&ip, data, sizeof(ip));
    if (ip.version != 4)
        return PacketError::NotIpv4;
    size_t headerSize = ip.ihl * 4U;
    size_t totalSize = ntohs(ip.tot_len);
    if (headerSize < sizeof(iphdr) || headerSize > size)
        return PacketError::BadHeaderLength;
    if (totalSize < headerSize || totalSize > size || totalSize > maxIpPacketBytes)
        return PacketError::BadTotalLength;
    if (ntohs(ip.frag_off) & (detail::moreFragments | detail::fragmentOffsetMask))
        return PacketError::Fragment;
    IpPacket packet;
    packet.key.sourceAddress = ntohl(ip.saddr);
    packet.key.destinationAddress = ntohl(ip.daddr);
    packet.payloadOffset = static_cast<uint16_t>(headerSize);
    const uint8_t* segment = data + headerSize;
    size_t segmentSize = totalSize - headerSize;
    if (ip.protocol == IPPROTO_TCP) {
        packet.key.protocol = Protocol::Tcp;
        return detail::parseTcp(packet, segment, segmentSize);
    }
    if (ip.protocol == IPPROTO_UDP) {
        packet.key.protocol = Protocol::Udp;
        return detail::parseUdp(packet, segment, segmentSize);
    }
    return PacketError::UnsupportedProtocol;
}

std::vector<uint8_t> buildTcpPacket(
    const FlowKey& key, TcpFlags flags, uint32_t sequence, uint32_t acknowledgement, const std::string& payload)
{
    std::vector<uint8_t> bytes(sizeof(iphdr) + sizeof(tcphdr) + payload.size());
    iphdr ip {};
    ip.version = 4;
    ip.ihl = sizeof(iphdr) / 4;
    ip.ttl = 64;
    ip.protocol = IPPROTO_TCP;
    ip.tot_len = htons(static_cast<uint16_t>(bytes.size()));
    ip.saddr = htonl(key.sourceAddress);
    ip.daddr = htonl(key.destinationAddress);
    ip.check = htons(detail::foldChecksum(detail::addToChecksum(reinterpret_cast<uint8_t*>(&ip), sizeof(ip), 0)));
    tcphdr tcp {};
    tcp.source = htons(key.sourcePort);
    tcp.dest = htons(key.destinationPort);
    tcp.seq = htonl(sequence);
    tcp.ack_seq = htonl(acknowledgement);
    tcp.doff = sizeof(tcphdr) / 4;
    tcp.syn = flags.syn ? 1 : 0;
    tcp.ack = flags.ack ? 1 : 0;
    tcp.fin = flags.fin ? 1 : 0;
    tcp.rst = flags.rst ? 1 : 0;
    tcp.window = htons(0xffff);
    uint8_t* segment = bytes.data() + sizeof(ip);
    std::memcpy(bytes.data(), &ip, sizeof(ip));
    std::memcpy(segment, &tcp, sizeof(tcp));
    if (!payload.empty())
        std::memcpy(segment + sizeof(tcp), payload.data(), payload.size());
    tcp.check = htons(detail::tcpChecksum(ip, segment, bytes.size() - sizeof(ip)));
    std::memcpy(segment, &tcp, sizeof(tcp));
    return bytes;
}

std::vector<uint8_t> buildTcpReset(const IpPacket& packet)
{
    FlowKey reply;
    reply.sourceAddress = packet.key.destinationAddress;
    reply.destinationAddress = packet.key.sourceAddress;
    reply.sourcePort = packet.key.destinationPort;
    reply.destinationPort = packet.key.sourcePort;
    TcpFlags flags;
    flags.rst = true;
    if (packet.flags.ack)
        return buildTcpPacket(reply, flags, packet.tcpAcknowledgement, 0, "");
    flags.ack = true;
    uint32_t consumed = packet.payloadSize + (packet.flags.syn ? 1U : 0U) + (packet.flags.fin ? 1U : 0U);
    return buildTcpPacket(reply, flags, 0, packet.tcpSequence + consumed, "");
}

} // namespace cicadaward
