#include "steering/early_packets.h"

#include "steering/entry_fixture.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

// Guards against memory without a bound while an entry waits for control instances that are gone.
TEST_CASE("early packets: bounded in number and bytes, kept in order", "[early]")
{
    struct Case {
        size_t maxPackets;
        size_t maxBytes;
        size_t kept; // of 10 packets of 100 bytes
    };
    for (const Case& test :
        { Case { 4, 10000, 4 }, Case { 100, 350, 3 }, Case { 100, 1000, 10 }, Case { 0, 1000, 0 } }) {
        ManualClock clock;
        EarlyPackets packets({ test.maxPackets, test.maxBytes, 600ms }, clock);
        for (uint8_t i = 0; i < 10; ++i) {
            std::vector<uint8_t> bytes(100, i);
            CHECK(packets.add(bytes.data(), bytes.size()) == (i < test.kept));
        }
        std::vector<std::vector<uint8_t>> taken = packets.takeAll();
        REQUIRE(taken.size() == test.kept);
        for (size_t i = 0; i < taken.size(); ++i)
            CHECK(taken[i] == std::vector<uint8_t>(100, static_cast<uint8_t>(i)));
        std::vector<uint8_t> again(100, 1);
        CHECK(packets.add(again.data(), again.size()) == (test.kept > 0)); // the bytes of the taken ones are free again
    }
}

TEST_CASE("early packets: only those that have waited for the limit are overdue", "[early]")
{
    ManualClock clock;
    EarlyPackets packets({ 10, 1000, 600ms }, clock);
    uint8_t byte = 1;
    packets.add(&byte, 1);
    clock.advance(400ms);
    byte = 2;
    packets.add(&byte, 1);
    CHECK(packets.takeOverdue().empty());
    clock.advance(200ms);
    CHECK(packets.takeOverdue() == std::vector<std::vector<uint8_t>> { { 1 } });
    CHECK(packets.size() == 1);
}

// After a loss of power of all machines, packets that reached an entry before its state were dropped: callers lost a
// retransmission interval, and requests near their timeout failed.
TEST_CASE("entry: packets that come before the first state are steered by it", "[entry][early]")
{
    EntryWithoutState fixture;
    fixture.packet(dataPacket(testFlow(1), 10));
    fixture.packet(dataPacket(testFlow(2), 10));
    CHECK(fixture.output.frames.empty());
    CHECK(fixture.observer.count(Decision::Waiting) == 2);
    CHECK(fixture.observer.count(Decision::NoRoute) == 0);

    fixture.clock.advance(300ms);
    fixture.entry.setState(makeHubRouteTable(), {});
    fixture.entry.onTick();
    CHECK(fixture.output.frames.empty()); // routes without members decide nothing
    fixture.entry.members().update(testMember(1));
    fixture.entry.onTick();
    REQUIRE(fixture.output.frames.size() == 2);
    CHECK(fixture.observer.count(Decision::Searched) == 2);

    fixture.packet(synPacket(testFlow(3)));
    CHECK(fixture.output.frames.size() == 3); // at once
}

// A SYN that waited was refused with a reset after a copy of it had opened the flow by way of another entry (seed 237
// of the schedules).
TEST_CASE("entry: a SYN does not wait for the first state", "[entry][early]")
{
    EntryWithoutState fixture;
    fixture.packet(synPacket(testFlow(1)));
    CHECK(fixture.observer.count(Decision::NoRoute) == 1);
    fixture.entry.setState(makeHubRouteTable(), {});
    fixture.entry.members().update(testMember(1));
    fixture.entry.onTick();
    CHECK(fixture.output.frames.empty());
    CHECK(fixture.output.toCaller.empty());
}

TEST_CASE("entry: packets do not wait longer than the limit for a state", "[entry][early]")
{
    EntryWithoutState fixture;
    fixture.packet(dataPacket(testFlow(1), 10));
    fixture.clock.advance(599ms);
    fixture.entry.onTick();
    CHECK(fixture.observer.count(Decision::NoRoute) == 0);
    fixture.clock.advance(1ms);
    fixture.entry.onTick();
    CHECK(fixture.observer.count(Decision::NoRoute) == 1);
    fixture.entry.setState(makeHubRouteTable(), {});
    fixture.entry.members().update(testMember(1));
    fixture.entry.onTick();
    CHECK(fixture.output.frames.empty());
}
