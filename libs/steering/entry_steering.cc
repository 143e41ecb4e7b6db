// New flows go to members in rendezvous order; packets of known flows go straight to their agent; everything else is
// searched, first member by member in the likeliest order, then at all members at once.
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
    auto found = m_flows.find(packet.flow);
    if (found != m_flows.end() && found->second.agent.port != 0) {
        frame.members.push_back(found->second.agent);
        frame.compare = false;
    }
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
    Time now = m_clock.now();
    known->lastPacket = now;
    known->closing = known->closing || packet.fin || packet.reset;
    const MemberRecord* member = known->agent.port != 0 ? m_members.find(known->agent) : nullptr;
    if (member && member->state == TargetState::Departed) {
        known->agent = {};
        known->searched = false;
    }
    if (known->agent.port != 0) {
        Frame frame;
        frame.service = member ? member->service : ServiceKey();
        frame.entry = m_options.self;
        frame.next = 1;
        frame.members.push_back(known->agent);
        send(known->agent, frame, data, size);
        return;
    }
    bool overdue = known->searched && now - known->firstSearch >= m_options.searchLimit;
    if (overdue && now - known->lastBroadcast >= m_options.broadcastInterval)
        broadcast(packet, *known, data, size);
    else
        search(packet, *known, {}, data, size);
}

void EntrySteering::search(
    const FlowPacket& packet, Position& position, Endpoint last, const uint8_t* data, size_t size)
{
    const Route* route = m_routes.find(packet.flow.service);
    if (!route) {
        m_observer.decided(Decision::NoRoute, packet.flow, { {}, "no route for the address", m_routes.version() });
        return;
    }
    uint64_t hash = packet.flow.hash();
    std::vector<Endpoint> members = m_members.forOldFlow(hash, *route, route->draw(hash), maxFrameMembers);
    if (members.empty()) {
        m_observer.decided(Decision::NotHeld, packet.flow, { last, "no member to ask", m_routes.version() });
        return;
    }
    auto denying = std::find(members.begin(), members.end(), last);
    if (denying != members.end())
        std::rotate(denying, denying + 1, members.end());
    Frame frame;
    frame.entry = m_options.self;
    frame.next = 1;
    frame.members.assign(members.begin(), members.end());
    if (!position.searched)
        position.firstSearch = m_clock.now();
    position.searched = true;
    send(members[0], frame, data, size);
    m_observer.decided(Decision::Searched, packet.flow, { members[0], "", m_routes.version() });
}

void EntrySteering::broadcast(const FlowPacket& packet, Position& position, const uint8_t* data, size_t size)
{
    const Route* route = m_routes.find(packet.flow.service);
    if (!route)
        return;
    position.lastBroadcast = m_clock.now();
    uint64_t hash = packet.flow.hash();
    for (Endpoint member : m_members.forOldFlow(hash, *route, route->draw(hash), maxFrameMembers)) {
        Frame frame;
        frame.kind = FrameKind::Probe;
        frame.entry = m_options.self;
        frame.next = 1;
        frame.members.push_back(member);
        send(member, frame, data, size);
    }
    m_observer.decided(Decision::Broadcast, packet.flow, { {}, "no answer to the search", m_routes.version() });
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
    if (known->searched)
        m_observer.took(Latency::FlowFound, m_clock.now() - known->firstSearch);
    known->agent = sender;
    known->searched = false;
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
        if (frame.mayRecover)
            m_observer.decided(
                Decision::Unready, packet->flow, { sender, "no member can decide yet", m_routes.version() });
        else
            refuse(*packet, "no member accepts");
        return;
    }
    auto found = m_flows.find(packet->flow);
    if (found == m_flows.end())
        return;
    if (found->second.agent == sender)
        found->second.agent = {};
    // A packet that a known agent gave back has not been searched for yet.
    if (found->second.agent.port != 0)
        return;
    if (frame.members.size() == 1 && !found->second.searched)
        search(*packet, found->second, sender, data, size);
    else
        onDenied(*packet, frame, found->second);
}

void EntrySteering::onDenied(const FlowPacket& packet, const Frame& frame, Position& position)
{
    const char* reason = frame.uncertain ? "a member is not certain" : "all members asked";
    m_observer.decided(Decision::NotHeld, packet.flow, { {}, reason, m_routes.version() });
    position.searched = false; // the next packet is searched anew
    if (frame.uncertain || packet.reset || position.denied || m_denied.size() >= maxDenied)
        return;
    position.denied = true;
    m_denied.push_back({ packet.flow, packet.acknowledged, m_clock.now(),
        std::vector<Endpoint>(frame.members.begin(), frame.members.end()) });
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
    std::vector<Endpoint> members = m_members.forOldFlow(hash, *route, route->draw(hash), maxFrameMembers + 1);
    if (members.size() > maxFrameMembers)
        return false;
    return std::all_of(members.begin(), members.end(), [&](Endpoint member) {
        return std::find(denied.members.begin(), denied.members.end(), member) != denied.members.end();
    });
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

void EntrySteering::onTick()
{
    steerEarlyPackets();
    checkOffers();
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
    m_members.expire();
}

} // namespace cicadaward::steering
