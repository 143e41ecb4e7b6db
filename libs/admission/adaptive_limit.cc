#include "admission/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace cicadaward {

namespace detail {

    // Good answers that a round needs at least, however low the limit is.
    constexpr uint32_t minAnswersPerRound = 4;

    uint32_t scaledCapacity(uint32_t capacity, double fraction)
    {
        return std::clamp<uint32_t>(
            static_cast<uint32_t>(std::floor(capacity * fraction)), std::min(capacity, 1U), capacity);
    }

} // namespace detail

AdaptiveLimit::AdaptiveLimit(
    const Clock& clock, uint32_t capacity, double coldShare, const AdaptiveLimitSettings& settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_capacity(capacity)
    , m_coldLimit(detail::scaledCapacity(capacity, coldShare))
    , m_limit(m_coldLimit)
    , m_coldSince(clock.now())
    , m_lastShrink(clock.now() - settings.shrinkInterval)
    , m_lastGood(clock.now() - settings.hintHoldOff)
{
    startRound();
}

bool AdaptiveLimit::tryAcquire()
{
    if (m_inUse >= limit())
        probe();
    if (m_inUse >= limit())
        return false;
    ++m_inUse;
    return true;
}

void AdaptiveLimit::release()
{
    if (m_inUse > 0)
        --m_inUse;
}

void AdaptiveLimit::observe(Outcome outcome, Duration latency)
{
    bool completed = outcome == Outcome::Completed;
    if (completed && latency <= m_settings.latencyGoal) {
        m_lastGood = m_clock.now();
        m_consecutiveBadAnswers = 0;
        ++m_goodAnswersInRound;
        growAtRoundEnd();
        return;
    }
    m_lastBad = m_clock.now();
    bool collapsed = !completed || latency > m_settings.latencyGoal * m_settings.collapseLatencyFactor;
    m_consecutiveBadAnswers = collapsed ? m_consecutiveBadAnswers + 1 : 0;
    if (m_consecutiveBadAnswers >= m_settings.badAnswersUntilCold)
        dropToCold();
    else if (!completed)
        shrink();
    if (collapsed)
        startRound();
}

void AdaptiveLimit::setLoadHint(double share) { m_loadHint = std::clamp(share, 0.0, 1.0); }

void AdaptiveLimit::resetToCold()
{
    m_inUse = 0;
    m_consecutiveBadAnswers = 0;
    m_loadHint = 1;
    m_limit = m_coldLimit;
    m_coldSince = m_clock.now();
    m_lastGood = m_clock.now() - m_settings.hintHoldOff;
    startRound();
}

void AdaptiveLimit::setCapacity(uint32_t capacity, double coldShare)
{
    m_capacity = capacity;
    m_coldLimit = detail::scaledCapacity(capacity, coldShare);
    m_limit = std::min(m_limit, m_capacity);
}

uint32_t AdaptiveLimit::limit() const
{
    if (m_loadHint >= 1 || m_clock.now() - m_lastGood < m_settings.hintHoldOff)
        return m_limit;
    // Not below the cold limit: a target without work gives no answers that could disprove a wrong hint.
    uint32_t hinted = std::max(detail::scaledCapacity(m_capacity, m_loadHint), m_coldLimit);
    return std::min(m_limit, hinted);
}

void AdaptiveLimit::growAtRoundEnd()
{
    if (m_limit >= m_capacity)
        return;
    if (m_clock.now() - m_coldSince < m_minColdTime) {
        startRound();
        return;
    }
    uint32_t needed = std::max(detail::minAnswersPerRound, m_limit / 8);
    if (m_goodAnswersInRound < needed || m_clock.now() - m_roundStart < m_settings.minRoundDuration)
        return;
    auto grown = static_cast<uint32_t>(std::ceil(m_limit * m_settings.growFactor));
    m_limit = std::min(m_capacity, grown);
    startRound();
}

// Long flows that take up the whole limit produce no new answers, so the limit could never grow. Raises it by 1/8 (at
// least 1) when two round durations have passed without a bad answer; the answers to the additional flows decide
// whether it grows further.
void AdaptiveLimit::probe()
{
    Duration quiet = 2 * m_settings.minRoundDuration;
    Time now = m_clock.now();
    if (m_limit >= m_capacity || now - m_coldSince < m_minColdTime || now - m_roundStart < quiet
        || now - m_lastBad < quiet)
        return;
    m_limit = std::min(m_capacity, m_limit + std::max(1U, m_limit / 8));
    startRound();
}

void AdaptiveLimit::shrink()
{
    if (m_clock.now() - m_lastShrink < m_settings.shrinkInterval)
        return;
    m_lastShrink = m_clock.now();
    m_limit = std::max(1U, std::min(m_capacity, static_cast<uint32_t>(m_limit * m_settings.shrinkFactor)));
}

void AdaptiveLimit::dropToCold()
{
    m_consecutiveBadAnswers = 0;
    m_limit = std::min(m_limit, m_coldLimit);
    m_coldSince = m_clock.now();
}

void AdaptiveLimit::startRound()
{
    m_goodAnswersInRound = 0;
    m_roundStart = m_clock.now();
}

} // namespace cicadaward
