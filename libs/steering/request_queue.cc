#include "steering/request_queue.h"

#include <algorithm>
#include <tuple>

namespace cicadaward::steering {

namespace {

    // The request with the smallest rank goes first. Arrival and flow hash only break ties, so that the order depends
    // on the requests alone.
    using Rank = std::tuple<int, uint32_t, Time, Time, uint64_t>;

    // Service times vary. With a smaller margin, many requests that were chosen to meet a deadline would just miss it.
    constexpr int serviceTimeMargin = 2;

    enum Feasibility { MeetsObjective, MeetsTimeout, MissesTimeout };

    Rank rankOf(const RequestInfo& request, Time expectedAnswer)
    {
        uint64_t flow = request.flow.hash();
        if (expectedAnswer <= request.objectiveDeadline)
            return { MeetsObjective, request.priority, request.objectiveDeadline, request.arrived, flow };
        if (expectedAnswer <= request.timeoutDeadline)
            return { MeetsTimeout, request.priority, request.timeoutDeadline, request.arrived, flow };
        return { MissesTimeout, request.priority, request.timeoutDeadline, request.arrived, flow };
    }

} // namespace

bool RequestQueue::add(const RequestInfo& request)
{
    if (m_requests.size() >= m_options.maxRequests)
        return false;
    auto [queued, isNew] = m_requests.try_emplace(request.flow);
    queued->second.request = request;
    if (isNew)
        ++m_countByRoute[request.flow.service];
    return true;
}

bool RequestQueue::addPacket(
    const FlowId& flow, uint32_t sequence, const Frame& frame, const uint8_t* data, size_t size)
{
    auto found = m_requests.find(flow);
    if (found == m_requests.end() || m_bytes + size > m_options.maxBytes)
        return false;
    std::vector<QueuedPacket>& packets = found->second.packets;
    bool queued = std::any_of(
        packets.begin(), packets.end(), [&](const QueuedPacket& packet) { return packet.sequence == sequence; });
    if (queued)
        return true;
    packets.push_back({ sequence, frame, std::vector<uint8_t>(data, data + size) });
    m_bytes += size;
    return true;
}

std::optional<QueuedRequest> RequestQueue::takeNext(Duration serviceTime)
{
    return takeNext([serviceTime](const RequestInfo&) { return serviceTime; });
}

std::optional<QueuedRequest> RequestQueue::takeNext(const std::function<Duration(const RequestInfo&)>& serviceTimeOf)
{
    Time now = m_clock.now();
    auto best = m_requests.end();
    Rank bestRank;
    for (auto i = m_requests.begin(); i != m_requests.end(); ++i) {
        const RequestInfo& request = i->second.request;
        Rank rank = rankOf(request, now + serviceTimeMargin * serviceTimeOf(request));
        if (best != m_requests.end() && !(rank < bestRank))
            continue;
        best = i;
        bestRank = rank;
    }
    return best == m_requests.end() ? std::nullopt : remove(FlowId(best->first));
}

std::optional<QueuedRequest> RequestQueue::takeOverdue()
{
    Time now = m_clock.now();
    const RequestInfo* oldest = nullptr;
    auto comesBefore = [](const RequestInfo& a, const RequestInfo& b) {
        return std::make_pair(a.arrived, a.flow.hash()) < std::make_pair(b.arrived, b.flow.hash());
    };
    for (const auto& [flow, queued] : m_requests) {
        const RequestInfo& request = queued.request;
        bool isOverdue = now - request.arrived > (request.timeoutDeadline - request.arrived) * 3 / 4;
        if (isOverdue && (!oldest || comesBefore(request, *oldest)))
            oldest = &request;
    }
    return oldest ? remove(FlowId(oldest->flow)) : std::nullopt;
}

bool RequestQueue::hasExceededSearchedWait(const FlowId& flow) const
{
    auto found = m_requests.find(flow);
    return found != m_requests.end() && m_clock.now() - found->second.request.arrived >= m_options.maxSearchedWait;
}

std::optional<QueuedRequest> RequestQueue::remove(const FlowId& flow)
{
    auto found = m_requests.find(flow);
    if (found == m_requests.end())
        return std::nullopt;
    QueuedRequest queued = std::move(found->second);
    m_requests.erase(found);
    if (auto count = m_countByRoute.find(flow.service); --count->second == 0)
        m_countByRoute.erase(count);
    for (const QueuedPacket& packet : queued.packets)
        m_bytes -= packet.bytes.size();
    return queued;
}

void RequestQueue::clear()
{
    m_requests.clear();
    m_countByRoute.clear();
    m_bytes = 0;
}

} // namespace cicadaward::steering
