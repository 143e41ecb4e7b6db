// Work that waits for a slot of the local target.
//
//     if (auto refusal = queue.push({ job, caller, deadline }))
//         refuse(refusal->retryAfter);
//     while (auto job = queue.pop(slots))
//         dispatch(*job);
//     queue.finished(caller, serviceTime);
//
// A short queue ordered by deadline, because a long one only ages the work until it is too late to be useful. Fairness:
// the next job belongs to the caller with the fewest running jobs, and among those to the one served longest ago;
// within one caller the earliest deadline goes first. When the queue is full, a caller with fewer waiting jobs
// displaces the latest job of the caller with the most. Work that cannot start before its deadline at the observed
// service time is refused at once. pop() costs O(callers waiting), at most `most`.
#pragma once

#include "core/clock.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadaward::request {

class WorkQueue {
public:
    struct Job {
        uint64_t id = 0;
        uint32_t caller = 0;
        Time deadline;
    };
    struct Refusal {
        Duration retryAfter {};
    };

    WorkQueue(const Clock& clock, size_t maxWaiting)
        : m_clock(clock)
        , m_maxWaiting(maxWaiting)
    {
    }

    void setSlots(uint32_t slots) { m_slots = slots; }
    uint32_t slots() const { return m_slots; }
    size_t waiting() const { return m_waitingCount; }
    size_t running() const { return m_running; }

    std::optional<Refusal> push(const Job& job);
    // The next job when a slot is free. Jobs whose deadline has passed are moved to takeDropped().
    std::optional<Job> pop();
    void onJobFinished(uint32_t caller, Duration serviceTime);
    // Returns false when the job is not waiting.
    bool remove(uint64_t id);
    // Jobs that were displaced or whose deadline passed; none of them has started.
    std::vector<Job> takeDropped();
    // When a new job of this caller would start, from now, if the callers take turns.
    Duration expectedWait(uint32_t caller) const;

private:
    struct Caller {
        absl::btree_map<std::pair<Time, uint64_t>, Job> waiting; // by deadline
        size_t running = 0;
        uint64_t lastServed = 0; // number of the last pop
    };

    void dropExpired();
    void eraseIfIdle(uint32_t caller);

    const Clock& m_clock;
    size_t m_maxWaiting;
    uint32_t m_slots = 0;
    size_t m_waitingCount = 0;
    size_t m_running = 0;
    uint64_t m_popCount = 0;
    double m_meanServiceSeconds = 0; // seconds, exponential average with weight 1/8 for the newest
    absl::flat_hash_map<uint32_t, Caller> m_callers;
    absl::btree_map<uint64_t, std::pair<uint32_t, Time>> m_index; // job to caller and deadline
    absl::btree_map<std::pair<Time, uint64_t>, uint32_t> m_deadlines; // all waiting jobs, to their caller
    std::vector<Job> m_dropped;
};

} // namespace cicadaward::request
