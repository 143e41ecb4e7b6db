// The limit counts windows and not bytes: a flow whose body is short leaves soon, and the entry does not know the
// length of a body when the SYN arrives.
#include "steering/bulk_admission.h"

#include <algorithm>
#include <cmath>

namespace cicadaward::steering {

namespace {

    constexpr double flowTimeWeight = 1.0 / 16; // of the newest flow in the mean

    size_t linkLimit(const BulkAdmissionOptions& options, double otherRate)
    {
        if (!(options.linkMbps > 0))
            return 0;
        double linkRate = options.linkMbps * 1e6 / 8;
        double bytesPerSecond = std::max(linkRate - otherRate, linkRate * options.minBulkShare);
        double windows = bytesPerSecond * std::chrono::duration<double>(options.linkTime).count() / bulkWindowBytes;
        return size_t(std::clamp(windows, 1.0, double(options.maxActive)));
    }

} // namespace

BulkAdmission::BulkAdmission(BulkAdmissionOptions options, const Clock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_limit(linkLimit(options, 0))
    , m_lastTick(clock.now())
    , m_meanFlowTime(options.initialFlowTime)
{
}

BulkAdmission::Verdict BulkAdmission::verdict(const FlowPacket& packet, Duration objective) const
{
    auto held = findWaiting(packet.flow);
    if (held != m_waiting.end() && held->second.sequence == packet.sequence)
        return Verdict::Drop;
    if (m_active.count(packet.flow) != 0)
        return Verdict::Offer; // a duplicate of a SYN that a target may have
    if (isRefused(packet))
        return Verdict::Refuse;
    if (packet.synRetransmission != 0)
        return Verdict::Offer; // another entry may have offered the original
    if (m_waiting.empty() && m_active.size() < m_limit)
        return Verdict::Offer;
    bool isTooLate = m_waiting.size() >= m_options.maxWaiting || expectedWait(objective) > m_options.maxWait;
    return isTooLate ? Verdict::Refuse : Verdict::Wait;
}

BulkAdmission::Verdict BulkAdmission::onSyn(
    const FlowPacket& packet, Duration objective, const uint8_t* data, size_t size)
{
    auto held = findWaiting(packet.flow);
    if (held != m_waiting.end() && held->second.sequence != packet.sequence)
        m_waiting.erase(held); // the caller has given up the earlier flow between these ends
    Verdict result = verdict(packet, objective);
    if (result == Verdict::Refuse)
        recordRefusal(packet.flow, packet.sequence);
    else if (result == Verdict::Wait)
        m_waiting.insert(
            { deadline(objective), { packet.flow, packet.sequence, m_clock.now(), { data, data + size } } });
    return result;
}

void BulkAdmission::recordRefusal(const FlowId& flow, uint32_t sequence)
{
    ++m_refusedCount;
    if (m_recentRefusals.size() >= m_options.maxRefused)
        m_recentRefusals.pop_front();
    m_recentRefusals.push_back({ flow, sequence, m_clock.now() });
}

bool BulkAdmission::isRefused(const FlowPacket& packet) const
{
    Time oldest = m_clock.now() - m_options.refusalRetention;
    return std::any_of(m_recentRefusals.begin(), m_recentRefusals.end(), [&](const Refusal& refusal) {
        return refusal.flow == packet.flow && refusal.sequence == packet.sequence && refusal.at > oldest;
    });
}

// Flows without an objective come last.
Time BulkAdmission::deadline(Duration objective) const
{
    return objective > Duration::zero() ? m_clock.now() + objective : Time::max();
}

// The SYNs that are ahead leave the queue as flows end, of which `m_limit` are active at a time.
Duration BulkAdmission::expectedWait(Duration objective) const
{
    auto ahead = double(std::distance(m_waiting.begin(), m_waiting.upper_bound(deadline(objective))));
    return std::chrono::duration_cast<Duration>(m_meanFlowTime * (ahead / double(m_limit)));
}

BulkAdmission::WaitingSyns::const_iterator BulkAdmission::findWaiting(const FlowId& flow) const
{
    return std::find_if(
        m_waiting.begin(), m_waiting.end(), [&](const auto& waiting) { return waiting.second.flow == flow; });
}

BulkAdmission::ActiveFlow* BulkAdmission::findOrAddActive(const FlowId& flow)
{
    auto found = m_active.find(flow);
    if (found == m_active.end() && m_active.size() >= m_options.maxActive) {
        ++m_uncountedCount;
        return nullptr;
    }
    return found == m_active.end() ? &m_active[flow] : &found->second;
}

void BulkAdmission::onOffered(const FlowId& flow)
{
    if (ActiveFlow* active = findOrAddActive(flow)) {
        active->lastPacket = m_clock.now();
        active->offered = m_clock.now();
    }
}

void BulkAdmission::onPacket(const FlowId& flow)
{
    auto waiting = findWaiting(flow);
    if (waiting != m_waiting.end())
        m_waiting.erase(waiting); // a copy of the SYN has opened the flow through another entry
    if (ActiveFlow* active = findOrAddActive(flow))
        active->lastPacket = m_clock.now();
}

void BulkAdmission::onEnded(const FlowId& flow)
{
    auto waiting = findWaiting(flow);
    if (waiting != m_waiting.end())
        m_waiting.erase(waiting);
    auto found = m_active.find(flow);
    if (found == m_active.end())
        return;
    recordFlowTime(found->second, m_clock.now());
    m_active.erase(found);
}

void BulkAdmission::onNotAccepted(const FlowId& flow) { m_active.erase(flow); }

void BulkAdmission::recordFlowTime(const ActiveFlow& flow, Time end)
{
    if (!flow.offered)
        return;
    std::chrono::duration<double> flowTime = end - *flow.offered;
    m_meanFlowTime += (flowTime - m_meanFlowTime) * flowTimeWeight;
}

std::vector<WaitingSyn> BulkAdmission::onRoutesChanged(const std::function<bool(const FlowId&)>& isBulk)
{
    std::vector<WaitingSyn> released;
    for (auto i = m_waiting.begin(); i != m_waiting.end();) {
        auto waiting = i++;
        if (isBulk(waiting->second.flow))
            continue;
        if (!isOverdue(waiting->second))
            released.push_back(std::move(waiting->second));
        m_waiting.erase(waiting);
    }
    absl::erase_if(m_active, [&](const auto& active) { return !isBulk(active.first); });
    return released;
}

// After a stall of the process, a copy of the SYN may be open through another entry. The SYN is neither refused nor
// offered; the caller's next copy is admitted.
bool BulkAdmission::isOverdue(const WaitingSyn& syn) const { return m_clock.now() - syn.arrived > m_options.maxWait; }

std::vector<WaitingSyn> BulkAdmission::onTick()
{
    Time now = m_clock.now();
    measureOtherTraffic();
    absl::erase_if(m_active, [&](const auto& active) {
        bool isSilent = now - active.second.lastPacket >= m_options.maxSilence;
        if (isSilent)
            recordFlowTime(active.second, active.second.lastPacket);
        return isSilent;
    });
    expireRefusals();
    std::vector<WaitingSyn> ended;
    for (auto i = m_waiting.begin(); i != m_waiting.end();) {
        auto waiting = i++;
        if (now - waiting->second.arrived + m_options.tickInterval <= m_options.maxWait)
            continue;
        if (!isOverdue(waiting->second)) {
            recordRefusal(waiting->second.flow, waiting->second.sequence);
            ended.push_back(std::move(waiting->second));
        }
        m_waiting.erase(waiting);
    }
    return ended;
}

std::optional<WaitingSyn> BulkAdmission::takeAdmitted()
{
    while (!m_waiting.empty() && m_active.size() < m_limit) {
        WaitingSyn syn = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        if (isOverdue(syn))
            continue;
        ++m_waitedCount;
        return syn;
    }
    return std::nullopt;
}

void BulkAdmission::measureOtherTraffic()
{
    std::chrono::duration<double> elapsed = m_clock.now() - m_lastTick;
    if (elapsed.count() <= 0)
        return;
    double weight = 1 - std::exp(-elapsed.count());
    m_otherRate += (double(m_otherBytes) / elapsed.count() - m_otherRate) * weight;
    m_otherBytes = 0;
    m_lastTick = m_clock.now();
    m_limit = linkLimit(m_options, m_otherRate);
}

void BulkAdmission::expireRefusals()
{
    while (!m_recentRefusals.empty() && m_clock.now() - m_recentRefusals.front().at >= m_options.refusalRetention)
        m_recentRefusals.pop_front();
}

} // namespace cicadaward::steering
