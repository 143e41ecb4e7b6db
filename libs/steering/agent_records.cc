#include "steering/agent_records.h"

#include "core/hash.h"

namespace cicadaward::steering {

namespace {

    constexpr Duration minReportedAge = std::chrono::seconds(1); // most flows of one request end earlier

    // Agents that start together report at different times within the interval.
    Duration firstReportDelay(const FlowReporterOptions& options)
    {
        auto interval = static_cast<uint64_t>(options.interval.count());
        return interval == 0 ? Duration::zero() : Duration(mixHash(options.self.key(), options.incarnation) % interval);
    }

} // namespace

AgentRecords::AgentRecords(
    FlowReporterOptions options, const Clock& clock, AgentSteering& steering, AgentRecordsOutput& output)
    : m_options(options)
    , m_clock(clock)
    , m_steering(steering)
    , m_output(output)
    , m_ended({}, clock, *this)
    , m_reporter(std::move(options), clock, output)
    , m_nextReport(clock.now() + firstReportDelay(m_options))
{
    m_ended.begin();
}

void AgentRecords::onTick(const std::vector<Endpoint>& controls)
{
    if (m_options.interval == Duration::zero())
        return;
    std::optional<TargetStart> present = m_steering.targetStart();
    if (present && present != m_start)
        onStart(*present);
    m_ended.onTick(controls, present);
    adoptPresent();
    if (!present || m_clock.now() < m_nextReport)
        return;
    if (!m_options.reportsAlways && !m_steering.hasReusedUnsafeFlows())
        return;
    m_nextReport = m_clock.now() + m_options.interval;
    scan();
    if (!m_ended.isBusy())
        report(*present);
}

void AgentRecords::onMessage(Endpoint control, const FlowsReply& reply)
{
    m_ended.onReply(control, reply, m_steering.targetStart());
    adoptPresent();
}

// The next report removes the record. It is due at once, because a restart of this process would reset the flows again.
void AgentRecords::flowsEnded(size_t count, const TargetStart& present)
{
    m_nextReport = m_clock.now();
    m_output.flowsEnded(count, present);
}

void AgentRecords::onStart(const TargetStart& present)
{
    if (m_start) {
        m_ended.begin();
        endOwn(present);
    }
    m_start = present;
    m_seen.clear();
    m_adopted.clear();
}

// A flow that was open before the birth of the present start is not one of it. The agent registers a start some time
// after its birth, so a flow that it has seen only later may be one.
void AgentRecords::endOwn(const TargetStart& present)
{
    if (present.startTimeMs <= m_start->startTimeMs || present.service != m_start->service)
        return;
    std::vector<EndedFlow> ended;
    for (const auto& [id, seen] : m_seen) {
        if (seen.sinceMs < present.startTimeMs)
            ended.push_back({ seen.flow.recorded, seen.flow.opened });
    }
    for (const auto& [id, acknowledged] : m_adopted) {
        if (m_adoptedMs < present.startTimeMs)
            ended.push_back({ { id, acknowledged }, std::nullopt });
    }
    m_ended.addOwn(ended);
}

void AgentRecords::adoptPresent()
{
    for (const RecordedFlow& recorded : m_ended.takePresent()) {
        if (m_adopted.empty()) {
            m_adoptedMs = wallTimeMs();
            m_adoptedUntil = m_clock.now() + m_steering.flowIdleLimit();
        }
        if (m_adopted.size() < maxRecordedFlows)
            m_adopted[recorded.flow] = recorded.acknowledged;
    }
}

void AgentRecords::scan()
{
    absl::flat_hash_map<FlowId, Seen> seen;
    for (const OpenFlow& flow : m_steering.openFlows(minReportedAge)) {
        auto known = m_seen.find(flow.recorded.flow);
        bool isKnown = known != m_seen.end() && known->second.flow.opened == flow.opened;
        seen[flow.recorded.flow] = { flow, isKnown ? known->second.sinceMs : wallTimeMs() };
    }
    m_seen = std::move(seen);
    if (m_clock.now() >= m_adoptedUntil)
        m_adopted.clear();
    absl::erase_if(m_adopted, [&](const auto& adopted) { return m_steering.knowsFlow(adopted.first); });
}

void AgentRecords::report(const TargetStart& present)
{
    std::vector<RecordedFlow> open;
    open.reserve(m_seen.size() + m_adopted.size());
    for (const auto& [id, seen] : m_seen)
        open.push_back(seen.flow.recorded);
    for (const auto& [id, acknowledged] : m_adopted)
        open.push_back({ id, acknowledged });
    m_reporter.onTick(present, open, m_ended.answers());
}

void AgentRecords::sendFlowsRequest(Endpoint control, const FlowsRequest& request)
{
    m_output.sendFlowsRequest(control, request);
}

} // namespace cicadaward::steering
