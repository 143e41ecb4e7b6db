// A concurrency limit that adapts to the observed answers of one target.
//
// The limit grows in rounds. A round ends after enough answers within the latency goal, but not before
// `minRoundDuration`, because a cold target needs time as well as work to become warm. Bad outcomes decrease the limit
// multiplicatively, as in congestion control, so that it leaves an overload within a few answers.
#pragma once

#include "core/clock.h"

#include <cstdint>

namespace cicadaward {

enum class Outcome : uint8_t {
    Completed,
    Refused,
    TimedOut,
    Failed,
};

struct AdaptiveLimitSettings {
    Duration latencyGoal = std::chrono::milliseconds(250);
    Duration minRoundDuration = std::chrono::seconds(1);
    double growFactor = 1.5; // per round; from a cold share of 10% to 100% in 6 rounds
    double shrinkFactor = 0.7;
    // Shortest time between two decreases: the bad answers of one overload arrive together and count once.
    Duration shrinkInterval = std::chrono::milliseconds(100);
    // The target counts as cold again after this many consecutive answers that are bad or take longer than
    // `collapseLatencyFactor` x `latencyGoal`.
    uint32_t badAnswersUntilCold = 5;
    uint32_t collapseLatencyFactor = 4;
    // A load hint is ignored for this long after an answer within the goal.
    Duration hintHoldOff = std::chrono::seconds(1);
};

class AdaptiveLimit {
public:
    AdaptiveLimit(const Clock& clock, uint32_t capacity, double coldShare, const AdaptiveLimitSettings& settings);

    // Acquires one unit if fewer than limit() are in use.
    bool tryAcquire();
    // Acquires one unit that already exists at the target, even beyond the limit.
    void acquireExisting() { ++m_inUse; }
    void release();

    void observe(Outcome outcome, Duration latency);
    // Share of the capacity that the target reports it can take; clamped to [0, 1]. It lowers limit(), never raises it.
    // Share of the capacity that the target reports it can take; clamped to [0, 1]. It lowers limit(), never raises it.
    void setLoadHint(double share);

    // After a restart of the target: nothing is in use, and the limit is the cold limit.
    void resetToCold();
    void setCapacity(uint32_t capacity, double coldShare);
    // Shortest time at the cold limit after resetToCold(). It is configured because fast answers to light work do not
    // show whether the target is still cold.
    void setMinColdTime(Duration minColdTime) { m_minColdTime = minColdTime; }

    uint32_t limit() const; // with the load hint applied
    uint32_t inUse() const { return m_inUse; }
    uint32_t capacity() const { return m_capacity; }
    uint32_t coldLimit() const { return m_coldLimit; }
    bool isWarm() const { return limit() == m_capacity; }

private:
    void growAtRoundEnd();
    void probe();
    void shrink();
    void dropToCold();
    void startRound();

    const Clock& m_clock;
    AdaptiveLimitSettings m_settings;
    uint32_t m_capacity = 0;
    uint32_t m_coldLimit = 0;
    uint32_t m_limit = 0;
    uint32_t m_inUse = 0;
    uint32_t m_goodAnswersInRound = 0;
    uint32_t m_consecutiveBadAnswers = 0;
    double m_loadHint = 1;
    Duration m_minColdTime {};
    Time m_coldSince;
    Time m_roundStart;
    Time m_lastShrink;
    Time m_lastBad; // refusal, timeout, error or slow answer
    Time m_lastGood;
};

} // namespace cicadaward
