#include "steering/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace cicadaward::steering {

namespace {

    // Service times vary, and a target works on several requests at once. With a smaller factor, a healthy target would
    // exceed the limit in a burst.
    constexpr int answerLimitFactor = 3;
    constexpr Duration minAnswerLimit = std::chrono::milliseconds(100); // above the delays of scheduling
    // The slowest answer of about the last 64 answers decides. A maximum that never decayed would keep the limit of a
    // target that was once slow.
    constexpr int slowestAnswerDecay = 64;
    constexpr double failureWindowSeconds = 5;

} // namespace

const char* outlierStateName(OutlierState state)
{
    switch (state) {
    case OutlierState::Ejected:
        return "ejected";
    case OutlierState::HalfOpen:
        return "half-open";
    case OutlierState::Closed:
        break;
    }
    return "closed";
}

const char* targetFailureName(TargetFailure failure)
{
    switch (failure) {
    case TargetFailure::Reset:
        return "reset";
    case TargetFailure::Closed:
        return "closed without an answer";
    case TargetFailure::Unanswered:
        return "unanswered";
    case TargetFailure::SynUnanswered:
        return "syn unanswered";
    case TargetFailure::None:
        break;
    }
    return "none";
}

OutlierState OutlierDetector::state() const
{
    if (!m_isEjected)
        return OutlierState::Closed;
    return m_clock.now() < m_pauseEnd ? OutlierState::Ejected : OutlierState::HalfOpen;
}

bool OutlierDetector::mayTakeFlow(bool isIdempotent) const
{
    OutlierState current = state();
    if (current != OutlierState::HalfOpen)
        return current == OutlierState::Closed;
    Time now = m_clock.now();
    return now >= m_trialEnd && (isIdempotent || now >= m_pauseEnd + m_options.idempotentPeriod);
}

void OutlierDetector::onFlowAccepted()
{
    if (state() == OutlierState::HalfOpen)
        m_trialEnd = m_clock.now() + m_options.trialLimit;
}

bool OutlierDetector::isFailing() const
{
    if (state() == OutlierState::HalfOpen)
        return true;
    unsigned limit = m_hasSeveralCallers ? m_options.maxFailures : m_options.maxFailuresOfOneCaller;
    return m_consecutiveFailures >= limit;
}

void OutlierDetector::onFailed(TargetFailure failure, uint32_t caller)
{
    if (!m_options.isEnabled)
        return;
    m_recentFailures = recentFailures() + 1;
    m_lastFailure = failure;
    m_lastFailureAt = m_clock.now();
    m_hasSeveralCallers = m_consecutiveFailures > 0 && (m_hasSeveralCallers || caller != m_lastFailedCaller);
    m_lastFailedCaller = caller;
    ++m_consecutiveFailures;
    m_consecutiveAnswers = 0;
    if (state() != OutlierState::Ejected && isFailing())
        eject();
}

void OutlierDetector::eject()
{
    m_isEjected = true;
    constexpr unsigned maxDoublings = 8;
    Duration pause = m_options.minPause * (1 << std::min(m_ejections, maxDoublings));
    m_pauseEnd = m_clock.now() + std::min(pause, m_options.maxPause);
    m_trialEnd = {};
    ++m_ejections;
}

void OutlierDetector::onAnswered(Duration serviceTime)
{
    if (!m_options.isEnabled)
        return;
    m_slowestAnswer = std::max(serviceTime, m_slowestAnswer - m_slowestAnswer / slowestAnswerDecay);
    m_consecutiveFailures = 0;
    if (state() != OutlierState::HalfOpen)
        return;
    m_trialEnd = {};
    if (++m_consecutiveAnswers < m_options.answersToRestore)
        return;
    m_isEjected = false;
    m_ejections = 0;
}

void OutlierDetector::onAnsweredLate(Duration serviceTime)
{
    m_recentFailures = std::max(0.0, recentFailures() - 1);
    m_lastFailureAt = m_clock.now();
    onAnswered(serviceTime);
}

void OutlierDetector::reset()
{
    m_isEjected = false;
    m_ejections = m_consecutiveFailures = m_consecutiveAnswers = 0;
    m_recentFailures = 0;
    m_lastFailure = TargetFailure::None;
    m_slowestAnswer = Duration::zero();
}

std::optional<Duration> OutlierDetector::answerLimit() const { return answerLimit(m_slowestAnswer, m_slowestAnswer); }

std::optional<Duration> OutlierDetector::answerLimit(Duration highQuantile, Duration slowest)
{
    if (slowest == Duration::zero())
        return std::nullopt;
    return std::max(minAnswerLimit, answerLimitFactor * std::max(highQuantile, slowest));
}

double OutlierDetector::recentFailures() const
{
    if (m_recentFailures == 0)
        return 0;
    std::chrono::duration<double> elapsed = m_clock.now() - m_lastFailureAt;
    return m_recentFailures * std::exp(-elapsed.count() / failureWindowSeconds);
}

} // namespace cicadaward::steering
