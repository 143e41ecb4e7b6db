#include "steering/bulk_simulation.h"

#include <algorithm>
#include <cstdio>

namespace cicadaward::steering {

using namespace std::chrono_literals;

namespace {

    constexpr size_t headBytes = 34;
    constexpr size_t packetBytes = 1234;
    constexpr double segmentBytes = 1200;
    constexpr size_t windowPackets = 16;
    constexpr Duration roundTrip = 2ms;
    constexpr Duration firstTimeout = 200ms;
    constexpr Duration maxTimeout = 1600ms;
    constexpr Duration linkBuffer = 100ms; // of the link's rate
    constexpr Duration uploadObjective = 800ms;
    constexpr Duration uploadDeadline = 10s;
    constexpr Duration urgentObjective = 200ms;
    constexpr Duration urgentDeadline = 2500ms;
    constexpr Duration synGivenUp = 1400ms;
    constexpr Duration tryPause = 20ms; // of a caller, between two tries
    constexpr Duration tickInterval = 30ms;

    double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }
    Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

} // namespace

double Outcomes::quantile(double share) const
{
    if (ms.empty())
        return 0;
    std::vector<double> sorted = ms;
    auto at = sorted.begin() + std::ptrdiff_t(share * double(sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

std::string Outcomes::text() const
{
    char line[120];
    std::snprintf(line, sizeof line, "%zu served, p50 %.0f ms, p99 %.0f ms, late %.1f%%, failed %zu", ms.size(),
        quantile(0.5), quantile(0.99), 100.0 * double(late) / double(std::max<size_t>(1, ms.size() + failed)), failed);
    return line;
}

BulkSimulation::BulkSimulation(const std::vector<EntryLink>& links, bool isLimited, uint64_t seed)
    : m_random(seed)
    , m_isLimited(isLimited)
{
    for (const EntryLink& link : links) {
        BulkAdmissionOptions options;
        options.linkMbps = link.mbps;
        options.tickInterval = tickInterval;
        m_entries.push_back({ link.mbps * 1e6 / 8, std::make_unique<BulkAdmission>(options, m_clock), m_clock.now() });
    }
    at(m_clock.now() + tickInterval, [this] { tick(); });
}

void BulkSimulation::at(Time time, std::function<void()> action) { m_agenda.emplace(time, std::move(action)); }

void BulkSimulation::run(Duration duration)
{
    Time end = m_clock.now() + duration;
    while (!m_agenda.empty() && m_agenda.begin()->first <= end) {
        auto next = m_agenda.extract(m_agenda.begin());
        m_clock.advance(std::max(next.key() - m_clock.now(), Duration::zero()));
        next.mapped()();
    }
    m_clock.advance(end - m_clock.now());
}

void BulkSimulation::startUploads(double perSecond, Duration duration, double meanBytes)
{
    std::exponential_distribution<double> gap(perSecond);
    std::exponential_distribution<double> size(1 / meanBytes);
    Time end = m_clock.now() + duration;
    for (Time time = m_clock.now() + seconds(gap(m_random)); time < end; time += seconds(gap(m_random))) {
        auto packets = size_t(std::min(size(m_random), 6 * meanBytes) / segmentBytes) + 1;
        size_t entry = m_random() % m_entries.size();
        at(time, [this, packets, entry] { upload(packets, 0ms, entry); });
    }
}

void BulkSimulation::startUrgent(double perSecond, Duration duration, size_t bytes)
{
    std::exponential_distribution<double> gap(perSecond);
    Time end = m_clock.now() + duration;
    for (Time time = m_clock.now() + seconds(gap(m_random)); time < end; time += seconds(gap(m_random))) {
        size_t entry = m_random() % m_entries.size();
        at(time, [this, entry, bytes, time] { sendUrgent(entry, bytes, time, firstTimeout); });
    }
}

std::optional<Time> BulkSimulation::cross(size_t index, size_t bytes)
{
    Entry& entry = m_entries[index];
    Time start = std::max(entry.linkFree, m_clock.now());
    if (entry.isDead || start - m_clock.now() > linkBuffer) {
        ++m_packetsLost;
        return std::nullopt;
    }
    entry.linkFree = start + seconds(double(bytes) / entry.bytesPerSecond);
    return entry.linkFree;
}

size_t BulkSimulation::otherEntry(size_t entry)
{
    std::vector<size_t> others;
    for (size_t i = 0; i < m_entries.size(); ++i) {
        if (i != entry && m_entries[i].isReachable)
            others.push_back(i);
    }
    return others.empty() ? entry : others[m_random() % others.size()];
}

void BulkSimulation::upload(size_t packets, Duration pause, size_t firstEntry)
{
    auto upload = std::make_shared<Upload>();
    upload->started = m_clock.now();
    upload->packets = packets;
    upload->pause = pause;
    upload->entry = m_entries[firstEntry].isReachable ? firstEntry : otherEntry(firstEntry);
    tryUpload(upload);
}

void BulkSimulation::tryUpload(const UploadRef& upload)
{
    if (m_clock.now() - upload->started > uploadDeadline) {
        ++m_uploads.failed;
        ++m_uploads.late;
        return;
    }
    upload->flow = { { 1, ++m_lastPort }, { 2, 443 } };
    m_uploadsByPort[m_lastPort] = upload;
    FlowId flow = upload->flow;
    sendSyn(upload, 0, flow);
    at(m_clock.now() + 200ms, [=] { sendSyn(upload, 1, flow); });
    at(m_clock.now() + 600ms, [=] { sendSyn(upload, 2, flow); });
    at(m_clock.now() + synGivenUp, [=] {
        if (upload->flow == flow && !upload->isOpen)
            refused(flow);
    });
}

void BulkSimulation::sendSyn(const UploadRef& upload, uint8_t copy, FlowId flow)
{
    if (!(upload->flow == flow) || upload->isOpen)
        return;
    if (!m_entries[upload->entry].isReachable)
        upload->entry = otherEntry(upload->entry);
    size_t entry = upload->entry;
    if (std::optional<Time> arrival = cross(entry, headBytes))
        at(*arrival, [=] { decide(upload, copy, flow, entry); });
}

void BulkSimulation::decide(const UploadRef& upload, uint8_t copy, FlowId flow, size_t entry)
{
    if (m_entries[entry].isDead)
        return;
    if (!m_isLimited)
        return open(flow, entry);
    FlowPacket syn;
    syn.flow = flow;
    syn.syn = true;
    syn.synRetransmission = copy;
    switch (m_entries[entry].admission->onSyn(syn, uploadObjective, nullptr, 0)) {
    case BulkAdmission::Verdict::Offer:
        return open(upload->flow, entry);
    case BulkAdmission::Verdict::Refuse:
        return refused(flow);
    default:
        return;
    }
}

void BulkSimulation::open(const FlowId& flow, size_t entry)
{
    m_entries[entry].admission->onOffered(flow);
    UploadRef upload = m_uploadsByPort[flow.caller.port];
    if (!(upload->flow == flow) || upload->isOpen)
        return;
    upload->isOpen = true;
    at(m_clock.now() + roundTrip, [=] {
        size_t burst = upload->pause > 0ms ? 1 : windowPackets;
        for (size_t i = 0; i < burst; ++i)
            sendNext(upload);
    });
}

void BulkSimulation::refused(const FlowId& flow)
{
    UploadRef upload = m_uploadsByPort[flow.caller.port];
    if (!(upload->flow == flow) || upload->isOpen)
        return;
    upload->entry = otherEntry(upload->entry);
    at(m_clock.now() + tryPause, [=] {
        if (upload->flow == flow)
            tryUpload(upload);
    });
}

void BulkSimulation::sendNext(const UploadRef& upload)
{
    if (upload->nextPacket < upload->packets) {
        ++upload->nextPacket;
        sendPacket(upload, firstTimeout);
    }
}

void BulkSimulation::sendPacket(const UploadRef& upload, Duration timeout)
{
    if (m_clock.now() - upload->started > uploadDeadline)
        return finish(upload);
    if (!m_entries[upload->entry].isReachable)
        upload->entry = otherEntry(upload->entry);
    size_t entry = upload->entry;
    if (std::optional<Time> arrival = cross(entry, packetBytes)) {
        at(*arrival, [=] {
            if (m_isLimited)
                m_entries[entry].admission->onPacket(upload->flow);
            at(m_clock.now() + roundTrip + upload->pause, [=] { delivered(upload); });
        });
        return;
    }
    at(m_clock.now() + timeout, [=] { sendPacket(upload, std::min(2 * timeout, maxTimeout)); });
}

void BulkSimulation::delivered(const UploadRef& upload)
{
    if (++upload->delivered == upload->packets)
        finish(upload);
    else
        sendNext(upload);
}

void BulkSimulation::finish(const UploadRef& upload)
{
    if (std::exchange(upload->isDone, true))
        return;
    Duration duration = m_clock.now() - upload->started;
    if (duration > uploadDeadline)
        ++m_uploads.failed;
    else
        m_uploads.ms.push_back(milliseconds(duration));
    m_uploads.late += duration > uploadObjective ? 1 : 0;
    BulkAdmission& admission = *m_entries[upload->entry].admission;
    admission.onEnded(upload->flow);
    while (std::optional<WaitingSyn> syn = admission.takeAdmitted())
        open(syn->flow, upload->entry);
}

void BulkSimulation::sendUrgent(size_t entry, size_t bytes, Time started, Duration timeout)
{
    if (m_clock.now() - started > urgentDeadline) {
        ++m_urgent.failed;
        ++m_urgent.late;
        return;
    }
    if (!m_entries[entry].isReachable)
        entry = otherEntry(entry);
    if (std::optional<Time> arrival = cross(entry, bytes)) {
        m_entries[entry].admission->onOtherTraffic(bytes);
        m_urgent.ms.push_back(milliseconds(*arrival - started));
        m_urgent.late += *arrival - started > urgentObjective ? 1 : 0;
        return;
    }
    at(m_clock.now() + timeout, [=] { sendUrgent(entry, bytes, started, std::min(2 * timeout, maxTimeout)); });
}

void BulkSimulation::kill(size_t entry, Duration detection)
{
    m_entries[entry].isDead = true;
    at(m_clock.now() + detection, [=] { m_entries[entry].isReachable = false; });
}

void BulkSimulation::tick()
{
    for (size_t i = 0; i < m_entries.size() && m_isLimited; ++i) {
        if (m_entries[i].isDead)
            continue;
        for (const WaitingSyn& syn : m_entries[i].admission->onTick())
            refused(syn.flow);
        while (std::optional<WaitingSyn> syn = m_entries[i].admission->takeAdmitted())
            open(syn->flow, i);
    }
    at(m_clock.now() + tickInterval, [this] { tick(); });
}

} // namespace cicadaward::steering
