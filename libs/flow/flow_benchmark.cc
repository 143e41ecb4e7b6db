// Measures the cost of forwarding one packet at the entry and at the last hop, and in the same run a lower bound for
// comparison: the hash of the 5-tuple and one array load. Also counts allocations on the forwarding path.

#include "flow/agent_flows.h"
#include "flow/entry_forwarder.h"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

namespace {

uint64_t allocations = 0;

} // namespace

// When GCC inlines one of the replaced operators, it reports its malloc() or free() as a mismatch with the other one.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
void* operator new(size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t) noexcept { std::free(memory); }

using namespace cicadaward;
using namespace cicadaward::flow;

namespace {

constexpr size_t packets = 4096; // prepared packets, used in turn

FlowKey keyOf(uint64_t number)
{
    FlowKey key;
    key.sourceAddress = 0x0b000000 + static_cast<uint32_t>(number >> 15);
    key.sourcePort = static_cast<uint16_t>(1024 + (number & 0x7fff));
    key.destinationAddress = 0x0a640001;
    key.destinationPort = 7000;
    return key;
}

Directory directoryOf(size_t targets)
{
    Directory directory;
    directory.version = { Term(1), 1 };
    directory.dataCentres = { { DataCentreId(1), "a", false } };
    Service service;
    service.id = ServiceId(1);
    service.spec.address = 0x0a640001;
    service.spec.ports = { { 7000, Protocol::Tcp, PortMode::Flow } };
    service.spec.flowsPerTarget = 1U << 24;
    directory.services = { service };
    for (size_t i = 0; i < targets; ++i) {
        Member member;
        member.id = MemberId(i + 1);
        member.state = MemberState::Warm;
        member.service = service.id;
        member.dataCentre = DataCentreId(1);
        member.tunnel = { static_cast<uint32_t>(i + 1), 4000 };
        member.capacity = 1U << 24;
        member.target = Incarnation(1);
        directory.members.push_back(member);
    }
    return directory;
}

std::vector<uint8_t> packetOf(uint64_t number, bool opens)
{
    TcpFlags flags { opens, !opens, false, false };
    return buildTcpPacket(keyOf(number), flags, 1, 1, "");
}

void floorHashAndLoad(benchmark::State& state)
{
    std::vector<uint64_t> owners(1024);
    std::vector<FlowKey> keys;
    for (size_t i = 0; i < packets; ++i)
        keys.push_back(keyOf(i));
    size_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(owners[bucketOf(keys[i % packets].hash(), 1024).value()]);
        ++i;
    }
}
BENCHMARK(floorHashAndLoad);

void entryForward(benchmark::State& state)
{
    EntryForwarder forwarder(MemberId(99), DataCentreId(1));
    uint64_t before = allocations;
    forwarder.install(directoryOf(static_cast<size_t>(state.range(0))));
    std::vector<std::vector<uint8_t>> prepared;
    for (size_t i = 0; i < packets; ++i)
        prepared.push_back(packetOf(i, false));
    Forwarding forwarding;
    size_t i = 0;
    before = allocations;
    for (auto _ : state) {
        const std::vector<uint8_t>& packet = prepared[i++ % packets];
        benchmark::DoNotOptimize(forwarder.forward(packet.data(), packet.size(), forwarding));
    }
    state.counters["allocations"] = static_cast<double>(allocations - before);
}
BENCHMARK(entryForward)->Arg(10)->Arg(100)->Arg(1000)->Arg(2600);

struct AgentFixture {
    AgentFixture(size_t targets, size_t flows)
        : admission(clock, { 1U << 24, 1, 1.0 })
    {
        settings.self = MemberId(1);
        settings.service = ServiceId(1);
        settings.dataCentre = DataCentreId(1);
        settings.flowTableBytes = std::max<size_t>(flows, 1000) * 32 * 4 / 3 + 4096;
        agent = std::make_unique<AgentFlows>(settings, admission, clock, random);
        agent->handle(TargetUp { Incarnation(1) }, actions);
        agent->handle(TargetDown {}, actions);
        agent->handle(TargetUp { Incarnation(2) }, actions);
        directory = std::make_shared<Directory>(directoryOf(targets));
        auto own = std::make_shared<Directory>(*directory);
        own->members.front().target = Incarnation(2);
        agent->handle(DirectoryReceived { own }, actions);
        header.service = ServiceId(1);
        header.version = own->version;
        header.sender = MemberId(2);
        header.dataCentre = DataCentreId(1);
        header.targetIncarnation = Incarnation(2);
        header.hops = 1;
        for (size_t i = 0; i < flows; ++i) {
            if (i % 1000 == 0)
                agent->handle(ControlContact { clock.now(), own->version }, actions);
            header.kind = TunnelKind::OpenFlow;
            std::vector<uint8_t> packet = packetOf(i, true);
            agent->handle(TunnelReceived { header, packet }, actions);
            actions.clear();
            clock.advance(std::chrono::microseconds(1));
        }
    }

    ManualClock clock;
    Random random { 1 };
    TargetAdmission admission;
    AgentFlowsSettings settings;
    std::unique_ptr<AgentFlows> agent;
    std::shared_ptr<Directory> directory;
    TunnelHeader header;
    Actions actions;
};

void lastHop(benchmark::State& state)
{
    auto flows = static_cast<size_t>(state.range(1));
    AgentFixture fixture(static_cast<size_t>(state.range(0)), flows);
    if (fixture.agent->heldFlows() != flows) {
        state.SkipWithError("not all flows were admitted");
        return;
    }
    fixture.header.kind = TunnelKind::ToHolder;
    std::vector<std::vector<uint8_t>> prepared;
    for (size_t i = 0; i < packets; ++i)
        prepared.push_back(packetOf(i * 7919 % flows, false));
    size_t i = 0;
    TunnelReceived received { fixture.header, {} };
    AgentEvent event(received);
    uint64_t before = allocations;
    for (auto _ : state) {
        std::get<TunnelReceived>(event).bytes = prepared[i++ % packets];
        fixture.agent->handle(event, fixture.actions);
        benchmark::DoNotOptimize(fixture.actions.list().data());
        fixture.actions.clear();
    }
    state.counters["allocations"] = static_cast<double>(allocations - before);
    state.counters["bytes_per_flow"] = static_cast<double>(fixture.agent->tableBytes()) / static_cast<double>(flows);
}
BENCHMARK(lastHop)->Args({ 10, 1000 })->Args({ 10, 10000 })->Args({ 10, 100000 })->Args({ 10, 1000000 });
BENCHMARK(lastHop)->Args({ 100, 10000 })->Args({ 2600, 10000 });

// Time to build the routing table of an entry for a new directory.
void entryTable(benchmark::State& state)
{
    Directory directory = directoryOf(static_cast<size_t>(state.range(0)));
    for (auto _ : state) {
        RoutingTable table(directory);
        benchmark::DoNotOptimize(table.version());
    }
    // Two 16-bit member indices for each bucket.
    state.counters["owner_bytes"] = 1024 * 4;
    state.counters["member_bytes"] = static_cast<double>(state.range(0)) * sizeof(Member);
}
BENCHMARK(entryTable)->Arg(10)->Arg(100)->Arg(1000)->Arg(2600)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
