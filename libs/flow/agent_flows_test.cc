#include "flow/agent_flows.h"
#include "flow/entry_forwarder.h"
#include "flow/flow_table.h"
#include "flow/messages.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace cicadaward;
using namespace cicadaward::flow;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Three agents in two data centres. Messages between them arrive immediately and in order, unless an agent is down.
class TestCluster {
public:
    explicit TestCluster(PortMode mode = PortMode::Flow, uint32_t capacity = 100)
    {
        m_directory.version = { Term(1), 0 };
        m_directory.dataCentres = { { DataCentreId(1), "a", false }, { DataCentreId(2), "b", false } };
        Service service;
        service.id = ServiceId(1);
        service.spec.address = 0x0a640001;
        service.spec.ports = { { 7000, Protocol::Tcp, mode } };
        service.spec.buckets = 64;
        service.spec.coldShare = 1;
        m_directory.services = { service };
        for (size_t i = 0; i < 3; ++i) {
            Member member;
            member.id = MemberId(i + 1);
            member.state = MemberState::Warm;
            member.service = service.id;
            member.dataCentre = DataCentreId(static_cast<uint16_t>(i == 2 ? 2 : 1));
            member.tunnel = { static_cast<uint32_t>(i + 1), 4000 };
            member.capacity = capacity;
            member.target = Incarnation(10);
            m_directory.members.push_back(member);
            admissions.push_back(std::make_unique<TargetAdmission>(clock, TargetCapacity { capacity, 1, 1.0 }));
            agents.emplace_back();
            delivered.emplace_back();
            start(i);
        }
        publish();
        run(seconds(1));
    }

    void start(size_t i)
    {
        AgentFlowsSettings settings;
        settings.self = MemberId(i + 1);
        settings.service = ServiceId(1);
        settings.dataCentre = m_directory.members[i].dataCentre;
        settings.flowTableBytes = 1 << 16;
        settings.absentMemberTimeout = milliseconds(500);
        agents[i] = std::make_unique<AgentFlows>(settings, *admissions[i], clock, random);
        dispatch(i, TargetUp { m_directory.members[i].target });
        if (m_directory.version.sequence > 0)
            dispatch(i, DirectoryReceived { std::make_shared<Directory>(m_directory) });
    }

    void publish()
    {
        ++m_directory.version.sequence;
        for (size_t i = 0; i < agents.size(); ++i) {
            if (!cutFromControl[i])
                dispatch(i, DirectoryReceived { std::make_shared<Directory>(m_directory) });
        }
    }

    void run(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += milliseconds(50)) {
            clock.advance(milliseconds(50));
            for (size_t i = 0; i < agents.size(); ++i) {
                if (!cutFromControl[i])
                    dispatch(i, ControlContact { clock.now(), m_directory.version });
                dispatch(i, Tick {});
            }
        }
    }

    void dispatch(size_t i, const AgentEvent& event)
    {
        if (!agents[i])
            return;
        Actions actions;
        agents[i]->handle(event, actions);
        for (const Action& action : actions.list()) {
            if (const auto* tunnel = std::get_if<SendTunnel>(&action))
                dispatch(tunnel->to.address - 1, TunnelReceived { tunnel->header, tunnel->packet });
            else if (const auto* peer = std::get_if<SendPeer>(&action))
                dispatch(peer->to.address - 1, TunnelReceived { peer->header, peer->message });
            else if (const auto* delivery = std::get_if<DeliverPacket>(&action))
                delivered[i].push_back(*delivery);
            else if (const auto* back = std::get_if<SendToCaller>(&action))
                resets += std::get<IpPacket>(parseIpPacket(back->packet.data(), back->packet.size())).flags.rst;
        }
    }

    size_t owner(uint16_t port) const
    {
        BucketTable table(m_directory, m_directory.services[0]);
        return table.owner(table.bucket(key(port)))->id.value() - 1;
    }

    static FlowKey key(uint16_t port)
    {
        FlowKey flow;
        flow.sourceAddress = 0x01020304;
        flow.sourcePort = port;
        flow.destinationAddress = 0x0a640001;
        flow.destinationPort = 7000;
        return flow;
    }

    // Sends a segment through an entry to `to`, by default the owner of the bucket. `kind`: 'S' is SYN, 'd' is data,
    // 'F' is FIN.
    void send(uint16_t port, char kind, std::optional<size_t> to = {}, TunnelHeader header = {})
    {
        TcpFlags flags { kind == 'S', kind != 'S', kind == 'F', false };
        bytes = buildTcpPacket(key(port), flags, sequence, 5, "x");
        header.hops = 1;
        if (header.service == ServiceId())
            header.service = ServiceId(1);
        header.version = m_directory.version;
        if (header.dataCentre == DataCentreId())
            header.dataCentre = DataCentreId(1);
        dispatch(to.value_or(owner(port)), TunnelReceived { header, bytes });
    }

    // Returns one digit, the index of the agent, for each packet delivered since the last call, ordered by agent.
    std::string takeDeliveringAgents()
    {
        std::string text;
        for (size_t i = 0; i < delivered.size(); ++i) {
            text += std::string(delivered[i].size(), static_cast<char>('0' + i));
            delivered[i].clear();
        }
        return text;
    }

    size_t open(uint16_t port)
    {
        send(port, 'S');
        std::string at = takeDeliveringAgents();
        REQUIRE(at.size() == 1);
        send(port, 'd');
        REQUIRE(takeDeliveringAgents() == at);
        run(milliseconds(100));
        return static_cast<size_t>(at[0] - '0');
    }

    // Opens flows until an owner places one at another member. Returns the source port of this flow and sets `holder`.
    uint16_t openElsewhere(size_t& holder)
    {
        for (uint16_t port = 1000;; ++port) {
            holder = open(port);
            if (holder != owner(port))
                return port;
        }
    }

    ManualClock clock;
    Random random { 5 };
    Directory m_directory;
    std::vector<std::unique_ptr<TargetAdmission>> admissions;
    std::vector<std::unique_ptr<AgentFlows>> agents;
    std::vector<std::vector<DeliverPacket>> delivered;
    std::vector<uint8_t> bytes;
    std::vector<bool> cutFromControl { false, false, false };
    uint32_t sequence = 77; // sequence number of the segments that send() builds
    size_t resets = 0;
};

} // namespace

TEST_CASE("an open flow stays at its holder until its target stops or its data centre is taken out", "[flow]")
{
    struct Case {
        const char* name;
        std::function<void(TestCluster&, uint16_t port, size_t holder)> change;
        bool survives;
    };
    const Case cases[] = {
        { "nothing happens", [](TestCluster&, uint16_t, size_t) {}, true },
        { "the owner drains and leaves",
            [](TestCluster& cluster, uint16_t port, size_t) {
                size_t owner = cluster.owner(port);
                cluster.m_directory.members[owner].state = MemberState::Draining;
                cluster.publish();
                cluster.run(seconds(1));
                cluster.agents[owner].reset();
                cluster.m_directory.members.erase(
                    cluster.m_directory.members.begin() + static_cast<std::ptrdiff_t>(owner));
                cluster.publish();
                cluster.run(seconds(4));
            },
            true },
        { "20 directory changes in a row",
            [](TestCluster& cluster, uint16_t, size_t) {
                for (size_t i = 0; i < 20; ++i) {
                    for (Member& member : cluster.m_directory.members)
                        member.state = MemberState::Warm;
                    cluster.m_directory.members[i % 3].state = MemberState::Draining;
                    cluster.publish();
                }
                cluster.run(seconds(1));
            },
            true },
        { "the holder's agent restarts empty",
            [](TestCluster& cluster, uint16_t, size_t holder) {
                cluster.start(holder);
                cluster.run(seconds(1));
            },
            true },
        { "the owner restarts empty",
            [](TestCluster& cluster, uint16_t port, size_t) {
                cluster.start(cluster.owner(port));
                cluster.run(seconds(1));
            },
            true },
        { "the holder loses contact to control for longer than its lease",
            [](TestCluster& cluster, uint16_t, size_t holder) {
                cluster.cutFromControl[holder] = true;
                cluster.run(seconds(4));
            },
            true },
        { "the holder drains",
            [](TestCluster& cluster, uint16_t, size_t holder) {
                cluster.dispatch(holder, TargetDraining {});
                cluster.m_directory.members[holder].state = MemberState::Draining;
                cluster.publish();
                cluster.run(seconds(1));
            },
            true },
        { "the target restarts",
            [](TestCluster& cluster, uint16_t, size_t holder) {
                cluster.dispatch(holder, TargetUp { Incarnation(11) });
                cluster.run(seconds(1));
            },
            false },
        { "the target goes down",
            [](TestCluster& cluster, uint16_t, size_t holder) {
                cluster.dispatch(holder, TargetDown {});
                cluster.run(seconds(1));
            },
            false },
        { "the holder's data centre is taken out",
            [](TestCluster& cluster, uint16_t, size_t holder) {
                cluster.m_directory.dataCentres[holder == 2 ? 1 : 0].isTakenOut = true;
                cluster.publish();
                cluster.run(seconds(4));
            },
            false },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        TestCluster cluster;
        size_t holder = 0;
        uint16_t port = cluster.openElsewhere(holder);
        c.change(cluster, port, holder);
        cluster.takeDeliveringAgents();
        cluster.send(port, 'd', {}, { TunnelKind::ToOwner, 0, {}, {}, {}, {}, DataCentreId(holder == 2 ? 1 : 2), {} });
        CHECK(cluster.takeDeliveringAgents() == (c.survives ? std::string(1, static_cast<char>('0' + holder)) : ""));
    }
}

TEST_CASE("packets that must not be delivered or open a flow are refused", "[flow]")
{
    struct Case {
        const char* name;
        std::function<void(TestCluster&)> run;
        std::string delivered;
        size_t resets;
    };
    const Case cases[] = {
        { "a segment of an unknown flow is reset", [](TestCluster& cluster) { cluster.send(900, 'd'); }, "", 1 },
        { "a packet of another service",
            [](TestCluster& cluster) {
                cluster.send(900, 'S', {}, { TunnelKind::ToOwner, 0, {}, ServiceId(2), {}, {}, {}, {} });
            },
            "", 0 },
        { "an opening for an older target incarnation",
            [](TestCluster& cluster) {
                cluster.send(900, 'S', 0,
                    { TunnelKind::OpenFlow, 0, {}, ServiceId(1), {}, MemberId(2), DataCentreId(1), Incarnation(9) });
            },
            "", 0 },
        { "a segment for an older target incarnation",
            [](TestCluster& cluster) {
                cluster.send(900, 'd', 0,
                    { TunnelKind::ToHolder, 0, {}, ServiceId(1), {}, MemberId(2), DataCentreId(1), Incarnation(9) });
            },
            "", 0 },
        { "every member without its lease",
            [](TestCluster& cluster) {
                cluster.cutFromControl = { true, true, true };
                cluster.run(seconds(4));
                cluster.send(900, 'S');
            },
            "", 0 },
        { "every target draining",
            [](TestCluster& cluster) {
                for (size_t i = 0; i < 3; ++i)
                    cluster.dispatch(i, TargetDraining {});
                cluster.send(900, 'S');
            },
            "", 1 },
        { "a sender in a data centre that has been taken out",
            [](TestCluster& cluster) {
                cluster.m_directory.dataCentres[1].isTakenOut = true;
                cluster.publish();
                cluster.run(seconds(4));
                cluster.send(900, 'S', {}, { TunnelKind::ToOwner, 0, {}, {}, {}, {}, DataCentreId(2), {} });
            },
            "", 0 },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        TestCluster cluster;
        c.run(cluster);
        CHECK(cluster.takeDeliveringAgents() == c.delivered);
        CHECK(cluster.resets == c.resets);
    }
}

TEST_CASE("a first packet that entries send to different agents opens one flow", "[flow]")
{
    TestCluster cluster;
    for (uint16_t port = 1000; port < 1100; ++port) {
        for (size_t entry = 0; entry < 3; ++entry)
            cluster.send(port, 'S', entry);
        std::string at = cluster.takeDeliveringAgents();
        REQUIRE(at.size() == 3);
        CHECK(at == std::string(3, at[0]));
    }
}

TEST_CASE("a 5-tuple that is used again after the close is a new flow", "[flow]")
{
    TestCluster cluster;
    size_t holder = cluster.open(1000);
    uint64_t opened = cluster.agents[holder]->counters().value(FlowCounter::FlowsOpened);
    cluster.send(1000, 'F');
    TcpFlags flags { false, true, true, false };
    FlowKey back = TestCluster::key(1000);
    std::swap(back.sourceAddress, back.destinationAddress);
    std::swap(back.sourcePort, back.destinationPort);
    std::vector<uint8_t> fin = buildTcpPacket(back, flags, 5, 78, "");
    cluster.dispatch(holder, TargetPacket { fin });
    cluster.takeDeliveringAgents();
    cluster.sequence = 5000;
    cluster.send(1000, 'S');
    CHECK(cluster.takeDeliveringAgents().size() == 1);
    uint64_t total = 0;
    for (const auto& agent : cluster.agents)
        total += agent->counters().value(FlowCounter::FlowsOpened);
    CHECK(total == opened + 1);
    CHECK(cluster.admissions[holder]->flows().inUse() <= 1);
}

TEST_CASE("a full service refuses with a reset in PortMode::Flow and with 503 in PortMode::Request", "[flow]")
{
    for (PortMode mode : { PortMode::Flow, PortMode::Request }) {
        TestCluster cluster(mode, 2);
        for (uint16_t port = 1000; port < 1006; ++port) {
            cluster.send(port, 'S');
            CHECK(cluster.takeDeliveringAgents().size() == 1);
            // Longer than the backoff from a full target. The sum of all iterations is shorter than the time after
            // which an unanswered first packet counts as a timeout.
            cluster.run(milliseconds(350));
        }
        cluster.send(1006, 'S');
        std::vector<DeliverPacket> last = cluster.delivered[cluster.owner(1006)];
        CHECK(cluster.resets == (mode == PortMode::Flow ? 1 : 0));
        REQUIRE(last.size() == (mode == PortMode::Flow ? 0 : 1));
        if (mode == PortMode::Request)
            CHECK(last[0].refuseRequests);
        size_t held = 0;
        for (const auto& admission : cluster.admissions)
            held += admission->flows().inUse();
        CHECK(held == 6);
    }
}

TEST_CASE("the flow table behaves like a map and refuses insertions when it is full", "[flow][fuzz]")
{
    FlowTable table(100 * sizeof(FlowRecord));
    std::map<FlowKey, uint32_t> model;
    Random random(3);
    for (int i = 0; i < 200000; ++i) {
        FlowKey key = TestCluster::key(static_cast<uint16_t>(random.below(120)));
        FlowRecord* record = table.find(key, key.hash());
        auto known = model.find(key);
        REQUIRE((record != nullptr) == (known != model.end()));
        if (record) {
            REQUIRE(record->lastActivityMs == known->second);
            table.erase(record);
            model.erase(known);
        } else if (FlowRecord* added = table.insert(key, key.hash(), FlowTable::Purpose::NewFlow)) {
            added->roles = FlowRole::held;
            added->lastActivityMs = static_cast<uint32_t>(random.next());
            model[key] = added->lastActivityMs;
        } else {
            REQUIRE(model.size() == table.newFlowCapacity());
        }
        REQUIRE(table.size() == model.size());
    }
}

TEST_CASE("peer messages are unchanged by encoding and decoding, and damaged ones cause no crash", "[flow][fuzz]")
{
    FlowSummary flow;
    flow.key = TestCluster::key(9);
    flow.idleMs = 70000;
    const PeerMessage messages[] = { FlowOpened { MemberId(1), Incarnation(2), std::vector<FlowSummary>(34, flow) },
        FlowClosed { MemberId(1), Incarnation(2), { { flow.key, 5, 6 } } },
        FlowRefused { RefusalReason::Limit, 2, { 1, 2, 3 } }, FlowCheck { Incarnation(2), { { flow.key, 5, 6 } } },
        BucketSyncRequest { 1, { Term(1), 2 }, { BucketId(3) } },
        BucketSyncReply { 1, 0, 1, Incarnation(2), { BucketId(3) }, std::vector<FlowSummary>(34, flow), true },
        BucketSyncStale { { Term(1), 2 } }, HolderSyncRequest { 1, Incarnation(2) },
        HolderSyncReply { 1, 0, 1, { flow } }, LoadReport { Incarnation(2), 3, 4, true } };
    Random random(4);
    for (const PeerMessage& message : messages) {
        std::string bytes = encodePeerMessage(message);
        INFO("type " << message.index());
        CHECK(bytes.size() < 1400);
        PeerMessage decoded;
        Bytes view(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
        REQUIRE(decodePeerMessage(view, decoded));
        CHECK(encodePeerMessage(decoded) == bytes);
        for (int i = 0; i < 2000; ++i) {
            std::string damaged = bytes.substr(0, random.below(bytes.size()) + 1);
            damaged[random.below(damaged.size())] = static_cast<char>(random.next());
            decodePeerMessage({ reinterpret_cast<const uint8_t*>(damaged.data()), damaged.size() }, decoded);
        }
    }
}

TEST_CASE("the entry reports the reason for each packet that it drops", "[flow]")
{
    TestCluster cluster;
    EntryForwarder entry(MemberId(50), DataCentreId(2));
    Forwarding forwarding;
    std::vector<uint8_t> packet = buildTcpPacket(TestCluster::key(1), { true, false, false, false }, 1, 0, "");
    auto verdict = [&] { return entry.forward(packet.data(), packet.size(), forwarding); };
    CHECK(verdict() == EntryVerdict::DropDataCentreOut);
    entry.install(cluster.m_directory);
    CHECK(verdict() == EntryVerdict::Forward);
    CHECK(forwarding.to.address == cluster.owner(1) + 1);
    CHECK(forwarding.header.version == cluster.m_directory.version);
    CHECK(entry.forward(packet.data(), 19, forwarding) == EntryVerdict::DropDamaged);
    packet = buildTcpPacket({ 1, 2, 3, 4, Protocol::Tcp, { 0, 0, 0 } }, { true, false, false, false }, 1, 0, "");
    CHECK(verdict() == EntryVerdict::DropUnknown);
    cluster.m_directory.dataCentres[1].isTakenOut = true;
    ++cluster.m_directory.version.sequence;
    entry.install(cluster.m_directory);
    CHECK(verdict() == EntryVerdict::DropDataCentreOut);
}
