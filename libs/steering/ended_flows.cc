#include "steering/ended_flows.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr Duration maxBurst = std::chrono::milliseconds(50); // the time whose resets may leave at once

    // The content of the record is older than the present start, so all its flows were those of an earlier one. A
    // heartbeat of another service may come from another writer while the record's target lives, and an agent that has
    // just started cannot tell.
    bool hasEnded(const FlowReport& record, const TargetStart& present)
    {
        return record.start.service == present.service && record.start.startTimeMs != 0
            && present.startTimeMs > record.start.startTimeMs && present.startTimeMs > record.reportedMs;
    }

} // namespace

EndedFlows::EndedFlows(EndedFlowsOptions options, const Clock& clock, EndedFlowsOutput& output)
    : m_options(options)
    , m_clock(clock)
    , m_output(output)
    , m_begun(clock.now())
    , m_lastReset(clock.now())
{
}

// Records that have not been decided stay: their instance may not answer again.
void EndedFlows::begin()
{
    ++m_round;
    m_begun = m_clock.now();
    m_nextAsk.clear();
    m_answers.clear();
    m_taken.clear();
    m_present.clear();
    m_known.clear();
    for (const EndedFlow& queued : m_queue)
        m_known.insert(queued.recorded.flow);
}

void EndedFlows::addOwn(const std::vector<EndedFlow>& flows)
{
    for (const EndedFlow& flow : flows)
        enqueue(flow);
}

void EndedFlows::onReply(Endpoint control, const FlowsReply& reply, const std::optional<TargetStart>& present)
{
    bool isExpected = reply.round == m_round && m_nextAsk.count(control) != 0 && m_answers.count(control) == 0;
    if (!isExpected)
        return;
    m_answers[control] = { reply.dataCentre, reply.hasRecord };
    m_records.erase(control);
    if (reply.hasRecord && reply.record.flows.size() <= maxRecordedFlows && m_records.size() < m_options.maxControls)
        m_records[control] = reply.record;
    if (!present)
        return;
    decide(*present);
    resetDue(*present);
}

void EndedFlows::onTick(const std::vector<Endpoint>& controls, const std::optional<TargetStart>& present)
{
    ask(controls);
    if (!present)
        return;
    decide(*present);
    resetDue(*present);
}

Duration EndedFlows::currentAskInterval() const
{
    Duration asking = m_clock.now() - m_begun;
    if (asking < m_options.fastAskTime)
        return m_options.askInterval;
    return asking < m_options.askTime ? m_options.slowAskInterval : m_options.probeInterval;
}

void EndedFlows::ask(const std::vector<Endpoint>& controls)
{
    for (Endpoint control : controls) {
        if (m_answers.count(control) != 0)
            continue;
        bool isNew = m_nextAsk.count(control) == 0;
        if (isNew && m_nextAsk.size() >= m_options.maxControls)
            continue;
        if (!isNew && m_clock.now() < m_nextAsk[control])
            continue;
        m_nextAsk[control] = m_clock.now() + currentAskInterval();
        m_output.sendFlowsRequest(control, { m_round });
    }
    auto isListed
        = [&](Endpoint control) { return std::find(controls.begin(), controls.end(), control) != controls.end(); };
    for (auto i = m_nextAsk.begin(); i != m_nextAsk.end();)
        i = isListed(i->first) ? std::next(i) : m_nextAsk.erase(i);
    for (auto i = m_answers.begin(); i != m_answers.end();)
        i = isListed(i->first) ? std::next(i) : m_answers.erase(i);
}

// A record that is neither of the present start nor certainly of an ended one stays until the start is another.
void EndedFlows::decide(const TargetStart& present)
{
    for (auto i = m_records.begin(); i != m_records.end();) {
        bool isDecided = i->second.start == present || hasEnded(i->second, present);
        if (isDecided)
            take(i->second, present);
        i = isDecided ? m_records.erase(i) : std::next(i);
    }
}

bool EndedFlows::isSuperseded(const FlowReport& record) const
{
    return std::any_of(m_taken.begin(), m_taken.end(),
        [&](const FlowReport& taken) { return taken.start == record.start && !record.isNewerThan(taken); });
}

void EndedFlows::take(const FlowReport& record, const TargetStart& present)
{
    if (isSuperseded(record))
        return;
    FlowReport head = record;
    head.flows.clear();
    if (m_taken.size() >= m_options.maxControls)
        m_taken.erase(m_taken.begin());
    m_taken.push_back(std::move(head));
    if (record.start == present) {
        m_present = record.flows;
        return;
    }
    for (const RecordedFlow& flow : record.flows)
        enqueue({ flow, std::nullopt });
}

void EndedFlows::enqueue(const EndedFlow& flow)
{
    if (m_known.size() >= m_options.maxQueuedFlows) {
        ++m_droppedCount;
        return;
    }
    if (m_known.insert(flow.recorded.flow).second)
        m_queue.push_back(flow);
}

void EndedFlows::resetDue(const TargetStart& present)
{
    Duration elapsed = std::min(m_clock.now() - m_lastReset, maxBurst);
    m_lastReset = m_clock.now();
    double perSecond = m_options.resetsPerSecond;
    m_allowance = std::min(m_allowance + perSecond * std::chrono::duration<double>(elapsed).count(),
        perSecond * std::chrono::duration<double>(maxBurst).count());
    for (; m_allowance >= 1 && !m_queue.empty(); m_queue.pop_front()) {
        if (!m_output.resetEnded(m_queue.front()))
            continue;
        m_allowance -= 1;
        ++m_unreportedResets;
        ++m_resetCount;
    }
    if (!m_queue.empty() || m_unreportedResets == 0)
        return;
    m_output.flowsEnded(m_unreportedResets, present);
    m_unreportedResets = 0;
}

std::vector<RecordedFlow> EndedFlows::takePresent()
{
    std::vector<RecordedFlow> flows;
    flows.swap(m_present);
    return flows;
}

} // namespace cicadaward::steering
