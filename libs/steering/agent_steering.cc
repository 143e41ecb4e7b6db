// A packet of a flow that is not in the agent's table is forwarded to the target only when the agent cannot rule out
// that the target holds the flow.
#include "steering/agent_steering.h"

#include "core/hash.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr auto defaultRequestTimeout = std::chrono::seconds(5); // for routes without a timeout
    constexpr size_t maxUnnamedHeartbeats = 4;
    constexpr double loadScale = 100; // load() is in hundredths of a request per slot
    constexpr double workPerOpenFlow = 0.1; // requests
    constexpr Duration loadUnit = std::chrono::microseconds(100); // of loadAsTime()

} // namespace

std::optional<PlacementBy> placementNamed(const std::string& name)
{
    if (name == "auto")
        return PlacementBy::Auto;
    if (name == "requests")
        return PlacementBy::Requests;
    return name == "work" ? std::optional<PlacementBy>(PlacementBy::Work) : std::nullopt;
}

AgentSteering::AgentSteering(AgentOptions options, const PacketFormat& format, const Clock& clock,
    DecisionObserver& observer, AgentOutput& output)
    : m_options(std::move(options))
    , m_format(format)
    , m_clock(clock)
    , m_observer(observer)
    , m_output(output)
    , m_registration(clock, m_options.heartbeatTimeout)
    , m_admission(m_options.admission, clock)
    , m_requests(m_options.queue, clock)
    , m_outliers(m_options.outlier, clock)
    , m_lastTick(clock.now())
    , m_flows(m_options.maxFlows)
    , m_forwardedPackets(m_options.forwardedPacketSlots)
    , m_lastMark(static_cast<uint32_t>(mixHash(m_options.incarnation, m_options.self.key())))
    , m_lastExpiry(clock.now())
{
    m_record.agent = m_options.self;
    m_record.dataCentre = m_options.dataCentre;
    m_record.incarnation = m_options.incarnation;
    m_record.sequence = 1;
}

void AgentSteering::setState(StateIndex state, RouteTable routes, std::set<std::string> evacuated)
{
    m_state = state;
    bool wasEvacuated = m_evacuatedDataCentres.count(m_options.dataCentre) != 0;
    bool isEvacuated = evacuated.count(m_options.dataCentre) != 0;
    m_routes = std::move(routes);
    m_evacuatedDataCentres = std::move(evacuated);
    m_hasState = true;
    m_isByWork = m_options.placementBy == PlacementBy::Work
        || (m_options.placementBy == PlacementBy::Auto && m_routes.hasBulkRoutes());
    m_requests.setByWork(m_isByWork);
    takeNamed();
    if (!wasEvacuated || isEvacuated || !m_registration.lastHeartbeat())
        return;
    // The target may have become cold during the evacuation, and its next heartbeat may report that too late.
    if (const ServicePolicy* policy = m_routes.policy(m_registration.lastHeartbeat()->service))
        m_admission.startWarmUp(policy->warmUp);
}

HeartbeatResult AgentSteering::onHeartbeat(const Heartbeat& heartbeat)
{
    if (isNamed(heartbeat))
        return takeHeartbeat(heartbeat, m_registration.arrivalOf(heartbeat));
    keepUnnamed(heartbeat);
    return HeartbeatResult::UnknownService;
}

// The registered target is heard even after its service was removed: it may hold flows, and it may drain.
bool AgentSteering::isNamed(const Heartbeat& heartbeat) const
{
    const std::optional<Heartbeat>& registered = m_registration.lastHeartbeat();
    return (registered && registered->isSameStart(heartbeat))
        || (m_hasState && m_routes.policy(heartbeat.service) != nullptr);
}

void AgentSteering::keepUnnamed(const Heartbeat& heartbeat)
{
    auto found = std::find_if(m_unnamedHeartbeats.begin(), m_unnamedHeartbeats.end(),
        [&](const UnnamedHeartbeat& kept) { return kept.heartbeat.isSameStart(heartbeat); });
    if (found != m_unnamedHeartbeats.end() && found->heartbeat.sequence >= heartbeat.sequence)
        return;
    HeartbeatArrival arrival = m_registration.arrivalOf(heartbeat);
    if (found != m_unnamedHeartbeats.end()) {
        arrival.includesFirst = arrival.includesFirst || found->arrival.includesFirst;
        m_unnamedHeartbeats.erase(found);
    }
    if (m_unnamedHeartbeats.size() == maxUnnamedHeartbeats)
        m_unnamedHeartbeats.erase(m_unnamedHeartbeats.begin());
    m_unnamedHeartbeats.push_back({ heartbeat, arrival });
}

void AgentSteering::takeNamed()
{
    std::vector<UnnamedHeartbeat> kept;
    kept.swap(m_unnamedHeartbeats);
    for (const UnnamedHeartbeat& unnamed : kept) {
        if (m_clock.now() - unnamed.arrival.at > m_options.admission.maxHeartbeatAge)
            continue;
        if (isNamed(unnamed.heartbeat))
            takeHeartbeat(unnamed.heartbeat, unnamed.arrival);
        else
            m_unnamedHeartbeats.push_back(unnamed);
    }
}

HeartbeatResult AgentSteering::takeHeartbeat(const Heartbeat& heartbeat, HeartbeatArrival arrival)
{
    bool hadTarget = m_registration.lastHeartbeat().has_value();
    HeartbeatResult result = m_registration.onHeartbeat(heartbeat, arrival);
    if (result == HeartbeatResult::NewStart)
        onNewStart(hadTarget);
    if (result == HeartbeatResult::Unchanged || result == HeartbeatResult::Changed) {
        m_admission.onTargetActivity();
        m_requests.setSlots(heartbeat.slots);
    }
    return result;
}

void AgentSteering::onNewStart(bool hadTarget)
{
    m_hasUnannouncedStart = true;
    m_registeredStart = 0;
    m_hasUntrackedFlows = m_hasUntrackedFlows && !m_registration.hasEarlierStartEnded();
    m_admission.onTargetActivity();
    m_requests.setSlots(m_registration.lastHeartbeat()->slots);
    if (!hadTarget && !m_registration.hasSeenStart())
        return;
    m_flows.onNewStart();
    m_admission.reset();
    m_requests.reset();
    m_outliers.reset();
}

bool AgentSteering::onDeparture(const std::string& id)
{
    m_unnamedHeartbeats.erase(std::remove_if(m_unnamedHeartbeats.begin(), m_unnamedHeartbeats.end(),
                                  [&](const UnnamedHeartbeat& kept) { return kept.heartbeat.id == id; }),
        m_unnamedHeartbeats.end());
    return m_registration.onDeparture(id);
}

const MemberRecord& AgentSteering::record()
{
    TargetState state = m_registration.state();
    ServiceKey service = m_registration.lastHeartbeat() ? m_registration.lastHeartbeat()->service : ServiceKey();
    if (state != m_record.state || service != m_record.service || m_hasUnannouncedStart) {
        m_record.state = state;
        m_record.service = service;
        ++m_record.sequence;
        if (m_hasUnannouncedStart)
            m_record.targetStartSequence = m_record.sequence;
        m_hasUnannouncedStart = false;
    }
    return m_record;
}

void AgentSteering::onRegistered(uint64_t incarnation, uint64_t targetStartSequence)
{
    if (incarnation == m_record.incarnation && !m_hasUnannouncedStart)
        m_registeredStart = targetStartSequence;
}

void AgentSteering::raiseIncarnationAbove(uint64_t incarnation)
{
    if (incarnation <= m_record.incarnation)
        return;
    m_record.incarnation = incarnation + 1;
    m_registeredStart = 0;
}

uint16_t AgentSteering::load() const
{
    double slots = m_registration.lastHeartbeat() ? std::max(1U, m_registration.lastHeartbeat()->slots) : 1;
    double work
        = m_requests.load() + double(m_admission.unansweredSyns()) + workPerOpenFlow * double(m_flows.openCount());
    work += slots * m_outliers.recentFailures();
    return static_cast<uint16_t>(std::min(65535.0, loadScale * work / slots));
}

uint16_t AgentSteering::loadAsTime(Endpoint route) const
{
    const CostModel& costs = m_requests.costs();
    Duration failures = std::chrono::duration_cast<Duration>(
        m_outliers.recentFailures() * std::chrono::duration<double>(costs.mean()));
    return static_cast<uint16_t>(std::min<int64_t>(65535, (expectedWait() + costs.mean(route) + failures) / loadUnit));
}

Duration AgentSteering::expectedWait() const { return m_requests.expectedWait(m_flows); }

void AgentSteering::onFrame(Endpoint sender, uint8_t* data, size_t size)
{
    Frame frame;
    std::optional<size_t> head = decodeFrame(data, size, frame);
    if (!head || frame.kind == FrameKind::Returned || frame.kind == FrameKind::Located) {
        m_observer.onDecision(Decision::Malformed, {}, { sender, "no frame" });
        return;
    }
    uint8_t* packetData = data + *head;
    size_t packetSize = size - *head;
    std::optional<FlowPacket> packet = m_format.decode(packetData, packetSize, Direction::FromCaller);
    if (!packet || packet->bounced || packet->syn != (frame.kind == FrameKind::Offer)) {
        m_observer.onDecision(Decision::Malformed, {}, { sender, "no packet" });
        return;
    }
    if (frame.kind == FrameKind::Offer)
        onOffer(frame, *packet, packetData, packetSize);
    else if (frame.kind == FrameKind::FanOut)
        fanOut(frame, packetData, packetSize);
    else
        onDelivery(frame, *packet, packetData, packetSize);
}

// Sends the frame to the next member, or back to the entry after the last one.
void AgentSteering::passOn(Frame& frame, const FlowPacket& packet, const char* reason, const uint8_t* data, size_t size)
{
    if (frame.kind == FrameKind::Probe)
        return;
    Endpoint next = advanceToNextMember(frame);
    encodeFrame(frame, data, size, m_frameBuffer);
    m_output.sendFrame(next, m_frameBuffer);
    m_observer.onDecision(
        Decision::PassedOn, packet.flow, { next, reason, m_routes.version(), 0, m_state, frame.state });
}

bool AgentSteering::canTargetHold(const FlowId& flow) const
{
    const Route* route = m_routes.find(flow.service);
    if (!route || !m_registration.lastHeartbeat())
        return true;
    ServiceKey ownService = m_registration.lastHeartbeat()->service;
    bool current = std::any_of(route->services.begin(), route->services.end(),
        [&](const WeightedService& service) { return service.service == ownService; });
    return current
        || std::find(route->formerServices.begin(), route->formerServices.end(), ownService)
        != route->formerServices.end();
}

RequestPolicy AgentSteering::requestPolicyOf(const FlowId& flow) const
{
    const Route* route = m_routes.find(flow.service);
    if (!route)
        return { Duration::zero(), defaultRequestTimeout, 0, false };
    return { route->objective, route->timeout.count() > 0 ? route->timeout : defaultRequestTimeout, route->priority,
        route->hasBulkRequests };
}

void AgentSteering::onDelivery(Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    TargetFlow* flow = m_flows.find(packet.flow);
    if (!flow) {
        onUnknownFlow(frame, packet, data, size);
    } else if (!flow->isOwn(packet)) {
        onOtherFlow(*flow, frame, packet, data, size);
    } else if (flow->targetEnded) {
        std::vector<uint8_t> reset = m_format.reset(packet.flow, packet.acknowledged);
        m_output.sendToCaller(packet.flow, reset.data(), reset.size());
        m_observer.onDecision(Decision::Reset, packet.flow, { {}, "its target has ended", m_routes.version() });
    } else {
        onKnownFlow(*flow, frame, packet, data, size);
    }
}

// Sends a probe to each member of the frame, on behalf of an entry whose own link may not have the bandwidth for a copy
// to each.
void AgentSteering::fanOut(const Frame& frame, const uint8_t* data, size_t size)
{
    Frame probe;
    probe.kind = FrameKind::Probe;
    probe.entry = frame.entry;
    probe.nextPosition = 1;
    probe.mayTry = frame.mayTry;
    for (Endpoint member : frame.members) {
        probe.members.assign(1, member);
        encodeFrame(probe, data, size, m_frameBuffer);
        m_output.sendFrame(member, m_frameBuffer);
    }
}

// The packet is of a later flow, which another target may hold, or a late one of an earlier flow. The target must not
// get it, because that would look like a packet of the known flow.
void AgentSteering::onOtherFlow(
    const TargetFlow& known, Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    // A process that has started after its target knows nothing of an earlier flow of which the target gives no sign.
    if (!known.answered && !isKnownAbsent() && !known.isOfPrevious(packet)) {
        onUnknownFlow(frame, packet, data, size);
        return;
    }
    const char* reason = "of another flow between its ends";
    m_observer.onDecision(Decision::NotHeld, packet.flow, { frame.entry, reason, m_routes.version() });
    frame.isUncertain = frame.isUncertain || !known.isClosed(); // a reset would reach the caller of the known flow
    if (!known.isOfPrevious(packet))
        passOn(frame, packet, reason, data, size);
}

// True when the target holds no flow that is not in the table.
bool AgentSteering::isKnownAbsent() const
{
    bool knowsFlows = m_registration.hasSeenStart() || hasLearntFlows();
    return (knowsFlows && !m_hasUntrackedFlows) || m_registration.state() == TargetState::Departed;
}

// An open flow has a packet of its target within the idle limit, and all of these pass this process. A second such time
// is for flows that are still searched for at the end of the first one.
bool AgentSteering::hasLearntFlows() const
{
    return m_observed >= 2 * flowIdleLimit() && !m_registration.isContested();
}

void AgentSteering::onUnknownFlow(Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    bool isAbsent = isKnownAbsent() || m_tried.isDenied(packet, m_clock.now());
    if (isAbsent || !canTargetHold(packet.flow)) {
        // The routes of this agent may be older than the flow.
        frame.isUncertain = frame.isUncertain || !isAbsent;
        passOn(frame, packet, "not held", data, size);
        return;
    }
    bool isFirst = frame.kind == FrameKind::Deliver && frame.nextPosition == 1;
    if (!frame.mayTry && !isFirst) {
        frame.isUncertain = true;
        passOn(frame, packet, "not tried", data, size);
        return;
    }
    bool isOther = m_flows.find(packet.flow) != nullptr; // only the target tells whether it holds this one instead
    TargetFlow* flow = isOther ? nullptr : m_flows.add(packet.flow, m_clock.now());
    m_hasUntrackedFlows = m_hasUntrackedFlows || (!flow && !isOther);
    if (flow) {
        flow->entryToNotify = frame.entry;
        if (packet.length > 0)
            flow->recordCallerData(packet);
    }
    m_observer.onDecision(
        Decision::Tried, packet.flow, { frame.entry, "started after its target", m_routes.version() });
    if (flow)
        m_tried.add(packet, frame, data, size);
    forwardToTarget(frame, packet.flow, data, size);
}

void AgentSteering::onKnownFlow(TargetFlow& flow, Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    flow.lastPacket = m_clock.now();
    flow.established = flow.established || flow.isAckOfSynAck(packet);
    bool isSearch = frame.kind == FrameKind::Probe || frame.members.size() > 1;
    if (isSearch || !flow.answered)
        flow.entryToNotify = frame.entry;
    if (flow.established && isSearch)
        sendLocated(packet.flow, flow);
    if (isSearch) {
        if (std::optional<QueuedRequest> queued = m_requests.takeSearched(packet.flow, flow))
            forwardToTarget(*queued);
    }
    if (packet.fin || packet.reset)
        onCallerClosed(flow, packet);
    bool isQueued
        = packet.length > 0 && m_requests.queueIfBusy(flow, requestPolicyOf(packet.flow), frame, packet, data, size);
    if (!isQueued) {
        forwardToTarget(frame, packet.flow, data, size);
        return;
    }
    m_observer.onDecision(Decision::Waiting, packet.flow,
        { {}, "all slots are taken", m_routes.version(), static_cast<uint32_t>(m_requests.queuedCount()) });
}

// A caller that closes before the answer has given up. A reset ends both directions. A queued request is still
// forwarded unless the caller sent a reset, and the target ends it without processing it.
void AgentSteering::onCallerClosed(TargetFlow& flow, const FlowPacket& packet)
{
    m_flows.markClosed(flow, &TargetFlow::callerClosed);
    if (packet.reset)
        m_flows.markClosed(flow, &TargetFlow::targetClosed);
    std::optional<QueuedRequest> queued = m_requests.cancel(packet.flow, flow);
    if (queued && !packet.reset)
        forwardToTarget(*queued); // the target accepts the FIN only after the data before it
}

} // namespace cicadaward::steering
