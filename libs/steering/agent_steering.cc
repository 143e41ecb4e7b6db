// A new flow goes to the less loaded of two members; a member that may not take it passes it on. A packet of a flow
// that the agent has not seen goes to the target only when the agent cannot rule out that the target holds it.
#include "steering/agent_steering.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // Answers in a row that must be missing before the target counts as silent.
    constexpr unsigned silentOffers = 2;
    // A second of sent-and-arrived work may overlap two of ours by the way of a SYN, so the window is a little longer.
    constexpr Duration warmUpWindow = std::chrono::milliseconds(1100);
    constexpr Duration expiryInterval = std::chrono::seconds(1);
    constexpr Duration defaultIdleLimit = std::chrono::seconds(15);
    constexpr double hundredths = 100;
    constexpr double openFlowWork = 0.1;
    constexpr size_t maxUnanswered = 1024;

} // namespace

AgentSteering::AgentSteering(AgentOptions options, const PacketFormat& format, const Clock& clock,
    DecisionObserver& observer, AgentOutput& output)
    : m_options(std::move(options))
    , m_format(format)
    , m_clock(clock)
    , m_observer(observer)
    , m_output(output)
    , m_registration(clock, m_options.heartbeatSilence)
    , m_work(clock)
    , m_marked(m_options.bounceWindow)
    , m_lastExpiry(clock.now())
{
    m_record.agent = m_options.self;
    m_record.dataCentre = m_options.dataCentre;
    m_record.incarnation = m_options.incarnation;
    m_record.sequence = 1;
}

void AgentSteering::setState(RouteTable routes, std::set<std::string> evacuated)
{
    bool wasOut = m_evacuated.count(m_options.dataCentre) != 0;
    bool isOut = evacuated.count(m_options.dataCentre) != 0;
    m_routes = std::move(routes);
    m_evacuated = std::move(evacuated);
    m_hasState = true;
    if (!wasOut || isOut || !m_registration.target())
        return;
    // The target may have turned cold while it was out; its next heartbeat says so only later.
    if (const ServicePolicy* policy = m_routes.policy(m_registration.target()->service))
        m_evacuationColdUntil = m_clock.now() + policy->warmUp;
}

HeartbeatResult AgentSteering::onHeartbeat(const Heartbeat& heartbeat)
{
    bool knewTarget = m_registration.target().has_value();
    HeartbeatResult result = m_registration.onHeartbeat(heartbeat);
    if (result == HeartbeatResult::NewTarget) {
        m_newStart = true;
        m_registeredStart = 0;
        m_overflowed = false;
        if (m_registration.sawStart())
            loseFlows();
        else if (knewTarget)
            dropFlows();
    }
    if (result != HeartbeatResult::Outdated)
        m_unansweredInRow = 0;
    return result;
}

bool AgentSteering::onDeparture(const std::string& id) { return m_registration.onDeparture(id); }

// Only flows that were open at the ended target may be reset later. One that was merely offered, or whose SYN was
// answered by several targets, may be open at another.
void AgentSteering::loseFlows()
{
    for (auto i = m_flows.begin(); i != m_flows.end();) {
        Flow& flow = i->second;
        if (flow.established) {
            flow.lost = true;
            flow.working = false;
            ++i;
            continue;
        }
        if (flow.callerClosed || flow.targetClosed)
            --m_closing;
        m_flows.erase(i++);
    }
    m_unanswered.clear();
    m_unconfirmed.clear();
    m_work.reset();
}

// Some of the flows may belong to the new start, whose first heartbeat did not come to this process: the target shows
// which ones it holds.
void AgentSteering::dropFlows()
{
    m_flows.clear();
    m_closing = 0;
    m_unanswered.clear();
    m_unconfirmed.clear();
    m_work.reset();
}

const MemberRecord& AgentSteering::record()
{
    TargetState state = m_registration.state();
    ServiceKey service = m_registration.target() ? m_registration.target()->service : ServiceKey();
    if (state != m_record.state || service != m_record.service || m_newStart) {
        m_record.state = state;
        m_record.service = service;
        ++m_record.sequence;
        if (m_newStart)
            m_record.targetStart = m_record.sequence;
        m_newStart = false;
    }
    return m_record;
}

void AgentSteering::onRegistered(uint64_t incarnation, uint64_t targetStart)
{
    if (incarnation == m_record.incarnation && !m_newStart)
        m_registeredStart = targetStart;
}

void AgentSteering::outlive(uint64_t incarnation)
{
    if (incarnation <= m_record.incarnation)
        return;
    m_record.incarnation = incarnation + 1;
    m_registeredStart = 0;
}

uint16_t AgentSteering::load() const
{
    double slots = m_registration.target() ? std::max(1U, m_registration.target()->slots) : 1;
    double work = m_work.inHand() + double(m_unanswered.size()) + m_work.mean()
        + openFlowWork * double(m_flows.size() - m_closing);
    return static_cast<uint16_t>(std::min(65535.0, hundredths * work / slots));
}

void AgentSteering::onFrame(Endpoint sender, uint8_t* data, size_t size)
{
    Frame frame;
    std::optional<size_t> head = decodeFrame(data, size, frame);
    if (!head || frame.kind == FrameKind::Returned || frame.kind == FrameKind::Located) {
        m_observer.decided(Decision::Malformed, {}, { sender, "no frame" });
        return;
    }
    uint8_t* packetData = data + *head;
    size_t packetSize = size - *head;
    std::optional<FlowPacket> packet = m_format.decode(packetData, packetSize, Direction::FromCaller);
    if (!packet || packet->bounced || packet->syn != (frame.kind == FrameKind::Offer)) {
        m_observer.decided(Decision::Malformed, {}, { sender, "no packet" });
        return;
    }
    if (frame.kind == FrameKind::Offer)
        onOffer(frame, *packet, packetData, packetSize);
    else
        onDelivery(frame, *packet, packetData, packetSize);
}

// Why the target must not get a new flow now; null when it may.
const char* AgentSteering::refusalReason()
{
    if (!m_hasState)
        return "no state from control yet";
    if (m_registration.state() == TargetState::Unknown)
        return "no heartbeat yet";
    if (m_registration.state() == TargetState::Draining)
        return "target is draining";
    if (m_registration.state() == TargetState::Gone)
        return "target is gone";
    if (m_registration.state() == TargetState::Departed)
        return "target has departed";
    if (!isRegistered())
        return "target is not registered yet";
    if (m_evacuated.count(m_options.dataCentre) != 0)
        return "data centre is out";
    const ServicePolicy* policy = m_routes.policy(m_registration.target()->service);
    size_t maxFlows = policy && policy->maxFlows != 0 ? policy->maxFlows : m_options.maxFlows;
    if (m_flows.size() >= std::min(maxFlows, m_options.maxFlows))
        return "flow limit";
    if (m_unansweredInRow >= silentOffers)
        return "target does not answer"; // until its next packet or heartbeat
    if (m_registration.age() > m_options.heartbeatFreshness)
        return "heartbeat is overdue";
    if (isWarmUpSpent())
        return "warm-up budget is spent";
    return nullptr;
}

bool AgentSteering::isWarmUpSpent()
{
    Time now = m_clock.now();
    while (!m_coldOffers.empty() && now - m_coldOffers.front() > warmUpWindow)
        m_coldOffers.pop_front();
    if (!m_registration.isCold() && now >= m_evacuationColdUntil)
        return false;
    const ServicePolicy* policy = m_routes.policy(m_registration.target()->service);
    double rate = policy ? policy->warmUpRate : 0;
    if (rate == 0)
        return false; // no budget is stated: the load alone decides
    // One below the budget: the flow that would reach it may already be under way from the last window.
    double budget = rate * m_options.warmUpFactor + m_options.warmUpSlack - 1;
    return double(m_coldOffers.size()) + 1 > std::max(1.0, budget);
}

void AgentSteering::onOffer(Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    auto found = m_flows.find(packet.flow);
    if (found != m_flows.end() && !found->second.lost) {
        found->second.entry = frame.entry;
        giveToTarget(frame, data, size); // another copy of a SYN that the target has
        return;
    }
    ServiceKey own = m_registration.target() ? m_registration.target()->service : ServiceKey();
    const char* reason = frame.service != own ? "another service" : refusalReason();
    if (reason) {
        bool mayRecover = !m_hasState || m_registration.state() == TargetState::Unknown || awaitsRegistration();
        frame.mayRecover = frame.mayRecover || mayRecover;
        passOn(frame, packet, reason, data, size);
        return;
    }
    uint16_t ownLoad = load();
    if (frame.compare && frame.best == noPosition && frame.next < frame.members.size()) {
        frame.best = static_cast<uint8_t>(frame.next - 1);
        frame.bestLoad = ownLoad;
        // The next member sees itself as visited.
        Endpoint next = frame.members[frame.next++];
        encodeFrame(frame, data, size, m_buffer);
        m_output.sendFrame(next, m_buffer);
        m_observer.decided(Decision::PassedOn, packet.flow, { next, "compare", m_routes.version(), ownLoad });
        return;
    }
    if (frame.compare && frame.best != noPosition && frame.bestLoad < ownLoad) {
        passOn(frame, packet, "higher load", data, size);
        return;
    }
    accept(frame, packet, data, size);
}

void AgentSteering::accept(Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    Time now = m_clock.now();
    uint16_t ownLoad = load();
    Flow flow;
    flow.opened = now;
    flow.lastPacket = now;
    flow.entry = frame.entry;
    m_flows[packet.flow] = flow;
    if (m_unanswered.size() < maxUnanswered)
        m_unanswered.emplace_back(now, packet.flow);
    m_coldOffers.push_back(now);
    frame.compare = false;
    giveToTarget(frame, data, size);
    m_observer.decided(Decision::Accepted, packet.flow, { frame.entry, "", m_routes.version(), ownLoad });
}

// With a compared load at hand, its member comes before those that have not been asked.
void AgentSteering::passOn(Frame& frame, const FlowPacket& packet, const char* reason, const uint8_t* data, size_t size)
{
    if (frame.kind == FrameKind::Probe)
        return;
    Endpoint next;
    if (frame.compare && frame.best != noPosition) {
        next = frame.members[frame.best];
        frame.compare = false;
        frame.best = noPosition;
    } else if (frame.next < frame.members.size()) {
        next = frame.members[frame.next++];
    } else {
        frame.kind = FrameKind::Returned;
        next = frame.entry;
    }
    encodeFrame(frame, data, size, m_buffer);
    m_output.sendFrame(next, m_buffer);
    m_observer.decided(Decision::PassedOn, packet.flow, { next, reason, m_routes.version() });
}

bool AgentSteering::mayBelong(const FlowId& flow) const
{
    const Route* route = m_routes.find(flow.service);
    if (!route || !m_registration.target())
        return true;
    ServiceKey own = m_registration.target()->service;
    bool current = std::any_of(route->services.begin(), route->services.end(),
        [&](const WeightedService& service) { return service.service == own; });
    return current || std::find(route->former.begin(), route->former.end(), own) != route->former.end();
}

void AgentSteering::onDelivery(Frame& frame, const FlowPacket& packet, uint8_t* data, size_t size)
{
    auto found = m_flows.find(packet.flow);
    if (found != m_flows.end() && found->second.lost) {
        std::vector<uint8_t> reset = m_format.reset(packet.flow, packet.acknowledged);
        m_output.sendToCaller(packet.flow, reset.data(), reset.size());
        m_observer.decided(Decision::Reset, packet.flow, { {}, "its target has ended", m_routes.version() });
        return;
    }
    if (found == m_flows.end()) {
        bool isKnown = (m_registration.sawStart() && !m_overflowed) || m_registration.state() == TargetState::Departed;
        if (isKnown || !mayBelong(packet.flow)) {
            frame.uncertain = frame.uncertain || !isKnown; // the routes known here may be older than the flow
            passOn(frame, packet, "not held", data, size);
            return;
        }
        m_overflowed = m_overflowed || m_flows.size() >= m_options.maxFlows;
        if (m_flows.size() < m_options.maxFlows) {
            Flow flow;
            flow.opened = m_clock.now();
            found = m_flows.emplace(packet.flow, flow).first;
            m_unconfirmed.emplace_back(flow.opened, packet.flow);
        }
    }
    if (found != m_flows.end()) {
        Flow& flow = found->second;
        flow.lastPacket = m_clock.now();
        bool asked = frame.kind == FrameKind::Probe || frame.members.size() > 1;
        if (flow.answered && asked) {
            flow.entry = frame.entry;
            locate(packet.flow, flow);
        } else if (!flow.answered) {
            flow.entry = frame.entry;
        }
        if (packet.fin || packet.reset)
            close(flow, flow.callerClosed);
        if (packet.length > 0)
            onRequestBytes(flow);
    }
    giveToTarget(frame, data, size);
}

void AgentSteering::giveToTarget(const Frame& frame, uint8_t* data, size_t size)
{
    uint32_t mark = ++m_lastMark;
    Marked& marked = m_marked[mark % m_marked.size()];
    marked.mark = mark;
    marked.frame = frame;
    m_format.prepareForTarget(data, mark);
    m_output.sendToTarget(data, size);
}

void AgentSteering::onTargetPacket(uint8_t* data, size_t size)
{
    std::optional<FlowPacket> packet = m_format.decode(data, size, Direction::FromTarget);
    if (!packet) {
        m_observer.decided(Decision::Malformed, {}, { {}, "from the target" });
        return;
    }
    m_unansweredInRow = 0;
    if (packet->bounced) {
        onBounced(*packet, data, size);
        return;
    }
    m_output.sendToCaller(packet->flow, data, size);
    auto found = m_flows.find(packet->flow);
    if (found == m_flows.end()) {
        if (packet->reset)
            return;
        m_overflowed = m_overflowed || m_flows.size() >= m_options.maxFlows;
        if (m_flows.size() >= m_options.maxFlows)
            return;
        found = m_flows.emplace(packet->flow, Flow()).first;
        found->second.opened = m_clock.now();
    }
    Flow& flow = found->second;
    flow.lastPacket = m_clock.now();
    flow.lost = false;
    flow.established = flow.established || !packet->syn;
    if (!flow.answered) {
        flow.answered = true;
        m_unanswered.erase(std::remove_if(m_unanswered.begin(), m_unanswered.end(),
                               [&](const auto& offer) { return offer.second == packet->flow; }),
            m_unanswered.end());
    }
    locate(packet->flow, flow);
    if (packet->length > 0)
        onAnswerBytes(flow);
    if (packet->fin)
        close(flow, flow.targetClosed);
    if (packet->reset)
        forget(packet->flow);
}

void AgentSteering::onBounced(const FlowPacket& packet, uint8_t* data, size_t size)
{
    forget(packet.flow);
    const Marked& marked = m_marked[packet.mark % m_marked.size()];
    if (packet.mark == 0 || marked.mark != packet.mark) {
        m_observer.decided(Decision::NotHeld, packet.flow, { {}, "bounced with an unknown mark" });
        return;
    }
    Frame frame = marked.frame;
    m_format.prepareForTarget(data, 0);
    passOn(frame, packet, "bounced", data, size);
}

void AgentSteering::onRequestBytes(Flow& flow)
{
    if (flow.working)
        return;
    flow.working = true;
    m_work.started();
}

void AgentSteering::onAnswerBytes(Flow& flow)
{
    if (!flow.working)
        return;
    flow.working = false;
    m_work.finished();
}

void AgentSteering::close(Flow& flow, bool& end)
{
    if (!flow.callerClosed && !flow.targetClosed)
        ++m_closing;
    end = true;
}

// A target bounces a packet of a flow that it does not hold at once, but may have no reason to answer one that it
// holds.
void AgentSteering::confirmHeld()
{
    Time now = m_clock.now();
    while (!m_unconfirmed.empty() && now - m_unconfirmed.front().first > m_options.bounceTimeout) {
        auto found = m_flows.find(m_unconfirmed.front().second);
        if (found != m_flows.end() && !found->second.answered) {
            found->second.answered = true;
            locate(found->first, found->second);
        }
        m_unconfirmed.pop_front();
    }
}

void AgentSteering::locate(const FlowId& id, Flow& flow)
{
    if (flow.entry.port == 0)
        return;
    Frame frame;
    frame.kind = FrameKind::Located;
    encodeFrame(frame, nullptr, 0, m_buffer);
    encodeFlow(id, m_buffer);
    m_output.sendFrame(flow.entry, m_buffer);
    flow.entry = {};
}

void AgentSteering::forget(const FlowId& id)
{
    auto found = m_flows.find(id);
    if (found == m_flows.end())
        return;
    onAnswerBytes(found->second);
    if (found->second.callerClosed || found->second.targetClosed)
        --m_closing;
    m_unanswered.erase(
        std::remove_if(m_unanswered.begin(), m_unanswered.end(), [&](const auto& offer) { return offer.second == id; }),
        m_unanswered.end());
    m_flows.erase(found);
}

void AgentSteering::onTick()
{
    Time now = m_clock.now();
    while (!m_unanswered.empty() && now - m_unanswered.front().first > m_options.offerTimeout) {
        ++m_unansweredInRow;
        m_unanswered.pop_front();
    }
    confirmHeld();
    if (now - m_lastExpiry >= expiryInterval)
        expire();
}

void AgentSteering::expire()
{
    m_lastExpiry = m_clock.now();
    Duration idle = m_routes.configuration().flowIdleLimit;
    if (idle == Duration::zero())
        idle = defaultIdleLimit;
    for (auto i = m_flows.begin(); i != m_flows.end();) {
        const Flow& flow = i->second;
        Duration silent = m_lastExpiry - flow.lastPacket;
        bool closed = flow.callerClosed && flow.targetClosed;
        bool expired = (closed && silent > m_options.closedRetention) || silent > idle
            || (!flow.answered && silent > m_options.closedRetention);
        if (!expired) {
            ++i;
            continue;
        }
        onAnswerBytes(i->second);
        if (flow.callerClosed || flow.targetClosed)
            --m_closing;
        m_flows.erase(i++);
    }
}

} // namespace cicadaward::steering
