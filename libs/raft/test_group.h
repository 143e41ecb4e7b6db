// A group of instances in one test process, without faults of disks. Used by tests that play a given sequence of
// events; raft_schedule_test plays random ones.
#pragma once

#include "raft/raft.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cicadaward::raft {

inline std::vector<InstanceId> ids(uint64_t first, uint64_t last)
{
    std::vector<InstanceId> result;
    for (uint64_t id = first; id <= last; ++id)
        result.emplace_back(id);
    return result;
}

// Stored state of instance `id` in a group of instances 1 to `size`: the configuration (index 1, term 1) and one
// command for each of `terms`.
inline StoreContents makeContents(InstanceId id, uint64_t size, uint64_t term, const std::vector<uint64_t>& terms)
{
    StoreContents contents;
    contents.instance = id;
    contents.entries = bootstrapBatch(ids(1, size)).entries;
    contents.state = { Term(term), InstanceId() };
    for (uint64_t entryTerm : terms)
        contents.entries.push_back({ contents.entries.size() + 1, Term(entryTerm), EntryKind::Command, "x" });
    return contents;
}

// Instances that share a clock. The network loses only messages from or to isolated instances and those that `loses`
// names, and disk writes complete at once. With a latency, messages arrive in the step of advanceTime() in which they
// are due.
struct TestGroup {
    explicit TestGroup(uint64_t size, RaftOptions raftOptions = {})
        : options(raftOptions)
    {
        for (InstanceId id : ids(1, size))
            instances.emplace(id, std::make_unique<Raft>(options, clock, random, makeContents(id, size, 1, {})));
        while (!leader())
            advanceTime(std::chrono::milliseconds(50));
        advanceTime(std::chrono::milliseconds(200));
    }
    void addEmptyInstance(InstanceId id)
    {
        StoreContents contents;
        contents.instance = id;
        instances.emplace(id, std::make_unique<Raft>(options, clock, random, contents));
    }
    Raft* leader()
    {
        for (auto& [id, instance] : instances) {
            if (instance->isLeader() && isolated.count(id) == 0)
                return instance.get();
        }
        return nullptr;
    }
    // Handles the event and all events that follow from it. Returns the RequestResult, if any.
    std::optional<RequestResult> dispatch(InstanceId id, RaftEvent event)
    {
        std::optional<RequestResult> result;
        std::deque<std::pair<InstanceId, RaftEvent>> queue { { id, std::move(event) } };
        while (!queue.empty()) {
            auto [to, next] = std::move(queue.front());
            queue.pop_front();
            for (RaftAction& action : instances.at(to)->handle(std::move(next))) {
                if (auto* message = std::get_if<SendMessage>(&action)) {
                    InstanceId target = message->message.to;
                    bool isLost
                        = isolated.count(to) != 0 || isolated.count(target) != 0 || (loses && loses(message->message));
                    if (isLost || instances.count(target) == 0)
                        continue;
                    if (latency > Duration(0))
                        inTransit.emplace_back(clock.now() + latency, std::move(message->message));
                    else
                        queue.emplace_back(target, MessageReceived { std::move(message->message) });
                } else if (auto* persist = std::get_if<Persist>(&action)) {
                    queue.emplace_back(to, Persisted { persist->batchNumber });
                } else if (auto* answer = std::get_if<RequestResult>(&action)) {
                    result = *answer;
                } else if (std::holds_alternative<StopReady>(action)) {
                    stopped.insert(to);
                } else if (std::holds_alternative<InstallSnapshot>(action)) {
                    ++snapshotsInstalled[to];
                }
            }
        }
        return result;
    }
    void advanceTime(Duration duration)
    {
        for (Duration step = std::chrono::milliseconds(25); duration > Duration(0); duration -= step) {
            clock.advance(step);
            deliver();
            for (auto& [id, instance] : instances)
                dispatch(id, Tick {});
        }
    }
    void deliver()
    {
        while (!inTransit.empty() && inTransit.front().first <= clock.now()) {
            RaftMessage message = std::move(inTransit.front().second);
            inTransit.pop_front();
            InstanceId to = message.to;
            if (isolated.count(to) == 0 && isolated.count(message.from) == 0)
                dispatch(to, MessageReceived { std::move(message) });
        }
    }
    RequestOutcome change(MembershipChange kind, uint64_t id)
    {
        return dispatch(leader()->self(), ChangeMembership { 1, kind, InstanceId(id) })->outcome;
    }

    RaftOptions options;
    ManualClock clock;
    Random random { 5 };
    std::map<InstanceId, std::unique_ptr<Raft>> instances;
    std::set<InstanceId> isolated;
    std::function<bool(const RaftMessage&)> loses;
    Duration latency = Duration(0); // of all messages
    std::deque<std::pair<Time, RaftMessage>> inTransit; // with the time of arrival
    std::set<InstanceId> stopped;
    std::map<InstanceId, int> snapshotsInstalled;
};

} // namespace cicadaward::raft
