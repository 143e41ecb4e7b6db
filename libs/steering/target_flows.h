// The flows that an agent has seen at its target. The target itself has the last word on what it holds; this table
// tells where a flow's request stands and which flows ended with an earlier start of the target.
//
// Memory: at most `limit` flows of about 150 bytes. Cost: O(1) a packet, O(flows) for markTargetEnded() and expire().
#pragma once

#include "core/clock.h"
#include "steering/flow_packet.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>

namespace cicadaward::steering {

struct TargetFlow {
    Time opened;
    Time connectStart; // when the caller began to open it, as far as the SYN tells
    Time lastPacket;
    Endpoint entryToNotify; // port 0, or the entry that waits for Located
    bool synForwarded = false; // the target was given its SYN
    bool answered = false; // the target has sent a packet of the flow
    bool seenFromTarget = false; // the target has sent a packet of the flow to this process
    // The caller chose this target: it has acknowledged the target's answer to the SYN, or the target has sent more.
    bool established = false;
    bool hasTargetIsn = false; // `opening` is known
    bool hasRequestEnd = false; // requestEnd is known
    bool isRequestQueued = false; // a request waits in the queue
    bool isRequestInFlight = false; // a request is at the target and its answer has not begun
    bool callerClosed = false;
    bool targetClosed = false;
    bool targetEnded = false; // its target has started again or left for good
    uint32_t targetIsn = 0; // sequence of the target's answer to the SYN
    uint32_t requestEnd = 0; // sequence after the newest data of the caller that was seen or acknowledged
    Time requestForwarded;

    bool isClosing() const { return callerClosed || targetClosed; }
    // Takes note of the caller's data. False for a repeated packet.
    bool recordCallerData(const FlowPacket&);
    void recordSynAck(const FlowPacket&);
    // True when the caller's packet acknowledges the opening. A SYN that reached several targets has several answers,
    // and each draws its sequence at random.
    bool isAckOfSynAck(const FlowPacket&) const;
    // The target has the caller's data up to the one that its packet acknowledges.
    void recordTargetAck(const FlowPacket&);
};

class TargetFlows {
public:
    explicit TargetFlows(size_t maxFlows)
        : m_maxFlows(maxFlows)
    {
    }

    TargetFlow* find(const FlowId&);
    // Returns null when the table is full.
    TargetFlow* add(const FlowId&, Time now);
    // A flow that was offered anew; replaces what was known of it.
    TargetFlow* replace(const FlowId&, Time now);
    void erase(const FlowId&);
    void clear();
    void markClosed(TargetFlow&, bool TargetFlow::*end);
    // The target has ended: flows that were open at it are marked as lost, all others are forgotten. One that was
    // merely offered, or whose SYN was answered by several targets, may be open at another.
    void markTargetEnded();
    // Calls `ended` for each flow that is idle, closed for long or was never answered, and forgets it.
    template <typename Ended> void expire(Time now, Duration idleLimit, Duration closedRetention, Ended onExpired);
    // Calls `visit` for each flow.
    template <typename Visit> void forEach(Visit visit);

    size_t size() const { return m_flows.size(); }
    bool isFull() const { return m_flows.size() >= m_maxFlows; }
    size_t openCount() const { return m_flows.size() - m_closingCount; }

private:
    static bool isExpired(const TargetFlow&, Time now, Duration idleLimit, Duration closedRetention);

    const size_t m_maxFlows;
    absl::flat_hash_map<FlowId, TargetFlow> m_flows;
    size_t m_closingCount = 0; // flows of which an end has closed
};

template <typename Ended>
void TargetFlows::expire(Time now, Duration idleLimit, Duration closedRetention, Ended onExpired)
{
    for (auto i = m_flows.begin(); i != m_flows.end();) {
        if (!isExpired(i->second, now, idleLimit, closedRetention)) {
            ++i;
            continue;
        }
        onExpired(i->first, i->second);
        m_closingCount -= i->second.isClosing() ? 1 : 0;
        m_flows.erase(i++);
    }
}

template <typename Visit> void TargetFlows::forEach(Visit visit)
{
    for (auto& [id, flow] : m_flows)
        visit(id, flow);
}

} // namespace cicadaward::steering
