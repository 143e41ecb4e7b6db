// The part of AgentSteering for flows that survive this process in records: which flows are open, and the resets of
// those that ended with an earlier start of the target.
#include "steering/agent_steering.h"

namespace cicadaward::steering {

namespace {

    constexpr auto unsafeReuseRetention = std::chrono::seconds(60); // of hasReusedUnsafeFlows()
    // A heartbeat whose time of birth is further in the future is not of a target on the same instance.
    constexpr auto maxBirthLead = std::chrono::milliseconds(1000);

} // namespace

std::optional<TargetStart> AgentSteering::targetStart() const
{
    const std::optional<Heartbeat>& registered = m_registration.lastHeartbeat();
    const Heartbeat* heartbeat = registered ? &*registered : nullptr;
    if (!heartbeat && m_unnamedHeartbeats.size() == 1)
        heartbeat = &m_unnamedHeartbeats.front().heartbeat;
    if (!heartbeat || m_registration.isContested())
        return std::nullopt;
    auto latestBirth = static_cast<uint64_t>((m_clock.wallTime() + maxBirthLead).count());
    if (heartbeat->startTimeMs == 0 || heartbeat->startTimeMs > latestBirth)
        return std::nullopt;
    return TargetStart { heartbeat->id, heartbeat->startTimeMs, heartbeat->service };
}

std::vector<OpenFlow> AgentSteering::openFlows(Duration minAge)
{
    std::vector<OpenFlow> flows;
    m_flows.forEach([&](const FlowId& id, const TargetFlow& flow) {
        bool isHeld = flow.established && flow.seenFromTarget && !flow.isClosing() && !flow.targetEnded;
        if (isHeld && m_clock.now() - flow.opened >= minAge)
            flows.push_back({ { id, flow.answerEnd }, flow.opened });
    });
    return flows;
}

// Call for the answer to a request, before the request is finished.
void AgentSteering::recordUnsafeReuse(const FlowId& id, const TargetFlow& flow)
{
    const Route* route = flow.hasServedRequest ? m_routes.find(id.service) : nullptr;
    if (route && !route->isIdempotent)
        m_unsafeReuse = m_clock.now();
}

bool AgentSteering::hasReusedUnsafeFlows() const
{
    return m_unsafeReuse && m_clock.now() - *m_unsafeReuse <= unsafeReuseRetention;
}

// A flow in the table that may have ended is one of the present start when it was opened after that start's birth: the
// agent registers a new start up to a heartbeat interval later, and its target takes flows meanwhile.
bool AgentSteering::mayBeHeld(const TargetFlow& flow, const EndedFlow& ended) const
{
    if (flow.targetEnded || flow.isClosed())
        return true; // has been reset, or needs none
    if (ended.opened && *ended.opened != flow.opened)
        return true;
    if (!flow.mayHaveEnded)
        return ended.opened || flow.answered || flow.synForwarded;
    auto born = std::chrono::milliseconds(static_cast<int64_t>(targetStart()->startTimeMs));
    return flow.opened >= m_clock.now() - (m_clock.wallTime() - born);
}

bool AgentSteering::resetEnded(const EndedFlow& ended)
{
    const FlowId& id = ended.recorded.flow;
    TargetFlow* flow = m_flows.find(id);
    if ((flow && mayBeHeld(*flow, ended)) || (!flow && ended.opened))
        return false;
    uint32_t acknowledged = ended.recorded.acknowledged;
    if (flow && flow->mayHaveEnded) {
        acknowledged = flow->answerEnd;
        m_requests.cancel(id, *flow);
        flow->mayHaveEnded = flow->established = false;
        flow->targetEnded = true;
    }
    std::vector<uint8_t> reset = m_format.reset(id, acknowledged);
    m_output.sendToCaller(id, reset.data(), reset.size());
    m_observer.onDecision(Decision::Reset, id, { {}, "recorded before its target ended", m_routes.version() });
    return true;
}

} // namespace cicadaward::steering
