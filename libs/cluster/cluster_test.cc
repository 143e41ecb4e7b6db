#include "cluster/codec.h"
#include "cluster/fragments.h"
#include "cluster/group.h"
#include "cluster/member_table.h"
#include "cluster/poller.h"
#include "cluster/relay.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

const Endpoint peerA { 0x0A010001, 7720 };
const Endpoint peerB { 0x0A010002, 7720 };

InstanceAddress addressOf(Endpoint peer) { return { peer, { peer.address, 8166 } }; }

Command putCommand(uint64_t version, const std::string& text)
{
    Command command;
    command.kind = CommandKind::PutConfiguration;
    command.configuration.version = version;
    command.text = text;
    return command;
}

Command dataCentreCommand(const std::string& name, bool out)
{
    Command command;
    command.kind = CommandKind::SetDataCentre;
    command.dataCentre = name;
    command.out = out;
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

steering::MemberRecord memberNumber(uint32_t number)
{
    steering::MemberRecord record;
    record.agent = { 0x0A020000 + number, 8172 };
    record.state = steering::TargetState::Ready;
    record.incarnation = 10;
    record.sequence = 1;
    return record;
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
        std::vector<std::string> datagrams = fragmenter.split(message);
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
        std::vector<std::string> datagrams = fragmenter.split(message + std::to_string(random.next()));
        std::string& datagram = datagrams[random.below(datagrams.size())];
        datagram[random.below(datagram.size())] = static_cast<char>(random.next());
        datagram.resize(random.below(datagram.size() + 1));
        assembler.add(peerA, reinterpret_cast<const uint8_t*>(datagram.data()), datagram.size());
    }
    CHECK_FALSE(decompress("not compressed", 100));
    CHECK_FALSE(decompress(compress(std::string(1000, 'a')), 999));
    CHECK(decompress(compress(std::string(1000, 'a')), 1000) == std::string(1000, 'a'));
}

TEST_CASE("state: the highest version wins, other content under it never takes force", "[state]")
{
    State state;
    state.apply(1, putCommand(5, "five"));
    CHECK(state.routes().version() == 5);
    CHECK(state.index() == 1);
    state.apply(2, putCommand(5, "other five"));
    state.apply(3, putCommand(4, "four"));
    CHECK(state.text() == "five");
    CHECK(state.index() == 1);
    state.apply(4, putCommand(9, "nine"));
    CHECK(state.text() == "nine");
    CHECK(state.index() == 4);
}

// Guards against a proof that nobody holds a flow while a target that does is missing in the register.
TEST_CASE("state: the register keeps the newest start of each target until that start is removed", "[state]")
{
    auto command = [](CommandKind kind, steering::MemberRecord record, uint64_t start) {
        record.targetStart = record.sequence = start;
        Command result;
        result.kind = kind;
        result.members = { record };
        return result;
    };
    steering::MemberRecord member = memberNumber(1);
    State state;
    state.apply(1, command(CommandKind::RegisterMembers, member, 5));
    CHECK(state.index() == 0); // entries need no new state for it
    state.apply(2, command(CommandKind::RegisterMembers, member, 3)); // late
    REQUIRE(state.members().count(member.agent) == 1);
    CHECK(state.members().at(member.agent).targetStart == 5);
    state.apply(3, command(CommandKind::RemoveMembers, member, 3));
    CHECK(state.members().size() == 1);

    State copy;
    REQUIRE(copy.decode(state.encode()));
    CHECK(copy.members().at(member.agent).targetStart == 5);
    state.apply(4, command(CommandKind::RemoveMembers, member, 5));
    CHECK(state.members().empty());
}

// Snapshots and commands of the version before the register have fewer fields.
TEST_CASE("state: an image and a command without a register are read", "[state]")
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

TEST_CASE("table: registered members have rows before they are heard, and departed ones leave no live row", "[members]")
{
    ManualClock clock;
    MemberTable table(clock, 77);
    steering::MemberRecord member = memberNumber(1);
    member.targetStart = 1;
    MemberRegister members { { member.agent, member } };
    auto row = [&] {
        PollReply reply;
        table.answer({}, steering::MemberDigest(steering::digestBuckets), reply);
        REQUIRE(reply.members.size() == 1);
        return reply.members[0];
    };
    table.follow(members);
    CHECK(row().state == steering::TargetState::Unknown);
    SECTION("an announcement of the registered start supersedes it")
    {
        table.update(member, 0ms);
        CHECK(row().state == steering::TargetState::Ready);
        CHECK(table.registerChanges(members).add.empty());
    }
    SECTION("a start that the register does not have is to be added")
    {
        member.sequence = member.targetStart = 4;
        table.update(member, 0ms);
        REQUIRE(table.registerChanges(members).add.size() == 1);
        CHECK(table.registerChanges(members).add[0].targetStart == 4);
    }
    SECTION("a registered start that is newer than the row shows, also under another service")
    {
        table.update(member, 0ms);
        members[member.agent].sequence = 6;
        members[member.agent].service = steering::serviceKey("other");
        table.follow(members);
        CHECK(row().service == steering::serviceKey("other"));
    }
    SECTION("a departure removes it, also from entries that have it")
    {
        steering::MemberRecord departed = member;
        departed.sequence = 3;
        departed.state = steering::TargetState::Departed;
        table.update(departed, 0ms);
        std::vector<steering::MemberRecord> remove = table.registerChanges(members).remove;
        REQUIRE(remove.size() == 1);
        table.remove(remove[0]);
        CHECK(row().state == steering::TargetState::Departed);
    }
    SECTION("a removal from the log supersedes a row that was never heard")
    {
        steering::MemberRecord removed = member;
        removed.state = steering::TargetState::Departed;
        table.remove(removed);
        CHECK(row().state == steering::TargetState::Departed);
        member.sequence = member.targetStart = 2; // the next start
        table.update(member, 0ms);
        CHECK(row().state == steering::TargetState::Ready);
    }
    SECTION("only after half a day of silence a member that has not departed is removed; it may come back")
    {
        table.update(member, 0ms);
        clock.advance(11h);
        table.expire();
        CHECK(table.registerChanges(members).remove.empty());
        clock.advance(2h);
        std::vector<steering::MemberRecord> remove = table.registerChanges(members).remove;
        REQUIRE(remove.size() == 1);
        table.remove(remove[0]);
        CHECK(row().state == steering::TargetState::Departed);
        CHECK(table.incarnationOf(member.agent) == member.incarnation + 1); // which the agent then outlives
    }
}

// Guards against an instance that is never polled: each one names itself first, and with turns by position in the list
// of the last reply some sequences of replies left one out for good. When that was the leader, no target was
// registered.
TEST_CASE("poller: every control instance gets its turn whatever order the replies have", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint control, const Envelope&) override
        {
            ++polls[control];
            last = control;
        }
        void contactLost() override { }
        void contactRenewed() override { }
        std::map<Endpoint, int> polls;
        Endpoint last;
    };
    std::vector<Endpoint> controls;
    for (uint32_t i = 1; i <= 4; ++i)
        controls.push_back({ 0x0A010000 + i, 7720 });
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        ManualClock clock;
        Random random(seed);
        Output output;
        PollerOptions options;
        options.seeds = { controls[0], controls[1], controls[2] };
        Poller poller(options, clock, random, output);
        constexpr int rounds = 20;
        for (size_t i = 0; i < rounds * controls.size(); ++i) {
            clock.advance(options.interval);
            poller.onTick();
            PollReply reply;
            reply.stateIndex = 1;
            reply.controls = { output.last };
            for (Endpoint control : controls) {
                if (control != output.last)
                    reply.controls.push_back(control);
            }
            if (random.below(4) != 0) // some replies are lost
                poller.onReply(output.last, reply);
        }
        INFO("seed " << seed);
        for (Endpoint control : controls)
            CHECK(output.polls[control] >= rounds - 2);
    }
}

// Guards against control traffic that grows with the size of the system (13 KB/s for each daemon at the target size),
// and against turns that are wasted on instances which can tell nothing.
TEST_CASE("poller: the interval grows with the pollers, and instances without a state are polled rarely", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint control, const Envelope&) override { polls.push_back(control); }
        void contactLost() override { }
        void contactRenewed() override { }
        std::vector<Endpoint> polls;
    };
    struct Case {
        uint32_t pollers;
        size_t fewest; // polls in 100 s
        size_t most;
    };
    for (const Case& test :
        { Case { 40, 245, 252 }, Case { 250, 95, 101 }, Case { 3020, 7, 10 }, Case { 50000, 7, 10 } }) {
        ManualClock clock;
        Random random(1);
        Output output;
        PollerOptions options;
        options.seeds = { peerA, peerB };
        Poller poller(options, clock, random, output);
        PollReply reply;
        reply.pollers = test.pollers;
        reply.controls = { peerA, peerB };
        reply.stateIndex = 1;
        reply.state = encodeMessage(ForwardingState { 1, {}, {} });
        poller.onReply(peerA, reply);
        reply.stateIndex = 0; // without a disk
        poller.onReply(peerB, reply);
        for (int i = 0; i < 10000; ++i) {
            clock.advance(10ms);
            size_t before = output.polls.size();
            poller.onTick();
            if (output.polls.size() == before)
                continue;
            reply.stateIndex = output.polls.back() == peerA ? 1 : 0;
            poller.onReply(output.polls.back(), reply);
        }
        INFO(test.pollers << " pollers");
        CHECK(output.polls.size() >= test.fewest);
        CHECK(output.polls.size() <= test.most);
        auto useless = static_cast<size_t>(std::count(output.polls.begin(), output.polls.end(), peerB));
        CHECK(useless <= output.polls.size() / 8 + 1);
    }
}

TEST_CASE("poller: a confirmation counts only with the newest state, and by the poll that it answers", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint, const Envelope& envelope) override
        {
            Poll poll;
            REQUIRE(decodeMessage(envelope.body, poll));
            lastNumber = poll.confirmation;
        }
        void contactLost() override { }
        void contactRenewed() override { }
        void membersConfirmed(Time asked) override { confirmed.push_back(asked); }
        uint64_t lastNumber = 0;
        std::vector<Time> confirmed;
    };
    ManualClock clock;
    Random random(1);
    Output output;
    PollerOptions options;
    options.seeds = { peerA };
    options.wantsMembers = true;
    Poller poller(options, clock, random, output);
    clock.advance(1s);
    Time asked = clock.now();
    poller.confirmMembers();
    uint64_t first = output.lastNumber;
    CHECK(first != 0);
    output.lastNumber = 0;
    poller.confirmMembers();
    CHECK(output.lastNumber == 0); // not again within the interval
    clock.advance(60ms);
    poller.confirmMembers();
    PollReply reply;
    poller.onReply(peerA, reply);
    CHECK(output.confirmed.empty()); // a reply of an instance that does not lead
    reply.confirmation = first;
    reply.stateIndex = 3; // newer than the poller's, and not in the reply
    poller.onReply(peerA, reply);
    CHECK(output.confirmed.empty());
    reply.state = encodeMessage(ForwardingState { 3, {}, {} });
    poller.onReply(peerA, reply);
    REQUIRE(output.confirmed.size() == 1);
    CHECK(output.confirmed[0] == asked);
    reply.confirmation = output.lastNumber + 1; // of an earlier process at this address
    poller.onReply(peerA, reply);
    CHECK(output.confirmed.size() == 1);
}

TEST_CASE("state: repeated evacuations change nothing, and the image restores everything", "[state]")
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
    CHECK(copy.text() == "text");
    CHECK(copy.out() == std::set<std::string> { "east" });
    CHECK(copy.isRetired(InstanceId(7)));
    copy.apply(6, dataCentreCommand("east", false));
    CHECK(copy.out().empty());
}

TEST_CASE("group: who joins, who is removed, and when", "[group]")
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
        pending.changePending = true;
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
        CHECK(change->change == raft::MembershipChange::Remove);
        CHECK(change->instance == InstanceId(3));
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
        CHECK_FALSE(group.nextChange(status, state)); // a new leader judges anew
    }
}

TEST_CASE("member table: answers carry what has changed, and silent agents only when most are heard", "[table]")
{
    ManualClock clock;
    MemberTable table(clock, 77);
    for (uint32_t i = 0; i < 10; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply all;
    table.answer({}, steering::MemberDigest(steering::digestBuckets), all);
    CHECK(all.members.size() == 10);
    steering::MemberRecord changed = memberNumber(3);
    changed.sequence = 2;
    table.update(changed, 0ms);
    CHECK(table.incarnationOf(changed.agent) == 10);
    PollReply delta;
    table.answer(all.table, {}, delta);
    CHECK(delta.members.size() == 1);
    PollReply other;
    table.answer({ 78, 99 }, steering::MemberDigest(steering::digestBuckets),
        other); // a version of another instance is worth nothing
    CHECK(other.members.size() == 10);
    steering::MemberRecord old = memberNumber(3);
    old.incarnation = 9;
    old.sequence = 50;
    table.update(old, 0ms);
    CHECK(table.incarnationOf(old.agent) == 10); // tells a restarted agent what it must outlive

    clock.advance(3100ms);
    for (uint32_t i = 0; i < 4; ++i)
        table.update(i == 3 ? changed : memberNumber(i), 0ms);
    PollReply cutOff;
    table.answer(delta.table, {}, cutOff);
    CHECK(cutOff.silent.empty());
    for (uint32_t i = 4; i < 9; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply judged;
    table.answer(delta.table, {}, judged);
    CHECK(judged.silent == std::vector<Endpoint> { memberNumber(9).agent });
    clock.advance(91s);
    table.expire();
    CHECK(table.size() == 0);
}

TEST_CASE("member table: a reply that is cut off continues with the next poll", "[table]")
{
    ManualClock clock;
    MemberTable table(clock, 1);
    const uint32_t members = maxReplyMembers + 100;
    for (uint32_t i = 0; i < members; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply first;
    CHECK_FALSE(table.answer({ 1, 0 }, {}, first));
    CHECK(first.members.size() == maxReplyMembers);
    PollReply second;
    CHECK(table.answer(first.table, {}, second));
    CHECK(second.members.size() == 100);
}

// Guards against entries that fetch the whole table from each control instance and after each restart of one: at the
// target size that alone is above the budget of control traffic.
TEST_CASE("member table: a digest brings only the members that differ", "[table]")
{
    ManualClock clock;
    MemberTable table(clock, 1);
    steering::Members known(clock);
    const uint32_t members = maxReplyMembers + 100;
    for (uint32_t i = 0; i < members; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply unknown;
    CHECK_FALSE(table.answer({ 99, 5 }, {}, unknown)); // of another owner
    CHECK(unknown.wantsDigest);
    CHECK(unknown.members.empty());

    int polls = 0;
    for (bool complete = false; !complete; ++polls) {
        REQUIRE(polls < 5);
        PollReply reply;
        complete = table.answer({}, known.digest(), reply);
        CHECK(reply.table.owner == (complete ? 1 : 0));
        for (const steering::MemberRecord& record : reply.members)
            known.update(record);
    }
    CHECK(known.size() == members);
    PollReply equal;
    CHECK(table.answer({}, known.digest(), equal));
    CHECK(equal.members.empty());

    // Every change of a record shows.
    steering::MemberRecord changed = memberNumber(7);
    SECTION("sequence") { ++changed.sequence; }
    SECTION("incarnation") { ++changed.incarnation; }
    SECTION("new member") { changed = memberNumber(members + 1); }
    table.update(changed, 0ms);
    PollReply differing;
    CHECK(table.answer({}, known.digest(), differing));
    CHECK(differing.members.size() < 40);
    CHECK(std::any_of(differing.members.begin(), differing.members.end(), [&](const steering::MemberRecord& record) {
        return record.agent == changed.agent && record.sequence == changed.sequence
            && record.incarnation == changed.incarnation;
    }));
}

namespace {

class FakePollerOutput final : public PollerOutput {
public:
    void sendMessage(Endpoint control, const Envelope&) override { polled.push_back(control); }
    void takeState(const ForwardingState& state) override { states.push_back(state.index); }
    void takeMember(const steering::MemberRecord&) override { ++members; }
    void takeLeader(Endpoint operators, uint64_t) override { leader = operators; }
    void contactLost() override { ++lost; }
    void contactRenewed() override { ++renewed; }

    std::vector<Endpoint> polled;
    std::vector<LogIndex> states;
    Endpoint leader;
    size_t members = 0;
    size_t lost = 0;
    size_t renewed = 0;
};

PollReply stateReply(LogIndex index)
{
    PollReply reply;
    reply.stateIndex = index;
    ForwardingState state;
    state.index = index;
    reply.state = encodeMessage(state);
    reply.controls = { peerA, peerB };
    return reply;
}

} // namespace

TEST_CASE("poller: the newest state wins for ever, and control instances are learned and asked in turn", "[poller]")
{
    ManualClock clock;
    Random random(1);
    FakePollerOutput output;
    PollerOptions options;
    options.seeds = { peerA };
    Poller poller(options, clock, random, output);
    poller.onTick();
    CHECK(output.polled == std::vector<Endpoint> { peerA });
    poller.onReply(peerA, stateReply(7));
    poller.onReply(peerB, stateReply(5)); // cut off and behind
    poller.onReply(peerB, stateReply(7));
    CHECK(output.states == std::vector<LogIndex> { 7 });
    output.polled.clear();
    for (int i = 0; i < 16; ++i) {
        clock.advance(100ms);
        poller.onTick();
    }
    CHECK(std::count(output.polled.begin(), output.polled.end(), peerB) == 2);
    CHECK(std::count(output.polled.begin(), output.polled.end(), peerA) == 2);
    clock.advance(3s);
    poller.onTick();
    CHECK(output.lost == 1);
    poller.onReply(peerB, stateReply(8));
    CHECK(output.renewed == 2);
}

namespace {

class FakeRelayOutput final : public RelayOutput {
public:
    void sendMessage(Endpoint to, const Envelope& envelope) override { sent.emplace_back(to, envelope); }
    void contactChanged(bool) override { }

    std::vector<std::pair<Endpoint, Envelope>> sent;
};

} // namespace

// Guards against a system whose seeds name only relays: nobody would find the voters, and nobody could join.
TEST_CASE("relay: introduces members and joining instances to each other, once", "[relay]")
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

TEST_CASE("relay: names the leader of the newest term, and none after silence", "[relay]")
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
    named(peerA, addressOf(peerA).operators, 4);
    named(peerB, addressOf(peerB).operators, 3);
    CHECK(relay.leader() == addressOf(peerA).operators);
    clock.advance(2001ms);
    CHECK_FALSE(relay.leader());
    named(peerB, addressOf(peerB).operators, 5);
    CHECK(relay.leader() == addressOf(peerB).operators);
}

// After a loss of power entries waited up to 0.8 s for a poll; failed tries are lost meanwhile.
TEST_CASE("poller: without a state it polls often, with one at its interval", "[poller]")
{
    ManualClock clock;
    Random random(1);
    FakePollerOutput output;
    PollerOptions options;
    options.seeds = { peerA, peerB };
    Poller poller(options, clock, random, output);
    auto pollsInOneSecond = [&] {
        output.polled.clear();
        for (int i = 0; i < 100; ++i) {
            clock.advance(10ms);
            poller.onTick();
        }
        return output.polled.size();
    };
    CHECK(pollsInOneSecond() >= 16); // both instances every 120 ms
    poller.onReply(peerA, stateReply(1));
    CHECK(pollsInOneSecond() <= 3); // both every 800 ms
}
