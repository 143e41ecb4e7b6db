// Directed cases of the control machine on a network and disks that the test holds back; group_schedule_test plays
// random ones.
#include "cluster/control_core.h"

#include "cluster/codec.h"
#include "cluster/fragments.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

constexpr size_t instanceCount = 3;

// Three founders. Messages and batches wait in queues until they are delivered.
class Trio {
public:
    Trio()
    {
        std::map<InstanceId, InstanceAddress> founders;
        for (size_t i = 0; i < instanceCount; ++i)
            founders[InstanceId(i + 1)] = addressOf(i);
        for (size_t i = 0; i < instanceCount; ++i) {
            ControlOptions options;
            options.self = addressOf(i);
            options.consensus.electionTimeout = 400ms;
            options.consensus.heartbeatInterval = 50ms;
            options.consensus.promoteLearners = false;
            options.consensus.leaseReads = false;
            StoreBatch founding = foundingBatch(founders);
            StoreContents contents;
            contents.instance = InstanceId(i + 1);
            contents.state = *founding.state;
            contents.entries = founding.entries;
            nodes[i].net = this;
            nodes[i].index = i;
            nodes[i].core = std::make_unique<ControlCore>(
                options, clock, random, contents, static_cast<ControlOutput&>(nodes[i]));
        }
        run(2s);
    }

    static InstanceAddress addressOf(size_t i)
    {
        uint32_t address = 0x0A000001 + static_cast<uint32_t>(i);
        return { { address, 7720 }, { address, 8166 } };
    }

    void run(Duration length)
    {
        for (Time end = clock.now() + length; clock.now() < end;) {
            clock.advance(10ms);
            for (Node& node : nodes)
                node.core->onTick();
            flush();
        }
    }
    // Delivers what is due until nothing moves.
    void flush()
    {
        for (int round = 0; round < 100; ++round) {
            for (Node& node : nodes) {
                while (!node.batches.empty() && !node.diskHeld) {
                    uint64_t batchNumber = node.batches.front();
                    node.batches.pop_front();
                    node.core->onPersisted(batchNumber);
                }
            }
            if (messages.empty())
                return;
            std::deque<std::tuple<Endpoint, size_t, Envelope>> moving;
            moving.swap(messages);
            for (auto& [from, to, envelope] : moving) {
                if (!cut)
                    nodes[to].core->onMessage(from, envelope);
            }
        }
    }
    size_t leader() const
    {
        for (size_t i = 0; i < instanceCount; ++i) {
            if (nodes[i].core->status().canRead)
                return i;
        }
        FAIL("no leader");
        return 0;
    }

    struct Node final : ControlOutput {
        void sendMessage(Endpoint to, const Envelope& envelope) override
        {
            size_t receiver = to.address - 0x0A000001;
            if (receiver < instanceCount)
                net->messages.emplace_back(addressOf(index).peer, receiver, envelope);
            else if (envelope.kind == MessageKind::StateNotice)
                notified.push_back(to);
        }
        void persist(uint64_t batchNumber, const StoreBatch&) override { batches.push_back(batchNumber); }
        void answer(RequestNumber request, const Answer& given) override { answers[request] = given; }
        void happened(ControlEvent, const std::string&, LogIndex) override { }
        void stopped() override { }

        Trio* net = nullptr;
        size_t index = 0;
        std::unique_ptr<ControlCore> core;
        std::deque<uint64_t> batches;
        bool diskHeld = false;
        std::map<RequestNumber, Answer> answers;
        std::vector<Endpoint> notified; // of a new state
    };

    ManualClock clock;
    Random random { 5 };
    std::array<Node, instanceCount> nodes;
    std::deque<std::tuple<Endpoint, size_t, Envelope>> messages;
    bool cut = false;
};

steering::Configuration version(uint64_t number)
{
    steering::Configuration configuration;
    configuration.version = number;
    return configuration;
}

} // namespace

// Without it, an old leader that does not know yet that a restarted voter has elected another one answers with an older
// configuration; its lease is not protected any more.
TEST_CASE("control: a read is answered only after a quorum has answered a later message", "[control]")
{
    Trio trio;
    auto& leader = trio.nodes[trio.leader()];
    leader.core->putConfiguration(1, version(3), "three");
    trio.flush();
    REQUIRE(leader.answers.at(1).kind == AnswerKind::Done);

    trio.cut = true;
    leader.core->readConfiguration(2);
    leader.core->putConfiguration(3, version(2), "two");
    trio.flush();
    REQUIRE(leader.core->status().canRead); // the last heartbeat was just answered
    CHECK(leader.answers.count(2) == 0);
    CHECK(leader.answers.count(3) == 0);
    SECTION("the quorum answers")
    {
        trio.cut = false;
        trio.run(200ms);
        CHECK(leader.answers.at(2).kind == AnswerKind::Configuration);
        CHECK(leader.answers.at(2).text == "three");
        CHECK(leader.answers.at(3).kind == AnswerKind::Done); // overtaken: acknowledged, without effect
    }
    SECTION("it stays away")
    {
        trio.run(1s);
        CHECK(leader.answers.at(2).kind == AnswerKind::Unavailable);
        CHECK(leader.answers.at(3).kind == AnswerKind::Unavailable);
    }
}

TEST_CASE("control: an order is acknowledged when a majority of the disks has it", "[control]")
{
    Trio trio;
    size_t index = trio.leader();
    for (auto& node : trio.nodes)
        node.diskHeld = true;
    auto& leader = trio.nodes[index];
    leader.core->putConfiguration(1, version(3), "three");
    trio.flush();
    leader.diskHeld = false;
    trio.flush();
    CHECK(leader.answers.count(1) == 0);
    trio.nodes[(index + 1) % instanceCount].diskHeld = false;
    trio.flush();
    REQUIRE(leader.answers.count(1) == 1);
    CHECK(leader.answers.at(1).kind == AnswerKind::Done);
}

// An order that expired may still take force; the state alone must not acknowledge the opposite one.
TEST_CASE("control: an evacuation that the state already shows still goes through the log", "[control]")
{
    Trio trio;
    auto& leader = trio.nodes[trio.leader()];
    leader.core->setDataCentre(1, "east", true);
    trio.flush();
    REQUIRE(leader.answers.at(1).kind == AnswerKind::Done);
    trio.cut = true;
    leader.core->setDataCentre(2, "east", false);
    trio.flush();
    leader.core->setDataCentre(3, "east", true);
    trio.flush();
    CHECK(leader.answers.count(3) == 0);
    trio.cut = false;
    trio.run(300ms);
    CHECK(leader.answers.at(3).kind == AnswerKind::Done);
    CHECK(leader.core->state().out().count("east") == 1);
}

TEST_CASE("control: a follower sends operators to the leader, and polls bring the newest state", "[control]")
{
    Trio trio;
    size_t index = trio.leader();
    auto& leader = trio.nodes[index];
    auto& follower = trio.nodes[(index + 1) % instanceCount];
    follower.core->putConfiguration(1, version(3), "three");
    REQUIRE(follower.answers.at(1).kind == AnswerKind::Redirect);
    CHECK(follower.answers.at(1).leader == Trio::addressOf(index).operators);
    leader.core->putConfiguration(1, version(3), "three");
    trio.run(200ms);
    CHECK(follower.core->state().routes().version() == 3);
    CHECK(follower.core->state().instances().size() == instanceCount); // from the founding log
}

// After a loss of power pollers waited up to 0.2 s for their next turn at an instance that had a state by then; a start
// counted as no news.
// Guards against members that do not exist: they would stay in the register for hours and cost a hop in each search.
TEST_CASE("an announcement counts only from the endpoint that it names or from a control instance", "[core]")
{
    Trio trio;
    size_t leader = trio.leader();
    ControlCore& core = *trio.nodes[leader].core;
    size_t before = core.members();
    steering::MemberRecord record;
    record.agent = { 0x0A020001, 8172 };
    record.service = steering::serviceKey("hub");
    record.state = steering::TargetState::Ready;
    record.incarnation = record.sequence = record.targetStart = 1;
    Poll poll;
    poll.records.push_back(record);
    Envelope announcement { MessageKind::Poll, encodeMessage(poll) };

    core.onMessage({ 0x0A020002, 8172 }, announcement);
    core.onMessage({ 0x0A020001, 9999 }, announcement);
    trio.run(3s);
    CHECK(core.members() == before);
    CHECK(core.refusedAnnouncements() == 2);

    SECTION("from itself") { core.onMessage(record.agent, announcement); }
    SECTION("passed on by a follower")
    {
        core.onMessage(Trio::addressOf((leader + 1) % instanceCount).peer, announcement);
    }
    trio.run(3s);
    CHECK(core.members() == before + 1);
    CHECK(core.state().members().count(record.agent) == 1);
    CHECK(core.refusedAnnouncements() == 2);
}

// Guards against memory and notices without bound.
TEST_CASE("the number of pollers that an instance remembers is bounded", "[core]")
{
    Trio trio;
    ControlCore& core = *trio.nodes[trio.leader()].core;
    Envelope poll { MessageKind::Poll, encodeMessage(Poll {}) };
    for (uint32_t i = 0; i < 20000; ++i)
        core.onMessage({ 0x0B000000 + i, 8172 }, poll);
    CHECK(core.pollers() == 16384);
}

TEST_CASE("control: pollers are told of the first state and of each change, by two instances each", "[control]")
{
    Trio trio;
    std::vector<Endpoint> pollers;
    for (uint32_t i = 0; i < 20; ++i) {
        pollers.push_back({ 0x0A020000 + i, 7721 });
        for (auto& node : trio.nodes)
            node.core->onMessage(pollers.back(), { MessageKind::Poll, encodeMessage(Poll()) });
    }
    auto& leader = trio.nodes[trio.leader()];
    for (uint64_t number = 1; number <= 2; ++number) {
        INFO("version " << number);
        leader.core->putConfiguration(number, version(number), "text");
        trio.run(200ms);
        size_t most = 0;
        std::map<Endpoint, size_t> notices;
        for (auto& node : trio.nodes) {
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
    trio.run(1s);
    for (auto& node : trio.nodes)
        CHECK(node.notified.empty());
}
