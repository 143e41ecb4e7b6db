// Directed tests of ControlCore with a network and disks that the test can block; group_schedule_test runs random fault
// schedules.
#include "cluster/three_instance_group.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

// Guards against stale reads: a voter that restarted may have elected another leader within the lease of the old one,
// which would then answer with an older configuration.
TEST_CASE("control: a read is answered only after a quorum has answered a later message", "[control]")
{
    ThreeInstanceGroup group;
    auto& leader = group.nodes[group.leader()];
    leader.core->putConfiguration(1, version(3), "three");
    group.flush();
    REQUIRE(leader.answers.at(1).kind == AnswerKind::Done);

    group.isPartitioned = true;
    leader.core->readConfiguration(2);
    leader.core->putConfiguration(3, version(2), "two");
    group.flush();
    REQUIRE(leader.core->status().canRead); // the reply to the last heartbeat is recent
    CHECK(leader.answers.count(2) == 0);
    CHECK(leader.answers.count(3) == 0);
    SECTION("the quorum answers")
    {
        group.isPartitioned = false;
        group.run(200ms);
        CHECK(leader.answers.at(2).kind == AnswerKind::Configuration);
        CHECK(leader.answers.at(2).compressedText == "three");
        CHECK(leader.answers.at(3).kind
            == AnswerKind::Done); // older than the current version: acknowledged without effect
    }
    SECTION("the quorum doesn't answer")
    {
        group.run(1s);
        CHECK(leader.answers.at(2).kind == AnswerKind::Unavailable);
        CHECK(leader.answers.at(3).kind == AnswerKind::Unavailable);
    }
}

TEST_CASE("control: a write is acknowledged when a majority of the disks has it", "[control]")
{
    ThreeInstanceGroup group;
    size_t index = group.leader();
    for (auto& node : group.nodes)
        node.isDiskBlocked = true;
    auto& leader = group.nodes[index];
    leader.core->putConfiguration(1, version(3), "three");
    group.flush();
    leader.isDiskBlocked = false;
    group.flush();
    CHECK(leader.answers.count(1) == 0);
    group.nodes[(index + 1) % instanceCount].isDiskBlocked = false;
    group.flush();
    REQUIRE(leader.answers.count(1) == 1);
    CHECK(leader.answers.at(1).kind == AnswerKind::Done);
}

// Guards against a false acknowledgement: an earlier command with the opposite value that timed out may still be
// committed, so the current state is not enough to acknowledge this one.
TEST_CASE("control: an evacuation that the state already shows still goes through the log", "[control]")
{
    ThreeInstanceGroup group;
    auto& leader = group.nodes[group.leader()];
    leader.core->setDataCentre(1, "east", true);
    group.flush();
    REQUIRE(leader.answers.at(1).kind == AnswerKind::Done);
    group.isPartitioned = true;
    leader.core->setDataCentre(2, "east", false);
    group.flush();
    leader.core->setDataCentre(3, "east", true);
    group.flush();
    CHECK(leader.answers.count(3) == 0);
    group.isPartitioned = false;
    group.run(300ms);
    CHECK(leader.answers.at(3).kind == AnswerKind::Done);
    CHECK(leader.core->state().evacuatedDataCentres().count("east") == 1);
}

TEST_CASE("control: a follower redirects operators to the leader, and followers apply the configuration", "[control]")
{
    ThreeInstanceGroup group;
    size_t index = group.leader();
    auto& leader = group.nodes[index];
    auto& follower = group.nodes[(index + 1) % instanceCount];
    follower.core->putConfiguration(1, version(3), "three");
    REQUIRE(follower.answers.at(1).kind == AnswerKind::Redirect);
    CHECK(follower.answers.at(1).leader == ThreeInstanceGroup::addressOf(index).adminApi);
    leader.core->putConfiguration(1, version(3), "three");
    group.run(200ms);
    CHECK(follower.core->state().routes().version() == 3);
    CHECK(follower.core->state().instances().size() == instanceCount); // from the bootstrap log
}

// Guards against large configurations that are never accepted, and against a group without a leader, while links lose a
// few percent of the packets: a command of a hundred datagrams arrived only when none of them was lost.
TEST_CASE("control: large configurations are accepted while links lose packets", "[control]")
{
    constexpr Duration acknowledgementLimit = 5s;
    constexpr Duration followerLimit = 3s;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        ThreeInstanceGroup group;
        size_t leader = group.leader();
        group.losesDatagram = [&random] { return random.unit() < 0.08; };
        for (uint64_t number = 1; number <= 4; ++number) {
            INFO("version " << number);
            group.nodes[leader].core->putConfiguration(number, largeConfiguration(number, 3000), "text");
            group.run(acknowledgementLimit);
            REQUIRE(group.nodes[leader].answers.count(number) == 1);
            CHECK(group.nodes[leader].answers.at(number).kind == AnswerKind::Done);
        }
        group.run(followerLimit);
        CHECK(group.leader() == leader);
        for (auto& node : group.nodes)
            CHECK(node.core->state().routes().version() == 4);
    }
}

// Guards against control instances that need more memory for their log than they have, and against new ones that copy
// it for longer than a group may be without them: the log was cut only after 256 entries, whatever their size.
TEST_CASE("control: the log of large configurations stays within a few MiB", "[control]")
{
    constexpr size_t limit = 10 << 20; // 4 MiB until a snapshot, as much before it, and the entries on their way
    ThreeInstanceGroup group;
    auto& leader = group.nodes[group.leader()];
    for (uint64_t number = 1; number <= 120; ++number) {
        leader.core->putConfiguration(number, largeConfiguration(number, 3000), std::string(100000, 'x'));
        group.run(20ms);
        REQUIRE(leader.answers.at(number).kind == AnswerKind::Done);
        for (auto& node : group.nodes)
            REQUIRE(node.core->status().logBytes < limit);
    }
    for (auto& node : group.nodes) {
        CHECK(node.core->status().snapshotIndex > 0);
        CHECK(node.core->state().routes().version() == 120);
    }
}

// Guards against members that don't exist: they would stay in the register for hours and cost a hop in each search.
TEST_CASE("an announcement counts only from the endpoint that it names or from a control instance", "[core]")
{
    ThreeInstanceGroup group;
    size_t leader = group.leader();
    ControlCore& core = *group.nodes[leader].core;
    size_t before = core.memberCount();
    steering::MemberRecord record;
    record.agent = { 0x0A020001, 8172 };
    record.service = steering::serviceKey("hub");
    record.state = steering::TargetState::Ready;
    record.incarnation = record.sequence = record.targetStartSequence = 1;
    Poll poll;
    poll.records.push_back(record);
    Envelope announcement { MessageKind::Poll, encodeMessage(poll) };

    core.onMessage({ 0x0A020002, 8172 }, announcement);
    core.onMessage({ 0x0A020001, 9999 }, announcement);
    group.run(3s);
    CHECK(core.memberCount() == before);
    CHECK(core.refusedAnnouncements() == 2);

    SECTION("from itself") { core.onMessage(record.agent, announcement); }
    SECTION("passed on by a follower")
    {
        core.onMessage(ThreeInstanceGroup::addressOf((leader + 1) % instanceCount).peer, announcement);
    }
    group.run(3s);
    CHECK(core.memberCount() == before + 1);
    CHECK(core.state().members().count(record.agent) == 1);
    CHECK(core.refusedAnnouncements() == 2);
}

// Guards against a slow recovery: after a loss of power, agents waited for their next polls to learn that their targets
// were registered, and refused new flows until then.
TEST_CASE("control: an agent is told of its registration without another poll", "[control]")
{
    ThreeInstanceGroup group;
    steering::MemberRecord record;
    record.agent = { 0x0A020001, 8172 };
    record.service = steering::serviceKey("hub");
    record.state = steering::TargetState::Ready;
    record.incarnation = 7;
    record.sequence = record.targetStartSequence = 2;
    Poll poll;
    poll.records.push_back(record);
    size_t follower = (group.leader() + 1) % instanceCount;
    group.nodes[follower].core->onMessage(record.agent, { MessageKind::Poll, encodeMessage(poll) });
    for (auto& node : group.nodes)
        node.replies.clear();
    group.run(200ms);
    size_t reports = 0;
    for (auto& node : group.nodes) {
        for (const auto& [to, envelope] : node.replies) {
            PollReply reply;
            REQUIRE(decodeMessage(envelope.body, reply));
            CHECK(to == record.agent);
            CHECK(reply.registeredIncarnation == record.incarnation);
            CHECK(reply.registeredStart == record.targetStartSequence);
            ++reports;
        }
    }
    CHECK(reports >= 1);
    CHECK(reports <= 3); // by the leader and two more
}

// Guards against unbounded memory and an unbounded number of notices.
TEST_CASE("the number of pollers that an instance tracks is bounded", "[core]")
{
    ThreeInstanceGroup group;
    ControlCore& core = *group.nodes[group.leader()].core;
    Envelope poll { MessageKind::Poll, encodeMessage(Poll {}) };
    for (uint32_t i = 0; i < 20000; ++i)
        core.onMessage({ 0x0B000000 + i, 8172 }, poll);
    CHECK(core.pollerCount() == 16384);
}

// Guards against a slow recovery: after a power loss, pollers waited up to 0.2 s for their next poll of an instance
// that already had a state, because the first state after a start was not notified.
TEST_CASE("control: pollers are told of the first state and of each change, by two instances each", "[control]")
{
    ThreeInstanceGroup group;
    std::vector<Endpoint> pollers;
    for (uint32_t i = 0; i < 20; ++i) {
        pollers.push_back({ 0x0A020000 + i, 7721 });
        for (auto& node : group.nodes)
            node.core->onMessage(pollers.back(), { MessageKind::Poll, encodeMessage(Poll()) });
    }
    auto& leader = group.nodes[group.leader()];
    for (uint64_t number = 1; number <= 2; ++number) {
        INFO("version " << number);
        leader.core->putConfiguration(number, version(number), "text");
        group.run(200ms);
        size_t most = 0;
        std::map<Endpoint, size_t> notices;
        for (auto& node : group.nodes) {
            most = std::max(most, node.notified.size());
            for (Endpoint poller : node.notified)
                ++notices[poller];
            node.notified.clear();
        }
        CHECK(most < pollers.size()); // the instances share the work
        CHECK(notices.size() == pollers.size());
        for (const auto& [poller, count] : notices)
            CHECK(count == 2);
    }
    group.run(1s);
    for (auto& node : group.nodes)
        CHECK(node.notified.empty());
}
