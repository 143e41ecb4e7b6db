// Benchmarks the time of a claim at the owner and the memory of a stored record. Run build/libs/request/request_bench.

#include "request/agent_requests.h"
#include "request/messages.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace cicadaward;
using namespace cicadaward::request;

namespace {

constexpr MemberId owner(1);
constexpr MemberId backup(2);
constexpr MemberId claimant(3);

// An agent that owns every bucket, all of them settled. The messages of its backup and claimant are made up here.
struct OwnerAgent {
    OwnerAgent()
        : random(1)
        , agent(clock, random, config())
    {
        auto directory = std::make_shared<Directory>();
        directory->version = { Term(1), 1 };
        Service service;
        service.id = ServiceId(1);
        directory->services = { service };
        for (MemberId id : { owner, backup, claimant }) {
            Member member;
            member.id = id;
            member.state = id == owner ? MemberState::Warm : MemberState::Draining;
            member.service = service.id;
            member.capacity = 2000;
            member.process = Incarnation(1);
            directory->members.push_back(member);
        }
        agent.handle(DirectoryChanged { directory, std::make_shared<BucketTable>(*directory, service) });
        agent.handle(ControlContact { true, directory->version });
        clock.advance(std::chrono::seconds(4));
        agent.handle(ControlContact { true, directory->version });
        for (int round = 0; round < 3; ++round)
            answerSync(agent.handle(Tick {}));
    }
    static AgentRequestsConfig config()
    {
        AgentRequestsConfig config;
        config.self = owner;
        config.service = ServiceId(1);
        config.process = Incarnation(1);
        config.maxRecords = 1 << 20;
        config.maxRecordBytes = size_t(1) << 30;
        return config;
    }
    void answerSync(const std::vector<RequestAction>& actions)
    {
        for (const RequestAction& action : actions) {
            const auto* sent = std::get_if<SendPeerMessage>(&action);
            PeerMessage message;
            if (!sent || !decodePeerMessage(sent->bytes, message))
                continue;
            if (const auto* request = std::get_if<SyncRequest>(&message))
                receive(sent->to, SyncReply { request->session, request->fromBucket, request->fromKey, true, {}, {} });
        }
    }
    std::vector<RequestAction> receive(MemberId from, const PeerMessage& message)
    {
        return agent.handle(PeerMessageReceived { from, encodePeerMessage(message) });
    }
    std::string newKey()
    {
        char text[64];
        uint64_t wall = static_cast<uint64_t>(clock.wallTime().count()) + 1;
        snprintf(text, sizeof(text), "%08x-%04x-7000-8000-%012llx", static_cast<unsigned>(wall >> 16),
            static_cast<unsigned>(wall & 0xffff), static_cast<unsigned long long>(++keys));
        return text;
    }
    // Runs one claim: the claim, the copy to the backup, its acknowledgement and the grant. Returns whether it was
    // granted.
    bool claim()
    {
        ClaimRequest request { ServiceId(1), newKey(), { keys, 1 }, { claimant, Incarnation(1), keys } };
        receive(claimant, request);
        for (const RequestAction& action :
            receive(backup, RecordCopyAck { request.key, request.token, RecordState::Claimed, true })) {
            if (const auto* sent = std::get_if<SendPeerMessage>(&action))
                return sent->to == claimant;
        }
        return false;
    }

    ManualClock clock;
    Random random;
    AgentRequests agent;
    uint64_t keys = 0;
};

void claimCost(benchmark::State& state)
{
    OwnerAgent system;
    system.clock.advance(
        std::chrono::milliseconds(2500)); // new ids are later than the quarantine cutoff and the clock skew allowance
    system.agent.handle(ControlContact { true, { Term(1), 1 } });
    for (auto _ : state) {
        if (!system.claim()) {
            state.SkipWithError("the claim was not granted");
            break;
        }
    }
}
BENCHMARK(claimCost)->Iterations(200000);

void recordBytes(benchmark::State& state)
{
    OwnerAgent system;
    system.clock.advance(std::chrono::milliseconds(2500));
    system.agent.handle(ControlContact { true, { Term(1), 1 } });
    constexpr int count = 100000;
    for (auto _ : state) {
        size_t before = mallinfo2().uordblks;
        for (int i = 0; i < count; ++i)
            system.claim();
        state.counters["bytes_per_record"] = static_cast<double>(mallinfo2().uordblks - before) / count;
        state.counters["accounted_per_record"]
            = static_cast<double>(system.agent.load().recordBytes) / static_cast<double>(system.agent.load().records);
    }
}
BENCHMARK(recordBytes)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
