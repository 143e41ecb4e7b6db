// Simulates overload on an agent with a target. Each case runs the same arrivals twice: with the agent's RequestQueue,
// and without it, when all requests wait in the target's own first-in, first-out queue.
//
// Guards against a backlog that makes the requests after it late as well, and against slots that stay occupied by
// requests that will not be answered.
#include "steering/test_fabric.h"

#include "core/random.h"

#include <catch2/catch.hpp>
#include <map>
#include <queue>

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t requestBytes = 100;
constexpr Duration objective = 150ms;
constexpr Duration timeout = 2500ms;

struct Workload {
    unsigned slots = 5;
    unsigned targetQueueLimit = 12; // requests that wait at the target; it refuses further ones
    Duration serviceTime = 55ms;
    double serviceTimeSpread = 0.5; // service times are uniform within serviceTime * (1 +- this)
    size_t backlog = 0; // requests that arrive at once at the start
    double requestsPerSecond = 0; // after the start
    Duration length = 2s;
};

struct Outcome {
    size_t fresh = 0; // requests after the backlog
    size_t freshInTime = 0;
    size_t answered = 0; // of all requests, before their timeout
    size_t refused = 0; // by the target
};

class Replay {
public:
    Replay(const Workload& load, bool queueAtAgent, uint64_t seed)
        : m_workload(load)
        , m_queueAtAgent(queueAtAgent)
        , m_random(seed)
    {
        Route route = makeRoute(serviceAddress, { { hub, 1 } });
        route.objective = std::chrono::duration_cast<std::chrono::milliseconds>(objective);
        route.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
        m_agent.setState(StateIndex(1), RouteTable(makeConfiguration(1, { route }, { "hub" })), {});
        sendHeartbeat();
    }

    Outcome run()
    {
        for (size_t i = 0; i < m_workload.backlog; ++i)
            request(false);
        Time end = m_clock.now() + m_workload.length;
        double due = 0;
        while (m_clock.now() < end + timeout) {
            m_clock.advance(1ms);
            if (m_clock.now() < end) {
                for (due += m_workload.requestsPerSecond / 1000; due >= 1; due -= 1)
                    request(true);
            }
            sendDueAnswers();
            if (++m_ticks % 25 == 0)
                m_agent.onTick();
            if (m_ticks % 1000 == 0)
                sendHeartbeat();
        }
        return m_outcome;
    }

private:
    struct Request {
        Time arrived;
        bool fresh = false;
        bool data = false; // its data has reached the target
    };

    void sendHeartbeat()
    {
        Heartbeat heartbeat;
        heartbeat.id = "t-1";
        heartbeat.service = hub;
        heartbeat.startTimeMs = 100;
        heartbeat.sequence = ++m_heartbeatSequence;
        heartbeat.slots = m_queueAtAgent ? m_workload.slots : 0; // 0: the agent queues nothing
        m_agent.onHeartbeat(heartbeat);
        m_agent.onRegistered(m_agent.record().incarnation, m_agent.record().targetStartSequence);
    }
    // Opens a flow and sends its request as soon as the target has answered the SYN.
    void request(bool fresh)
    {
        FlowId flow = testFlow(++m_lastPort);
        m_requests[m_lastPort] = { m_clock.now(), fresh, false };
        m_outcome.fresh += fresh ? 1 : 0;
        Frame frame;
        frame.kind = FrameKind::Offer;
        frame.nextPosition = 1;
        frame.service = hub;
        frame.entry = entryEndpoint;
        frame.members.push_back(options().self);
        sendToAgent(frame, synPacket(flow));
        FlowPacket answer;
        answer.flow = flow;
        answer.syn = answer.ack = true;
        answer.acknowledged = 1;
        sendFromTarget(answer);
        FlowPacket data = dataPacket(flow, requestBytes);
        data.sequence = 1;
        frame.kind = FrameKind::Deliver;
        sendToAgent(frame, data);
    }
    void sendToAgent(const Frame& frame, const FlowPacket& packet)
    {
        std::vector<uint8_t> bytes = frameBytes(frame, packet);
        m_agent.onFrame(entryEndpoint, bytes.data(), bytes.size());
        receiveAtTarget();
    }
    void sendFromTarget(const FlowPacket& packet)
    {
        std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
        m_agent.onTargetPacket(bytes.data(), bytes.size());
        receiveAtTarget();
    }
    // Handles the packets that were forwarded to the target. Its own queue is first in, first out.
    void receiveAtTarget()
    {
        std::vector<RecordingOutput::Sent> packets;
        packets.swap(m_output.toTarget);
        for (const RecordingOutput::Sent& sent : packets) {
            FlowPacket packet;
            std::memcpy(&packet, sent.bytes.data(), sizeof(packet));
            Request& request = m_requests[packet.flow.caller.port];
            if (packet.length == 0 || request.data)
                continue;
            request.data = true;
            if (m_inService.size() < m_workload.slots)
                start(packet.flow);
            else if (m_targetQueue.size() < m_workload.targetQueueLimit)
                m_targetQueue.push(packet.flow);
            else
                m_refusals.push_back(packet.flow);
        }
    }
    void start(const FlowId& flow)
    {
        double factor = 1 + m_workload.serviceTimeSpread * (2 * m_random.unit() - 1);
        m_inService.emplace(
            m_clock.now() + std::chrono::duration_cast<Duration>(factor * m_workload.serviceTime), flow);
    }
    void sendDueAnswers()
    {
        while (!m_refusals.empty()) {
            FlowId flow = m_refusals.back();
            m_refusals.pop_back();
            ++m_outcome.refused;
            sendFromTarget(dataPacket(flow, requestBytes));
        }
        while (!m_inService.empty() && m_inService.begin()->first <= m_clock.now()) {
            FlowId flow = m_inService.begin()->second;
            m_inService.erase(m_inService.begin());
            if (!m_targetQueue.empty()) {
                start(m_targetQueue.front());
                m_targetQueue.pop();
            }
            const Request& request = m_requests[flow.caller.port];
            Duration latency = m_clock.now() - request.arrived;
            m_outcome.answered += latency <= timeout ? 1 : 0;
            m_outcome.freshInTime += request.fresh && latency <= objective ? 1 : 0;
            sendFromTarget(dataPacket(flow, requestBytes));
        }
    }
    static AgentOptions options()
    {
        AgentOptions result;
        result.self = testMember(1).agent;
        result.dataCentre = "east";
        result.incarnation = 1;
        return result;
    }

    const Workload m_workload;
    const bool m_queueAtAgent;
    Random m_random;
    ManualClock m_clock;
    FakePacketFormat m_format;
    CountingObserver m_observer;
    RecordingOutput m_output;
    AgentSteering m_agent { options(), m_format, m_clock, m_observer, m_output };
    std::map<uint16_t, Request> m_requests; // by the caller's port
    std::multimap<Time, FlowId> m_inService; // by time of completion
    std::queue<FlowId> m_targetQueue;
    std::vector<FlowId> m_refusals;
    Outcome m_outcome;
    uint16_t m_lastPort = 0;
    uint64_t m_heartbeatSequence = 0;
    uint64_t m_ticks = 0;
};

double share(size_t part, size_t whole) { return whole == 0 ? 1 : double(part) / double(whole); }

} // namespace

TEST_CASE("overload: after an outage the requests after the backlog are answered in time", "[overload]")
{
    Workload load;
    load.backlog = 80;
    load.requestsPerSecond = 50;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Outcome without = Replay(load, false, seed).run();
        Outcome with = Replay(load, true, seed).run();
        CHECK(share(with.freshInTime, with.fresh) > 0.95);
        CHECK(with.refused == 0);
        CHECK(with.answered == load.backlog + with.fresh);
        CHECK(without.refused > load.backlog / 2); // their callers have to retry
    }
}

TEST_CASE("overload: a burst above the target's capacity does not make all requests late", "[overload]")
{
    Workload load;
    load.requestsPerSecond = 120; // the target's capacity is 91: 5 slots / 55 ms
    load.length = 4s;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Outcome without = Replay(load, false, seed).run();
        Outcome with = Replay(load, true, seed).run();
        CHECK(share(with.freshInTime, with.fresh) > 0.6);
        CHECK(share(without.freshInTime, without.fresh) < 0.3);
    }
}

TEST_CASE("overload: without a backlog the queue makes no more requests late", "[overload]")
{
    Workload load;
    load.requestsPerSecond = 50;
    Outcome without = Replay(load, false, 3).run();
    Outcome with = Replay(load, true, 3).run();
    CHECK(with.freshInTime >= without.freshInTime);
    CHECK(share(with.freshInTime, with.fresh) > 0.99);
}
