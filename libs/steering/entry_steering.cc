// Packets of cached flows go directly to their agent. All other flows are searched for (FlowSearches). A caller that
// retransmits data has had no answer, so its flow is searched for too, starting at the last known agent.
#include "steering/entry_steering.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr size_t maxDenied = 4096;
    // A denied flow is dropped from the list when the members are not confirmed within this time. The caller's
    // retransmission starts a new search.
    constexpr Duration confirmationTimeout = std::chrono::seconds(1);
    constexpr Duration expiryInterval = std::chrono::seconds(1);
    constexpr size_t probeHeaderBytes = 29; // a frame with one member, without its packet

} // namespace

EntrySteering::EntrySteering(EntryOptions options, const PacketFormat& format, const Clock& clock,
    DecisionObserver& observer, EntryOutput& output)
    : m_options(options)
    , m_format(format)
    , m_clock(clock)
    , m_observer(observer)
    , m_output(output)
    , m_members(clock)
    , m_searches(options.search, clock, m_members)
    , m_searchPacing(options.searchPacing, options.search, clock)
    , m_earlyPackets(options.earlyPackets, clock)
    , m_bulk(options.bulk, clock)
    , m_lastExpiry(clock.now())
{
}

void EntrySteering::setState(StateIndex state, RouteTable routes, std::set<std::string> evacuated)
{
    m_state = state;
    m_routes = std::move(routes);
    m_evacuated = std::move(evacuated);
    m_searchPacing.setEnabled(m_routes.hasBulkRoutes());
    m_searches.setFirstWalkTimeout(m_searchPacing.timeout());
    updateBulkRoutes();
    repeatOutdatedOffers();
}

void EntrySteering::onCallerPacket(const uint8_t* data, size_t size)
{
    std::optional<FlowPacket> packet = m_format.decode(data, size, Direction::FromCaller);
    if (!packet || packet->bounced) {
        m_observer.onDecision(Decision::Malformed, {}, {});
        return;
    }
    // A SYN is not held: meanwhile its retransmission may open the flow through another entry, and the target that
    // accepted it may be draining.
    if (!packet->syn && !isReady() && m_earlyPackets.add(data, size)) {
        m_observer.onDecision(Decision::Waiting, packet->flow, { {}, "no state yet", m_routes.version() });
        return;
    }
    steer(*packet, data, size);
}

void EntrySteering::steer(const FlowPacket& packet, const uint8_t* data, size_t size)
{
    m_searches.setLinkBusy(m_bulk.isLinkBusy());
    if (packet.syn)
        onSyn(packet, data, size);
    else
        onNonSyn(packet, data, size);
    offerAdmittedBulk();
}

void EntrySteering::steerEarlyPackets()
{
    for (const std::vector<uint8_t>& bytes : isReady() ? m_earlyPackets.takeAll() : m_earlyPackets.takeOverdue()) {
        if (std::optional<FlowPacket> packet = m_format.decode(bytes.data(), bytes.size(), Direction::FromCaller))
            steer(*packet, bytes.data(), bytes.size());
    }
}

void EntrySteering::onNonSyn(const FlowPacket& packet, const uint8_t* data, size_t size)
{
    CachedFlow* cachedFlow = findOrAddFlow(packet.flow);
    if (!cachedFlow) {
        m_observer.onDecision(Decision::TableFull, packet.flow, {});
        return;
    }
    cachedFlow->lastPacket = m_clock.now();
    cachedFlow->isClosing = cachedFlow->isClosing || cachedFlow->isEnd(packet);
    bool isRetransmission = cachedFlow->recordData(packet);
    recordTraffic(packet, size, cachedFlow->isClosing);
    const MemberRecord* member = cachedFlow->agent.port != 0 ? m_members.find(cachedFlow->agent) : nullptr;
    if (member && member->state == TargetState::Departed) {
        cachedFlow->agent = {};
        m_searches.cancel(packet.flow);
    }
    if (cachedFlow->agent.port == 0 || isRetransmission || m_searches.hasSearch(packet.flow)) {
        search(packet, *cachedFlow, data, size);
        return;
    }
    Frame frame;
    frame.service = member ? member->service : ServiceKey();
    frame.entry = m_options.self;
    frame.nextPosition = 1;
    frame.members.push_back(cachedFlow->agent);
    send(cachedFlow->agent, frame, data, size);
}

bool EntrySteering::CachedFlow::recordData(const FlowPacket& packet)
{
    if (packet.length == 0)
        return false;
    bool isRetransmission = hasData && packet.sequence == lastDataSequence;
    hasData = true;
    lastDataSequence = packet.sequence;
    return isRetransmission;
}

bool EntrySteering::CachedFlow::isEnd(const FlowPacket& packet) const
{
    return packet.fin || (packet.reset && (!hasData || areSequencesNear(packet.sequence, lastDataSequence)));
}

// What members say about a packet of another flow between the same ends does not apply to this one.
void EntrySteering::search(const FlowPacket& packet, CachedFlow& cachedFlow, const uint8_t* data, size_t size)
{
    const Route* route = m_routes.find(packet.flow.service);
    if (!route) {
        m_observer.onDecision(Decision::NoRoute, packet.flow, { {}, "no route for the address", m_routes.version() });
        return;
    }
    if (m_searches.hasSearch(packet.flow) && !areSequencesNear(packet.sequence, cachedFlow.searchSequence))
        m_searches.cancel(packet.flow);
    bool isNew = !m_searches.hasSearch(packet.flow);
    if (isNew)
        cachedFlow.searchSequence = packet.sequence;
    SearchStep step = m_searches.nextStep(packet.flow, *route, cachedFlow.agent);
    if (isNew && m_unansweredPackets.size() < m_options.search.maxUnansweredPackets)
        m_unansweredPackets.push_back({ packet.flow, m_clock.now(), { data, data + size } });
    if (step.isEmpty())
        m_observer.onDecision(
            Decision::NotHeld, packet.flow, { cachedFlow.agent, "no member to ask", m_routes.version() });
    bool isWalk = !step.walk.empty();
    send(std::move(step), isWalk ? 0 : 1, packet, data, size);
}

void EntrySteering::send(SearchStep step, size_t freeProbes, const FlowPacket& packet, const uint8_t* data, size_t size)
{
    m_searchPacing.limit(step, probeHeaderBytes + size, freeProbes);
    if (!step.walk.empty()) {
        Frame frame;
        frame.entry = m_options.self;
        frame.nextPosition = 1;
        frame.members.assign(step.walk.begin(), step.walk.end());
        frame.mayTry = step.located.port == 0;
        send(step.walk[0], frame, data, size);
        m_observer.onDecision(Decision::Searched, packet.flow, { step.walk[0], "", m_routes.version() });
    }
    bool isLocated = step.located.port != 0;
    for (Endpoint agent : step.probes)
        sendProbe(agent, FrameKind::Probe, { agent }, !isLocated || agent == step.located, data, size);
    for (const SearchStep::FanOutGroup& group : step.groups)
        sendProbe(group.forwarder, FrameKind::FanOut, group.members, !isLocated, data, size);
    if (step.isBroadcast)
        m_observer.onDecision(Decision::Broadcast, packet.flow, { {}, "no answer to the search", m_routes.version() });
}

void EntrySteering::sendProbe(
    Endpoint agent, FrameKind kind, const std::vector<Endpoint>& members, bool mayTry, const uint8_t* data, size_t size)
{
    Frame frame;
    frame.kind = kind;
    frame.mayTry = mayTry;
    frame.entry = m_options.self;
    frame.nextPosition = kind == FrameKind::Probe ? 1 : 0;
    frame.members.assign(members.begin(), members.end());
    send(agent, frame, data, size);
}

void EntrySteering::onFrame(Endpoint sender, const uint8_t* data, size_t size)
{
    Frame frame;
    std::optional<size_t> head = decodeFrame(data, size, frame);
    if (!head) {
        m_observer.onDecision(Decision::Malformed, {}, { sender, "no frame" });
        return;
    }
    if (frame.kind == FrameKind::Located) {
        if (std::optional<FlowId> flow = decodeFlow(data + *head, size - *head))
            onLocated(sender, *flow);
    } else if (frame.kind == FrameKind::Returned) {
        onReturned(sender, frame, data + *head, size - *head);
    }
}

void EntrySteering::onLocated(Endpoint sender, const FlowId& flow)
{
    m_members.markResponsive(sender);
    m_unansweredOffers.erase(sender);
    CachedFlow* cachedFlow = findOrAddFlow(flow);
    if (!cachedFlow)
        return;
    if (std::optional<Duration> duration = m_searches.onFlowFound(flow)) {
        m_observer.onLatency(Latency::FlowFound, *duration);
        m_searchPacing.onFound(*duration);
        m_searches.setFirstWalkTimeout(m_searchPacing.timeout());
    }
    cachedFlow->agent = sender;
    m_observer.onDecision(Decision::Located, flow, { sender, "", m_routes.version() });
}

void EntrySteering::onReturned(Endpoint sender, const Frame& frame, const uint8_t* data, size_t size)
{
    std::optional<FlowPacket> packet = m_format.decode(data, size, Direction::FromCaller);
    if (!packet)
        return;
    m_members.markResponsive(sender);
    m_unansweredOffers.erase(sender);
    if (packet->syn && frame.isOutdated) {
        onOfferOutdated(sender, frame, *packet, data, size);
        return;
    }
    if (packet->syn) {
        onOfferReturned(sender, frame, *packet);
        return;
    }
    auto found = m_flows.find(packet->flow);
    const Route* route = m_routes.find(packet->flow.service);
    if (found == m_flows.end() || !route)
        return;
    if (!m_searches.hasSearch(packet->flow))
        found->second.searchSequence = packet->sequence;
    if (!areSequencesNear(packet->sequence, found->second.searchSequence)) {
        const char* reason = "of another flow between its ends";
        m_observer.onDecision(Decision::NotHeld, packet->flow, { sender, reason, m_routes.version() });
        return;
    }
    bool hasLocatedDenied = !frame.members.empty() && found->second.agent == frame.members[0];
    if (found->second.agent == sender || hasLocatedDenied)
        found->second.agent = {};
    if (found->second.agent.port != 0)
        return; // another answer has located the flow
    std::vector<Endpoint> denied(frame.members.begin(), frame.members.end());
    if (!frame.mayTry && frame.isUncertain)
        denied.resize(1); // the others have not asked their targets
    SearchStep step = m_searches.onDenied(packet->flow, *route, denied, !frame.isUncertain);
    if (step.isEmpty())
        onAllMembersDenied(*packet, found->second);
    else
        send(std::move(step), 0, *packet, data, size);
}

void EntrySteering::onAllMembersDenied(const FlowPacket& packet, CachedFlow& cachedFlow)
{
    std::vector<Endpoint> members = m_searches.takeDenials(packet.flow); // the next packet starts a new search
    const char* reason = members.empty() ? "a member is not certain" : "all members asked";
    m_observer.onDecision(Decision::NotHeld, packet.flow, { {}, reason, m_routes.version() });
    if (members.empty() || packet.reset || cachedFlow.isAwaitingConfirmation || m_deniedFlows.size() >= maxDenied)
        return;
    cachedFlow.isAwaitingConfirmation = true;
    m_deniedFlows.push_back({ packet.flow, packet.acknowledged, m_clock.now(), std::move(members) });
    m_output.confirmMembers();
}

void EntrySteering::onMembersConfirmed(Time asked)
{
    while (!m_deniedFlows.empty() && m_deniedFlows.front().deniedAt < asked) {
        DeniedFlow denied = std::move(m_deniedFlows.front());
        m_deniedFlows.pop_front();
        auto found = m_flows.find(denied.flow);
        if (found == m_flows.end())
            continue;
        found->second.isAwaitingConfirmation = false;
        if (found->second.agent.port != 0 || !isDeniedByAllMembers(denied))
            continue;
        found->second.isClosing = true;
        m_bulk.onEnded(denied.flow);
        m_output.sendToCaller(denied.flow, m_format.reset(denied.flow, denied.acknowledged));
        m_observer.onDecision(Decision::Reset, denied.flow, { {}, "no target holds it", m_routes.version() });
    }
}

// True when every member that may hold a flow of the route is among those that denied this one.
bool EntrySteering::isDeniedByAllMembers(const DeniedFlow& denied) const
{
    const Route* route = m_routes.find(denied.flow.service);
    if (!route || route->formerServices.size() >= maxFormerServices)
        return false; // the list is full, so a service that dropped out of it may hold the flow
    uint64_t hash = denied.flow.hash();
    absl::flat_hash_set<Endpoint> members(denied.members.begin(), denied.members.end());
    return m_members
        .candidatesForExistingFlow(hash, *route, route->selectService(hash), 1, CandidateOrder::ByFlowHash, &members)
        .empty();
}

void EntrySteering::expireDeniedFlows()
{
    while (!m_deniedFlows.empty() && m_clock.now() - m_deniedFlows.front().deniedAt > confirmationTimeout) {
        auto found = m_flows.find(m_deniedFlows.front().flow);
        if (found != m_flows.end())
            found->second.isAwaitingConfirmation = false;
        m_deniedFlows.pop_front();
    }
    if (!m_deniedFlows.empty())
        m_output.confirmMembers();
}

void EntrySteering::send(Endpoint agent, const Frame& frame, const uint8_t* packet, size_t size)
{
    encodeFrame(frame, packet, size, m_buffer);
    m_output.sendFrame(agent, m_buffer);
}

EntrySteering::CachedFlow* EntrySteering::findOrAddFlow(const FlowId& flow)
{
    auto found = m_flows.find(flow);
    if (found != m_flows.end())
        return &found->second;
    if (m_flows.size() >= m_options.maxCachedFlows)
        return nullptr;
    CachedFlow& created = m_flows[flow];
    created.lastPacket = m_clock.now();
    return &created;
}

// Sends packets again whose walks were not answered. Callers would retransmit them only after 200 ms.
void EntrySteering::retryUnansweredPackets()
{
    while (!m_unansweredPackets.empty()
        && m_clock.now() - m_unansweredPackets.front().sent >= m_searches.firstWalkTimeout()) {
        UnansweredPacket unanswered = std::move(m_unansweredPackets.front());
        m_unansweredPackets.pop_front();
        const std::vector<uint8_t>& bytes = unanswered.bytes;
        std::optional<FlowPacket> packet = m_format.decode(bytes.data(), bytes.size(), Direction::FromCaller);
        const Route* route = m_routes.find(unanswered.flow.service);
        if (packet && route)
            send(
                m_searches.retryStep(unanswered.flow, *route, unanswered.sent), 0, *packet, bytes.data(), bytes.size());
    }
}

void EntrySteering::onTick()
{
    tickBulk();
    steerEarlyPackets();
    checkUnansweredOffers();
    retryUnansweredPackets();
    repeatOutdatedOffers();
    expireDeniedFlows();
    if (m_clock.now() - m_lastExpiry >= expiryInterval)
        expire();
}

void EntrySteering::expire()
{
    m_lastExpiry = m_clock.now();
    Duration idle = m_routes.flowIdleLimit();
    for (auto i = m_flows.begin(); i != m_flows.end();) {
        Duration limit = i->second.isClosing ? m_options.closedRetention : idle;
        if (m_lastExpiry - i->second.lastPacket > limit)
            m_flows.erase(i++);
        else
            ++i;
    }
    m_searches.expire();
    m_members.expire();
}

} // namespace cicadaward::steering
