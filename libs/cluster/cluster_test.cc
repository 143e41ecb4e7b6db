#include "cluster/codec.h"
#include "cluster/fragments.h"
#include "cluster/group.h"
#include "cluster/relay.h"
#include "cluster/test_values.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

InstanceAddress addressOf(Endpoint peer) { return { peer, { peer.address, 8166 } }; }

Command putCommand(uint64_t version, const std::string& text)
{
    Command command;
    command.kind = CommandKind::PutConfiguration;
    command.configuration.version = version;
    command.compressedText = text;
    return command;
}

Command dataCentreCommand(const std::string& name, bool out)
{
    Command command;
    command.kind = CommandKind::SetDataCentre;
    command.dataCentre = name;
    command.isEvacuated = out;
    return command;
}

Command instanceCommand(uint64_t id, Endpoint peer)
{
    Command command;
    command.kind = CommandKind::SetInstance;
    command.instance = InstanceId(id);
    command.address = addressOf(peer);
    return command;
}

raft::RaftStatus groupStatus(std::vector<raft::InstanceStatus> instances)
{
    raft::RaftStatus status;
    status.self = instances.front().id;
    status.instances = std::move(instances);
    return status;
}

raft::InstanceStatus voter(uint64_t id, bool active = true) { return { InstanceId(id), true, active, active, 1 }; }
raft::InstanceStatus learner(uint64_t id, bool synced) { return { InstanceId(id), false, true, synced, 1 }; }

} // namespace

TEST_CASE("messages of any size survive fragments in any order, and lost ones never mix", "[fragments]")
{
    ManualClock clock;
    Random random(3);
    Fragmenter fragmenter(100);
    Assembler assembler(clock);
    for (size_t size : { 0, 1, 599, 601, 1300, 1301, 50000, 400000 }) {
        std::string message(size, '\0');
        for (char& byte : message)
            byte = static_cast<char>(random.next());
        std::vector<std::string> datagrams = fragmenter.split(message).value();
        std::optional<std::string> whole;
        while (!datagrams.empty()) {
            size_t pick = random.below(datagrams.size());
            REQUIRE_FALSE(whole);
            whole = assembler.add(
                peerA, reinterpret_cast<const uint8_t*>(datagrams[pick].data()), datagrams[pick].size());
            datagrams.erase(datagrams.begin() + static_cast<long>(pick));
        }
        REQUIRE(whole);
        CHECK(*whole == message);
    }
}

TEST_CASE("damaged fragments are refused and the assembler stays bounded", "[fragments]")
{
    ManualClock clock;
    Random random(4);
    Fragmenter fragmenter(1);
    Assembler assembler(clock);
    const std::string message(5000, 'x');
    for (int i = 0; i < 50000; ++i) {
        std::vector<std::string> datagrams = fragmenter.split(message + std::to_string(random.next())).value();
        std::string& datagram = datagrams[random.below(datagrams.size())];
        datagram[random.below(datagram.size())] = static_cast<char>(random.next());
        datagram.resize(random.below(datagram.size() + 1));
        assembler.add(peerA, reinterpret_cast<const uint8_t*>(datagram.data()), datagram.size());
    }
    CHECK_FALSE(decompress("not compressed", 100));
    CHECK_FALSE(decompress(compress(std::string(1000, 'a')), 999));
    CHECK(decompress(compress(std::string(1000, 'a')), 1000) == std::string(1000, 'a'));
}

// Guards against messages that are dropped without a trace.
TEST_CASE("a message that is too large or incomplete is counted", "[fragments]")
{
    ManualClock clock;
    Fragmenter fragmenter(1);
    Assembler assembler(clock);
    CHECK(fragmenter.split(std::string(maxMessageBytes, 'x')).ok());
    CHECK(absl::IsResourceExhausted(fragmenter.split(std::string(maxMessageBytes + 1, 'x')).status()));
    auto add = [&](const std::string& datagram) {
        return assembler.add(peerA, reinterpret_cast<const uint8_t*>(datagram.data()), datagram.size());
    };
    std::string damaged = fragmenter.split(std::string(1000, 'x')).value().at(0);
    damaged.resize(damaged.size() - 5);
    CHECK_FALSE(add(damaged));
    CHECK(assembler.failures().damaged == 1);

    Random random(1);
    std::string message(5000, '\0');
    for (char& byte : message)
        byte = static_cast<char>(random.next());
    add(fragmenter.split(message).value().at(0));
    clock.advance(3s);
    CHECK(assembler.failures().incomplete == 0);
    add(fragmenter.split(message).value().at(0));
    CHECK(assembler.failures().incomplete == 1);
}

TEST_CASE("state: the highest version wins, and other content under the same version is never applied", "[state]")
{
    State state;
    state.apply(1, putCommand(5, "five"));
    CHECK(state.routes().version() == 5);
    CHECK(state.index() == 1);
    state.apply(2, putCommand(5, "other five"));
    state.apply(3, putCommand(4, "four"));
    CHECK(state.compressedText() == "five");
    CHECK(state.index() == 1);
    state.apply(4, putCommand(9, "nine"));
    CHECK(state.compressedText() == "nine");
    CHECK(state.index() == 4);
}

// Guards against the conclusion that no target holds a flow while the target that holds it is missing in the register.
TEST_CASE("state: the register keeps the newest start of each target until that start is removed", "[state]")
{
    auto command = [](CommandKind kind, steering::MemberRecord record, uint64_t start) {
        record.targetStartSequence = record.sequence = start;
        Command result;
        result.kind = kind;
        result.members = { record };
        return result;
    };
    steering::MemberRecord member = memberNumber(1);
    State state;
    state.apply(1, command(CommandKind::RegisterMembers, member, 5));
    CHECK(state.index() == 0); // the forwarding state is unchanged
    state.apply(2, command(CommandKind::RegisterMembers, member, 3)); // delayed
    REQUIRE(state.members().count(member.agent) == 1);
    CHECK(state.members().at(member.agent).targetStartSequence == 5);
    state.apply(3, command(CommandKind::RemoveMembers, member, 3));
    CHECK(state.members().size() == 1);

    State copy;
    REQUIRE(copy.decode(state.encode()));
    CHECK(copy.members().at(member.agent).targetStartSequence == 5);
    state.apply(4, command(CommandKind::RemoveMembers, member, 5));
    CHECK(state.members().empty());
}

// Guards against snapshots and commands that were stored before the register existed and have fewer fields.
TEST_CASE("state: a snapshot and a command without a register can be decoded", "[state]")
{
    State state;
    state.apply(1, putCommand(5, "five"));
    msgpack::object_handle whole = msgpack::unpack(state.encode().data(), state.encode().size());
    auto shortened = [](const msgpack::object& object, uint32_t fields) {
        msgpack::sbuffer buffer;
        msgpack::packer<msgpack::sbuffer> packer(buffer);
        packer.pack_array(fields);
        for (uint32_t i = 0; i < fields; ++i)
            packer.pack(object.via.array.ptr[i]);
        return std::string(buffer.data(), buffer.size());
    };
    State old;
    REQUIRE(old.decode(shortened(whole.get(), 6)));
    CHECK(old.routes().version() == 5);
    CHECK(old.members().empty());

    std::string bytes = encodeMessage(dataCentreCommand("east", true));
    msgpack::object_handle command = msgpack::unpack(bytes.data(), bytes.size());
    Command decoded;
    REQUIRE(decodeMessage(shortened(command.get(), 7), decoded));
    CHECK(decoded.dataCentre == "east");
    CHECK_FALSE(decodeMessage(shortened(command.get(), 6), decoded));
}

TEST_CASE("state: a repeated evacuation has no effect, and a snapshot restores the whole state", "[state]")
{
    State state;
    state.apply(1, dataCentreCommand("east", true));
    state.apply(2, dataCentreCommand("east", true));
    CHECK(state.index() == 1);
    state.apply(3, instanceCommand(7, peerA));
    state.apply(4, instanceCommand(8, peerA)); // the disk of 7 is lost
    CHECK(state.isRetired(InstanceId(7)));
    CHECK(state.instances().size() == 1);
    state.apply(5, putCommand(2, "text"));
    State copy;
    CHECK_FALSE(copy.decode("damaged"));
    REQUIRE(copy.decode(state.encode()));
    CHECK(copy.index() == 5);
    CHECK(copy.compressedText() == "text");
    CHECK(copy.evacuatedDataCentres() == std::set<std::string> { "east" });
    CHECK(copy.isRetired(InstanceId(7)));
    copy.apply(6, dataCentreCommand("east", false));
    CHECK(copy.evacuatedDataCentres().empty());
}

TEST_CASE("group: instances are added, promoted and removed", "[group]")
{
    ManualClock clock;
    State state;
    state.apply(1, instanceCommand(1, peerA));
    GroupOptions options;
    Group group(options, clock);

    SECTION("an instance registers, becomes a learner, then a voter")
    {
        group.onHello({ InstanceId(9), addressOf(peerB), false });
        auto registration = group.nextRegistration(state);
        REQUIRE(registration);
        CHECK(registration->first == InstanceId(9));
        CHECK_FALSE(group.nextChange(groupStatus({ voter(1) }), state)); // not registered yet
        state.apply(2, instanceCommand(9, peerB));
        auto change = group.nextChange(groupStatus({ voter(1) }), state);
        REQUIRE(change);
        CHECK(change->change == raft::MembershipChange::AddLearner);
        CHECK_FALSE(group.nextChange(groupStatus({ voter(1), learner(9, false) }), state));
        change = group.nextChange(groupStatus({ voter(1), learner(9, true) }), state);
        REQUIRE(change);
        CHECK(change->change == raft::MembershipChange::Promote);
        raft::RaftStatus pending = groupStatus({ voter(1), learner(9, true) });
        pending.hasPendingChange = true;
        CHECK_FALSE(group.nextChange(pending, state));
    }
    SECTION("a hello that is old or from a lost disk is ignored")
    {
        group.onHello({ InstanceId(9), addressOf(peerB), false });
        clock.advance(2001ms);
        CHECK_FALSE(group.nextRegistration(state));
        state.apply(2, instanceCommand(5, peerA)); // replaces 1
        group.onHello({ InstanceId(1), addressOf(peerA), false });
        CHECK_FALSE(group.nextRegistration(state));
    }
    SECTION("a lost disk's identity is removed at once")
    {
        state.apply(2, instanceCommand(5, peerA));
        auto change = group.nextChange(groupStatus({ voter(2), voter(1), voter(3) }), state);
        REQUIRE(change);
        CHECK(change->change == raft::MembershipChange::Remove);
        CHECK(change->instance == InstanceId(1));
    }
    SECTION("a silent voter of the smallest group stays until a learner can replace it")
    {
        raft::RaftStatus status = groupStatus({ voter(1), voter(2), voter(3, false) });
        group.observe(status);
        clock.advance(3s);
        group.observe(status);
        CHECK_FALSE(group.nextChange(status, state));
        auto change = group.nextChange(groupStatus({ voter(1), voter(2), voter(3, false), learner(9, true) }), state);
        REQUIRE(change);
        CHECK(change->change == raft::MembershipChange::Promote);
        CHECK(change->instance == InstanceId(9));
        change = group.nextChange(groupStatus({ voter(1), voter(2), voter(3, false), voter(9) }), state);
        REQUIRE(change);
        CHECK(change->change == raft::MembershipChange::Remove);
        CHECK(change->instance == InstanceId(3));
    }
    SECTION("several silent voters are all replaced, and the group never has fewer than two losses need")
    {
        options.toleratedLosses = 2;
        Group largeGroup(options, clock);
        raft::RaftStatus status = groupStatus(
            { voter(1), voter(2), voter(3), voter(4, false), voter(5, false), learner(8, true), learner(9, true) });
        largeGroup.observe(status);
        clock.advance(3s);
        largeGroup.observe(status);
        for (int i = 0; i < 4; ++i) {
            auto change = largeGroup.nextChange(status, state);
            REQUIRE(change);
            auto changed = std::find_if(status.instances.begin(), status.instances.end(),
                [&](const raft::InstanceStatus& instance) { return instance.id == change->instance; });
            if (change->change == raft::MembershipChange::Promote)
                changed->isVoter = true;
            else
                status.instances.erase(changed);
            CHECK(std::count_if(status.instances.begin(), status.instances.end(),
                      [](const raft::InstanceStatus& instance) { return instance.isVoter; })
                >= 5);
        }
        CHECK_FALSE(largeGroup.nextChange(status, state));
        for (const raft::InstanceStatus& instance : status.instances)
            CHECK((instance.isVoter && instance.isActive));
    }
    SECTION("a silent voter of a larger group is removed, but not before the limit")
    {
        raft::RaftStatus status = groupStatus({ voter(1), voter(2), voter(3), voter(4, false) });
        group.observe(status);
        clock.advance(2400ms);
        group.observe(status);
        CHECK_FALSE(group.nextChange(status, state));
        clock.advance(200ms);
        group.observe(status);
        REQUIRE(group.nextChange(status, state));
        CHECK(group.nextChange(status, state)->instance == InstanceId(4));
        group.reset();
        CHECK_FALSE(group.nextChange(status, state)); // a new leader starts with no record of silence
    }
}

namespace {

class FakeRelayOutput final : public RelayOutput {
public:
    void sendMessage(Endpoint to, const Envelope& envelope) override { sent.emplace_back(to, envelope); }
    void contactChanged(bool) override { }

    std::vector<std::pair<Endpoint, Envelope>> sent;
};

} // namespace

// Guards against seeds that name only relays: processes would not find the voters, and no instance could join.
TEST_CASE("relay: forwards a hello of a joining instance once and names members to pollers", "[relay]")
{
    ManualClock clock;
    Random random(1);
    FakeRelayOutput output;
    const Endpoint otherRelay { 0x0A010009, 7720 };
    PollerOptions options;
    options.seeds = { otherRelay };
    Relay relay(options, clock, random, output);
    relay.onMessage(peerA, { MessageKind::Hello, encodeMessage(Hello { InstanceId(1), addressOf(peerA), false }) });
    output.sent.clear();
    relay.onMessage(peerB, { MessageKind::Hello, encodeMessage(Hello { InstanceId(2), addressOf(peerB), false }) });
    std::set<Endpoint> informed;
    for (const auto& [to, envelope] : output.sent) {
        Hello hello;
        REQUIRE(decodeMessage(envelope.body, hello));
        CHECK(hello.forwarded);
        CHECK(hello.instance == InstanceId(2));
        informed.insert(to);
    }
    CHECK(informed == std::set<Endpoint> { peerA, otherRelay });
    output.sent.clear();
    relay.onMessage(otherRelay, { MessageKind::Hello, encodeMessage(Hello { InstanceId(3), addressOf(peerB), true }) });
    CHECK(output.sent.empty()); // two relays must not pass a hello back and forth

    relay.onMessage(peerB, { MessageKind::Poll, encodeMessage(Poll()) });
    REQUIRE(output.sent.size() == 1);
    PollReply reply;
    REQUIRE(decodeMessage(output.sent[0].second.body, reply));
    CHECK(std::count(reply.controls.begin(), reply.controls.end(), peerA) == 1);
    CHECK(reply.state.empty());
}

TEST_CASE("relay: names the leader of the newest term, and none without recent replies", "[relay]")
{
    ManualClock clock;
    Random random(1);
    FakeRelayOutput output;
    PollerOptions options;
    options.seeds = { peerA };
    Relay relay(options, clock, random, output);
    CHECK_FALSE(relay.leader());
    auto named = [&](Endpoint sender, Endpoint leader, uint64_t term) {
        PollReply reply;
        reply.leader = leader;
        reply.term = term;
        relay.onMessage(sender, { MessageKind::PollReply, encodeMessage(reply) });
    };
    named(peerA, addressOf(peerA).adminApi, 4);
    named(peerB, addressOf(peerB).adminApi, 3);
    CHECK(relay.leader() == addressOf(peerA).adminApi);
    clock.advance(2001ms);
    CHECK_FALSE(relay.leader());
    named(peerB, addressOf(peerB).adminApi, 5);
    CHECK(relay.leader() == addressOf(peerB).adminApi);
}
