// Directed tests of ControlCore with a network and disks that the test can block; group_schedule_test runs random fault
// schedules.
#include "cluster/control_core.h"

#include "cluster/codec.h"
#include "cluster/fragments.h"
#include "cluster/poller.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

constexpr size_t instanceCount = 3;

// A group of three initial voters. Messages and batches are queued until flush().
class ThreeInstanceGroup {
public:
    ThreeInstanceGroup()
    {
        std::map<InstanceId, InstanceAddress> initialVoters;
        for (size_t i = 0; i < instanceCount; ++i)
            initialVoters[InstanceId(i + 1)] = addressOf(i);
        for (size_t i = 0; i < instanceCount; ++i) {
            ControlOptions options;
            options.self = addressOf(i);
            options.consensus.electionTimeout = 400ms;
            options.consensus.heartbeatInterval = 50ms;
            options.consensus.promoteLearners = false;
            options.consensus.leaseReads = false;
            StoreBatch founding = groupBootstrapBatch(initialVoters);
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
    // Delivers messages and completes batches until none are left.
    void flush()
    {
        for (int round = 0; round < 100; ++round) {
            for (Node& node : nodes) {
                while (!node.batches.empty() && !node.isDiskBlocked) {
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
                if (!isPartitioned)
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
                notify(to, envelope);
            else if (envelope.kind == MessageKind::PollReply)
                replies.emplace_back(to, envelope);
        }
        void notify(Endpoint to, const Envelope& envelope)
        {
            notified.push_back(to);
            notices.emplace_back(to, envelope);
        }
        void persist(uint64_t batchNumber, const StoreBatch&) override { batches.push_back(batchNumber); }
        void answer(RequestNumber request, const Answer& given) override { answers[request] = given; }
        void onEvent(ControlEvent, const std::string&, LogIndex) override { }
        void stopped() override { }

        ThreeInstanceGroup* net = nullptr;
        size_t index = 0;
        std::unique_ptr<ControlCore> core;
        std::deque<uint64_t> batches;
        bool isDiskBlocked = false;
        std::map<RequestNumber, Answer> answers;
        std::vector<Endpoint> notified; // recipients of state notices
        std::vector<std::pair<Endpoint, Envelope>> notices; // by recipient
        std::vector<std::pair<Endpoint, Envelope>> replies; // to polls, by recipient
    };

    ManualClock clock;
    Random random { 5 };
    std::array<Node, instanceCount> nodes;
    std::deque<std::tuple<Endpoint, size_t, Envelope>> messages;
    bool isPartitioned = false;
};

steering::Configuration version(uint64_t number)
{
    steering::Configuration configuration;
    configuration.version = number;
    return configuration;
}

} // namespace

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

namespace {

// A process that polls the group. Its messages travel as datagrams, of which the test loses some.
class PollingProcess final : private PollerOutput {
public:
    explicit PollingProcess(ThreeInstanceGroup& group)
        : m_group(group)
        , m_assembler(group.clock)
        , m_poller(options(), group.clock, group.random, *this)
    {
        m_poller.pollAll();
    }

    void run(Duration length)
    {
        for (Time end = m_group.clock.now() + length; m_group.clock.now() < end;) {
            m_group.run(10ms);
            exchange();
            m_poller.onTick();
            exchange();
        }
    }
    LogIndex stateIndex() const { return m_poller.stateIndex(); }

    // Whether the datagram is lost: its number since the start, and its index in its message.
    std::function<bool(size_t number, size_t index)> loses = [](size_t, size_t) { return false; };
    size_t datagrams = 0;
    size_t mostDatagrams = 0; // of one message
    steering::Configuration configuration; // in force in the process

private:
    static PollerOptions options()
    {
        PollerOptions options;
        for (size_t i = 0; i < instanceCount; ++i)
            options.seeds.push_back(ThreeInstanceGroup::addressOf(i).peer);
        return options;
    }
    void sendMessage(Endpoint control, const Envelope& envelope) override { m_sent.emplace_back(control, envelope); }
    void contactLost() override { }
    void contactRenewed() override { }
    void onState(const ForwardingState& state) override
    {
        CHECK(state.configuration.version >= configuration.version);
        configuration = state.configuration;
    }

    void exchange()
    {
        for (bool active = true; active;) {
            active = !m_sent.empty();
            std::vector<std::pair<Endpoint, Envelope>> sent = std::move(m_sent);
            m_sent.clear();
            for (const auto& [to, envelope] : sent) {
                if (arrives(envelope, to))
                    m_group.nodes[to.address - 0x0A000001].core->onMessage(m_self, envelope);
            }
            for (auto& node : m_group.nodes) {
                for (auto* queue : { &node.notices, &node.replies }) {
                    active = active || !queue->empty();
                    std::vector<std::pair<Endpoint, Envelope>> received = std::move(*queue);
                    queue->clear();
                    for (const auto& [to, envelope] : received) {
                        if (to == m_self && arrives(envelope, ThreeInstanceGroup::addressOf(node.index).peer))
                            m_poller.onMessage(ThreeInstanceGroup::addressOf(node.index).peer, envelope);
                    }
                }
            }
        }
    }
    bool arrives(const Envelope& envelope, Endpoint other)
    {
        absl::StatusOr<std::vector<std::string>> split = m_fragmenter.split(encodeMessage(envelope));
        if (!split.ok())
            return false;
        mostDatagrams = std::max(mostDatagrams, split->size());
        bool whole = false;
        for (size_t index = 0; index < split->size(); ++index) {
            const std::string& datagram = (*split)[index];
            if (!loses(datagrams++, index))
                whole
                    = bool(m_assembler.add(other, reinterpret_cast<const uint8_t*>(datagram.data()), datagram.size()));
        }
        return whole;
    }

    const Endpoint m_self { 0x0A030001, 7721 };
    ThreeInstanceGroup& m_group;
    Fragmenter m_fragmenter { 1 };
    Assembler m_assembler;
    std::vector<std::pair<Endpoint, Envelope>> m_sent;
    Poller m_poller;
};

// Routes with names as on the platform; each version gives all of them another timeout.
steering::Configuration largeConfiguration(uint64_t number, uint32_t routes)
{
    Random random(7);
    steering::Configuration configuration = version(number);
    for (uint32_t i = 0; i < routes; ++i) {
        steering::Route route;
        route.name = "r-" + std::to_string(random.next() % 10000000);
        route.address = { 0xC6120001 + i, 8443 };
        route.services = { { steering::serviceKey("hub"), 1 } };
        route.timeout = std::chrono::milliseconds(2000 + number);
        configuration.routes.push_back(route);
    }
    return configuration;
}

constexpr Duration applyLimit = 3s;

} // namespace

// Guards against a process that never catches up: the differences that it had missed were larger than the largest
// message, and it asked for the same ones again at each poll.
TEST_CASE("control: a process that missed many large changes arrives at the newest state", "[core]")
{
    constexpr uint64_t changes = 120;
    constexpr uint32_t routes = 1500;
    ThreeInstanceGroup group;
    auto& leader = group.nodes[group.leader()];
    leader.core->putConfiguration(1, largeConfiguration(1, routes), "text");
    PollingProcess process(group);
    process.run(1s);
    REQUIRE(process.stateIndex() == leader.core->state().index());
    for (uint64_t number = 2; number <= changes; ++number) {
        leader.core->putConfiguration(number, largeConfiguration(number, routes), "text");
        group.run(30ms);
    }
    process.run(applyLimit);
    CHECK(process.stateIndex() == leader.core->state().index());
    CHECK(process.configuration.version == changes);
    CHECK(process.configuration.routes.size() == routes);
}

// Guards against a state that can't arrive: a receiver that is busy keeps the first datagrams of a burst and the kernel
// drops the rest, as often as the burst is sent again.
TEST_CASE("control: a state of any size arrives where a receive buffer keeps few datagrams", "[core]")
{
    constexpr size_t keptDatagrams = 60;
    constexpr uint32_t routes = 9000;
    ThreeInstanceGroup group;
    auto& leader = group.nodes[group.leader()];
    leader.core->putConfiguration(1, largeConfiguration(1, routes), "text");
    group.run(200ms);
    PollingProcess process(group);
    process.loses = [&](size_t, size_t index) { return index >= keptDatagrams; };
    process.run(applyLimit);
    CHECK(process.configuration.routes.size() == routes);
    leader.core->putConfiguration(2, largeConfiguration(2, routes), "text");
    process.run(applyLimit);
    CHECK(process.configuration.version == 2);
}

// Guards against a change that is late by a poll interval, which is up to 12 s: a poll that was sent because of a
// notice was not repeated.
TEST_CASE("control: a change is in force in time whichever datagram is lost", "[core]")
{
    for (uint32_t routes : { 3u, 3000u }) {
        INFO(routes << " routes");
        ThreeInstanceGroup group;
        for (auto& node : group.nodes) {
            for (uint32_t i = 0; i < 3000; ++i) // makes the poll interval long
                node.core->onMessage({ 0x0B000000 + i, 7721 }, { MessageKind::Poll, encodeMessage(Poll()) });
        }
        PollingProcess process(group);
        auto& leader = group.nodes[group.leader()];
        leader.core->putConfiguration(1, largeConfiguration(1, routes), "text");
        process.run(2s);
        REQUIRE(process.configuration.version == 1);
        uint64_t number = 1;
        for (size_t lost = 0;; ++lost) {
            process.datagrams = 0;
            process.loses = [&](size_t datagram, size_t) { return datagram == lost; };
            ++number;
            leader.core->putConfiguration(number, largeConfiguration(number, routes), "text");
            process.run(applyLimit);
            INFO("lost datagram " << lost);
            REQUIRE(process.configuration.version == number);
            if (process.datagrams <= lost)
                break;
        }
    }
}

// Guards against a state that stays old or damaged after a mixture of losses, pauses and quick changes.
TEST_CASE("control: after losses and pauses a process has exactly the newest state", "[core]")
{
    auto byAddress = [](const steering::Route& a, const steering::Route& b) { return a.address < b.address; };
    for (uint64_t seed = 1; seed <= 12; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        ThreeInstanceGroup group;
        PollingProcess process(group);
        auto& leader = group.nodes[group.leader()];
        uint64_t number = 0;
        for (int round = 0; round < 8; ++round) {
            double loss = 0.3 * random.unit();
            process.loses = [&random, loss](size_t, size_t) { return random.unit() < loss; };
            auto routes = static_cast<uint32_t>(uint64_t { 3 } << random.below(11));
            for (uint64_t changes = 1 + random.below(5); changes > 0; --changes) {
                ++number;
                leader.core->putConfiguration(number, largeConfiguration(number, routes), "text");
                if (random.below(2))
                    process.run(30ms);
                else
                    group.run(30ms);
            }
        }
        process.loses = [](size_t, size_t) { return false; };
        process.run(applyLimit);
        CHECK(process.stateIndex() == leader.core->state().index());
        steering::Configuration expected = leader.core->state().routes().configuration();
        for (auto* configuration : { &expected, &process.configuration })
            std::sort(configuration->routes.begin(), configuration->routes.end(), byAddress);
        CHECK(encodeMessage(process.configuration) == encodeMessage(expected));
    }
}
