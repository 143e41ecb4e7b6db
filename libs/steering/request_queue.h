// Queue of the requests that wait at an agent until their target has a free slot.
//
// After an outage or in a burst, the requests of many seconds arrive at once. A target that serves them in the order of
// arrival answers all of them late, including new ones. The queue therefore first returns requests that can still meet
// their latency objective, by priority and then by objective deadline. The others are late in any case and follow by
// priority and then by timeout deadline. A request that has waited for three quarters of its time to the timeout is
// forwarded even when no slot is free; the target queues it or refuses it, so the caller receives a definite answer.
//
//     if (!queue.add(request) || !queue.addPacket(flow, sequence, frame, data, size))
//         forward(frame, data, size); // the queue is full
//     ...
//     if (std::optional<QueuedRequest> next = queue.takeNext([](const RequestInfo&) { return meanServiceTime; }))
//         for (const QueuedPacket& packet : next->packets)
//             forward(packet);
//
// Memory: at most `maxRequests` requests and `maxBytes` of packets. takeNext() and takeOverdue() cost O(queued
// requests).
#pragma once

#include "core/clock.h"
#include "steering/frame.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <optional>
#include <vector>

namespace cicadaward::steering {

struct RequestInfo {
    FlowId flow;
    Time arrived;
    Time objectiveDeadline; // an answer by this time meets the latency objective
    Time timeoutDeadline; // the caller gives up at this time
    uint32_t priority = 0; // 0 is served first
};

struct QueuedPacket {
    uint32_t sequence = 0;
    Frame frame;
    std::vector<uint8_t> bytes;
};

struct QueuedRequest {
    RequestInfo request;
    std::vector<QueuedPacket> packets; // in order of arrival
};

struct RequestQueueOptions {
    size_t maxRequests = 512;
    size_t maxBytes = 1 << 20;
    // Longest wait of a request while entries search for its flow, since copies of its packets reach other targets.
    Duration maxSearchedWait = std::chrono::milliseconds(500);
};

class RequestQueue {
public:
    RequestQueue(RequestQueueOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    // Returns false when the queue is full.
    bool add(const RequestInfo&);
    // Copies a packet to the queued request of its flow; a packet that is already there is ignored. Returns false when
    // the flow has no queued request or `maxBytes` would be exceeded.
    bool addPacket(const FlowId&, uint32_t sequence, const Frame&, const uint8_t* data, size_t size);
    // Removes and returns the request to forward next. `serviceTimeOf` returns the expected service time of a request.
    std::optional<QueuedRequest> takeNext(const std::function<Duration(const RequestInfo&)>& serviceTimeOf);
    // As above, with one expected service time for all requests.
    std::optional<QueuedRequest> takeNext(Duration serviceTime);
    // Removes and returns the oldest request that has waited for more than three quarters of its time to the timeout.
    std::optional<QueuedRequest> takeOverdue();
    // True when the flow has a queued request that has waited for `maxSearchedWait`.
    bool hasExceededSearchedWait(const FlowId&) const;
    // Removes and returns the request of a flow.
    std::optional<QueuedRequest> remove(const FlowId&);
    void clear();

    size_t size() const { return m_requests.size(); }
    // Queued requests of each route that has any, by the address of its service.
    const absl::flat_hash_map<Endpoint, uint32_t>& countByRoute() const { return m_countByRoute; }

private:
    const RequestQueueOptions m_options;
    const Clock& m_clock;
    absl::flat_hash_map<FlowId, QueuedRequest> m_requests;
    absl::flat_hash_map<Endpoint, uint32_t> m_countByRoute;
    size_t m_bytes = 0;
};

} // namespace cicadaward::steering
