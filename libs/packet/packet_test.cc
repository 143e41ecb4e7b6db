#include "core/random.h"
#include "packet/ip_packet.h"
#include "packet/tunnel.h"

#include <catch2/catch.hpp>
#include <tins/tins.h>

using namespace cicadaward;

namespace {

std::vector<uint8_t> tinsPacket(uint32_t source, uint32_t destination, uint16_t sport, uint16_t dport, uint8_t flags)
{
    Tins::IP ip = Tins::IP(Tins::IPv4Address(Tins::Endian::host_to_be(destination)),
                      Tins::IPv4Address(Tins::Endian::host_to_be(source)))
        / Tins::TCP(dport, sport) / Tins::RawPDU("body");
    ip.rfind_pdu<Tins::TCP>().flags(flags);
    ip.rfind_pdu<Tins::TCP>().seq(77);
    return ip.serialize();
}

} // namespace

TEST_CASE("the header view agrees with libtins", "[packet]")
{
    Random random(11);
    for (int i = 0; i < 2000; ++i) {
        uint32_t source = static_cast<uint32_t>(random.next());
        uint32_t destination = static_cast<uint32_t>(random.next());
        uint16_t sport = static_cast<uint16_t>(random.next());
        uint16_t dport = static_cast<uint16_t>(random.next());
        uint8_t flags = static_cast<uint8_t>(random.below(32));
        auto bytes = tinsPacket(source, destination, sport, dport, flags);
        auto parsed = parseIpPacket(bytes.data(), bytes.size());
        REQUIRE(std::holds_alternative<IpPacket>(parsed));
        const IpPacket& packet = std::get<IpPacket>(parsed);
        REQUIRE(packet.key.sourceAddress == source);
        REQUIRE(packet.key.destinationAddress == destination);
        REQUIRE(packet.key.sourcePort == sport);
        REQUIRE(packet.key.destinationPort == dport);
        REQUIRE(packet.flags.syn == ((flags & 2) != 0));
        REQUIRE(packet.flags.ack == ((flags & 16) != 0));
        REQUIRE(packet.flags.fin == ((flags & 1) != 0));
        REQUIRE(packet.flags.rst == ((flags & 4) != 0));
        REQUIRE(packet.tcpSequence == 77);
        REQUIRE(packet.payloadSize == 4);
    }
}

TEST_CASE("packets that are built here are read by libtins with correct checksums", "[packet]")
{
    FlowKey key;
    key.sourceAddress = 0x0a000001;
    key.destinationAddress = 0x0a640001;
    key.sourcePort = 4000;
    key.destinationPort = 7000;
    TcpFlags flags;
    flags.syn = true;
    auto bytes = buildTcpPacket(key, flags, 9, 0, "odd");
    Tins::IP ip(bytes.data(), static_cast<uint32_t>(bytes.size()));
    auto again = ip.serialize();
    CHECK(again == bytes);

    auto parsed = std::get<IpPacket>(parseIpPacket(bytes.data(), bytes.size()));
    auto reset = buildTcpReset(parsed);
    auto answer = std::get<IpPacket>(parseIpPacket(reset.data(), reset.size()));
    CHECK(answer.flags.rst);
    CHECK(answer.flags.ack);
    CHECK(answer.tcpAcknowledgement == 9 + 1 + 3);
    CHECK(answer.key.destinationPort == 4000);
}

TEST_CASE("damaged packets are error values", "[packet]")
{
    auto good = tinsPacket(1, 2, 3, 4, 2);
    struct Case {
        const char* name;
        size_t size;
        size_t offset;
        uint8_t value;
        PacketError expected;
    };
    const Case cases[] = {
        { "empty", 0, 0, 0x45, PacketError::Truncated },
        { "short IP header", 19, 0, 0x45, PacketError::Truncated },
        { "IPv6", good.size(), 0, 0x65, PacketError::NotIpv4 },
        { "IP header shorter than 20", good.size(), 0, 0x44, PacketError::BadHeaderLength },
        { "IP header longer than the packet", 40, 0, 0x4f, PacketError::BadHeaderLength },
        { "total length beyond the datagram", good.size() - 1, 0, 0x45, PacketError::BadTotalLength },
        { "fragment", good.size(), 6, 0x20, PacketError::Fragment },
        { "ICMP", good.size(), 9, 1, PacketError::UnsupportedProtocol },
        { "TCP header shorter than 20", good.size(), 32, 0x40, PacketError::BadHeaderLength },
        { "TCP header longer than the segment", good.size(), 32, 0xf0, PacketError::BadHeaderLength },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        auto bytes = good;
        bytes[c.offset] = c.value;
        bytes.resize(c.size);
        auto parsed = parseIpPacket(bytes.data(), bytes.size());
        REQUIRE(std::holds_alternative<PacketError>(parsed));
        CHECK(std::get<PacketError>(parsed) == c.expected);
    }
}

TEST_CASE("random bytes never crash the decoders", "[packet][fuzz]")
{
    Random random(12);
    for (int i = 0; i < 20000; ++i) {
        std::vector<uint8_t> bytes(random.below(80));
        for (uint8_t& byte : bytes)
            byte = static_cast<uint8_t>(random.next());
        if (!bytes.empty() && random.below(2) == 0)
            bytes[0] = 0x45;
        auto parsed = parseIpPacket(bytes.data(), bytes.size());
        if (auto* packet = std::get_if<IpPacket>(&parsed))
            REQUIRE(static_cast<size_t>(packet->payloadOffset) + packet->payloadSize <= bytes.size());
        TunnelHeader header;
        decodeTunnel(bytes.data(), bytes.size(), header);
    }
}

TEST_CASE("tunnel headers survive a round trip", "[packet]")
{
    TunnelHeader header;
    header.kind = TunnelKind::OpenFlow;
    header.hops = 3;
    header.bucket = BucketId(513);
    header.service = ServiceId(0x01020304);
    header.version = { Term(5), 0x1122334455667788 };
    header.sender = MemberId(0xfedcba9876543210);
    header.dataCentre = DataCentreId(7);
    header.targetIncarnation = Incarnation(99);
    uint8_t buffer[maxTunnelDatagramBytes];
    const uint8_t payload[] = { 1, 2, 3 };
    size_t size = encodeTunnel(header, payload, sizeof(payload), buffer);
    REQUIRE(size == tunnelHeaderBytes + 3);
    TunnelHeader decoded;
    REQUIRE(decodeTunnel(buffer, size, decoded));
    CHECK(decoded.kind == header.kind);
    CHECK(decoded.hops == header.hops);
    CHECK(decoded.bucket == header.bucket);
    CHECK(decoded.service == header.service);
    CHECK(decoded.version == header.version);
    CHECK(decoded.sender == header.sender);
    CHECK(decoded.dataCentre == header.dataCentre);
    CHECK(decoded.targetIncarnation == header.targetIncarnation);
    CHECK(buffer[tunnelHeaderBytes + 2] == 3);
    CHECK_FALSE(decodeTunnel(buffer, tunnelHeaderBytes - 1, decoded));
    buffer[0] = 0x2f;
    CHECK_FALSE(decodeTunnel(buffer, size, decoded));
}
