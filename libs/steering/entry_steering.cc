// New flows go to members in rendezvous order; packets of known flows go straight to their agent; everything else is
// searched (FlowSearches). A caller that repeats its data has not been heard, so its flow is searched too, beginning at
// the agent that is known.
#include "steering/entry_steering.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // Members that a new flow may try. More would keep a caller waiting beyond its latency objective.
    constexpr size_t offerMembers = 8;
    // Bounds the bookkeeping of unanswered offers; older ones are forgotten without a strike.
    constexpr size_t maxPendingOffers = 4096;
    constexpr size_t maxDenied = 4096;
    // A denial that has not been confirmed by then is dropped; a repeated packet starts anew.
    constexpr Duration confirmationLimit = std::chrono::seconds(1);
    constexpr Duration expiryInterval = std::chrono::seconds(1);
    constexpr Duration defaultIdleLimit = std::chrono::seconds(15);

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
    , m_early(options.early, clock)
    , m_lastExpiry(clock.now())
{
}

void EntrySteering::setState(RouteTable routes, std::set<std::string> evacuated)
{
    m_routes = std::move(routes);
    m_evacuated = std::move(evacuated);
}

void EntrySteering::onCallerPacket(const uint8_t* data, size_t size)
{
    std::optional<FlowPacket> packet = m_format.decode(data, size, Direction::FromCaller);
    if (!packet || packet->bounced) {
        m_observer.decided(Decision::Malformed, {}, {});
        return;
    }
    // A SYN does not wait: by then a copy may have opened the flow by way of another entry, and the target that took it
    // may be draining.
    if (!packet->syn && !isReady() && m_early.add(data, size)) {
        m_observer.decided(Decision::Waiting, packet->flow, { {}, "no state yet", m_routes.version() });
        return;
    }
    steer(*packet, data, size);
}

void EntrySteering::steer(const FlowPacket& packet, const uint8_t* data, size_t size)
{
    if (packet.syn)
        onOpen(packet, data, size);
    else
        onData(packet, data, size);
}

void EntrySteering::steerEarlyPackets()
{
    for (const std::vector<uint8_t>& bytes : isReady() ? m_early.takeAll() : m_early.takeOverdue()) {
        if (std::optional<FlowPacket> packet = m_format.decode(bytes.data(), bytes.size(), Direction::FromCaller))
            steer(*packet, bytes.data(), bytes.size());
    }
}

void EntrySteering::onOpen(const FlowPacket& packet, const uint8_t* data, size_t size)
{
    const Route* route = m_routes.find(packet.flow.service);
    if (!route) {
        m_observer.decided(Decision::NoRoute, packet.flow, { {}, "no route for the address", m_routes.version() });
        return;
    }
    uint64_t hash = packet.flow.hash();
    ServiceKey service = route->draw(hash);
    std::vector<Endpoint> candidates = m_members.forNewFlow(hash, service, m_evacuated, offerMembers);
    if (candidates.empty() && !m_members.knowsService(service)) {
        m_observer.decided(Decision::Unready, packet.flow, { {}, "no member is known yet", m_routes.version() });
        return;
    }
    if (candidates.empty()) {
        refuse(packet, "no ready member");
        return;
    }
    // Copies start at the next member, so one agent that is gone does not swallow all of them.
    std::rotate(candidates.begin(), candidates.begin() + packet.copy % candidates.size(), candidates.end());
    Frame frame;
    frame.kind = FrameKind::Offer;
    frame.compare = packet.copy == 0 && candidates.size() > 1;
    frame.next = 1;
    frame.service = service;
    frame.entry = m_options.self;
    Position* known = position(packet.flow);
    if (known && packet.copy == 0)
        known->offered = m_clock.now();
    if (known && known->agent.port != 0) {
        frame.members.push_back(known->agent);
        frame.compare = false;
    }
    m_searches.forget(packet.flow);
    frame.members.insert(frame.members.end(), candidates.begin(), candidates.end());
    Endpoint second = frame.members.size() > 1 ? frame.members[1] : Endpoint();
    if (m_offers.size() < maxPendingOffers)
        m_offers.push_back({ packet.flow, frame.members[0], frame.compare ? second : Endpoint(), m_clock.now() });
    send(frame.members[0], frame, data, size);
    m_observer.decided(Decision::Offered, packet.flow, { frame.members[0], "", m_routes.version() });
}

void EntrySteering::onData(const FlowPacket& packet, const uint8_t* data, size_t size)
{
    Position* known = position(packet.flow);
    if (!known) {
        m_observer.decided(Decision::TableFull, packet.flow, {});
        return;
    }
    known->lastPacket = m_clock.now();
    known->closing = known->closing || packet.fin || packet.reset;
    bool isRepeat = known->noteRepeat(packet);
    const MemberRecord* member = known->agent.port != 0 ? m_members.find(known->agent) : nullptr;
    if (member && member->state == TargetState::Departed) {
        known->agent = {};
        m_searches.forget(packet.flow);
    }
    if (known->agent.port == 0 || isRepeat || m_searches.isSearched(packet.flow)) {
        search(packet, known->agent, data, size);
        return;
    }
    Frame frame;
    frame.service = member ? member->service : ServiceKey();
    frame.entry = m_options.self;
    frame.next = 1;
    frame.members.push_back(known->agent);
    send(known->agent, frame, data, size);
}

bool EntrySteering::Position::noteRepeat(const FlowPacket& packet)
{
    if (packet.length == 0)
        return false;
    bool isRepeat = hasData && packet.sequence == lastData;
    hasData = true;
    lastData = packet.sequence;
    return isRepeat;
}

void EntrySteering::search(const FlowPacket& packet, Endpoint first, const uint8_t* data, size_t size)
{
    const Route* route = m_routes.find(packet.flow.service);
    if (!route) {
        m_observer.decided(Decision::NoRoute, packet.flow, { {}, "no route for the address", m_routes.version() });
        return;
    }
    bool isNew = !m_searches.isSearched(packet.flow);
    SearchStep step = m_searches.next(packet.flow, *route, first);
    if (isNew && m_unanswered.size() < m_options.search.maxUnansweredPackets)
        m_unanswered.push_back({ packet.flow, m_clock.now(), { data, data + size } });
    if (step.isExhausted())
        m_observer.decided(Decision::NotHeld, packet.flow, { first, "no member to ask", m_routes.version() });
    send(step, packet, data, size);
}

void EntrySteering::send(const SearchStep& step, const FlowPacket& packet, const uint8_t* data, size_t size)
{
    if (!step.walk.empty()) {
        Frame frame;
        frame.entry = m_options.self;
        frame.next = 1;
        frame.members.assign(step.walk.begin(), step.walk.end());
        send(step.walk[0], frame, data, size);
        m_observer.decided(Decision::Searched, packet.flow, { step.walk[0], "", m_routes.version() });
    }
    for (Endpoint agent : step.probes)
        sendProbe(agent, FrameKind::Probe, { agent }, data, size);
    for (const SearchStep::Group& group : step.groups)
        sendProbe(group.via, FrameKind::Spread, group.members, data, size);
    if (step.isBroadcast)
        m_observer.decided(Decision::Broadcast, packet.flow, { {}, "no answer to the search", m_routes.version() });
}

void EntrySteering::sendProbe(
    Endpoint agent, FrameKind kind, const std::vector<Endpoint>& members, const uint8_t* data, size_t size)
{
    Frame frame;
    frame.kind = kind;
    frame.entry = m_options.self;
    frame.next = kind == FrameKind::Probe ? 1 : 0;
    frame.members.assign(members.begin(), members.end());
    send(agent, frame, data, size);
}

void EntrySteering::onFrame(Endpoint sender, const uint8_t* data, size_t size)
{
    Frame frame;
    std::optional<size_t> head = decodeFrame(data, size, frame);
    if (!head) {
        m_observer.decided(Decision::Malformed, {}, { sender, "no frame" });
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
    m_members.confirm(sender);
    m_strikes.erase(sender);
    Position* known = position(flow);
    if (!known)
        return;
    if (std::optional<Duration> duration = m_searches.found(flow))
        m_observer.took(Latency::FlowFound, *duration);
    known->agent = sender;
    m_observer.decided(Decision::Located, flow, { sender, "", m_routes.version() });
}

void EntrySteering::onReturned(Endpoint sender, const Frame& frame, const uint8_t* data, size_t size)
{
    std::optional<FlowPacket> packet = m_format.decode(data, size, Direction::FromCaller);
    if (!packet)
        return;
    m_members.confirm(sender);
    m_strikes.erase(sender);
    if (packet->syn) {
        onUnavailable(sender, frame, *packet);
        return;
    }
    auto found = m_flows.find(packet->flow);
    const Route* route = m_routes.find(packet->flow.service);
    if (found == m_flows.end() || !route)
        return;
    if (found->second.agent == sender)
        found->second.agent = {};
    if (found->second.agent.port != 0)
        return; // it was found meanwhile
    SearchStep step
        = m_searches.denied(packet->flow, *route, { frame.members.begin(), frame.members.end() }, !frame.uncertain);
    if (step.isExhausted())
        onDenied(*packet, found->second);
    else
        send(step, *packet, data, size);
}

// No member of the list took the new flow.
void EntrySteering::onUnavailable(Endpoint sender, const Frame& frame, const FlowPacket& packet)
{
    if (frame.mayRecover) {
        m_observer.decided(Decision::Unready, packet.flow, { sender, "no member can decide yet", m_routes.version() });
        return;
    }
    auto found = m_flows.find(packet.flow);
    bool isInTime = found != m_flows.end() && m_clock.now() - found->second.offered < m_options.refusalLimit;
    if (isInTime)
        refuse(packet, "no member accepts");
    else
        m_observer.decided(Decision::Unready, packet.flow, { sender, "another copy may be open", m_routes.version() });
}

void EntrySteering::onDenied(const FlowPacket& packet, Position& position)
{
    std::vector<Endpoint> members = m_searches.take(packet.flow); // the next packet is searched anew
    const char* reason = members.empty() ? "a member is not certain" : "all members asked";
    m_observer.decided(Decision::NotHeld, packet.flow, { {}, reason, m_routes.version() });
    if (members.empty() || packet.reset || position.denied || m_denied.size() >= maxDenied)
        return;
    position.denied = true;
    m_denied.push_back({ packet.flow, packet.acknowledged, m_clock.now(), std::move(members) });
    m_output.confirmMembers();
}

void EntrySteering::onMembersConfirmed(Time asked)
{
    while (!m_denied.empty() && m_denied.front().at < asked) {
        Denied denied = std::move(m_denied.front());
        m_denied.pop_front();
        auto found = m_flows.find(denied.flow);
        if (found == m_flows.end())
            continue;
        found->second.denied = false;
        if (found->second.agent.port != 0 || !isComplete(denied))
            continue;
        found->second.closing = true;
        m_output.sendToCaller(denied.flow, m_format.reset(denied.flow, denied.acknowledged));
        m_observer.decided(Decision::Reset, denied.flow, { {}, "no target holds it", m_routes.version() });
    }
}

// True when every member that may hold a flow of the route has denied this one.
bool EntrySteering::isComplete(const Denied& denied) const
{
    const Route* route = m_routes.find(denied.flow.service);
    if (!route || route->former.size() >= maxFormerServices)
        return false; // services before the remembered ones may hold it
    uint64_t hash = denied.flow.hash();
    absl::flat_hash_set<Endpoint> members(denied.members.begin(), denied.members.end());
    return m_members.forOldFlow(hash, *route, route->draw(hash), 1, MemberOrder::ByFlow, &members).empty();
}

void EntrySteering::expireDenied()
{
    while (!m_denied.empty() && m_clock.now() - m_denied.front().at > confirmationLimit) {
        auto found = m_flows.find(m_denied.front().flow);
        if (found != m_flows.end())
            found->second.denied = false;
        m_denied.pop_front();
    }
    if (!m_denied.empty())
        m_output.confirmMembers();
}

// A reset ends the attempt at once, so the caller can try again while its objective can still be met. It is sent for
// the first copy only: a later one may race with a target that accepted an earlier copy.
void EntrySteering::refuse(const FlowPacket& packet, const char* reason)
{
    m_observer.decided(Decision::Refused, packet.flow, { {}, reason, m_routes.version() });
    if (packet.copy == 0 && isReady())
        m_output.sendToCaller(packet.flow, m_format.reset(packet.flow, 0));
}

void EntrySteering::send(Endpoint agent, const Frame& frame, const uint8_t* packet, size_t size)
{
    encodeFrame(frame, packet, size, m_buffer);
    m_output.sendFrame(agent, m_buffer);
}

EntrySteering::Position* EntrySteering::position(const FlowId& flow)
{
    auto found = m_flows.find(flow);
    if (found != m_flows.end())
        return &found->second;
    if (m_flows.size() >= m_options.cacheEntries)
        return nullptr;
    Position& created = m_flows[flow];
    created.lastPacket = m_clock.now();
    return &created;
}

void EntrySteering::strike(Endpoint agent)
{
    if (agent.port == 0)
        return;
    uint8_t& strikes = m_strikes[agent];
    if (++strikes < m_options.strikes)
        return;
    strikes = m_options.strikes;
    m_members.suspect(agent, m_options.suspicion);
}

void EntrySteering::checkOffers()
{
    Time now = m_clock.now();
    while (!m_offers.empty() && now - m_offers.front().sent >= m_options.answerLimit) {
        const PendingOffer& offer = m_offers.front();
        auto found = m_flows.find(offer.flow);
        if (found == m_flows.end() || found->second.agent.port == 0) {
            strike(offer.first);
            strike(offer.second);
        }
        m_offers.pop_front();
    }
}

// Repeats packets whose walks have brought no answer. The callers would do so only after 200 ms.
void EntrySteering::checkSearches()
{
    while (!m_unanswered.empty() && m_clock.now() - m_unanswered.front().sent >= m_options.search.answerLimit) {
        Unanswered unanswered = std::move(m_unanswered.front());
        m_unanswered.pop_front();
        const std::vector<uint8_t>& bytes = unanswered.bytes;
        std::optional<FlowPacket> packet = m_format.decode(bytes.data(), bytes.size(), Direction::FromCaller);
        const Route* route = m_routes.find(unanswered.flow.service);
        if (packet && route)
            send(m_searches.repeat(unanswered.flow, *route, unanswered.sent), *packet, bytes.data(), bytes.size());
    }
}

void EntrySteering::onTick()
{
    steerEarlyPackets();
    checkOffers();
    checkSearches();
    expireDenied();
    if (m_clock.now() - m_lastExpiry >= expiryInterval)
        expire();
}

void EntrySteering::expire()
{
    m_lastExpiry = m_clock.now();
    Duration idle = m_routes.configuration().flowIdleLimit;
    if (idle == Duration::zero())
        idle = defaultIdleLimit;
    for (auto i = m_flows.begin(); i != m_flows.end();) {
        Duration limit = i->second.closing ? m_options.closedRetention : idle;
        if (m_lastExpiry - i->second.lastPacket > limit)
            m_flows.erase(i++);
        else
            ++i;
    }
    m_searches.expire();
    m_members.expire();
}

} // namespace cicadaward::steering
