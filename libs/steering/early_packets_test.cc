#include "steering/early_packets.h"

#include "steering/entry_fixture.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

// Guards against unbounded memory while an entry waits for control instances that do not return.
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
        CHECK(packets.add(again.data(), again.size()) == (test.kept > 0)); // taking packets frees their bytes
    }
}

TEST_CASE("early packets: only those that have waited for maxWait are overdue", "[early]")
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

// Guards against dropping packets that arrive before the first state. After a power failure of all machines this cost
// callers a retransmission interval, and requests near their timeout failed.
TEST_CASE("entry: packets that arrive before the first state are steered once it is there", "[entry][early]")
{
    EntryWithoutState fixture;
    fixture.packet(dataPacket(testFlow(1), 10));
    fixture.packet(dataPacket(testFlow(2), 10));
    CHECK(fixture.output.frames.empty());
    CHECK(fixture.observer.count(Decision::Waiting) == 2);
    CHECK(fixture.observer.count(Decision::NoRoute) == 0);

    fixture.clock.advance(300ms);
    fixture.entry.setState(StateIndex(1), makeHubRouteTable(), {});
    fixture.entry.onTick();
    CHECK(fixture.output.frames.empty()); // routes alone are not enough: there is no member yet
    fixture.entry.members().update(testMember(1));
    fixture.entry.onTick();
    REQUIRE(fixture.output.frames.size() == 2);
    CHECK(fixture.observer.count(Decision::Searched) == 2);

    fixture.packet(synPacket(testFlow(3)));
    CHECK(fixture.output.frames.size() == 3); // without a wait
}

// Guards against holding SYNs: a held SYN was refused with a reset after its retransmission had opened the flow through
// another entry (seed 237 of the schedules).
TEST_CASE("entry: a SYN is not held until the first state", "[entry][early]")
{
    EntryWithoutState fixture;
    fixture.packet(synPacket(testFlow(1)));
    CHECK(fixture.observer.count(Decision::NoRoute) == 1);
    fixture.entry.setState(StateIndex(1), makeHubRouteTable(), {});
    fixture.entry.members().update(testMember(1));
    fixture.entry.onTick();
    CHECK(fixture.output.frames.empty());
    CHECK(fixture.output.toCaller.empty());
}

TEST_CASE("entry: packets are held no longer than maxWait", "[entry][early]")
{
    EntryWithoutState fixture;
    fixture.packet(dataPacket(testFlow(1), 10));
    fixture.clock.advance(599ms);
    fixture.entry.onTick();
    CHECK(fixture.observer.count(Decision::NoRoute) == 0);
    fixture.clock.advance(1ms);
    fixture.entry.onTick();
    CHECK(fixture.observer.count(Decision::NoRoute) == 1);
    fixture.entry.setState(StateIndex(1), makeHubRouteTable(), {});
    fixture.entry.members().update(testMember(1));
    fixture.entry.onTick();
    CHECK(fixture.output.frames.empty());
}
