// Measures what it costs an entry with an empty flow cache to find the agent of an open flow, for services of 12 to
// 1,000 members.
//
//     search_measurement [FLOWS]
//
// Runs EntrySteering and AgentSteering on a simulated network with a fixed delay and prints one table row for each size
// and case. The caller retransmits its packet after 200, 600 and 1,400 ms until the target has it.
#include "steering/test_fabric.h"

#include "core/random.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <optional>
#include <set>

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

constexpr Duration hopDelay = 500us;
constexpr Duration tickInterval = 30ms;
constexpr Duration retransmissionTimes[] = { 200ms, 600ms, 1400ms };
constexpr Duration giveUpAfter = 3s;

enum class Case { NoFaults, DeadAgents, SuspectedHolder, RestartedAgents, NoHolder };
constexpr std::pair<Case, const char*> cases[] = { { Case::NoFaults, "calm" },
    { Case::DeadAgents, "5% of agents dead" }, { Case::SuspectedHolder, "home suspected" },
    { Case::RestartedAgents, "all agents restarted" }, { Case::NoHolder, "held by nobody" } };

struct Cost {
    std::vector<double> milliseconds; // until the target that holds the flow has the packet, for each flow
    size_t neverFound = 0; // flows whose target never got the packet
    uint64_t entryPackets = 0;
    uint64_t entryBytes = 0;
    uint64_t agentPackets = 0;
    uint64_t targetPackets = 0; // at targets that do not hold the flow
};

// One entry, the agents of one service, and the flow that is searched for.
class SearchBench {
public:
    SearchBench(uint32_t count, Case which, Cost& cost)
        : m_case(which)
        , m_cost(cost)
        , m_entryOutput(*this, 0)
        , m_entry(entryOptions(), m_format, m_clock, m_observer, m_entryOutput)
    {
        m_entry.setState(StateIndex(1), makeHubRouteTable(), {});
        for (uint32_t i = 1; i <= count; ++i) {
            m_entry.members().update(testMember(i));
            m_agents.push_back(std::make_unique<Agent>(*this, i, which == Case::RestartedAgents));
        }
    }

    void measureSearch(uint16_t number, Random& random)
    {
        FlowId flow = testFlow(number);
        placeFlow(flow, random);
        FlowPacket packet = dataPacket(flow, 200);
        packet.sequence = 1;
        Time start = m_clock.now();
        auto send = [&] {
            std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
            m_entry.onCallerPacket(bytes.data(), bytes.size());
        };
        send();
        size_t sent = 0;
        m_targetReachedAt.reset();
        Time nextTick = start + tickInterval;
        while (!m_targetReachedAt && m_clock.now() - start < giveUpAfter) {
            if (sent < std::size(retransmissionTimes) && m_clock.now() - start >= retransmissionTimes[sent]) {
                ++sent;
                send();
            }
            m_clock.advance(hopDelay / 2);
            deliver();
            if (m_clock.now() >= nextTick) {
                nextTick += tickInterval;
                m_entry.onTick();
            }
            if (m_case == Case::NoHolder && m_queue.empty())
                break;
        }
        if (m_targetReachedAt)
            m_cost.milliseconds.push_back(
                std::chrono::duration<double, std::milli>(*m_targetReachedAt - start).count());
        else if (m_case == Case::NoHolder)
            m_cost.milliseconds.push_back(std::chrono::duration<double, std::milli>(m_clock.now() - start).count());
        else
            ++m_cost.neverFound;
        drain();
    }

private:
    struct Sent {
        Time due;
        Endpoint to;
        Endpoint from;
        std::vector<uint8_t> bytes;
    };
    struct Output final : EntryOutput, AgentOutput {
        Output(SearchBench& owner, uint32_t number)
            : world(owner)
            , member(number)
        {
        }
        void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) override { world.send(member, to, frame); }
        void sendToCaller(const FlowId&, const std::vector<uint8_t>&) override { }
        void sendToCaller(const FlowId&, const uint8_t*, size_t) override { }
        void sendToTarget(const uint8_t* data, size_t size) override
        {
            world.onPacketAtTarget(member, { data, data + size });
        }
        void confirmMembers() override { }
        SearchBench& world;
        uint32_t member; // 0: the entry
    };
    struct Agent {
        Agent(SearchBench& world, uint32_t number, bool isRestarted)
            : output(world, number)
            , steering(options(number), world.m_format, world.m_clock, world.m_observer, output)
        {
            steering.setState(StateIndex(1), makeHubRouteTable(), {});
            Heartbeat heartbeat;
            heartbeat.id = "t-" + std::to_string(number);
            heartbeat.service = hub;
            heartbeat.startTimeMs = 1;
            heartbeat.sequence = isRestarted ? 5 : 1;
            heartbeat.slots = 100;
            steering.onHeartbeat(heartbeat);
        }
        static AgentOptions options(uint32_t number)
        {
            AgentOptions result;
            result.self = testMember(number).agent;
            return result;
        }
        Output output;
        AgentSteering steering;
        bool dead = false;
    };

    static EntryOptions entryOptions()
    {
        EntryOptions options;
        options.self = entryEndpoint;
        return options;
    }

    // Opens the flow at one of the first members in its order, as the placement of new flows would.
    void placeFlow(const FlowId& flow, Random& random)
    {
        m_holder = 0;
        for (auto& agent : m_agents)
            agent->dead = m_case == Case::DeadAgents && random.below(20) == 0;
        if (m_case == Case::NoHolder)
            return;
        std::vector<Endpoint> order = m_entry.members().candidatesForNewFlow(flow.hash(), hub, {}, 8);
        size_t position = random.below(10) != 0 ? random.below(2) : random.below(order.size());
        m_holder = order[std::min(position, order.size() - 1)].address - testMember(0).agent.address;
        Agent& holder = *m_agents[m_holder - 1];
        holder.dead = false;
        if (m_case == Case::SuspectedHolder)
            m_entry.members().markSuspect(holder.steering.record().agent, 10s);
        if (m_case == Case::RestartedAgents)
            return;
        std::vector<uint8_t> bytes = FakePacketFormat::encode(dataPacket(flow, 0));
        holder.steering.onTargetPacket(bytes.data(), bytes.size());
    }

    void send(uint32_t from, Endpoint to, const std::vector<uint8_t>& bytes)
    {
        (from == 0 ? m_cost.entryPackets : m_cost.agentPackets) += 1;
        if (from == 0)
            m_cost.entryBytes += bytes.size();
        m_queue.push_back({ m_clock.now() + hopDelay, to, from == 0 ? entryEndpoint : testMember(from).agent, bytes });
    }

    void deliver()
    {
        while (!m_queue.empty() && m_queue.front().due <= m_clock.now()) {
            Sent sent = std::move(m_queue.front());
            m_queue.pop_front();
            if (sent.to == entryEndpoint) {
                m_entry.onFrame(sent.from, sent.bytes.data(), sent.bytes.size());
                continue;
            }
            Agent& agent = *m_agents[sent.to.address - testMember(0).agent.address - 1];
            if (!agent.dead)
                agent.steering.onFrame(sent.from, sent.bytes.data(), sent.bytes.size());
        }
    }

    void drain()
    {
        uint64_t agentPackets = m_cost.agentPackets;
        for (int i = 0; i < 20; ++i) {
            m_clock.advance(hopDelay);
            deliver();
        }
        m_queue.clear();
        m_cost.agentPackets = std::max(m_cost.agentPackets, agentPackets);
        m_clock.advance(20s); // cached flows and suspicions expire
        m_entry.onTick();
    }

    void onPacketAtTarget(uint32_t member, std::vector<uint8_t> bytes)
    {
        if (member == m_holder) {
            if (!m_targetReachedAt)
                m_targetReachedAt = m_clock.now();
            return;
        }
        ++m_cost.targetPackets;
        FlowPacket packet;
        std::memcpy(&packet, bytes.data(), sizeof(packet));
        packet.bounced = true;
        bytes = FakePacketFormat::encode(packet);
        m_agents[member - 1]->steering.onTargetPacket(bytes.data(), bytes.size());
    }

    const Case m_case;
    Cost& m_cost;
    ManualClock m_clock;
    FakePacketFormat m_format;
    CountingObserver m_observer;
    Output m_entryOutput;
    EntrySteering m_entry;
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::deque<Sent> m_queue; // ordered by due time
    uint32_t m_holder = 0; // 0: no target holds the flow
    std::optional<Time> m_targetReachedAt;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<size_t>(share * double(values.size())))];
}

} // namespace

int main(int argc, char** argv)
{
    size_t flows = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 300;
    std::printf(
        "| members | case | found after ms, median | 99th | never | entry packets | entry bytes | agent packets "
        "| packets at other targets |\n|---|---|---|---|---|---|---|---|---|\n");
    for (uint32_t count : { 12U, 109U, 1000U }) {
        for (const auto& [which, name] : cases) {
            Cost cost;
            Random random(1);
            SearchBench world(count, which, cost);
            for (size_t i = 0; i < flows; ++i)
                world.measureSearch(static_cast<uint16_t>(i + 1), random);
            double n = double(flows);
            std::printf("| %u | %s | %.1f | %.1f | %zu | %.1f | %.0f | %.1f | %.2f |\n", count, name,
                quantile(cost.milliseconds, 0.5), quantile(cost.milliseconds, 0.99), cost.neverFound,
                double(cost.entryPackets) / n, double(cost.entryBytes) / n, double(cost.agentPackets) / n,
                double(cost.targetPackets) / n);
        }
    }
    return 0;
}
