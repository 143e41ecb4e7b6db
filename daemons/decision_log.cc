#include "decision_log.h"

#include "flow_daemon.h"

#include <absl/strings/str_replace.h>

namespace cicadaward {

namespace {

    bool isNoticeable(steering::Decision decision)
    {
        switch (decision) {
        case steering::Decision::Refused:
        case steering::Decision::Outdated:
        case steering::Decision::Reset:
        case steering::Decision::NotHeld:
        case steering::Decision::TableFull:
            return true;
        default:
            return false;
        }
    }

} // namespace

bool detail::LineLimit::tryConsume()
{
    if (m_linesWritten >= m_linesPerSecond)
        return false;
    ++m_linesWritten;
    return true;
}

DecisionLog::DecisionLog(const Clock& clock, EventLog& log, MetricRegistry& metrics, uint32_t linesPerSecond)
    : m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_routineLines(linesPerSecond)
    , m_noticeableLines(linesPerSecond)
    , m_windowStart(clock.now())
{
    for (size_t i = 0; i < m_counters.size(); ++i)
        m_counters[i] = &metrics.counter(std::string("flow.") + decisionName(static_cast<steering::Decision>(i)));
    for (size_t i = 0; i < m_latencies.size(); ++i)
        m_latencies[i] = &metrics.histogram(steering::latencyName(static_cast<steering::Latency>(i)));
}

void DecisionLog::refillLimits()
{
    if (m_clock.now() - m_windowStart < std::chrono::seconds(1))
        return;
    m_windowStart = m_clock.now();
    m_routineLines.refill();
    m_noticeableLines.refill();
    if (m_suppressedLines > 0)
        m_log.write(EventId::DecisionsSuppressed, { { "count", m_suppressedLines } });
    m_suppressedLines = 0;
}

void DecisionLog::countReason(steering::Decision decision, const char* reason)
{
    Counter*& counter = m_reasonCounters[{ decision, reason }];
    if (!counter)
        counter = &m_metrics.counter(
            std::string("flow.") + decisionName(decision) + "." + absl::StrReplaceAll(reason, { { " ", "-" } }));
    counter->add();
}

void DecisionLog::onDecision(
    steering::Decision decision, const steering::FlowId& flow, const steering::DecisionInputs& inputs)
{
    m_counters[static_cast<size_t>(decision)]->add();
    bool noticeable = isNoticeable(decision);
    if (noticeable && *inputs.reason)
        countReason(decision, inputs.reason);
    refillLimits();
    if (!(noticeable ? m_noticeableLines : m_routineLines).tryConsume()) {
        ++m_suppressedLines;
        return;
    }
    m_log.write(EventId::FlowDecision,
        { { "decision", decisionName(decision) }, { "caller", formatEndpoint(flow.caller) },
            { "address", formatEndpoint(flow.service) }, { "member", formatEndpoint(inputs.member) },
            { "reason", inputs.reason }, { "version", inputs.version }, { "load", inputs.load },
            { "index", inputs.state.value() }, { "peer-index", inputs.peerState.value() } });
}

void DecisionLog::onLatency(steering::Latency latency, Duration duration)
{
    m_latencies[static_cast<size_t>(latency)]->add(duration);
}

} // namespace cicadaward
