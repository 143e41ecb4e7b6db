#include "directory/bucket_table.h"
#include "directory/directory.h"

#include "core/random.h"

#include <catch2/catch.hpp>

using namespace cicadaward;

namespace {

const char* const goodManifest = R"({"version": 2, "replaces": 1,
  "dataCentres": [{"name": "hal-a"}, {"name": "hal-b", "out": true}],
  "services": [{"name": "sequencer", "address": "10.100.0.1",
    "ports": [{"port": 7000, "protocol": "tcp", "mode": "flow"},
              {"port": 8080, "protocol": "tcp", "mode": "request"}],
    "slotsPerTarget": 5}]})";

Directory sampleDirectory(int members)
{
    Directory directory;
    directory.version = { Term(1), 1 };
    directory.dataCentres = { { DataCentreId(1), "hal-a", false }, { DataCentreId(2), "hal-b", false } };
    Service service;
    service.id = ServiceId(1);
    service.spec.name = "sequencer";
    service.spec.address = 0x0a640001;
    service.spec.ports = { { 7000, Protocol::Tcp, PortMode::Flow } };
    directory.services = { service };
    for (int i = 0; i < members; ++i) {
        Member member;
        member.id = MemberId(static_cast<uint64_t>(100 + i));
        member.name = "agent-" + std::to_string(i);
        member.state = MemberState::Warm;
        member.service = service.id;
        member.dataCentre = DataCentreId(static_cast<uint16_t>(1 + i % 2));
        member.capacity = 2000;
        directory.members.push_back(member);
    }
    return directory;
}

} // namespace

TEST_CASE("a manifest survives formatting and parsing", "[directory]")
{
    Findings findings;
    auto manifest = parseManifest("m.json", goodManifest, findings);
    REQUIRE(manifest);
    CHECK(manifest->services[0].slotsPerTarget == 5);
    CHECK(manifest->dataCentres[1].out);
    auto again = parseManifest("m.json", formatManifest(*manifest), findings);
    REQUIRE(again);
    CHECK(formatManifest(*again) == formatManifest(*manifest));
}

TEST_CASE("all errors of a manifest are reported at once", "[directory]")
{
    Findings findings;
    std::string text = goodManifest;
    text.replace(text.find("\"replaces\": 1"), 13, "\"replaces\": 9");
    text.replace(text.find("10.100.0.1"), 10, "10.100.0.x");
    text.replace(text.find("\"slotsPerTarget\""), 16, "\"slotsPerTargt\"");
    CHECK_FALSE(parseManifest("m.json", text, findings));
    CHECK(findings.all().size() == 3);
    CHECK(findings.report().find("services[0].slotsPerTargt: unknown key") != std::string::npos);
}

TEST_CASE("corrupted manifests and directories do not crash the decoders", "[directory][fuzz]")
{
    Random random(21);
    std::string encoded = encodeDirectory(sampleDirectory(3));
    for (int i = 0; i < 3000; ++i) {
        std::string text = goodManifest;
        std::string bytes = encoded;
        for (int j = 0; j < 3; ++j) {
            text[random.below(text.size())] = static_cast<char>(random.next());
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        }
        Findings findings;
        if (!parseManifest("m.json", text, findings))
            REQUIRE_FALSE(findings.empty());
        Directory directory;
        decodeDirectory(bytes, directory);
        decodeDirectory(bytes.substr(0, random.below(bytes.size())), directory);
    }
}

TEST_CASE("directories survive a round trip", "[directory]")
{
    Directory directory = sampleDirectory(3);
    Directory decoded;
    REQUIRE(decodeDirectory(encodeDirectory(directory), decoded));
    CHECK(encodeDirectory(decoded) == encodeDirectory(directory));
    CHECK(decoded.members[2].name == "agent-2");
    CHECK_FALSE(decodeDirectory(encodeDirectory(directory) + "x", decoded));
}

TEST_CASE("removing a member moves only its buckets, to their backups", "[directory]")
{
    Directory before = sampleDirectory(7);
    Directory after = before;
    after.members.erase(after.members.begin() + 3);
    BucketTable tableBefore(before, before.services[0]);
    BucketTable tableAfter(after, after.services[0]);
    MemberId lost(103);
    int moved = 0;
    for (uint32_t i = 0; i < tableBefore.bucketCount(); ++i) {
        BucketId bucket(static_cast<uint16_t>(i));
        MemberId expected = tableBefore.owner(bucket)->id;
        if (expected == lost) {
            expected = tableBefore.backup(bucket)->id;
            ++moved;
        }
        REQUIRE(tableAfter.owner(bucket)->id == expected);
    }
    CHECK(moved > 0);
}

TEST_CASE("draining members and members of a data centre that is taken out own no bucket", "[directory]")
{
    Directory directory = sampleDirectory(4);
    directory.members[0].state = MemberState::Draining;
    directory.dataCentres[1].isTakenOut = true; // members 1 and 3
    BucketTable table(directory, directory.services[0]);
    for (uint32_t i = 0; i < table.bucketCount(); ++i) {
        REQUIRE(table.owner(BucketId(static_cast<uint16_t>(i)))->id == MemberId(102));
        REQUIRE(table.backup(BucketId(static_cast<uint16_t>(i))) == nullptr);
    }
}

TEST_CASE("the routing table finds the service by address, port and protocol", "[directory]")
{
    Directory directory = sampleDirectory(2);
    RoutingTable table(directory);
    FlowKey key;
    key.destinationAddress = 0x0a640001;
    key.destinationPort = 7000;
    Route route;
    REQUIRE(table.route(key, route));
    CHECK(route.service == ServiceId(1));
    CHECK(route.owner);
    key.destinationPort = 7001;
    CHECK_FALSE(table.route(key, route));
    key.destinationPort = 7000;
    key.protocol = Protocol::Udp;
    CHECK_FALSE(table.route(key, route));
}
