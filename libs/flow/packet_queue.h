// Packets that wait until the bucket of their flow is settled. Their number is bounded for each bucket and in total,
// and their age is bounded. Dropping packets is harmless because callers retransmit them. Internal to the library.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "flow/actions.h"

#include <map>
#include <vector>

namespace cicadaward::flow::detail {

struct QueuedPacket {
    TunnelHeader header;
    std::vector<uint8_t> bytes;
    Time arrivedAt;
};

class PacketQueue {
public:
    static constexpr size_t maxPerBucket = 64;
    static constexpr size_t maxTotal = 4096;
    // A caller has retransmitted a first packet that is older than this.
    static constexpr Duration maxAge = std::chrono::seconds(3);

    // Returns false when a bound is reached.
    bool push(BucketId bucket, QueuedPacket packet)
    {
        std::vector<QueuedPacket>& queue = m_queues[bucket];
        if (queue.size() >= maxPerBucket || m_size >= maxTotal)
            return false;
        queue.push_back(std::move(packet));
        ++m_size;
        return true;
    }

    std::vector<QueuedPacket> removeBucket(BucketId bucket)
    {
        auto found = m_queues.find(bucket);
        if (found == m_queues.end())
            return {};
        std::vector<QueuedPacket> packets = std::move(found->second);
        m_queues.erase(found);
        m_size -= packets.size();
        return packets;
    }

    // Returns the number of packets dropped.
    size_t expire(Time now)
    {
        size_t before = m_size;
        for (auto queue = m_queues.begin(); queue != m_queues.end();) {
            size_t old = 0;
            while (old < queue->second.size() && now - queue->second[old].arrivedAt > maxAge)
                ++old;
            queue->second.erase(queue->second.begin(), queue->second.begin() + static_cast<std::ptrdiff_t>(old));
            m_size -= old;
            queue = queue->second.empty() ? m_queues.erase(queue) : std::next(queue);
        }
        return before - m_size;
    }

    std::vector<BucketId> buckets() const
    {
        std::vector<BucketId> result;
        for (const auto& [bucket, queue] : m_queues)
            result.push_back(bucket);
        return result;
    }
    size_t size() const { return m_size; }

private:
    std::map<BucketId, std::vector<QueuedPacket>> m_queues;
    size_t m_size = 0;
};

} // namespace cicadaward::flow::detail
