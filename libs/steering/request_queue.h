// The requests that wait at an agent until their target has a free slot, and the order in which they go.
//
// It answers the load after an outage and in a burst: the callers of many seconds come at once, and a target that takes
// them in the order of their arrival answers all of them late, the new ones too. So the requests that can still meet
// their latency objective go first, by priority and then by their objective; the others lose nothing by waiting and
// follow by priority and then by their timeout. A request that has waited for most of its time is given to the target
// in any case, which queues it or refuses it truthfully.
//
//     if (!queue.add(request) || !queue.hold(flow, sequence, frame, data, size))
//         give(frame, data, size); // the queue is full
//     ...
//     if (std::optional<QueuedRequest> next = queue.takeNext(meanWork))
//         for (const QueuedPacket& packet : next->packets)
//             give(packet);
//
// Memory: at most `maxRequests` requests and `maxBytes` of packets. Cost: O(waiting requests) for each one taken.
#pragma once

#include "core/clock.h"
#include "steering/frame.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace cicadaward::steering {

struct RequestInfo {
    FlowId flow;
    Time arrived;
    Time objectiveDeadline; // an answer by then meets the latency objective
    Time timeoutDeadline; // the caller gives up then
    uint32_t priority = 0; // 0 is served first
};

struct QueuedPacket {
    uint32_t sequence = 0;
    Frame frame;
    std::vector<uint8_t> bytes;
};

struct QueuedRequest {
    RequestInfo request;
    std::vector<QueuedPacket> packets; // in the order of their arrival
};

struct RequestQueueOptions {
    size_t maxRequests = 512;
    size_t maxBytes = 1 << 20;
    // A request whose flow entries search for waits no longer than this: copies of its packets reach other targets.
    Duration maxSearchedWait = std::chrono::milliseconds(500);
};

class RequestQueue {
public:
    RequestQueue(RequestQueueOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    // False when the queue is full.
    bool add(const RequestInfo&);
    // Keeps a packet of a waiting request; one that is held already is ignored. False when the queue is full.
    bool addPacket(const FlowId&, uint32_t sequence, const Frame&, const uint8_t* data, size_t size);
    // Removes the request that goes next, if any waits. `work` is the time that the target takes for one.
    std::optional<QueuedRequest> takeNext(Duration serviceTime);
    // Removes the oldest request that has waited for three quarters of its time, if there is one.
    std::optional<QueuedRequest> takeOverdue();
    // True when the flow's request has waited for `maxSearchedWait`.
    bool hasExceededSearchedWait(const FlowId&) const;
    // Removes the request of a flow.
    std::optional<QueuedRequest> remove(const FlowId&);
    void clear();

    size_t size() const { return m_requests.size(); }

private:
    const RequestQueueOptions m_options;
    const Clock& m_clock;
    absl::flat_hash_map<FlowId, QueuedRequest> m_requests;
    size_t m_bytes = 0;
};

} // namespace cicadaward::steering
