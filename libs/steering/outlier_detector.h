// Decides from the results of its requests whether the target beside an agent may take new flows. A target may fail
// requests while its heartbeats report it as ready; since failed requests free their slots early, it looks idle and
// would draw the flows of working targets.
//
//     detector.onFailed(TargetFailure::Reset, caller);
//     if (!detector.mayTakeFlow(route.isIdempotent))
//         return passOn("target is ejected");
//     detector.onFlowAccepted();
//
// States: Closed (takes flows), Ejected (takes none for a pause), HalfOpen (takes one flow at a time). Consecutive
// failures eject the target; a failure while half-open ejects it again with a longer pause, and consecutive answers
// restore it. While half-open, the target first takes only flows of idempotent requests, whose callers may repeat them
// if they fail. Two failures of one caller count once, because a caller can provoke them with its own requests; many in
// a row count all the same, since the caller may be a proxy.
//
// The limit for an answer follows the service times that were observed, so it needs no setting. An answer after the
// limit withdraws its failure: the target is slow and does not fail.
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace cicadaward::steering {

enum class OutlierState : uint8_t { Closed, Ejected, HalfOpen };
enum class TargetFailure : uint8_t {
    None,
    Reset, // the target reset the flow before its answer
    Closed, // the target closed the flow after it had received the request and before its answer
    Unanswered, // no answer within answerLimit()
    SynUnanswered,
};

const char* outlierStateName(OutlierState);
const char* targetFailureName(TargetFailure);

struct OutlierOptions {
    bool isEnabled = true;
    unsigned maxFailures = 2; // consecutive failures of several callers that eject the target
    unsigned maxFailuresOfOneCaller = 5; // consecutive failures that eject the target when one caller has them all
    unsigned answersToRestore = 4; // consecutive answers that restore a half-open target
    Duration minPause = std::chrono::milliseconds(500); // first pause; doubles with each failure while half-open
    Duration maxPause = std::chrono::seconds(2);
    // For this long after a pause the target takes only flows of idempotent requests.
    Duration idempotentPeriod = std::chrono::seconds(2);
    Duration trialLimit = std::chrono::seconds(1); // a flow without a result does not block the next one for longer
};

class OutlierDetector {
public:
    OutlierDetector(OutlierOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    OutlierState state() const;
    // True when the target may take a new flow now. `isIdempotent`: the flow's requests may be repeated.
    bool mayTakeFlow(bool isIdempotent) const;
    // Call for each flow that the target takes. While half-open, the next one waits for its result.
    void onFlowAccepted();
    // `caller` is the address of the caller whose request failed.
    void onFailed(TargetFailure, uint32_t caller);
    void onAnswered(Duration serviceTime);
    // A request that had failed as Unanswered was answered after `serviceTime`.
    void onAnsweredLate(Duration serviceTime);
    void reset(); // call when the target has restarted

    // A request without an answer for longer has failed. None before the first answer, when only the request's timeout
    // limits it: nothing is known about the service times then.
    std::optional<Duration> answerLimit() const;
    // The limit for an answer of a route of whose service times a high quantile and the slowest recent one are known.
    // None before the first answer, when `slowest` is 0.
    static std::optional<Duration> answerLimit(Duration highQuantile, Duration slowest);
    // Exponentially weighted number of failures of about the last 5 s.
    double recentFailures() const;
    // The newest failure and the time since then. None before the first one.
    TargetFailure lastFailure() const { return m_lastFailure; }
    Duration lastFailureAge() const { return m_clock.now() - m_lastFailureAt; }

private:
    bool isFailing() const;
    void eject();

    const OutlierOptions m_options;
    const Clock& m_clock;
    bool m_isEjected = false; // Ejected or, from m_pauseEnd, HalfOpen
    Time m_pauseEnd;
    Time m_trialEnd; // until then the result of a flow is awaited while half-open
    unsigned m_ejections = 0; // since the target was last restored
    unsigned m_consecutiveFailures = 0;
    unsigned m_consecutiveAnswers = 0;
    bool m_hasSeveralCallers = false; // the consecutive failures are of several callers
    uint32_t m_lastFailedCaller = 0;
    TargetFailure m_lastFailure = TargetFailure::None;
    Time m_lastFailureAt;
    double m_recentFailures = 0; // as of m_lastFailureAt
    Duration m_slowestAnswer {}; // decaying maximum; 0: no answer yet
};

} // namespace cicadaward::steering
