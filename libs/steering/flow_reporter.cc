#include "steering/flow_reporter.h"

#include "core/hash.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // A caller accepts a reset within 76,800 of its last acknowledgement. The rest is for one window in flight (19,744)
    // and what the flow moves until the next report is on the disk.
    constexpr uint32_t minAcknowledgedChange = 32768;

    bool hasMoved(uint32_t from, uint32_t to)
    {
        return to - from > minAcknowledgedChange && from - to > minAcknowledgedChange;
    }

} // namespace

FlowReporter::FlowReporter(FlowReporterOptions options, const Clock& clock, FlowReporterOutput& output)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_output(output)
    , m_incarnation(m_options.incarnation)
{
}

void FlowReporter::onTick(const TargetStart& start, const std::vector<RecordedFlow>& open, const Answers& answers)
{
    if (start != m_start) {
        m_start = start;
        for (auto& [control, instance] : m_instances) {
            instance.base = 0;
            instance.recorded.clear();
            instance.pending.reset();
        }
    }
    updateInstances(answers);
    Flows current;
    for (const RecordedFlow& flow : open) {
        if (current.size() == maxRecordedFlows)
            break;
        current[flow.flow] = flow.acknowledged;
    }
    std::vector<Endpoint> chosen = chooseInstances(answers);
    bool areCopiesMade = !chosen.empty(); // an instance without a record needs none while no flow is open
    for (Endpoint control : chosen) {
        Instance& instance = m_instances[control];
        report(control, instance, start, current);
        areCopiesMade = areCopiesMade && (instance.base != 0 || current.empty());
    }
    for (auto& [control, instance] : m_instances) {
        bool isChosen = std::find(chosen.begin(), chosen.end(), control) != chosen.end();
        if (!isChosen && areCopiesMade && instance.mayHaveRecord && m_clock.now() >= instance.avoidedUntil)
            remove(control, instance, start);
    }
}

void FlowReporter::updateInstances(const Answers& answers)
{
    for (auto i = m_instances.begin(); i != m_instances.end();)
        i = answers.count(i->first) != 0 ? std::next(i) : m_instances.erase(i);
    for (const auto& [control, answer] : answers) {
        auto [found, isNew] = m_instances.try_emplace(control);
        if (isNew)
            found->second.mayHaveRecord = answer.hasRecord;
    }
}

// Without an instance in one of the data centres the next one in the order takes its place.
std::vector<Endpoint> FlowReporter::chooseInstances(const Answers& answers) const
{
    std::vector<Endpoint> order;
    for (const auto& [control, instance] : m_instances) {
        if (m_clock.now() >= instance.avoidedUntil)
            order.push_back(control);
    }
    auto rank = [&](Endpoint control) { return mixHash(m_options.self.key(), control.key()); };
    std::sort(order.begin(), order.end(), [&](Endpoint a, Endpoint b) { return rank(a) < rank(b); });
    auto isNear = [&](Endpoint control) { return answers.at(control).dataCentre == m_options.dataCentre; };
    auto near = std::find_if(order.begin(), order.end(), isNear);
    if (near != order.end())
        std::rotate(order.begin(), near, std::next(near));
    auto second = order.empty() ? order.end() : std::find_if_not(std::next(order.begin()), order.end(), isNear);
    if (second != order.end())
        std::rotate(std::next(order.begin()), second, std::next(second));
    order.resize(std::min(order.size(), m_options.copies));
    return order;
}

void FlowReporter::report(Endpoint control, Instance& instance, const TargetStart& start, const Flows& open)
{
    if (repeat(control, instance))
        return;
    FlowReport report = makeReport(start, instance.base);
    addChanges(instance.recorded, open, report);
    bool isUnchanged = report.flows.empty() && report.closed.empty();
    if (!report.isFull() && isUnchanged && m_clock.now() - instance.lastSent < m_options.keepAliveInterval)
        return;
    // A record without flows need not be made. An instance that may have an old one is told to remove it.
    if (report.isRemoval() && !instance.mayHaveRecord)
        return;
    send(control, instance, std::move(report));
}

void FlowReporter::remove(Endpoint control, Instance& instance, const TargetStart& start)
{
    if (repeat(control, instance))
        return;
    instance.recorded.clear();
    send(control, instance, makeReport(start, 0));
}

// Sends the report again that the instance has not acknowledged. Returns false when there is none.
bool FlowReporter::repeat(Endpoint control, Instance& instance)
{
    if (!instance.pending)
        return false;
    if (++instance.repeats <= m_options.maxRepeats) {
        instance.lastSent = m_clock.now();
        m_output.sendFlowReport(control, *instance.pending);
        return true;
    }
    instance.pending.reset();
    instance.base = 0;
    instance.recorded.clear();
    instance.avoidedUntil = m_clock.now() + m_options.avoidTime;
    return true;
}

void FlowReporter::send(Endpoint control, Instance& instance, FlowReport report)
{
    report.sequence = ++m_sequence;
    instance.lastSent = m_clock.now();
    instance.repeats = 0;
    instance.mayHaveRecord = true;
    instance.pending = std::move(report);
    m_output.sendFlowReport(control, *instance.pending);
}

FlowReport FlowReporter::makeReport(const TargetStart& start, uint64_t base)
{
    FlowReport report;
    report.agent = m_options.self;
    report.incarnation = m_incarnation;
    report.start = start;
    report.base = base;
    report.reportedMs = static_cast<uint64_t>(m_clock.wallTime().count());
    return report;
}

void FlowReporter::addChanges(const Flows& recorded, const Flows& open, FlowReport& report)
{
    for (const auto& [flow, acknowledged] : open) {
        auto found = recorded.find(flow);
        if (found == recorded.end() || hasMoved(found->second, acknowledged))
            report.flows.push_back({ flow, acknowledged });
    }
    for (const auto& [flow, acknowledged] : recorded) {
        if (open.count(flow) == 0)
            report.closed.push_back(flow);
    }
}

void FlowReporter::onAck(Endpoint control, const FlowReportAck& ack)
{
    auto found = m_instances.find(control);
    if (found == m_instances.end())
        return;
    Instance& instance = found->second;
    const std::optional<FlowReport>& pending = instance.pending;
    if (!pending || ack.incarnation != pending->incarnation || ack.sequence != pending->sequence)
        return;
    if (ack.result == FlowReportResult::Recorded) {
        applyPending(instance);
        return;
    }
    instance.pending.reset();
    instance.base = 0;
    instance.recorded.clear();
    if (ack.result == FlowReportResult::Superseded)
        m_incarnation = std::max(m_incarnation, ack.recordedIncarnation + 1);
    if (ack.result == FlowReportResult::Refused) {
        ++m_refusedCount;
        instance.avoidedUntil = m_clock.now() + m_options.avoidTime;
    }
}

void FlowReporter::applyPending(Instance& instance)
{
    const FlowReport& report = *instance.pending;
    if (report.isFull())
        instance.recorded.clear();
    for (const RecordedFlow& flow : report.flows)
        instance.recorded[flow.flow] = flow.acknowledged;
    for (const FlowId& flow : report.closed)
        instance.recorded.erase(flow);
    // A removed record cannot be the base of a report.
    instance.mayHaveRecord = !report.isRemoval();
    instance.base = report.isRemoval() ? 0 : report.sequence;
    instance.pending.reset();
}

size_t FlowReporter::recordedCount() const
{
    size_t count = 0;
    for (const auto& [control, instance] : m_instances)
        count = std::max(count, instance.recorded.size());
    return count;
}

} // namespace cicadaward::steering
