#include "steering/target_fault_simulation.h"

namespace cicadaward::steering {

using namespace std::chrono_literals;

namespace {

    constexpr Duration stepLength = 1ms;
    constexpr int stepsPerTick = 25;
    constexpr int stepsPerHeartbeat = 1000;
    constexpr Endpoint feedAddress { 0xC6120002, 443 };
    constexpr auto objective = 250ms;
    constexpr auto timeout = 1000ms;
    constexpr unsigned slots = 2;
    constexpr size_t targetQueueLimit = 8;
    constexpr Duration serviceTime = 20ms; // service times are uniform within half and one and a half of it
    constexpr int slowFactor = 8;
    constexpr Duration flapPeriod = 1500ms;
    constexpr uint16_t requestBytes = 100;
    constexpr uint16_t answerBytes = 50;
    constexpr uint16_t refusalBytes = 20;
    constexpr uint32_t callersPerService = 500; // addresses

} // namespace

TargetFaultSimulation::AgentNode::AgentNode(TargetFaultSimulation& owner, size_t position)
    : simulation(owner)
    , index(position)
    , steering(
          [&] {
              AgentOptions options;
              options.self = endpointOf(position);
              options.dataCentre = "east";
              options.incarnation = 1;
              options.outlier.isEnabled = owner.m_workload.isDetecting;
              return options;
          }(),
          owner.m_format, owner.m_clock, owner.m_observer, *this)
{
}

TargetFaultSimulation::TargetFaultSimulation(const FaultWorkload& workload, uint64_t seed)
    : m_workload(workload)
    , m_random(seed)
    , m_start(m_clock.now())
    , m_entryNode(std::make_unique<EntryNode>(*this))
    , m_targets(workload.targets)
{
    EntryOptions options;
    options.self = entryEndpoint;
    m_entry = std::make_unique<EntrySteering>(options, m_format, m_clock, m_observer, *m_entryNode);
    Route orders = makeRoute(serviceAddress, { { hub, 1 } });
    orders.objective = objective;
    orders.timeout = timeout;
    Route feeds = orders;
    feeds.address = feedAddress;
    feeds.isIdempotent = true;
    RouteTable routes(makeConfiguration(1, { orders, feeds }, { "hub" }));
    m_entry->setState(StateIndex(1), routes, {});
    for (size_t i = 0; i < workload.targets; ++i) {
        m_agents.push_back(std::make_unique<AgentNode>(*this, i));
        m_agents.back()->steering.setState(StateIndex(1), routes, {});
    }
    sendHeartbeats();
    for (size_t i = 0; i < workload.feeds; ++i)
        openFlow(true);
}

FaultOutcome TargetFaultSimulation::run()
{
    double dueOrders = 0;
    for (int i = 0; m_clock.now() < m_start + m_workload.length + timeout; ++i) {
        m_clock.advance(stepLength);
        bool isOver = m_clock.now() >= m_start + m_workload.length;
        // A wave around the mean, since load is never even.
        double phase = double(i % 1000) / 1000;
        dueOrders += isOver ? 0 : m_workload.ordersPerSecond / 1000 * (phase < 0.5 ? 1.1 : 0.9);
        for (; dueOrders >= 1; --dueOrders)
            openFlow(false);
        if (!isOver)
            sendDueReads();
        step();
        if (i % stepsPerTick == 0)
            tick();
        if (i % stepsPerHeartbeat == 0)
            sendHeartbeats();
    }
    for (const auto& agent : m_agents)
        m_outcome.ejectedAtEnd += agent->steering.outliers().state() == OutlierState::Closed ? 0 : 1;
    return m_outcome;
}

void TargetFaultSimulation::step()
{
    completeDue();
    retransmitSyns();
    expireRequests();
    deliver();
    std::vector<uint16_t> feeds;
    feeds.swap(m_feedsToReopen);
    for (size_t i = 0; i < feeds.size(); ++i)
        openFlow(true);
}

void TargetFaultSimulation::tick()
{
    m_entry->onTick();
    for (const auto& agent : m_agents) {
        agent->steering.onTick();
        bool isEjected = agent->steering.outliers().state() == OutlierState::Ejected;
        m_outcome.ejections += isEjected && !m_targets[agent->index].wasEjected ? 1 : 0;
        m_targets[agent->index].wasEjected = isEjected;
    }
    deliver();
}

bool TargetFaultSimulation::isFailing(size_t index) const
{
    Duration elapsed = m_clock.now() - m_start;
    return index < m_workload.failingTargets && elapsed >= m_workload.faultStart && elapsed < m_workload.faultEnd;
}

bool TargetFaultSimulation::isResetting(size_t index)
{
    if (!isFailing(index))
        return false;
    Duration elapsed = m_clock.now() - m_start - m_workload.faultStart;
    switch (m_workload.fault) {
    case FaultKind::ResetAll:
        return true;
    case FaultKind::ResetSome:
        return m_random.unit() < m_workload.faultShare;
    case FaultKind::Flap:
        return (elapsed / flapPeriod) % 2 == 0;
    default:
        return false;
    }
}

void TargetFaultSimulation::sendHeartbeats()
{
    for (const auto& agent : m_agents) {
        Heartbeat heartbeat;
        heartbeat.id = "t-" + std::to_string(agent->index);
        heartbeat.service = hub;
        heartbeat.dataCentre = "east";
        constexpr auto wallTimeAtStart = 1'700'000'000'000; // of a ManualClock: the targets start with the simulation
        heartbeat.startTimeMs = wallTimeAtStart;
        heartbeat.sequence = ++m_targets[agent->index].heartbeatSequence;
        heartbeat.slots = slots;
        heartbeat.draining = m_workload.isDrained && isFailing(agent->index);
        agent->steering.onHeartbeat(heartbeat);
        const MemberRecord& record = agent->steering.record();
        agent->steering.onRegistered(record.incarnation, record.targetStartSequence);
        m_entry->members().update(record);
    }
}

void TargetFaultSimulation::openFlow(bool isFeed)
{
    uint16_t port = ++m_lastPort;
    Flow& flow = m_flows[port];
    flow = {};
    flow.id = { { 0x64400000 + static_cast<uint32_t>(m_random.below(callersPerService)), port },
        isFeed ? feedAddress : serviceAddress };
    flow.isFeed = isFeed;
    m_outcome.orders += isFeed ? 0 : 1;
    sendSyn(flow);
}

void TargetFaultSimulation::sendSyn(Flow& flow)
{
    flow.synSent = m_clock.now();
    sendFromCaller(synPacket(flow.id, flow.synRetransmissions));
}

void TargetFaultSimulation::sendRequest(Flow& flow)
{
    flow.isWaiting = true;
    flow.requestSent = m_clock.now();
    m_outcome.reads += flow.isFeed ? 1 : 0;
    FlowPacket data = dataPacket(flow.id, requestBytes);
    data.sequence = flow.sequence;
    data.acknowledged = flow.targetSequence + 1;
    flow.sequence += requestBytes;
    sendFromCaller(data);
}

void TargetFaultSimulation::sendFromCaller(const FlowPacket& packet)
{
    std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
    m_entry->onCallerPacket(bytes.data(), bytes.size());
}

void TargetFaultSimulation::sendDueReads()
{
    for (auto& [port, flow] : m_flows) {
        if (flow.isFeed && flow.target != SIZE_MAX && !flow.isWaiting && m_clock.now() >= flow.nextRead)
            sendRequest(flow);
    }
}

void TargetFaultSimulation::retransmitSyns()
{
    std::vector<uint16_t> failed;
    for (auto& [port, flow] : m_flows) {
        if (flow.target != SIZE_MAX || m_clock.now() - flow.synSent < 200ms * (1 + flow.synRetransmissions))
            continue;
        if (++flow.synRetransmissions <= 2)
            sendSyn(flow);
        else
            failed.push_back(port);
    }
    for (uint16_t port : failed)
        onReset(port, SIZE_MAX);
}

void TargetFaultSimulation::expireRequests()
{
    std::vector<uint16_t> expired;
    for (auto& [port, flow] : m_flows) {
        if (flow.isWaiting && m_clock.now() - flow.requestSent > timeout)
            expired.push_back(port);
    }
    for (uint16_t port : expired) {
        FlowPacket close = dataPacket(m_flows[port].id, 0);
        close.reset = true;
        sendFromCaller(close);
        onRequestFailed(m_flows[port]);
        endFlow(port);
    }
}

void TargetFaultSimulation::deliver()
{
    while (!m_frames.empty() || !m_toTargets.empty()) {
        if (!m_toTargets.empty()) {
            auto [index, packet] = m_toTargets.front();
            m_toTargets.pop();
            onPacketAtTarget(index, packet);
            continue;
        }
        Frame frame = std::move(m_frames.front());
        m_frames.pop();
        if (frame.to == entryEndpoint)
            m_entry->onFrame(frame.from, frame.bytes.data(), frame.bytes.size());
        else
            m_agents.at(frame.to.address - endpointOf(0).address)
                ->steering.onFrame(frame.from, frame.bytes.data(), frame.bytes.size());
    }
}

void TargetFaultSimulation::onPacketAtTarget(size_t index, const FlowPacket& packet)
{
    if (packet.syn) {
        FlowPacket answer;
        answer.flow = packet.flow;
        answer.syn = answer.ack = true;
        answer.sequence = static_cast<uint32_t>(m_random.next());
        answer.acknowledged = packet.sequence + 1;
        m_targets[index].sequences[packet.flow.caller.port] = answer.sequence + 1;
        sendFromTarget(index, answer);
        return;
    }
    if (packet.length > 0)
        receiveRequest(index, { packet.flow, packet.sequence });
}

void TargetFaultSimulation::receiveRequest(size_t index, const Request& request)
{
    Target& target = m_targets[index];
    if (isResetting(index)) {
        FlowPacket reset;
        reset.flow = request.flow;
        reset.reset = reset.ack = true;
        reset.sequence = target.sequences[request.flow.caller.port];
        reset.acknowledged = request.sequence + requestBytes;
        sendFromTarget(index, reset);
        return;
    }
    if (target.inService < slots)
        startService(index, request);
    else if (target.waiting.size() < targetQueueLimit)
        target.waiting.push(request);
    else // refused with an answer that says that it has not run; its caller may try again
        answer(index, request, refusalBytes);
}

void TargetFaultSimulation::startService(size_t index, const Request& request)
{
    ++m_targets[index].inService;
    bool isHanging = isFailing(index)
        && (m_workload.fault == FaultKind::Hang
            || (m_workload.fault == FaultKind::HangSome && m_random.unit() < m_workload.faultShare));
    auto duration = std::chrono::duration_cast<Duration>((0.5 + m_random.unit()) * serviceTime);
    if (isFailing(index) && m_workload.fault == FaultKind::Slow)
        duration *= slowFactor;
    if (isHanging)
        duration = timeout; // then the target ends the request, too
    m_completions.push({ m_clock.now() + duration, ++m_order, index, request, isHanging ? uint16_t(0) : answerBytes });
}

void TargetFaultSimulation::completeDue()
{
    while (!m_completions.empty() && m_completions.top().due <= m_clock.now()) {
        Completion completion = m_completions.top();
        m_completions.pop();
        Target& target = m_targets[completion.target];
        --target.inService;
        if (!target.waiting.empty()) {
            Request next = target.waiting.front();
            target.waiting.pop();
            startService(completion.target, next);
        }
        if (completion.answerBytes != 0)
            answer(completion.target, completion.request, completion.answerBytes);
        deliver();
    }
}

// The target closes the flow of an order after its answer. The two packets may change their order on the way.
void TargetFaultSimulation::answer(size_t index, const Request& request, uint16_t bytes)
{
    uint32_t& sequence = m_targets[index].sequences[request.flow.caller.port];
    FlowPacket answer = dataPacket(request.flow, bytes);
    answer.acknowledged = request.sequence + requestBytes;
    answer.sequence = sequence;
    sequence += bytes;
    FlowPacket close = answer;
    close.fin = true;
    close.length = 0;
    close.sequence = sequence;
    bool isOrder = request.flow.service == serviceAddress;
    bool isReordered = isOrder && m_random.below(4) == 0;
    if (isReordered)
        sendFromTarget(index, close);
    sendFromTarget(index, answer);
    if (isOrder && !isReordered)
        sendFromTarget(index, close);
}

void TargetFaultSimulation::sendFromTarget(size_t index, FlowPacket packet)
{
    std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
    m_agents[index]->steering.onTargetPacket(bytes.data(), bytes.size());
}

void TargetFaultSimulation::onPacketAtCaller(const FlowPacket& packet, size_t index)
{
    uint16_t port = packet.flow.caller.port;
    auto found = m_flows.find(port);
    if (found == m_flows.end() || !(found->second.id == packet.flow))
        return;
    Flow& flow = found->second;
    if (packet.reset) {
        onReset(port, index);
    } else if (packet.syn && flow.target == SIZE_MAX) {
        flow.target = index;
        flow.targetSequence = packet.sequence;
        flow.nextRead
            = m_clock.now() + std::chrono::duration_cast<Duration>(m_random.unit() * 2 * m_workload.feedInterval);
        if (!flow.isFeed)
            sendRequest(flow);
    } else if (packet.length > 0 && flow.isWaiting && flow.target == index) {
        bool isRefusal = packet.length == refusalBytes;
        if (m_lastAnswer > m_start + 1s)
            m_outcome.longestSilence = std::max(m_outcome.longestSilence, m_clock.now() - m_lastAnswer);
        m_lastAnswer = m_clock.now();
        flow.isWaiting = false;
        flow.nextRead
            = m_clock.now() + std::chrono::duration_cast<Duration>(m_random.unit() * 2 * m_workload.feedInterval);
        if (flow.isFeed) {
            m_outcome.readsAnswered += isRefusal ? 0 : 1;
            return;
        }
        (isRefusal ? m_outcome.ordersNotRun : m_outcome.ordersAnswered) += 1;
        FlowPacket close = dataPacket(flow.id, 0);
        close.fin = true;
        sendFromCaller(close);
        m_flows.erase(found);
    }
}

void TargetFaultSimulation::onReset(uint16_t port, size_t)
{
    auto found = m_flows.find(port);
    if (found == m_flows.end())
        return;
    onRequestFailed(found->second);
    endFlow(port);
}

void TargetFaultSimulation::onRequestFailed(Flow& flow)
{
    if (!flow.isFeed)
        (flow.isWaiting ? m_outcome.ordersLost : m_outcome.ordersNotRun) += 1;
}

void TargetFaultSimulation::endFlow(uint16_t port)
{
    if (m_flows[port].isFeed)
        m_feedsToReopen.push_back(port);
    m_flows.erase(port);
}

} // namespace cicadaward::steering
