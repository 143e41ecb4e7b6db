// Flow table of an agent: the flows that this process has seen at its target. The table may lack flows; the target is
// the authority on which flows it holds. The table tracks the state of each flow's request and the flows that may have
// ended with an earlier start of the target.
//
// Callers use their ports again, so a flow is identified by its two ends and the caller's initial sequence number. A
// SYN with another number is either that of a later flow, however the present one ended, or a late copy of the SYN of
// an earlier one. The table cannot tell these apart, so such a SYN ends no flow that is not over by evidence: only the
// target's answer to it does.
//
// Memory: about 180 bytes per flow, at most `maxFlows` flows. Cost: O(1) per packet, O(flows) for onNewStart() and
// expire().
#pragma once

#include "core/clock.h"
#include "steering/flow_packet.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>

namespace cicadaward::steering {

struct TargetFlow {
    Time opened;
    Time connectStart; // time of the caller's first SYN, from FlowPacket::age
    Time lastPacket;
    Endpoint entryToNotify; // entry that awaits a Located frame; port 0: none
    bool synForwarded = false; // the SYN was forwarded to the target
    bool answered = false; // the target has sent a packet of the flow
    bool seenFromTarget = false; // this process has received a packet of the flow from the target
    // The caller uses this target: it has acknowledged the target's SYN-ACK, or the target has sent a packet other than
    // a SYN-ACK.
    bool established = false;
    bool hasTargetIsn = false; // targetIsn is known
    bool hasRequestEnd = false; // requestEnd is known
    bool isRequestQueued = false; // a request of the flow is in the RequestQueue
    bool isRequestInFlight = false; // a request was forwarded and its answer has not begun
    bool isRequestUnanswered = false; // the newest request had no answer in time; the answer may still come
    bool isBodyArriving = false; // data of a request was forwarded whose body has not ended, see RequestGate
    bool hasRequest = false; // a request of the flow, or the beginning of its body, has arrived
    bool hasServedRequest = false; // a request of the flow was answered within its limit
    bool callerClosed = false;
    bool targetClosed = false;
    bool mayHaveEnded = false; // was established when another start of the target was registered
    bool targetEnded = false; // the target has bounced a packet of the flow, which it held before
    uint32_t synMark = 0; // mark of the SYN that opened the flow; 0: not forwarded by this process
    bool hasCallerIsn = false; // callerIsn is known
    uint32_t callerIsn = 0; // initial sequence number of the caller
    bool hasPreviousIsn = false; // previousIsn is known
    uint32_t previousIsn = 0; // callerIsn of the flow between the same ends that this one replaced
    bool hasOtherIsn = false; // otherIsn is known
    uint32_t otherIsn = 0; // of the newest SYN that is not this flow's
    bool isOtherPending = false; // that SYN was forwarded to the target, which has not decided on it
    uint32_t otherSynMark = 0; // its mark, valid when isOtherPending
    Time otherForwarded; // valid when isOtherPending
    uint32_t targetIsn = 0; // initial sequence number of the target, from its SYN-ACK
    uint32_t answerEnd
        = 0; // sequence number after the newest data of the target; valid when established or mayHaveEnded
    bool hasTargetAck = false; // targetAck is known
    uint32_t targetAck = 0; // newest acknowledgement of the target
    uint32_t requestEnd = 0; // sequence number after the newest caller data that was seen or acknowledged
    Time requestForwarded; // time at which the newest request was forwarded
    // The target can work on the newest request from here on: requestForwarded, or later the arrival of the newest
    // packet that filled a gap of the request's body.
    Time serviceStart;
    Time bodyStart; // when isBodyArriving: first packet of the request, or the connect of the flow's first request
    Time requestDeadline = Time::max(); // the caller of the newest request gives up; known for bodies only

    bool isClosing() const { return callerClosed || targetClosed; }
    bool isClosed() const { return callerClosed && targetClosed; }
    // True when the flow has ended, or its target never answered.
    bool isOver() const { return isClosed() || targetEnded || (synForwarded && !answered); }
    bool isOpenedBy(const FlowPacket& syn) const { return hasCallerIsn && syn.sequence == callerIsn; }
    // True for a copy of a SYN that has opened a flow which has ended since.
    bool isEndedCopy(const FlowPacket& syn) const;
    // Remembers a SYN that is not this flow's, so that isOwn() excludes the packets that follow it.
    void noteOther(const FlowPacket& syn);
    // True when the target's SYN-ACK answers the SYN of noteOther(): the target holds that flow in place of this one.
    bool isReplacedBy(const FlowPacket& synAck) const;
    // False when the caller's packet is certainly not one of this flow, but of another one between the same ends.
    bool isOwn(const FlowPacket&) const;
    // True when the caller's packet or SYN is certainly not one of this flow.
    bool isOther(const FlowPacket&) const;
    // True when the target's packet is a late one of the flow that this one replaced.
    bool isAnswerToPrevious(const FlowPacket&) const;
    // True when the target's packet shows that the target, which has not answered this flow's SYN, holds another flow
    // between the same ends.
    bool isContradictedBy(const FlowPacket&) const;
    // True when the caller's packet is a late one of the flow that this one replaced.
    bool isOfPrevious(const FlowPacket&) const;
    // Updates requestEnd from a packet with data of the caller. Returns false for repeated data.
    bool recordCallerData(const FlowPacket&);
    void recordSynAck(const FlowPacket&);
    // True when the caller's packet acknowledges the SYN-ACK of this target. Several targets may have answered copies
    // of one SYN; their random initial sequence numbers tell the answers apart.
    bool isAckOfSynAck(const FlowPacket&) const;
    // Updates requestEnd from a packet of the target: it has received the caller's data up to the acknowledged number.
    void recordTargetAck(const FlowPacket&);
    // True when the caller's packet acknowledges data of this target. Initial sequence numbers are random, so a packet
    // of a later flow between the same ends does not.
    bool isAckOfAnswer(const FlowPacket&) const;
    // True when the target is known not to have acknowledged the caller's data up to this sequence number.
    bool isUnacknowledged(uint32_t end) const;
    // Updates answerEnd from a packet of the target.
    void recordTargetData(const FlowPacket&);
    // True when the target's packet does not follow the target's data that was seen: it has overtaken other packets.
    bool hasOvertakenData(const FlowPacket&) const;
    // True when the target's packet ends the flow after the target has received all data of the caller, and no data of
    // the target is on its way.
    bool isEndWithoutAnswer(const FlowPacket&) const;
};

class TargetFlows {
public:
    explicit TargetFlows(size_t maxFlows)
        : m_maxFlows(maxFlows)
    {
    }

    TargetFlow* find(const FlowId&);
    const TargetFlow* find(const FlowId&) const;
    // Returns null when the table is full.
    TargetFlow* add(const FlowId&, Time now);
    // Adds a flow with the initial sequence number `callerIsn` whose SYN is forwarded, in place of an earlier entry
    // with the same id. Returns null when the table is full.
    TargetFlow* replace(const FlowId&, uint32_t callerIsn, Time now);
    void erase(const FlowId&);
    void clear();
    // Sets `end`, which is &TargetFlow::callerClosed or &TargetFlow::targetClosed.
    void markClosed(TargetFlow&, bool TargetFlow::*end);
    // Handles another start of the target. Only the target can tell which flows it holds, so none is erased. A flow
    // that is not established may be open at another target, since copies of its SYN may have reached several.
    void onNewStart();
    // Erases each flow that was idle for `idleLimit`, or for `closedRetention` when both ends have closed it or the
    // target never answered. Calls `onExpired` for each before it is erased.
    template <typename Ended> void expire(Time now, Duration idleLimit, Duration closedRetention, Ended onExpired);
    // Calls `visit` with the id and a reference to each flow, in no particular order.
    template <typename Visit> void forEach(Visit visit);

    // Includes closing flows; openCount() does not.
    size_t size() const { return m_flows.size(); }
    bool isFull() const { return m_flows.size() >= m_maxFlows; }
    size_t openCount() const { return m_flows.size() - m_closingCount; }

private:
    static bool isExpired(const TargetFlow&, Time now, Duration idleLimit, Duration closedRetention);

    const size_t m_maxFlows;
    absl::flat_hash_map<FlowId, TargetFlow> m_flows;
    size_t m_closingCount = 0; // flows that at least one end has closed
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
