// Turns the decisions of entries and agents on flows into counters, histograms and lines of the event log.
//
//     DecisionLog decisions(clock, log, metrics, 20);
//     EntrySteering steering(options, format, clock, decisions, output);
//
// Counters have every decision: `flow.DECISION`, and for decisions that a caller may notice also
// `flow.DECISION.REASON`. The log is limited, because the event loop's thread writes its lines and a slow reader of the
// log blocks it. Decisions that a caller may notice have a limit of their own, so that routine decisions cannot
// suppress them.
#pragma once

#include "core/clock.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "steering/decisions.h"

#include <array>
#include <map>
#include <utility>

namespace cicadaward {

namespace detail {

    // Grants a number of lines in each second.
    class LineLimit {
    public:
        explicit LineLimit(uint32_t linesPerSecond)
            : m_linesPerSecond(linesPerSecond)
        {
        }
        void refill() { m_linesWritten = 0; }
        bool tryConsume();

    private:
        const uint32_t m_linesPerSecond;
        uint32_t m_linesWritten = 0;
    };

} // namespace detail

class DecisionLog final : public steering::DecisionObserver {
public:
    // Logs at most `linesPerSecond` routine decisions and as many that a caller may notice, one line each.
    DecisionLog(const Clock&, EventLog&, MetricRegistry&, uint32_t linesPerSecond);

    void onDecision(steering::Decision, const steering::FlowId&, const steering::DecisionInputs&) override;
    void onLatency(steering::Latency, Duration) override;

private:
    // Reasons are literals; two literals with the same text may have two keys here and share the counter.
    using ReasonKey = std::pair<steering::Decision, const char*>;

    void refillLimits();
    void countReason(steering::Decision, const char* reason);

    const Clock& m_clock;
    EventLog& m_log;
    MetricRegistry& m_metrics;
    detail::LineLimit m_routineLines;
    detail::LineLimit m_noticeableLines;
    std::array<Counter*, static_cast<size_t>(steering::Decision::Count)> m_counters {};
    std::array<Histogram*, static_cast<size_t>(steering::Latency::Count)> m_latencies {};
    std::map<ReasonKey, Counter*> m_reasonCounters;
    Time m_windowStart;
    uint64_t m_suppressedLines = 0;
};

} // namespace cicadaward
