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

// Three agents; what they send to each other arrives at once unless an agent is down.
class Bed {
public:
    explicit Bed(PortMode mode = PortMode::Flow, uint32_t capacity = 100)
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
        settings.flowBytes = 1 << 16;
        settings.absentHold = milliseconds(500);
        agents[i] = std::make_unique<AgentFlows>(settings, *admissions[i], clock, random);
        feed(i, TargetUp { m_directory.members[i].target });
        if (m_directory.version.sequence > 0)
            feed(i, DirectoryReceived { std::make_shared<Directory>(m_directory) });
    }

    void publish()
    {
        ++m_directory.version.sequence;
        for (size_t i = 0; i < agents.size(); ++i) {
            if (!cut[i])
                feed(i, DirectoryReceived { std::make_shared<Directory>(m_directory) });
        }
    }

    void run(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += milliseconds(50)) {
            clock.advance(milliseconds(50));
            for (size_t i = 0; i < agents.size(); ++i) {
                if (!cut[i])
                    feed(i, ControlContact { clock.now(), m_directory.version });
                feed(i, Tick {});
            }
        }
    }

    void feed(size_t i, const AgentEvent& event)
    {
        if (!agents[i])
            return;
        Actions actions;
        agents[i]->handle(event, actions);
        for (const Action& action : actions.list()) {
            if (const auto* tunnel = std::get_if<SendTunnel>(&action))
                feed(tunnel->to.address - 1, TunnelReceived { tunnel->header, tunnel->packet });
            else if (const auto* peer = std::get_if<SendPeer>(&action))
                feed(peer->to.address - 1, TunnelReceived { peer->header, peer->message });
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

    // Sends through an entry that takes `to` for the owner; by default the right one. 'S' opens, 'd' is data, 'F'
    // closes.
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
        feed(to.value_or(owner(port)), TunnelReceived { header, bytes });
    }

    // The agents that got a packet since the last call.
    std::string where()
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
        std::string at = where();
        REQUIRE(at.size() == 1);
        send(port, 'd');
        REQUIRE(where() == at);
        run(milliseconds(100));
        return static_cast<size_t>(at[0] - '0');
    }

    // A port whose flow the owner places on another member.
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
    std::vector<bool> cut { false, false, false };
    uint32_t sequence = 77; // of the segments that send() makes
    size_t resets = 0;
};

} // namespace

TEST_CASE("flows go on where they were opened", "[flow]")
{
    struct Case {
        const char* name;
        std::function<void(Bed&, uint16_t port, size_t holder)> change;
        bool survives;
    };
    const Case cases[] = {
        { "nothing happens", [](Bed&, uint16_t, size_t) {}, true },
        { "the owner drains and goes",
            [](Bed& bed, uint16_t port, size_t) {
                size_t owner = bed.owner(port);
                bed.m_directory.members[owner].state = MemberState::Draining;
                bed.publish();
                bed.run(seconds(1));
                bed.agents[owner].reset();
                bed.m_directory.members.erase(bed.m_directory.members.begin() + static_cast<std::ptrdiff_t>(owner));
                bed.publish();
                bed.run(seconds(4));
            },
            true },
        { "20 table changes in a row",
            [](Bed& bed, uint16_t, size_t) {
                for (size_t i = 0; i < 20; ++i) {
                    for (Member& member : bed.m_directory.members)
                        member.state = MemberState::Warm;
                    bed.m_directory.members[i % 3].state = MemberState::Draining;
                    bed.publish();
                }
                bed.run(seconds(1));
            },
            true },
        { "the holder's agent restarts empty",
            [](Bed& bed, uint16_t, size_t holder) {
                bed.start(holder);
                bed.run(seconds(1));
            },
            true },
        { "the owner restarts empty",
            [](Bed& bed, uint16_t port, size_t) {
                bed.start(bed.owner(port));
                bed.run(seconds(1));
            },
            true },
        { "the holder is cut from control past its lease",
            [](Bed& bed, uint16_t, size_t holder) {
                bed.cut[holder] = true;
                bed.run(seconds(4));
            },
            true },
        { "the holder drains",
            [](Bed& bed, uint16_t, size_t holder) {
                bed.feed(holder, TargetDraining {});
                bed.m_directory.members[holder].state = MemberState::Draining;
                bed.publish();
                bed.run(seconds(1));
            },
            true },
        { "the target restarts",
            [](Bed& bed, uint16_t, size_t holder) {
                bed.feed(holder, TargetUp { Incarnation(11) });
                bed.run(seconds(1));
            },
            false },
        { "the target goes down",
            [](Bed& bed, uint16_t, size_t holder) {
                bed.feed(holder, TargetDown {});
                bed.run(seconds(1));
            },
            false },
        { "the holder's data centre is taken out",
            [](Bed& bed, uint16_t, size_t holder) {
                bed.m_directory.dataCentres[holder == 2 ? 1 : 0].isTakenOut = true;
                bed.publish();
                bed.run(seconds(4));
            },
            false },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        Bed bed;
        size_t holder = 0;
        uint16_t port = bed.openElsewhere(holder);
        c.change(bed, port, holder);
        bed.where();
        bed.send(port, 'd', {}, { TunnelKind::ToOwner, 0, {}, {}, {}, {}, DataCentreId(holder == 2 ? 1 : 2), {} });
        CHECK(bed.where() == (c.survives ? std::string(1, static_cast<char>('0' + holder)) : ""));
    }
}

TEST_CASE("what may not be delivered or opened is refused", "[flow]")
{
    struct Case {
        const char* name;
        std::function<void(Bed&)> run;
        std::string delivered;
        size_t resets;
    };
    const Case cases[] = {
        { "a segment of an unknown flow is reset", [](Bed& bed) { bed.send(900, 'd'); }, "", 1 },
        { "a packet of another service",
            [](Bed& bed) {
                bed.send(900, 'S', {}, { TunnelKind::ToOwner, 0, {}, ServiceId(2), {}, {}, {}, {} });
            },
            "", 0 },
        { "an opening for an older target incarnation",
            [](Bed& bed) {
                bed.send(900, 'S', 0,
                    { TunnelKind::OpenFlow, 0, {}, ServiceId(1), {}, MemberId(2), DataCentreId(1), Incarnation(9) });
            },
            "", 0 },
        { "a segment for an older target incarnation",
            [](Bed& bed) {
                bed.send(900, 'd', 0,
                    { TunnelKind::ToHolder, 0, {}, ServiceId(1), {}, MemberId(2), DataCentreId(1), Incarnation(9) });
            },
            "", 0 },
        { "every member without its lease",
            [](Bed& bed) {
                bed.cut = { true, true, true };
                bed.run(seconds(4));
                bed.send(900, 'S');
            },
            "", 0 },
        { "every target draining",
            [](Bed& bed) {
                for (size_t i = 0; i < 3; ++i)
                    bed.feed(i, TargetDraining {});
                bed.send(900, 'S');
            },
            "", 1 },
        { "a sender in a data centre that is out",
            [](Bed& bed) {
                bed.m_directory.dataCentres[1].isTakenOut = true;
                bed.publish();
                bed.run(seconds(4));
                bed.send(900, 'S', {}, { TunnelKind::ToOwner, 0, {}, {}, {}, {}, DataCentreId(2), {} });
            },
            "", 0 },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        Bed bed;
        c.run(bed);
        CHECK(bed.where() == c.delivered);
        CHECK(bed.resets == c.resets);
    }
}

TEST_CASE("a first packet through entries with different tables makes one flow", "[flow]")
{
    Bed bed;
    for (uint16_t port = 1000; port < 1100; ++port) {
        for (size_t entry = 0; entry < 3; ++entry)
            bed.send(port, 'S', entry);
        std::string at = bed.where();
        REQUIRE(at.size() == 3);
        CHECK(at == std::string(3, at[0]));
    }
}

TEST_CASE("a 5-tuple that is used again after the close is a new flow", "[flow]")
{
    Bed bed;
    size_t holder = bed.open(1000);
    uint64_t opened = bed.agents[holder]->counters().value(FlowCounter::FlowsOpened);
    bed.send(1000, 'F');
    TcpFlags flags { false, true, true, false };
    FlowKey back = Bed::key(1000);
    std::swap(back.sourceAddress, back.destinationAddress);
    std::swap(back.sourcePort, back.destinationPort);
    std::vector<uint8_t> fin = buildTcpPacket(back, flags, 5, 78, "");
    bed.feed(holder, TargetPacket { fin });
    bed.where();
    bed.sequence = 5000;
    bed.send(1000, 'S');
    CHECK(bed.where().size() == 1);
    uint64_t total = 0;
    for (const auto& agent : bed.agents)
        total += agent->counters().value(FlowCounter::FlowsOpened);
    CHECK(total == opened + 1);
    CHECK(bed.admissions[holder]->flows().inUse() <= 1);
}

TEST_CASE("a full service refuses with a reset for a feed and with 503 for a request", "[flow]")
{
    for (PortMode mode : { PortMode::Flow, PortMode::Request }) {
        Bed bed(mode, 2);
        for (uint16_t port = 1000; port < 1006; ++port) {
            bed.send(port, 'S');
            CHECK(bed.where().size() == 1);
            // Longer than the time for which a full target is avoided, and in all shorter than the answer limit.
            bed.run(milliseconds(350));
        }
        bed.send(1006, 'S');
        std::vector<DeliverPacket> last = bed.delivered[bed.owner(1006)];
        CHECK(bed.resets == (mode == PortMode::Flow ? 1 : 0));
        REQUIRE(last.size() == (mode == PortMode::Flow ? 0 : 1));
        if (mode == PortMode::Request)
            CHECK(last[0].refuse);
        size_t held = 0;
        for (const auto& admission : bed.admissions)
            held += admission->flows().inUse();
        CHECK(held == 6);
    }
}

TEST_CASE("the flow table agrees with a map and refuses when it is full", "[flow][fuzz]")
{
    FlowTable table(100 * sizeof(FlowRecord));
    std::map<FlowKey, uint32_t> model;
    Random random(3);
    for (int i = 0; i < 200000; ++i) {
        FlowKey key = Bed::key(static_cast<uint16_t>(random.below(120)));
        FlowRecord* record = table.find(key, key.hash());
        auto known = model.find(key);
        REQUIRE((record != nullptr) == (known != model.end()));
        if (record) {
            REQUIRE(record->stamp == known->second);
            table.erase(record);
            model.erase(known);
        } else if (FlowRecord* added = table.insert(key, key.hash(), FlowTable::Purpose::NewFlow)) {
            added->roles = FlowRole::held;
            added->stamp = static_cast<uint32_t>(random.next());
            model[key] = added->stamp;
        } else {
            REQUIRE(model.size() == table.newFlowCapacity());
        }
        REQUIRE(table.size() == model.size());
    }
}

TEST_CASE("peer messages survive a round trip, and damage is refused without a crash", "[flow][fuzz]")
{
    FlowSummary flow;
    flow.key = Bed::key(9);
    flow.idle = 70000;
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

TEST_CASE("the entry names a reason for each packet that it drops", "[flow]")
{
    Bed bed;
    EntryForwarder entry(MemberId(50), DataCentreId(2));
    Forwarding forwarding;
    std::vector<uint8_t> packet = buildTcpPacket(Bed::key(1), { true, false, false, false }, 1, 0, "");
    auto verdict = [&] { return entry.forward(packet.data(), packet.size(), forwarding); };
    CHECK(verdict() == EntryVerdict::DropOut);
    entry.install(bed.m_directory);
    CHECK(verdict() == EntryVerdict::Forward);
    CHECK(forwarding.to.address == bed.owner(1) + 1);
    CHECK(forwarding.header.version == bed.m_directory.version);
    CHECK(entry.forward(packet.data(), 19, forwarding) == EntryVerdict::DropDamaged);
    packet = buildTcpPacket({ 1, 2, 3, 4, Protocol::Tcp, { 0, 0, 0 } }, { true, false, false, false }, 1, 0, "");
    CHECK(verdict() == EntryVerdict::DropUnknown);
    bed.m_directory.dataCentres[1].isTakenOut = true;
    ++bed.m_directory.version.sequence;
    entry.install(bed.m_directory);
    CHECK(verdict() == EntryVerdict::DropOut);
}
