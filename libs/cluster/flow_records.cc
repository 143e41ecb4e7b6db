#include "cluster/flow_records.h"

#include "cluster/codec.h"
#include "core/hash.h"

#include <algorithm>
#include <cstring>

namespace cicadaward::cluster {

using steering::FlowReport;
using steering::FlowReportAck;
using steering::FlowReportResult;
using steering::FlowsReply;
using steering::FlowsRequest;

namespace {

    // File: magic, hash of the body (8 bytes each), body. The body is a list of full reports.
    constexpr char fileMagic[] = { 'c', 'w', 'f', 'l', 'o', 'w', '0', '1' };
    constexpr size_t fileHeadBytes = 16;
    constexpr uint64_t fileHashSeed = 0x666c6f77;
    constexpr size_t recordHeadBytes = 64; // of a report without flows and without the target's id
    constexpr size_t maxTargetIdBytes = 256;
    constexpr Duration expiryInterval = std::chrono::seconds(10);

    bool isBasedOn(const FlowReport& report, const FlowReport& recorded)
    {
        return recorded.incarnation == report.incarnation && recorded.sequence == report.base
            && recorded.start == report.start;
    }

    uint64_t hashOf(const std::string& body) { return hashBytes(body.data(), body.size(), fileHashSeed); }

} // namespace

size_t FlowRecords::Record::bytes() const
{
    return recordHeadBytes + head.start.id.size() + flows.size() * steering::recordedFlowBytes;
}

FlowRecords::FlowRecords(FlowRecordOptions options, const Clock& clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_nextWrite(clock.now())
    , m_nextExpiry(clock.now() + expiryInterval)
{
}

absl::Status FlowRecords::load(const std::string& file)
{
    if (file.size() < fileHeadBytes || std::memcmp(file.data(), fileMagic, sizeof(fileMagic)) != 0)
        return absl::DataLossError("not a file of flow records");
    uint64_t hash = 0;
    std::memcpy(&hash, file.data() + sizeof(fileMagic), sizeof(hash));
    std::string body = file.substr(fileHeadBytes);
    std::vector<FlowReport> reports;
    if (hash != hashOf(body) || !decodeMessage(body, reports))
        return absl::DataLossError("the checksum or the format is wrong");
    for (const FlowReport& report : reports) {
        if (isWithinLimits(report, nullptr))
            apply(report);
    }
    m_isChanged = false;
    return absl::OkStatus();
}

std::optional<Envelope> FlowRecords::onMessage(Endpoint sender, const Envelope& envelope)
{
    FlowReport report;
    FlowsRequest request;
    if (envelope.kind == MessageKind::FlowReport && decodeMessage(envelope.body, report))
        return Envelope { MessageKind::FlowReportAck, encodeMessage(onReport(sender, report)) };
    if (envelope.kind == MessageKind::FlowsRequest && decodeMessage(envelope.body, request))
        return Envelope { MessageKind::FlowsReply, encodeMessage(onRequest(sender, request)) };
    return std::nullopt;
}

FlowReportAck FlowRecords::onReport(Endpoint sender, const FlowReport& report)
{
    FlowReportAck ack { report.incarnation, report.sequence, FlowReportResult::Refused, 0 };
    auto known = m_records.find(report.agent);
    const Record* record = known == m_records.end() ? nullptr : &known->second;
    if (sender != report.agent || !isWithinLimits(report, record)) {
        ++m_refusedCount;
        return ack;
    }
    if (record && record->head.incarnation > report.incarnation) {
        ack.result = FlowReportResult::Superseded;
        ack.recordedIncarnation = record->head.incarnation;
        return ack;
    }
    ack.result = apply(report);
    return ack;
}

bool FlowRecords::isWithinLimits(const FlowReport& report, const Record* known) const
{
    const Record* base = report.isFull() ? nullptr : known;
    auto isRecorded = [&](const steering::FlowId& flow) { return base && base->flows.count(flow) != 0; };
    size_t flows = base ? base->flows.size() : 0;
    for (const steering::FlowId& flow : report.closed)
        flows -= isRecorded(flow) ? 1 : 0;
    for (const steering::RecordedFlow& flow : report.flows)
        flows += isRecorded(flow.flow) ? 0 : 1;
    size_t knownBytes = known ? known->bytes() : 0;
    size_t bytes = recordHeadBytes + report.start.id.size() + flows * steering::recordedFlowBytes;
    bool isLarger = bytes > knownBytes;
    return flows <= steering::maxRecordedFlows && report.start.id.size() <= maxTargetIdBytes
        && (known || m_records.size() < m_options.maxAgents)
        && (!isLarger || m_bytes - knownBytes + bytes <= m_options.maxBytes);
}

FlowReportResult FlowRecords::apply(const FlowReport& report)
{
    auto known = m_records.find(report.agent);
    if (known != m_records.end() && !report.isNewerThan(known->second.head))
        return FlowReportResult::Recorded; // a copy of a report, which was applied before
    if (!report.isFull() && (known == m_records.end() || !isBasedOn(report, known->second.head)))
        return FlowReportResult::NeedsFull;
    m_isChanged = true;
    if (report.isRemoval()) {
        erase(report.agent);
        return FlowReportResult::Recorded;
    }
    Record& record = m_records[report.agent];
    if (known != m_records.end())
        subtract(record);
    if (report.isFull())
        record.flows.clear();
    for (const steering::FlowId& flow : report.closed)
        record.flows.erase(flow);
    for (const steering::RecordedFlow& flow : report.flows)
        record.flows[flow.flow] = flow.acknowledged;
    record.head = report;
    record.head.flows.clear();
    record.head.closed.clear();
    record.lastReport = m_clock.now();
    m_bytes += record.bytes();
    m_flowCount += record.flows.size();
    return FlowReportResult::Recorded;
}

void FlowRecords::subtract(const Record& record)
{
    m_bytes -= record.bytes();
    m_flowCount -= record.flows.size();
}

void FlowRecords::erase(Endpoint agent)
{
    auto found = m_records.find(agent);
    if (found == m_records.end())
        return;
    subtract(found->second);
    m_records.erase(found);
    m_isChanged = true;
}

FlowsReply FlowRecords::onRequest(Endpoint sender, const FlowsRequest& request) const
{
    FlowsReply reply;
    reply.round = request.round;
    reply.dataCentre = m_options.dataCentre;
    auto found = m_records.find(sender);
    reply.hasRecord = found != m_records.end();
    if (reply.hasRecord)
        reply.record = contentOf(found->second);
    return reply;
}

// Returns the record as a full report.
FlowReport FlowRecords::contentOf(const Record& record)
{
    FlowReport content = record.head;
    content.base = 0;
    content.flows.reserve(record.flows.size());
    for (const auto& [flow, acknowledged] : record.flows)
        content.flows.push_back({ flow, acknowledged });
    return content;
}

void FlowRecords::expire()
{
    m_nextExpiry = m_clock.now() + expiryInterval;
    std::vector<Endpoint> silent;
    for (const auto& [agent, record] : m_records) {
        if (m_clock.now() - record.lastReport > m_options.recordLifetime)
            silent.push_back(agent);
    }
    for (Endpoint agent : silent)
        erase(agent);
}

bool FlowRecords::isWriteDue()
{
    if (m_clock.now() >= m_nextExpiry)
        expire();
    return m_isChanged && m_clock.now() >= m_nextWrite;
}

std::string FlowRecords::takeFile()
{
    std::vector<FlowReport> reports;
    reports.reserve(m_records.size());
    for (const auto& [agent, record] : m_records)
        reports.push_back(contentOf(record));
    std::string body = encodeMessage(reports);
    uint64_t hash = hashOf(body);
    std::string file(fileMagic, sizeof(fileMagic));
    file.append(reinterpret_cast<const char*>(&hash), sizeof(hash));
    file += body;
    m_isChanged = false;
    auto bytesTime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(double(file.size()) / double(m_options.maxWrittenBytesPerSecond)));
    m_nextWrite = m_clock.now() + std::max(m_options.writeInterval, bytesTime);
    return file;
}

} // namespace cicadaward::cluster
