#include "steering/target_flows.h"

namespace cicadaward::steering {

namespace {

    // An acknowledgement matches a SYN-ACK when it is less than this above the initial sequence number. A target that
    // has sent more has sent packets after its SYN-ACK, which establish the flow on their own.
    constexpr uint32_t synAckWindowBytes = 1 << 16;
    constexpr uint32_t answerWindowBytes = 1 << 16; // more than a target sends without an acknowledgement

    // Compares sequence numbers modulo 2^32.
    bool isAfter(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

} // namespace

bool TargetFlow::isEndedCopy(const FlowPacket& syn) const
{
    return (hasPreviousIsn && syn.sequence == previousIsn) || (isClosed() && isOpenedBy(syn));
}

void TargetFlow::noteOther(const FlowPacket& syn)
{
    isOtherPending = isOtherPending && syn.sequence == otherIsn;
    otherIsn = syn.sequence;
    hasOtherIsn = true;
}

bool TargetFlow::isReplacedBy(const FlowPacket& synAck) const
{
    if (!synAck.syn || !isOtherPending)
        return false;
    return synAck.acknowledged == otherIsn + 1 || (hasTargetIsn && synAck.sequence != targetIsn);
}

// Sequence numbers are compared modulo 2^32. Initial numbers that lie closer together than the window are told apart by
// otherIsn.
bool TargetFlow::isOwn(const FlowPacket& packet) const
{
    // Without the initial number only the target tells which flow it holds: packets that were tried prove nothing.
    if (!hasCallerIsn) {
        bool isOfOther = hasOtherIsn && !isAfter(targetAck, otherIsn) && packet.sequence - otherIsn < callerWindowBytes;
        return !hasTargetAck || (areSequencesNear(packet.sequence, targetAck) && !isOfOther);
    }
    uint32_t offset = packet.sequence - callerIsn;
    if (hasOtherIsn && packet.sequence - otherIsn < offset)
        return false;
    uint32_t sentBytes = hasRequestEnd ? requestEnd - callerIsn : 0;
    return offset < sentBytes + callerWindowBytes;
}

bool TargetFlow::isOther(const FlowPacket& packet) const
{
    if (!packet.syn)
        return !isOwn(packet);
    return hasCallerIsn ? packet.sequence != callerIsn : hasTargetAck && !isAfter(targetAck, packet.sequence);
}

bool TargetFlow::isAnswerToPrevious(const FlowPacket& packet) const
{
    return !packet.syn && packet.ack && hasPreviousIsn && !areSequencesNear(packet.acknowledged, callerIsn)
        && packet.acknowledged - previousIsn < callerWindowBytes;
}

bool TargetFlow::isContradictedBy(const FlowPacket& packet) const
{
    return hasCallerIsn && !answered && packet.ack && !packet.reset
        && !areSequencesNear(packet.acknowledged, callerIsn);
}

bool TargetFlow::isOfPrevious(const FlowPacket& packet) const
{
    return hasPreviousIsn && packet.sequence - previousIsn < callerWindowBytes;
}

bool TargetFlow::recordCallerData(const FlowPacket& packet)
{
    uint32_t end = packet.sequence + packet.length;
    bool isNew = !hasRequestEnd || isAfter(end, requestEnd);
    if (isNew)
        requestEnd = end;
    hasRequestEnd = true;
    return isNew;
}

void TargetFlow::recordSynAck(const FlowPacket& packet)
{
    targetIsn = packet.sequence;
    hasTargetIsn = true;
}

bool TargetFlow::isAckOfSynAck(const FlowPacket& packet) const
{
    return hasTargetIsn && packet.ack && packet.acknowledged - targetIsn < synAckWindowBytes;
}

bool TargetFlow::isAckOfAnswer(const FlowPacket& packet) const
{
    return packet.ack && answerEnd - packet.acknowledged < answerWindowBytes;
}

void TargetFlow::recordTargetAck(const FlowPacket& packet)
{
    if (!packet.ack)
        return;
    bool isNewest = !hasTargetAck || packet.syn || isAfter(packet.acknowledged, targetAck);
    hasTargetAck = true;
    targetAck = isNewest ? packet.acknowledged : targetAck;
    // A late packet of an earlier flow may have set requestEnd.
    bool isRequestOwn = hasRequestEnd && areSequencesNear(requestEnd, packet.acknowledged);
    if (isRequestOwn && !isAfter(packet.acknowledged, requestEnd))
        return;
    requestEnd = packet.acknowledged;
    hasRequestEnd = true;
}

bool TargetFlow::isUnacknowledged(uint32_t end) const { return hasTargetAck && isAfter(end, targetAck); }

void TargetFlow::recordTargetData(const FlowPacket& packet)
{
    uint32_t end = packet.sequence + packet.length + (packet.syn ? 1 : 0);
    bool hasData = packet.length > 0 || packet.syn;
    if (!seenFromTarget || (hasData && isAfter(end, answerEnd)))
        answerEnd = end;
}

bool TargetFlow::hasOvertakenData(const FlowPacket& packet) const
{
    return seenFromTarget && isAfter(packet.sequence, answerEnd);
}

bool TargetFlow::isEndWithoutAnswer(const FlowPacket& packet) const
{
    bool isComplete = packet.ack && hasRequestEnd && !isAfter(requestEnd, packet.acknowledged);
    return (packet.fin || packet.reset) && isComplete && !hasOvertakenData(packet);
}

TargetFlow* TargetFlows::find(const FlowId& id)
{
    auto found = m_flows.find(id);
    return found == m_flows.end() ? nullptr : &found->second;
}

const TargetFlow* TargetFlows::find(const FlowId& id) const
{
    auto found = m_flows.find(id);
    return found == m_flows.end() ? nullptr : &found->second;
}

TargetFlow* TargetFlows::add(const FlowId& id, Time now)
{
    if (isFull())
        return nullptr;
    TargetFlow& flow = m_flows[id];
    flow.opened = flow.connectStart = flow.lastPacket = now;
    return &flow;
}

TargetFlow* TargetFlows::replace(const FlowId& id, uint32_t callerIsn, Time now)
{
    TargetFlow* previous = find(id);
    bool hasPreviousIsn = previous && previous->hasCallerIsn && previous->callerIsn != callerIsn;
    uint32_t previousIsn = hasPreviousIsn ? previous->callerIsn : 0;
    erase(id);
    TargetFlow* flow = add(id, now);
    if (!flow)
        return nullptr;
    flow->synForwarded = true;
    flow->hasCallerIsn = true;
    flow->callerIsn = callerIsn;
    flow->hasPreviousIsn = hasPreviousIsn;
    flow->previousIsn = previousIsn;
    return flow;
}

void TargetFlows::erase(const FlowId& id)
{
    auto found = m_flows.find(id);
    if (found == m_flows.end())
        return;
    m_closingCount -= found->second.isClosing() ? 1 : 0;
    m_flows.erase(found);
}

void TargetFlows::clear()
{
    m_flows.clear();
    m_closingCount = 0;
}

void TargetFlows::markClosed(TargetFlow& flow, bool TargetFlow::*end)
{
    m_closingCount += flow.isClosing() ? 0 : 1;
    flow.*end = true;
}

void TargetFlows::onNewStart()
{
    for (auto& [id, flow] : m_flows) {
        flow.mayHaveEnded = flow.mayHaveEnded || flow.established;
        flow.established = flow.seenFromTarget = flow.hasTargetIsn = flow.synForwarded = false;
        flow.isOtherPending = false;
        flow.isRequestQueued = flow.isRequestInFlight = flow.isRequestUnanswered = flow.isBodyArriving = false;
    }
}

bool TargetFlows::isExpired(const TargetFlow& flow, Time now, Duration idleLimit, Duration closedRetention)
{
    Duration idleTime = now - flow.lastPacket;
    return ((flow.isClosed() || !flow.answered) && idleTime > closedRetention) || idleTime > idleLimit;
}

} // namespace cicadaward::steering
