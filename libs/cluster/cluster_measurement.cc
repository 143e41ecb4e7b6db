// Measures the control traffic in a simulation and prints the table of docs/CAPACITY.md: 7 control instances, entries
// and agents in the proportions of the target size, a network delay of 1 ms, disks that sync in 2 ms. Bytes are those
// of the datagrams, sent and received, without IP and UDP headers; processor time is that of the state machines and
// codecs on this machine.
//
//     cluster_measurement [PROCESSES ...]     default: 42 300 1000 3020

#include "cluster/codec.h"
#include "cluster/control_core.h"
#include "cluster/fragments.h"
#include "cluster/poller.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace cicadaward::cluster {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t controlCount = 7;
    constexpr size_t initialVoterCount = 3;
    constexpr size_t routeCount = 260;
    constexpr Duration hopDelay = 1ms;
    constexpr Duration diskSyncDelay = 2ms;
    constexpr Duration controlTick = 15ms;
    constexpr Duration pollerTick = 30ms;
    constexpr uint32_t firstAddress = 0x0A000001;

    struct Usage {
        uint64_t bytes = 0;
        Duration busy {};
    };

    class System;

    class Node {
    public:
        Node(System& system, size_t index)
            : m_system(system)
            , m_index(index)
            , m_fragmenter(static_cast<uint32_t>(index) << 12)
        {
        }
        virtual ~Node() = default;
        virtual void onTick() = 0;
        virtual void onMessage(Endpoint sender, const Envelope&) = 0;
        Usage usage;

    protected:
        void transmit(Endpoint to, const Envelope&);
        System& m_system;
        const size_t m_index;
        Fragmenter m_fragmenter;
    };

    class System {
    public:
        explicit System(size_t processes);

        void run(Duration length);
        void send(size_t from, Endpoint to, const std::vector<std::string>& datagrams, const Envelope& envelope);
        void after(Duration delay, std::function<void()> action);
        // Submits a configuration of this version to the leader.
        void submitConfiguration(uint64_t version);
        void restart(size_t poller);
        ControlCore* leader();

        ManualClock clock;
        Random random { 1 };
        std::vector<std::unique_ptr<Node>> nodes; // control instances, then pollers
        std::vector<Time> appliedTimes; // when each poller applied the newest state
        std::vector<Endpoint> seeds;
        size_t entries = 0;

    private:
        struct Event {
            Time due;
            uint64_t order;
            std::function<void()> action;
            bool operator<(const Event& other) const { return std::tie(other.due, other.order) < std::tie(due, order); }
        };
        void runTimed(Node&, const std::function<void()>& action);
        static Duration tickOf(size_t node) { return node < controlCount ? controlTick : pollerTick; }
        void scheduleTick(size_t node, Duration delay);

        std::priority_queue<Event> m_events;
        uint64_t m_order = 0;
    };

    Endpoint endpointOf(size_t index) { return { firstAddress + static_cast<uint32_t>(index), 7720 }; }

    void Node::transmit(Endpoint to, const Envelope& envelope)
    {
        absl::StatusOr<std::vector<std::string>> split = m_fragmenter.split(encodeMessage(envelope));
        std::vector<std::string> datagrams = split.ok() ? std::move(*split) : std::vector<std::string>();
        for (const std::string& datagram : datagrams)
            usage.bytes += datagram.size();
        m_system.send(m_index, to, datagrams, envelope);
    }

    class Control final : public Node, private ControlOutput {
    public:
        Control(System& system, size_t index, ControlOptions options, const StoreContents& contents)
            : Node(system, index)
            , core(std::move(options), system.clock, system.random, contents, static_cast<ControlOutput&>(*this))
        {
        }
        void onTick() override { core.onTick(); }
        void onMessage(Endpoint sender, const Envelope& envelope) override { core.onMessage(sender, envelope); }
        ControlCore core;

    private:
        void sendMessage(Endpoint to, const Envelope& envelope) override { transmit(to, envelope); }
        void persist(uint64_t batchNumber, const StoreBatch&) override
        {
            m_system.after(diskSyncDelay, [this, batchNumber] { core.onPersisted(batchNumber); });
        }
        void answer(RequestNumber, const Answer&) override { }
        void onEvent(ControlEvent, const std::string&, LogIndex) override { }
        void stopped() override { }
    };

    class PollingNode final : public Node, private PollerOutput {
    public:
        PollingNode(System& system, size_t index, PollerOptions options, bool isAgent)
            : Node(system, index)
            , m_poller(std::move(options), system.clock, system.random, static_cast<PollerOutput&>(*this))
            , m_isAgent(isAgent)
            , m_members(system.clock)
        {
            m_record.agent = endpointOf(index);
            m_record.service = steering::serviceKey("service-" + std::to_string(index % routeCount));
            m_record.dataCentre = "dc-" + std::to_string(index % 7);
            m_record.state = steering::TargetState::Ready;
            m_record.incarnation = 1'700'000'000'000 + index;
            m_record.sequence = m_record.targetStartSequence = 2;
            m_poller.pollAll();
        }
        void onTick() override { m_poller.onTick(); }
        void onMessage(Endpoint sender, const Envelope& envelope) override { m_poller.onMessage(sender, envelope); }
        void restart()
        {
            ++m_record.incarnation;
            m_registered = 0;
            m_poller.pollAll();
        }

    private:
        void sendMessage(Endpoint control, const Envelope& envelope) override { transmit(control, envelope); }
        void contactLost() override { }
        void contactRenewed() override { }
        void onState(const ForwardingState&) override { m_system.appliedTimes.push_back(m_system.clock.now()); }
        void onMemberRecord(const steering::MemberRecord& record) override { m_members.update(record); }
        steering::MemberDigest memberDigest() override { return m_members.digest(); }
        void onRegistration(uint64_t incarnation, uint64_t) override { m_registered = incarnation; }
        bool isWaitingForReply() override { return m_isAgent && m_registered != m_record.incarnation; }
        std::vector<steering::MemberRecord> ownRecords() override
        {
            return m_isAgent ? std::vector<steering::MemberRecord> { m_record } : std::vector<steering::MemberRecord>();
        }

        Poller m_poller;
        const bool m_isAgent;
        steering::Members m_members;
        steering::MemberRecord m_record;
        uint64_t m_registered = 0;
    };

    System::System(size_t processes)
    {
        std::map<InstanceId, InstanceAddress> initialVoters;
        for (size_t i = 0; i < initialVoterCount; ++i) {
            initialVoters[InstanceId(i + 1)] = { endpointOf(i), endpointOf(i) };
            seeds.push_back(endpointOf(i));
        }
        StoreBatch founding = groupBootstrapBatch(initialVoters);
        for (size_t i = 0; i < controlCount; ++i) {
            ControlOptions options;
            options.self = { endpointOf(i), endpointOf(i) };
            options.seeds = seeds;
            options.group.toleratedLosses = 3;
            options.consensus.electionTimeout = 400ms;
            options.consensus.heartbeatInterval = 100ms;
            options.consensus.promoteLearners = false;
            options.consensus.leaseReads = false;
            StoreContents contents;
            contents.instance = InstanceId(i + 1);
            if (i < initialVoterCount) {
                contents.state = *founding.state;
                contents.entries = founding.entries;
            }
            nodes.push_back(std::make_unique<Control>(*this, i, options, contents));
        }
        entries = std::max<size_t>(2, (processes - controlCount) * 413 / 3013);
        for (size_t i = controlCount; i < processes; ++i) {
            PollerOptions options;
            options.seeds = seeds;
            options.wantsMembers = i < controlCount + entries;
            nodes.push_back(std::make_unique<PollingNode>(*this, i, options, !options.wantsMembers));
        }
        for (size_t i = 0; i < nodes.size(); ++i) {
            scheduleTick(i, tickOf(i) * random.below(100) / 100);
        }
        run(3s);
        submitConfiguration(1);
        run(60s);
    }

    void System::scheduleTick(size_t node, Duration delay)
    {
        after(delay, [this, node] {
            runTimed(*nodes[node], [&] { nodes[node]->onTick(); });
            scheduleTick(node, tickOf(node));
        });
    }

    void System::runTimed(Node& node, const std::function<void()>& action)
    {
        auto started = std::chrono::steady_clock::now();
        action();
        node.usage.busy += std::chrono::steady_clock::now() - started;
    }

    void System::send(size_t from, Endpoint to, const std::vector<std::string>& datagrams, const Envelope& envelope)
    {
        size_t index = to.address - firstAddress;
        if (index >= nodes.size())
            return;
        size_t bytes = 0;
        for (const std::string& datagram : datagrams)
            bytes += datagram.size();
        after(hopDelay, [this, from, index, bytes, envelope] {
            nodes[index]->usage.bytes += bytes;
            runTimed(*nodes[index], [&] { nodes[index]->onMessage(endpointOf(from), envelope); });
        });
    }

    void System::after(Duration delay, std::function<void()> action)
    {
        m_events.push({ clock.now() + delay, ++m_order, std::move(action) });
    }

    void System::run(Duration length)
    {
        Time end = clock.now() + length;
        while (!m_events.empty() && m_events.top().due <= end) {
            Event event = m_events.top();
            m_events.pop();
            clock.advance(event.due - clock.now());
            event.action();
        }
        clock.advance(end - clock.now());
    }

    ControlCore* System::leader()
    {
        for (size_t i = 0; i < controlCount; ++i) {
            auto& core = static_cast<Control&>(*nodes[i]).core;
            if (core.status().canRead)
                return &core;
        }
        return nullptr;
    }

    void System::submitConfiguration(uint64_t version)
    {
        steering::Configuration configuration;
        configuration.version = version;
        for (size_t i = 0; i < routeCount; ++i) {
            steering::Route route;
            route.name = "route-" + std::to_string(i);
            route.address = { 0xC6120000 + static_cast<uint32_t>(i), 443 };
            route.services = { { steering::serviceKey("service-" + std::to_string(i)), 1 } };
            configuration.routes.push_back(route);
            steering::ServicePolicy policy;
            policy.name = "service-" + std::to_string(i);
            policy.key = steering::serviceKey(policy.name);
            configuration.services.push_back(policy);
        }
        appliedTimes.clear();
        if (ControlCore* core = leader())
            core->putConfiguration(version, configuration, compress("configuration " + std::to_string(version)));
    }

    void System::restart(size_t poller) { static_cast<PollingNode&>(*nodes[poller]).restart(); }

    struct Row {
        const char* role;
        size_t first;
        size_t last;
    };

    std::vector<Usage> usageOf(const System& system)
    {
        std::vector<Usage> usage;
        for (const auto& node : system.nodes)
            usage.push_back(node->usage);
        return usage;
    }

    // Returns the mean number of bytes per process of the role that `action` costs beyond the steady traffic of that
    // time.
    double extraBytes(System& system, const Row& row, double steadyBytesPerSecond, const std::function<void()>& action)
    {
        constexpr Duration length = 30s;
        std::vector<Usage> before = usageOf(system);
        action();
        system.run(length);
        std::vector<Usage> after = usageOf(system);
        double bytes = 0;
        for (size_t i = row.first; i < row.last; ++i)
            bytes += double(after[i].bytes - before[i].bytes);
        double seconds = std::chrono::duration<double>(length).count();
        return bytes / double(row.last - row.first) - steadyBytesPerSecond * seconds;
    }

    void measure(size_t processes)
    {
        System system(processes);
        constexpr Duration length = 300s;
        std::vector<Usage> before = usageOf(system);
        system.run(length);
        std::vector<Usage> after = usageOf(system);
        const Row rows[] = { { "control", 0, controlCount }, { "entry", controlCount, controlCount + system.entries },
            { "agent", controlCount + system.entries, system.nodes.size() } };
        double seconds = std::chrono::duration<double>(length).count();
        uint64_t version = 1;
        for (const Row& row : rows) {
            double sum = 0;
            double most = 0;
            double busy = 0;
            for (size_t i = row.first; i < row.last; ++i) {
                double rate = double(after[i].bytes - before[i].bytes) / seconds;
                sum += rate;
                most = std::max(most, rate);
                busy = std::max(busy, std::chrono::duration<double>(after[i].busy - before[i].busy).count() / seconds);
            }
            double mean = sum / double(row.last - row.first);
            double change = extraBytes(system, row, mean, [&] { system.submitConfiguration(++version); });
            Time ordered = system.clock.now() - 30s;
            Duration slowest {};
            for (Time taken : system.appliedTimes)
                slowest = std::max(slowest, taken - ordered);
            double restart = extraBytes(system, row, mean, [&] { system.restart(system.nodes.size() - 1); });
            std::printf("| %zu | %s | %.2f | %.2f | %.3f | %.0f | %.0f | %.1f |\n", processes, row.role, mean / 1000,
                most / 1000, 100 * busy, change, restart, std::chrono::duration<double>(slowest).count());
            std::fflush(stdout);
        }
    }

} // namespace
} // namespace cicadaward::cluster

int main(int argc, char** argv)
{
    std::vector<size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    if (sizes.empty())
        sizes = { 42, 300, 1000, 3020 };
    std::puts("| processes | role | KB/s mean | KB/s most | core % most | change B | restart B | in force s |");
    std::puts("|---|---|---|---|---|---|---|---|");
    for (size_t size : sizes) {
        if (size < 16) {
            std::fputs("at least 16 processes\n", stderr);
            return 2;
        }
        cicadaward::cluster::measure(size);
    }
    return 0;
}
