#include "steering/placement_simulation.h"

#include "core/random.h"
#include "steering/test_fabric.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace cicadaward::steering {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t targetCount = 12;
    constexpr unsigned slots = 2;
    constexpr size_t offeredMembers = 4;
    constexpr Duration callerDelay = 10ms; // one way between a caller and an agent
    constexpr Duration peerDelay = 1ms; // between agents
    constexpr Duration runTime = 45s;
    constexpr Duration warmUpTime = 5s; // not measured
    constexpr double expensiveFactor = 7;
    constexpr std::chrono::milliseconds timeout { 2500 };

    Endpoint routeAddress(size_t route) { return { 0xC6120001 + static_cast<uint32_t>(route), 443 }; }
    Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }
    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // FNV-1a.
    void addToHash(uint64_t& hash, uint64_t value)
    {
        for (int i = 0; i < 8; ++i, value >>= 8)
            hash = (hash ^ (value & 0xff)) * 0x100000001b3;
    }

    PlacementBy placementOf(PlacementPolicy policy)
    {
        if (policy == PlacementPolicy::Requests)
            return PlacementBy::Requests;
        return policy == PlacementPolicy::Auto ? PlacementBy::Auto : PlacementBy::Work;
    }

    struct SimulatedRequest {
        size_t route = 0;
        Time sent;
        double work = 0; // seconds at speed 1
        bool isMeasured = false;
        bool isAnswered = false;
    };

    struct SimulatedFlow {
        size_t route = 0;
        size_t target = targetCount; // none yet
        unsigned requestsLeft = 0;
        size_t request = 0; // index of the newest request
        uint32_t sequence = 1;
        uint32_t answered = 1; // sequence number after the answers
        bool isOpen = false;
    };

    struct SimulatedTarget {
        double speed = 1;
        std::vector<std::pair<FlowId, Time>> running; // and their ends
        std::deque<FlowId> waiting;
        double assignedWork = 0; // seconds at speed 1 of requests that were sent here and are not running yet
        Duration busy {};
    };

    class PlacementSimulation {
    public:
        PlacementSimulation(const PlacementScenario& scenario, PlacementPolicy policy, uint64_t seed)
            : m_scenario(scenario)
            , m_policy(policy)
            , m_arrivals(seed)
            , m_draws(seed + 1)
        {
        }

        PlacementResult run();

    private:
        struct Event {
            Time at;
            uint64_t number;
            std::function<void()> action;
            bool operator<(const Event& other) const
            {
                return std::make_pair(other.at, other.number) < std::make_pair(at, number);
            }
        };

        class Output final : public AgentOutput {
        public:
            Output(PlacementSimulation& simulation, size_t index)
                : m_simulation(simulation)
                , m_index(index)
            {
            }
            void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) override
            {
                m_simulation.traceFrame(to, frame);
                m_simulation.deliverFrame(to, frame, peerDelay);
            }
            void sendToTarget(const uint8_t* data, size_t) override
            {
                FlowPacket packet;
                std::memcpy(&packet, data, sizeof(packet));
                m_simulation.tracePacket(m_index, packet);
                m_simulation.after(0ns, [this, packet] { m_simulation.onTargetReceived(m_index, packet); });
            }
            void sendToCaller(const FlowId&, const uint8_t* data, size_t) override
            {
                FlowPacket packet;
                std::memcpy(&packet, data, sizeof(packet));
                m_simulation.tracePacket(targetCount + m_index, packet);
                m_simulation.after(callerDelay, [this, packet] { m_simulation.onCallerReceived(packet); });
            }

        private:
            PlacementSimulation& m_simulation;
            size_t m_index;
        };

        void tracePacket(uint64_t place, const FlowPacket&);
        void traceFrame(Endpoint to, const std::vector<uint8_t>& frame);
        static Endpoint endpointOf(size_t target) { return testMember(static_cast<uint32_t>(target + 1)).agent; }
        void after(Duration delay, std::function<void()> action)
        {
            m_events.push({ m_clock.now() + delay, ++m_lastEvent, std::move(action) });
        }
        void every(Duration interval, const std::function<void()>& action)
        {
            after(interval, [this, interval, action] {
                action();
                every(interval, action);
            });
        }
        RouteTable routeTable() const;
        void startAgent(size_t target, uint64_t incarnation);
        void sendHeartbeats();
        void scheduleArrival(size_t route, double flowsPerSecond);
        void openFlow(size_t route);
        SimulatedRequest makeRequest(size_t route);
        void sendToAgent(size_t target, const FlowPacket&);
        void sendRequest(const FlowId&, SimulatedFlow&);
        size_t bestOf(size_t a, size_t b, double work) const;
        void deliverFrame(Endpoint to, const std::vector<uint8_t>& frame, Duration delay);
        void onTargetReceived(size_t target, const FlowPacket&);
        void startWork(size_t target);
        void finishWork(size_t target, const FlowId&);
        void onCallerReceived(const FlowPacket&);
        PlacementResult result() const;

        const PlacementScenario& m_scenario;
        const PlacementPolicy m_policy;
        Random m_arrivals; // of the requests: the same for each policy
        Random m_draws;
        ManualClock m_clock;
        FakePacketFormat m_format;
        CountingObserver m_observer;
        std::priority_queue<Event> m_events;
        uint64_t m_lastEvent = 0;
        Time m_begin = m_clock.now();
        std::vector<SimulatedTarget> m_targets { targetCount };
        std::vector<std::unique_ptr<Output>> m_outputs;
        std::vector<std::unique_ptr<AgentSteering>> m_agents;
        uint64_t m_heartbeat = 4; // above 1: the targets started before their agents
        uint32_t m_lastFlow = 0;
        absl::flat_hash_map<FlowId, SimulatedFlow> m_flows;
        std::vector<SimulatedRequest> m_requests;
        std::vector<Duration> m_latencies;
        uint64_t m_trace = 0xcbf29ce484222325;
    };

    void PlacementSimulation::tracePacket(uint64_t place, const FlowPacket& packet)
    {
        addToHash(m_trace, place);
        addToHash(m_trace, packet.flow.caller.key());
        addToHash(m_trace, (uint64_t(packet.sequence) << 32) | packet.length);
    }

    void PlacementSimulation::traceFrame(Endpoint to, const std::vector<uint8_t>& bytes)
    {
        addToHash(m_trace, to.key());
        Frame frame;
        size_t head = decodeFrame(bytes.data(), bytes.size(), frame).value_or(0);
        for (size_t i = 0; i < head; ++i)
            addToHash(m_trace, bytes[i]);
    }

    RouteTable PlacementSimulation::routeTable() const
    {
        std::vector<Route> routes;
        for (size_t i = 0; i < m_scenario.routes.size(); ++i) {
            Route route = makeRoute(routeAddress(i), { { hub, 1 } });
            route.objective = std::chrono::duration_cast<std::chrono::milliseconds>(m_scenario.routes[i].objective);
            route.timeout = timeout;
            routes.push_back(route);
        }
        return RouteTable(makeConfiguration(1, routes, { "hub" }));
    }

    void PlacementSimulation::startAgent(size_t target, uint64_t incarnation)
    {
        AgentOptions options;
        options.self = endpointOf(target);
        options.dataCentre = "east";
        options.incarnation = incarnation;
        options.placementBy = placementOf(m_policy);
        m_agents[target] = std::make_unique<AgentSteering>(options, m_format, m_clock, m_observer, *m_outputs[target]);
        m_agents[target]->setState(StateIndex(1), routeTable(), {});
    }

    void PlacementSimulation::sendHeartbeats()
    {
        ++m_heartbeat;
        for (size_t i = 0; i < targetCount; ++i) {
            Heartbeat heartbeat;
            heartbeat.id = "t-" + std::to_string(i);
            heartbeat.service = hub;
            heartbeat.dataCentre = "east";
            heartbeat.startTimeMs = 100;
            heartbeat.sequence = m_heartbeat;
            heartbeat.slots = slots;
            m_agents[i]->onHeartbeat(heartbeat);
            const MemberRecord& record = m_agents[i]->record();
            m_agents[i]->onRegistered(record.incarnation, record.targetStartSequence);
        }
    }

    SimulatedRequest PlacementSimulation::makeRequest(size_t route)
    {
        const SimulatedRoute& kind = m_scenario.routes[route];
        bool isExpensive = m_arrivals.unit() < kind.expensiveShare;
        double factor = (0.5 + m_arrivals.unit()) * (isExpensive ? expensiveFactor : 1);
        double meanFactor = 1 + (expensiveFactor - 1) * kind.expensiveShare;
        SimulatedRequest request;
        request.route = route;
        request.sent = m_clock.now();
        request.isMeasured = m_clock.now() - m_begin > warmUpTime && m_clock.now() - m_begin < runTime - timeout;
        request.work = toSeconds(kind.cost) * factor / meanFactor;
        return request;
    }

    void PlacementSimulation::scheduleArrival(size_t route, double flowsPerSecond)
    {
        after(seconds(-std::log(1 - m_arrivals.unit()) / flowsPerSecond), [this, route, flowsPerSecond] {
            scheduleArrival(route, flowsPerSecond);
            openFlow(route);
        });
    }

    size_t PlacementSimulation::bestOf(size_t a, size_t b, double work) const
    {
        auto finish = [&](const SimulatedTarget& target) {
            double remaining = target.assignedWork / target.speed;
            for (const auto& [flow, end] : target.running)
                remaining += toSeconds(end - m_clock.now());
            return remaining / slots + work / target.speed;
        };
        return finish(m_targets[b]) < finish(m_targets[a]) ? b : a;
    }

    void PlacementSimulation::openFlow(size_t route)
    {
        uint32_t number = ++m_lastFlow;
        FlowId id { { 0x64400000 + number / 60000, static_cast<uint16_t>(1 + number % 60000) }, routeAddress(route) };
        SimulatedFlow& flow = m_flows[id];
        flow.route = route;
        flow.requestsLeft = m_scenario.routes[route].requestsPerFlow;
        flow.request = m_requests.size();
        m_requests.push_back(makeRequest(route));
        std::vector<size_t> drawn;
        while (drawn.size() < offeredMembers) {
            auto member = static_cast<size_t>(m_draws.below(targetCount));
            if (std::find(drawn.begin(), drawn.end(), member) == drawn.end())
                drawn.push_back(member);
        }
        Frame frame;
        frame.kind = FrameKind::Offer;
        frame.nextPosition = 1;
        frame.service = hub;
        frame.entry = entryEndpoint;
        bool isOracle = m_policy == PlacementPolicy::Oracle || m_policy == PlacementPolicy::CostOracle;
        frame.shouldCompareLoad = !isOracle;
        double work = m_policy == PlacementPolicy::CostOracle ? m_requests.back().work
                                                              : toSeconds(m_scenario.routes[route].cost);
        if (isOracle && bestOf(drawn[0], drawn[1], work) == drawn[1])
            std::swap(drawn[0], drawn[1]);
        for (size_t member : drawn)
            frame.members.push_back(endpointOf(member));
        FlowPacket syn = synPacket(id);
        syn.age = std::chrono::duration_cast<std::chrono::milliseconds>(callerDelay);
        deliverFrame(frame.members[0], frameBytes(frame, syn), callerDelay);
    }

    void PlacementSimulation::deliverFrame(Endpoint to, const std::vector<uint8_t>& frame, Duration delay)
    {
        if (to == entryEndpoint)
            return; // refused, or a flow was located: the caller sends no copies
        after(delay, [this, to, bytes = frame]() mutable {
            for (size_t i = 0; i < targetCount; ++i) {
                if (endpointOf(i) == to)
                    m_agents[i]->onFrame(entryEndpoint, bytes.data(), bytes.size());
            }
        });
    }

    void PlacementSimulation::sendToAgent(size_t target, const FlowPacket& packet)
    {
        Frame frame;
        frame.nextPosition = 1;
        frame.entry = entryEndpoint;
        frame.members.push_back(endpointOf(target));
        deliverFrame(frame.members[0], frameBytes(frame, packet), callerDelay);
    }

    void PlacementSimulation::sendRequest(const FlowId& id, SimulatedFlow& flow)
    {
        constexpr uint16_t requestBytes = 100;
        FlowPacket packet = dataPacket(id, requestBytes);
        packet.sequence = flow.sequence;
        packet.acknowledged = flow.answered;
        flow.sequence += requestBytes;
        --flow.requestsLeft;
        sendToAgent(flow.target, packet);
    }

    void PlacementSimulation::onTargetReceived(size_t target, const FlowPacket& packet)
    {
        SimulatedFlow& flow = m_flows[packet.flow];
        if (packet.syn) {
            flow.target = target;
            flow.isOpen = true;
            m_targets[target].assignedWork += m_requests[flow.request].work;
            FlowPacket answer = dataPacket(packet.flow, 0);
            answer.syn = true;
            answer.acknowledged = 1;
            std::vector<uint8_t> bytes = FakePacketFormat::encode(answer);
            m_agents[target]->onTargetPacket(bytes.data(), bytes.size());
        } else if (packet.length > 0) {
            m_targets[target].waiting.push_back(packet.flow);
            startWork(target);
        }
    }

    void PlacementSimulation::startWork(size_t index)
    {
        SimulatedTarget& target = m_targets[index];
        if (target.running.size() >= slots || target.waiting.empty())
            return;
        FlowId id = target.waiting.front();
        target.waiting.pop_front();
        double work = m_requests[m_flows[id].request].work;
        target.assignedWork -= work;
        Duration time = seconds(work / target.speed);
        target.busy += time;
        target.running.emplace_back(id, m_clock.now() + time);
        after(time, [this, index, id] { finishWork(index, id); });
    }

    void PlacementSimulation::finishWork(size_t index, const FlowId& id)
    {
        SimulatedTarget& target = m_targets[index];
        target.running.erase(std::find_if(
            target.running.begin(), target.running.end(), [&](const auto& entry) { return entry.first == id; }));
        startWork(index);
        SimulatedFlow& flow = m_flows[id];
        FlowPacket answer = dataPacket(id, 30);
        answer.sequence = flow.answered;
        answer.acknowledged = flow.sequence;
        answer.fin = flow.requestsLeft == 0;
        flow.answered += 30;
        std::vector<uint8_t> bytes = FakePacketFormat::encode(answer);
        m_agents[index]->onTargetPacket(bytes.data(), bytes.size());
    }

    void PlacementSimulation::onCallerReceived(const FlowPacket& packet)
    {
        SimulatedFlow& flow = m_flows[packet.flow];
        if (packet.syn) {
            sendRequest(packet.flow, flow);
            return;
        }
        SimulatedRequest& request = m_requests[flow.request];
        if (packet.length == 0 || request.isAnswered)
            return;
        request.isAnswered = true;
        if (request.isMeasured)
            m_latencies.push_back(m_clock.now() - request.sent);
        if (flow.requestsLeft == 0) {
            FlowPacket end = dataPacket(packet.flow, 0);
            end.sequence = flow.sequence;
            end.acknowledged = flow.answered;
            end.fin = true;
            sendToAgent(flow.target, end);
            return;
        }
        after(seconds(-std::log(1 - m_draws.unit()) * toSeconds(m_scenario.routes[flow.route].pause)),
            [this, id = packet.flow] {
                SimulatedFlow& open = m_flows[id];
                open.request = m_requests.size();
                m_requests.push_back(makeRequest(open.route));
                m_targets[open.target].assignedWork += m_requests.back().work;
                sendRequest(id, open);
            });
    }

    PlacementResult PlacementSimulation::run()
    {
        double capacity = 0;
        for (size_t i = 0; i < targetCount; ++i) {
            m_targets[i].speed = m_scenario.speeds[i % m_scenario.speeds.size()];
            capacity += slots * m_targets[i].speed;
            m_outputs.push_back(std::make_unique<Output>(*this, i));
            m_agents.emplace_back();
            startAgent(i, 1);
        }
        sendHeartbeats();
        every(1s, [this] { sendHeartbeats(); });
        every(25ms, [this] {
            for (const auto& agent : m_agents)
                agent->onTick();
        });
        if (m_scenario.speedsChange) {
            every(runTime / 3, [this] {
                double first = m_targets[0].speed;
                for (size_t i = 0; i + 1 < targetCount; ++i)
                    m_targets[i].speed = m_targets[i + 1].speed;
                m_targets.back().speed = first;
            });
        }
        size_t restarted = 0;
        if (m_scenario.agentsRestart) {
            every(1s, [this, &restarted] {
                startAgent(restarted % targetCount, 2 + restarted);
                ++restarted;
                sendHeartbeats();
            });
        }
        for (size_t i = 0; i < m_scenario.routes.size(); ++i) {
            const SimulatedRoute& route = m_scenario.routes[i];
            double requestsPerSecond = m_scenario.load * capacity * route.share / toSeconds(route.cost);
            scheduleArrival(i, requestsPerSecond / route.requestsPerFlow);
        }
        while (m_events.top().at < m_begin + runTime) {
            Event event = m_events.top();
            m_events.pop();
            m_clock.advance(event.at - m_clock.now());
            event.action();
        }
        return result();
    }

    PlacementResult PlacementSimulation::result() const
    {
        PlacementResult result;
        size_t late = 0;
        std::vector<Duration> latencies = m_latencies;
        for (const SimulatedRequest& request : m_requests)
            result.requests += request.isMeasured ? 1 : 0;
        std::sort(latencies.begin(), latencies.end());
        for (Duration latency : latencies)
            late += latency > m_scenario.routes[0].objective ? 1 : 0;
        late += result.requests - latencies.size();
        result.lateShare = double(late) / double(std::max<size_t>(1, result.requests));
        if (!latencies.empty()) {
            result.median = latencies[latencies.size() / 2];
            result.p99 = latencies[latencies.size() * 99 / 100];
        }
        Duration busy {};
        Duration busiest {};
        for (const SimulatedTarget& target : m_targets) {
            busy += target.busy;
            busiest = std::max(busiest, target.busy);
        }
        result.busiest = toSeconds(busiest) * double(targetCount) / toSeconds(busy);
        result.trace = m_trace;
        return result;
    }

} // namespace

PlacementResult runPlacement(const PlacementScenario& scenario, PlacementPolicy policy, uint64_t seed)
{
    return PlacementSimulation(scenario, policy, seed).run();
}

} // namespace cicadaward::steering
