#include "steering/search_pacing.h"

#include <algorithm>
#include <cmath>

namespace cicadaward::steering {

namespace {

    // Weights of a sample in the mean and in the deviation, and the factor of the deviation in the timeout (RFC 6298).
    constexpr double meanWeight = 1.0 / 8;
    constexpr double deviationWeight = 1.0 / 4;
    constexpr int deviationFactor = 4;
    constexpr size_t bytesPerListedMember = 6; // in a FanOut frame

} // namespace

SearchPacing::SearchPacing(SearchPacingOptions options, const SearchOptions& search, const Clock& clock)
    : m_options(options)
    , m_minTimeout(search.firstWalkTimeout)
    , m_clock(clock)
    , m_bytes(options.linkBytesPerSecond * options.repeatShare * std::chrono::duration<double>(options.burst).count())
    , m_refilled(clock.now())
{
}

void SearchPacing::onFound(Duration duration)
{
    std::chrono::duration<double> sample = duration;
    if (!m_hasSample) {
        m_hasSample = true;
        m_meanAnswer = sample;
        m_answerDeviation = sample / 2;
        return;
    }
    std::chrono::duration<double> difference(std::abs((sample - m_meanAnswer).count()));
    m_answerDeviation += (difference - m_answerDeviation) * deviationWeight;
    m_meanAnswer += (sample - m_meanAnswer) * meanWeight;
}

Duration SearchPacing::timeout() const
{
    if (!isActive() || !m_hasSample)
        return m_minTimeout;
    Duration observed = std::chrono::duration_cast<Duration>(m_meanAnswer + deviationFactor * m_answerDeviation);
    return std::clamp(observed, m_minTimeout, std::max(m_minTimeout, m_options.maxTimeout));
}

void SearchPacing::limit(SearchStep& step, size_t frameBytes, size_t freeFrames)
{
    if (!isActive())
        return;
    refill();
    size_t kept = std::min(freeFrames, step.probes.size());
    while (kept < step.probes.size() && take(frameBytes))
        ++kept;
    m_withheldFrames += step.probes.size() - kept;
    step.probes.resize(kept);
    auto isWithheld = [&](const SearchStep::FanOutGroup& group) {
        bool isTaken = take(frameBytes + bytesPerListedMember * group.members.size());
        m_withheldFrames += isTaken ? 0 : 1;
        return !isTaken;
    };
    step.groups.erase(std::remove_if(step.groups.begin(), step.groups.end(), isWithheld), step.groups.end());
}

void SearchPacing::refill()
{
    Time now = m_clock.now();
    double rate = m_options.linkBytesPerSecond * m_options.repeatShare;
    std::chrono::duration<double> elapsed = now - m_refilled;
    m_refilled = now;
    m_bytes = std::min(m_bytes + rate * elapsed.count(), rate * std::chrono::duration<double>(m_options.burst).count());
}

bool SearchPacing::take(size_t bytes)
{
    if (m_bytes < double(bytes))
        return false;
    m_bytes -= double(bytes);
    return true;
}

} // namespace cicadaward::steering
