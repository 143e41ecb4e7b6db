// Plays the first election after a common start: the instances of a group start within half a second of each other, as
// after a loss of power, and only some of them hold the newest entry.
//
// Guards against elections that wait for a timeout after the last needed instance has started, and against candidates
// that split the votes when just a quorum runs.
#include "raft/raft.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <numeric>
#include <vector>

using namespace cicadaward;
using namespace cicadaward::raft;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickInterval = 15ms;
constexpr Duration maxStartDelay = 500ms;
constexpr Duration maxMessageDelay = 3ms;
constexpr Duration maxWriteDelay = 5ms;
// Three ticks, four messages and two writes.
constexpr Duration electionTarget = 67ms;

class CommonStart {
public:
    CommonStart(size_t size, uint64_t seed, Duration preVoteInterval)
        : m_random(seed)
    {
        m_options.electionTimeout = 400ms;
        m_options.heartbeatInterval = 100ms;
        m_options.leaseReads = false; // a vote need not wait for the lease of a former leader
        m_options.preVoteInterval = preVoteInterval;
        std::vector<InstanceId> voters;
        for (size_t i = 1; i <= size; ++i)
            voters.emplace_back(i);
        size_t quorum = size / 2 + 1;
        size_t firstWithNewest = m_random.below(size);
        for (size_t i = 0; i < size; ++i) {
            Node node;
            node.contents.instance = voters[i];
            node.contents.entries = bootstrapBatch(voters).entries;
            node.contents.state = { Term(2), InstanceId() };
            node.hasNewest = (i + size - firstWithNewest) % size < quorum;
            if (node.hasNewest)
                node.contents.entries.push_back({ 2, Term(2), EntryKind::Command, "x" });
            node.start = m_clock.now() + delayUpTo(maxStartDelay);
            m_nodes.push_back(std::move(node));
        }
    }
    // Returns the time from the moment at which a leader can be elected until it leads.
    Duration run()
    {
        Time possible = electableAt();
        while (true) {
            m_clock.advance(1ms);
            for (size_t i = 0; i < m_nodes.size(); ++i)
                step(i);
            deliver();
            for (const Node& node : m_nodes) {
                if (node.raft && node.raft->isLeader())
                    return m_clock.now() - possible;
            }
            REQUIRE(m_clock.now() < possible + 10s);
        }
    }

private:
    struct Node {
        StoreContents contents;
        bool hasNewest = false;
        Time start;
        Time nextTick;
        std::unique_ptr<Raft> raft;
    };
    struct Event {
        size_t to;
        RaftEvent event;
    };

    Duration delayUpTo(Duration limit)
    {
        return Duration(static_cast<Duration::rep>(m_random.below(static_cast<uint64_t>(limit.count()))));
    }
    // A quorum runs, and one of the running instances holds the newest entry: all of them then vote for it.
    Time electableAt() const
    {
        std::vector<Time> starts;
        for (const Node& node : m_nodes)
            starts.push_back(node.start);
        std::sort(starts.begin(), starts.end());
        Time possible = starts[m_nodes.size() / 2];
        Time newest = Time::max();
        for (const Node& node : m_nodes) {
            if (node.hasNewest)
                newest = std::min(newest, node.start);
        }
        return std::max(possible, newest);
    }
    void step(size_t index)
    {
        Node& node = m_nodes[index];
        if (!node.raft && m_clock.now() >= node.start) {
            node.raft = std::make_unique<Raft>(m_options, m_clock, m_random, node.contents);
            node.nextTick = m_clock.now() + delayUpTo(tickInterval);
        }
        if (node.raft && m_clock.now() >= node.nextTick) {
            node.nextTick += tickInterval;
            handle(index, Tick {});
        }
    }
    void deliver()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
            Event event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            if (m_nodes[event.to].raft) // a message to an instance that does not run is lost
                handle(event.to, std::move(event.event));
        }
    }
    void handle(size_t index, RaftEvent event)
    {
        for (RaftAction& action : m_nodes[index].raft->handle(std::move(event))) {
            if (auto* message = std::get_if<SendMessage>(&action)) {
                size_t to = message->message.to.value() - 1;
                Time due = m_clock.now() + delayUpTo(maxMessageDelay);
                m_events.emplace(due, Event { to, MessageReceived { std::move(message->message) } });
            } else if (auto* persist = std::get_if<Persist>(&action)) {
                m_events.emplace(
                    m_clock.now() + delayUpTo(maxWriteDelay), Event { index, Persisted { persist->batchNumber } });
            }
        }
    }

    RaftOptions m_options;
    Random m_random;
    ManualClock m_clock;
    std::vector<Node> m_nodes;
    std::multimap<Time, Event> m_events; // by time of arrival
};

struct Durations {
    Duration mean;
    Duration p95;
};

Durations play(size_t size, Duration preVoteInterval)
{
    constexpr size_t seeds = 200;
    std::vector<Duration> durations;
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        durations.push_back(CommonStart(size, seed, preVoteInterval).run());
    std::sort(durations.begin(), durations.end());
    Duration sum = std::accumulate(durations.begin(), durations.end(), Duration::zero());
    Durations result { sum / seeds, durations[seeds * 95 / 100] };
    auto inMs = [](Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); };
    std::cout << size << " voters, pre-vote interval " << inMs(preVoteInterval) << " ms: mean " << inMs(result.mean)
              << " ms, 95% " << inMs(result.p95) << " ms\n";
    return result;
}

} // namespace

TEST_CASE("The first election after a common start does not wait for a timeout")
{
    size_t size = GENERATE(3, 4, 5, 8);
    CAPTURE(size);
    Durations reference = play(size, Duration::zero());
    Durations repeating = play(size, RaftOptions().preVoteInterval);
    CHECK(repeating.mean < reference.mean);
    CHECK(repeating.p95 <= electionTarget);
}
