// Copies of a snapshot to a follower whose log ends before the leader's: how long they take, what they hold back, and
// what outlives a change of leader.
#include "raft/test_group.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::raft;
using std::chrono::milliseconds;

namespace {

constexpr Duration step = milliseconds(25);
constexpr size_t entryBytes = 100;
constexpr size_t snapshotBytes = 2000;

RaftOptions optionsOfSmallChunks()
{
    RaftOptions options;
    options.maxMessageBytes = 64; // 32 chunks for a snapshot
    options.maxInflightSnapshotBytes = 256;
    options.retainedEntries = 2;
    options.retainedBytesForFollowers = 4000;
    return options;
}

// A leader whose state is `snapshotBytes` large, and a follower that lacks entries which the leader has discarded.
struct LaggingFollower {
    explicit LaggingFollower(RaftOptions options)
        : group(3, options)
        , leader(group.leader()->self())
        , follower(leader == InstanceId(1) ? 2 : 1)
    {
        group.isolated = { follower };
        group.advanceTime(2 * options.electionTimeout); // the leader keeps nothing for a follower that does not answer
        for (int i = 0; i < 10; ++i)
            write();
        takeSnapshot();
        group.latency = step;
        group.isolated.clear();
    }
    void write() { group.dispatch(leader, Propose { 1, std::string(entryBytes, 'x') }); }
    void takeSnapshot() { takeSnapshotAt(leader, 's'); }
    void takeSnapshotAt(InstanceId id, char content)
    {
        LogIndex index = group.instances.at(id)->status().commitIndex;
        group.dispatch(id, SnapshotTaken { index, std::string(snapshotBytes, content) });
    }
    // One entry in each step, and a snapshot after each fourth.
    void writeFor(Duration duration)
    {
        for (int i = 0; step * i < duration; ++i) {
            write();
            if (i % 4 == 0)
                takeSnapshot();
            group.advanceTime(step);
        }
    }
    void restartFollower()
    {
        std::unique_ptr<Raft>& instance = group.instances.at(follower);
        StoreContents contents;
        contents.instance = follower;
        contents.state = { instance->term(), leader };
        for (LogIndex i = 1; i <= instance->log().lastIndex(); ++i)
            contents.entries.push_back(instance->log().entry(i));
        instance = std::make_unique<Raft>(group.options, group.clock, group.random, contents);
    }
    LogIndex missing()
    {
        return group.instances.at(leader)->status().commitIndex - group.instances.at(follower)->status().commitIndex;
    }

    TestGroup group;
    InstanceId leader;
    InstanceId follower;
};

} // namespace

// Guards against copies with one chunk for each round trip: here they took 1.6 s, in which the log grew by more than
// its limit, so that each copy was followed by another one.
TEST_CASE("A follower gets the snapshot before the writes of others exceed the limit of the log")
{
    LaggingFollower test(optionsOfSmallChunks());
    test.writeFor(std::chrono::seconds(8));
    CHECK(test.group.snapshotsInstalled[test.follower] == 1);
    CHECK(test.missing() <= 8);
}

// Guards against a second copy: the leader discarded entries that it had sent and whose loss it had not noticed,
// because the copy before them was complete.
TEST_CASE("A follower that misses entries after a snapshot catches up without another one")
{
    LaggingFollower test(optionsOfSmallChunks());
    test.writeFor(std::chrono::seconds(2));
    REQUIRE(test.group.snapshotsInstalled[test.follower] == 1);
    test.group.loses = [&](const RaftMessage& message) {
        const auto* request = std::get_if<AppendRequest>(&message.body);
        return request && message.to == test.follower && !request->entries.empty();
    };
    test.writeFor(milliseconds(500));
    test.group.loses = nullptr;
    test.writeFor(std::chrono::seconds(2));
    CHECK(test.group.snapshotsInstalled[test.follower] == 1);
    CHECK(test.missing() <= 8);
}

TEST_CASE("What a leader keeps for a follower that lags has a limit of bytes, and ends when it does not answer")
{
    LaggingFollower test(optionsOfSmallChunks());
    test.writeFor(std::chrono::seconds(2));
    const detail::RaftLog& log = test.group.instances.at(test.leader)->log();
    test.group.loses = [&](const RaftMessage& message) {
        const auto* request = std::get_if<AppendRequest>(&message.body);
        bool hasData = std::holds_alternative<SnapshotChunk>(message.body) || (request && !request->entries.empty());
        return message.to == test.follower && hasData;
    };
    test.writeFor(std::chrono::seconds(4));
    test.takeSnapshot();
    CHECK(log.bytes() > 2000);
    CHECK(log.bytes() <= test.group.options.retainedBytesForFollowers + 4 * entryBytes);
    test.group.isolated = { test.follower };
    test.writeFor(std::chrono::seconds(4));
    test.takeSnapshot();
    CHECK(log.bytes() <= 6 * entryBytes);
}

// Guards against heartbeats and votes that wait behind a copy.
TEST_CASE("A copy has no more unanswered data than its limit, also when chunks are lost")
{
    LaggingFollower test(optionsOfSmallChunks());
    Random random(3);
    uint64_t answered = 0;
    uint64_t mostUnanswered = 0;
    test.group.loses = [&](const RaftMessage& message) {
        if (const auto* reply = std::get_if<SnapshotReply>(&message.body))
            answered = std::max(answered, reply->receivedBytes);
        const auto* chunk = std::get_if<SnapshotChunk>(&message.body);
        if (chunk)
            mostUnanswered = std::max(mostUnanswered, chunk->offset + chunk->data.size() - answered);
        return chunk && random.below(4) == 0;
    };
    test.group.advanceTime(std::chrono::seconds(10));
    CHECK(mostUnanswered <= test.group.options.maxInflightSnapshotBytes);
    CHECK(test.group.snapshotsInstalled[test.follower] == 1);
    CHECK(test.missing() == 0);
}

TEST_CASE("A follower that restarts during a copy gets the whole snapshot")
{
    LaggingFollower test(optionsOfSmallChunks());
    test.group.advanceTime(milliseconds(200));
    REQUIRE(test.group.snapshotsInstalled[test.follower] == 0);
    test.restartFollower();
    test.group.advanceTime(std::chrono::seconds(2));
    CHECK(test.group.snapshotsInstalled[test.follower] == 1);
    CHECK(test.missing() == 0);
}

TEST_CASE("Chunks may arrive in any order, overlap and be repeated")
{
    std::string data;
    for (int i = 0; i < 500; ++i)
        data += std::to_string(i);
    auto chunkAt = [&](uint64_t offset, size_t size) {
        return SnapshotChunk { 9, Term(2), "", offset, data.size(), 0, data.substr(offset, size) };
    };
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        INFO(seed);
        Random random(seed);
        detail::IncomingSnapshot incoming(chunkAt(0, 0), 300);
        while (!incoming.isComplete()) {
            uint64_t from = incoming.receivedBytes() > 60 ? incoming.receivedBytes() - 60 : 0;
            SnapshotChunk chunk = chunkAt(std::min(data.size(), from + random.below(300)), 1 + random.below(100));
            REQUIRE(incoming.includes(chunk));
            incoming.add(chunk);
            REQUIRE(incoming.receivedBytes() <= data.size());
        }
        CHECK(incoming.take().data == data);
    }
}
