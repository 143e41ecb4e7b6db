// One limit that follows the observed answers of a target. Grows in rounds: a round ends after enough answers within
// the latency goal and no sooner than `minRoundDuration`, because a cold target needs time as well as work to become
// warm. Multiplicative decrease on bad outcomes, as in congestion control: it leaves an overload in a few answers.
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
    double growFactor = 1.5; // from a cold share of 10% to 100% in 6 rounds
    double shrinkFactor = 0.7;
    // Answers to one overload arrive together; they count as one shrink.
    Duration shrinkInterval = std::chrono::milliseconds(100);
    // This many answers in a row that are bad, or slower than `collapseLatencyFactor` x goal, mean that the target is
    // cold again.
    uint32_t badAnswersUntilCold = 5;
    uint32_t collapseLatencyFactor = 4;
    // A hint is ignored while an answer within the goal is younger than this.
    Duration hintHoldOff = std::chrono::seconds(1);
};

class AdaptiveLimit {
public:
    AdaptiveLimit(const Clock& clock, uint32_t capacity, double coldShare, const AdaptiveLimitSettings& settings);

    // Takes one unit if fewer than limit() are in use.
    bool tryAcquire();
    // Takes one unit that already exists at the target, whatever the limit.
    void acquireExisting() { ++m_inUse; }
    void release();

    void observe(Outcome outcome, Duration latency);
    void setLoadHint(double share);

    // Nothing in use, cold limit.
    void resetToCold();
    void setCapacity(uint32_t capacity, double coldShare);
    // Shortest time at the cold limit after restart(): the stated length of a cold start, which light work does not
    // show.
    void setMinColdTime(Duration minColdTime) { m_minColdTime = minColdTime; }

    uint32_t limit() const; // with the hint applied
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
