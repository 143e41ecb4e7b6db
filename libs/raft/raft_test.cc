#include "raft/raft.h"

#include "raft/codec.h"
#include "raft/test_group.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::raft;
using std::chrono::milliseconds;

namespace {

std::vector<RaftMessage> sentMessages(const std::vector<RaftAction>& actions)
{
    std::vector<RaftMessage> messages;
    for (const RaftAction& action : actions) {
        if (const auto* message = std::get_if<SendMessage>(&action))
            messages.push_back(message->message);
    }
    return messages;
}

} // namespace

TEST_CASE("A vote is granted once per term, to an up-to-date log, and not while a leader is in contact")
{
    struct Case {
        const char* name;
        uint64_t term; // of the request; the voter is in term 3 with entries of terms 1 2 2
        VoteRequest request;
        bool late; // the election timeout has passed since the start
        bool answered;
        bool granted;
    };
    const Case cases[] = {
        { "equal log", 4, { false, false, 3, Term(2) }, true, true, true },
        { "same term", 3, { false, false, 3, Term(2) }, true, true, true },
        { "shorter log", 4, { false, false, 2, Term(2) }, true, true, false },
        { "longer log of an older term", 4, { false, false, 9, Term(1) }, true, true, false },
        { "shorter log of a newer term", 4, { false, false, 1, Term(3) }, true, true, true },
        { "old term", 2, { false, false, 3, Term(2) }, true, true, false },
        { "leader in contact", 4, { false, false, 3, Term(2) }, false, false, false },
        { "leader asked for it", 4, { false, true, 3, Term(2) }, false, true, true },
        { "pre-vote", 4, { true, false, 3, Term(2) }, true, true, true },
        { "pre-vote for the current term", 3, { true, false, 3, Term(2) }, true, true, false },
        { "pre-vote with leader in contact", 4, { true, false, 3, Term(2) }, false, true, false },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        ManualClock clock;
        Random random(1);
        Raft raft({}, clock, random, makeContents(InstanceId(1), 3, 3, { 2, 2 }));
        if (c.late)
            clock.advance(std::chrono::seconds(1));
        auto actions = raft.handle(MessageReceived { { InstanceId(2), InstanceId(1), Term(c.term), c.request } });
        uint64_t batchNumber = 0;
        for (const RaftAction& action : actions) {
            if (const auto* persist = std::get_if<Persist>(&action))
                batchNumber = persist->batchNumber;
        }
        // If a vote were sent before it is durable, a restarted voter could vote twice in a term or fall back to an old
        // term.
        bool newTerm = c.term > 3 && c.answered;
        CHECK((batchNumber > 0) == (!c.request.preVote && (c.granted || newTerm)));
        std::vector<RaftMessage> sent = sentMessages(actions);
        if (batchNumber > 0) {
            CHECK(sent.empty());
            sent = sentMessages(raft.handle(Persisted { batchNumber }));
        }
        REQUIRE(sent.size() == (c.answered ? 1 : 0));
        if (c.answered)
            CHECK(std::get<VoteReply>(sent[0].body).granted == c.granted);
        if (c.granted && !c.request.preVote) {
            VoteRequest other { false, true, 9, Term(9) };
            auto second = raft.handle(MessageReceived { { InstanceId(3), InstanceId(1), Term(c.term), other } });
            CHECK(!std::get<VoteReply>(sentMessages(second).at(0).body).granted);
        }
    }
}

TEST_CASE("A follower appends entries only after a matching entry and truncates only conflicting ones")
{
    struct Case {
        const char* name;
        LogIndex prevLogIndex;
        uint64_t prevLogTerm;
        LogIndex commitIndex;
        std::vector<uint64_t> entries;
        bool accepted;
        LogIndex index;
        std::vector<uint64_t> log; // terms afterwards
    };
    const std::vector<uint64_t> before { 1, 2, 2, 3 };
    const Case cases[] = {
        { "append", 4, 3, 0, { 4 }, true, 5, { 1, 2, 2, 3, 4 } },
        { "heartbeat", 4, 3, 0, {}, true, 4, before },
        { "late copy of an old request", 1, 1, 0, { 2 }, true, 2, before },
        { "conflict", 2, 2, 0, { 4, 4 }, true, 4, { 1, 2, 4, 4 } },
        { "gap", 6, 3, 0, { 4 }, false, 4, before },
        { "other term, hint skips later terms", 4, 2, 0, { 4 }, false, 3, before },
        { "entries with a gap in terms", 4, 3, 0, { 4, 3 }, false, 0, before },
        { "an entry of a later term than the message", 4, 3, 0, { 9 }, false, 0, before },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        ManualClock clock;
        Random random(1);
        Raft raft({}, clock, random, makeContents(InstanceId(1), 3, 4, { 2, 2, 3 }));
        AppendRequest request { c.prevLogIndex, Term(c.prevLogTerm), c.commitIndex, 7, {} };
        for (uint64_t term : c.entries) {
            LogIndex index = c.prevLogIndex + request.entries.size() + 1;
            request.entries.push_back({ index, Term(term), EntryKind::Command, "y" });
        }
        raft.handle(MessageReceived { { InstanceId(2), InstanceId(1), Term(4), request } });
        // The replies are deferred until the batch is reported as durable.
        auto answers
            = sentMessages(raft.handle(MessageReceived { { InstanceId(2), InstanceId(1), Term(4), request } }));
        for (uint64_t batchNumber = 1; answers.empty() && batchNumber < 3; ++batchNumber)
            answers = sentMessages(raft.handle(Persisted { batchNumber }));
        if (c.index > 0) {
            const auto& reply = std::get<AppendReply>(answers.at(0).body);
            CHECK(reply.accepted == c.accepted);
            CHECK(reply.index == c.index);
            CHECK(reply.sentAt == 7);
        } else {
            CHECK(raft.status().messagesRefused == 2);
        }
        std::vector<uint64_t> terms;
        for (LogIndex i = 1; i <= raft.log().lastIndex(); ++i)
            terms.push_back(raft.log().entry(i).term.value());
        CHECK(terms == c.log);
    }
}

TEST_CASE("A partitioned leader rejects reads and proposals and steps down")
{
    TestGroup group(3);
    Raft* old = group.leader();
    REQUIRE(old->canRead());
    group.isolated = { old->self() };
    group.advanceTime(milliseconds(925));
    CHECK(!old->canRead());
    group.advanceTime(milliseconds(200));
    CHECK(!old->isLeader());
    CHECK(group.dispatch(old->self(), Propose { 1, "x" })->outcome == RequestOutcome::NotLeader);
    group.advanceTime(std::chrono::seconds(5));
    REQUIRE(group.leader());
    CHECK(group.leader()->self() != old->self());
    // Pre-vote: the old leader does not depose the new one when it reconnects.
    Term term = group.leader()->status().term;
    group.isolated.clear();
    group.advanceTime(std::chrono::seconds(5));
    CHECK(group.leader()->status().term == term);
}

// Guards against a follower without a leader: while a large entry or a chunk of a snapshot is lost again and again,
// each message to the follower had one, so that it heard nothing and campaigned.
TEST_CASE("A follower to which large messages don't get through keeps its leader")
{
    RaftOptions options;
    options.retainedEntries = 0;
    options.retainedBytesForFollowers = 0; // the follower needs the snapshot
    TestGroup group(3, options);
    InstanceId leader = group.leader()->self();
    InstanceId follower(leader == InstanceId(1) ? 2 : 1);
    Term term = group.leader()->status().term;
    group.loses
        = [&](const RaftMessage& message) { return message.to == follower && encodeMessage(message).size() > 2000; };
    auto propose = [&] { group.dispatch(leader, Propose { 1, std::string(5000, 'x') }); };
    auto checkContact = [&] {
        for (int i = 0; i < 200; ++i) {
            group.advanceTime(milliseconds(25));
            REQUIRE(group.instances.at(follower)->leader() == leader);
            REQUIRE(group.instances.at(follower)->status().term == term);
            for (const InstanceStatus& status : group.leader()->status().instances)
                REQUIRE(status.isActive);
        }
    };
    propose();
    checkContact();
    propose();
    LogIndex index = group.leader()->status().commitIndex;
    group.dispatch(leader, SnapshotTaken { index, std::string(5000, 's') });
    REQUIRE(group.leader()->status().snapshotIndex == index);
    checkContact();
    CHECK(group.instances.at(follower)->status().commitIndex < index);
    group.loses = nullptr;
    group.advanceTime(milliseconds(300));
    CHECK(group.instances.at(follower)->status().commitIndex == index);
}

TEST_CASE("Proposals beyond a limit get a definite answer")
{
    RaftOptions options;
    options.maxEntryBytes = 100;
    options.maxUncommittedBytes = 250;
    options.maxUncommittedEntries = 4;
    TestGroup group(3, options);
    InstanceId leader = group.leader()->self();
    auto propose = [&](size_t size) { return group.dispatch(leader, Propose { 1, std::string(size, 'x') })->outcome; };
    CHECK(propose(101) == RequestOutcome::TooLarge);
    CHECK(propose(100) == RequestOutcome::Accepted);
    for (InstanceId id : ids(1, 3)) {
        if (id != leader)
            group.isolated.insert(id);
    }
    CHECK(propose(100) == RequestOutcome::Accepted);
    CHECK(propose(100) == RequestOutcome::Accepted);
    CHECK(propose(100) == RequestOutcome::LogFull);
    CHECK(propose(10) == RequestOutcome::Accepted);
    CHECK(propose(10) == RequestOutcome::Accepted);
    CHECK(propose(10) == RequestOutcome::LogFull);
    group.clock.advance(std::chrono::seconds(1));
    CHECK(propose(1) == RequestOutcome::NoQuorum);
}

TEST_CASE(
    "A replacement joins as a learner, and the group is repaired once it is a voter and the lost instance is removed")
{
    RaftOptions options;
    options.promoteLearners = false;
    TestGroup group(3, options);
    InstanceId lost = group.leader()->self() == InstanceId(3) ? InstanceId(2) : InstanceId(3);
    group.instances.erase(lost);
    group.advanceTime(milliseconds(1100));
    CHECK(!group.leader()->status().repaired);
    CHECK(group.change(MembershipChange::AddLearner, lost.value()) == RequestOutcome::InvalidChange);
    CHECK(group.change(MembershipChange::Promote, 4) == RequestOutcome::InvalidChange);
    CHECK(group.change(MembershipChange::AddLearner, 4) == RequestOutcome::Accepted);
    // The learner does not run yet, so it is not caught up.
    CHECK(group.change(MembershipChange::Promote, 4) == RequestOutcome::NotCaughtUp);
    group.addEmptyInstance(InstanceId(4));
    group.advanceTime(milliseconds(300));
    CHECK(!group.leader()->status().repaired);
    CHECK(!group.instances.at(InstanceId(4))->status().isVoter);
    CHECK(group.change(MembershipChange::Promote, 4) == RequestOutcome::Accepted);
    CHECK(group.instances.at(InstanceId(4))->status().isVoter);
    CHECK(!group.leader()->status().repaired);
    CHECK(group.change(MembershipChange::Remove, lost.value()) == RequestOutcome::Accepted);
    group.advanceTime(milliseconds(300));
    CHECK(group.leader()->status().repaired);
    // With one of three voters isolated, removing another one would leave a group without a quorum.
    group.isolated = { InstanceId(4) };
    group.advanceTime(milliseconds(1100));
    InstanceId other(group.leader()->self() == InstanceId(1) ? 3 - lost.value() % 2 : 1);
    CHECK(group.change(MembershipChange::Remove, other.value()) == RequestOutcome::NoQuorum);
}

TEST_CASE("A snapshot leaves the newest entries before it in the log, by number and by size")
{
    RaftOptions options;
    options.retainedEntries = 5;
    options.retainedBytes = 100;
    TestGroup group(1, options);
    InstanceId leader = group.leader()->self();
    auto checkRetained = [&](size_t entryBytes, LogIndex retained) {
        for (int i = 0; i < 10; ++i)
            group.dispatch(leader, Propose { 1, std::string(entryBytes, 'x') });
        LogIndex index = group.leader()->status().commitIndex;
        group.dispatch(leader, SnapshotTaken { index, "state" });
        CHECK(group.leader()->log().lastIndex() - group.leader()->log().baseIndex() == retained);
    };
    checkRetained(10, 5);
    checkRetained(30, 3);
    checkRetained(101, 0);
}

TEST_CASE("A planned stop transfers leadership before the process may exit")
{
    TestGroup group(3);
    InstanceId old = group.leader()->self();
    Term term = group.leader()->status().term;
    group.dispatch(old, Stop {});
    CHECK(group.stopped == std::set<InstanceId> { old });
    REQUIRE(group.leader());
    CHECK(group.leader()->self() != old);
    CHECK(group.leader()->status().term == Term(term.value() + 1));
    TestGroup single(1);
    single.dispatch(InstanceId(1), Stop {});
    CHECK(single.stopped.size() == 1);
}

TEST_CASE("The decoder and the consensus module withstand arbitrary bytes")
{
    Random random(11);
    ManualClock clock;
    Raft raft({}, clock, random, makeContents(InstanceId(1), 3, 3, { 2, 2 }));
    const std::vector<decltype(RaftMessage::body)> bodies = { VoteRequest { true, false, 3, Term(2) },
        VoteReply { true, true }, AppendRequest { 3, Term(2), 3, 1, { { 4, Term(3), EntryKind::Command, "data" } } },
        AppendReply { true, 3, Term(2), 2, 1 },
        SnapshotChunk { 9, Term(3), encodeMessage(Configuration {}), 0, 4, 1, "data" }, SnapshotReply { 9, 4, 1 },
        TimeoutNow { 3 } };
    int decoded = 0;
    for (int round = 0; round < 50'000; ++round) {
        RaftMessage message { InstanceId(2), InstanceId(1), Term(3 + random.below(2)),
            bodies[random.below(bodies.size())] };
        std::string bytes = encodeMessage(message);
        for (uint64_t edits = random.below(4); edits > 0; --edits) {
            if (random.below(5) == 0)
                bytes.resize(random.below(bytes.size() + 3));
            else if (!bytes.empty())
                bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        }
        if (!decodeMessage(bytes, message))
            continue;
        ++decoded;
        raft.handle(MessageReceived { std::move(message) });
        clock.advance(milliseconds(random.below(20)));
        raft.handle(Tick {});
        raft.handle(Persisted { random.below(5'000) });
    }
    CHECK(decoded > 10'000);
    RaftMessage message;
    CHECK(!decodeMessage(std::string(), message));
    CHECK(!decodeMessage(encodeMessage(std::string("text")), message));
}
