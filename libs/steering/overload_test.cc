// Replays the load at its worst on an agent with a simulated target: what waits where decides who is answered in time.
// Each case plays the same arrivals with the agent's queue and with all requests in the target's own queue, as they
// would wait without it.
//
// Guards against: a backlog that makes the requests after it late as well, and slots that are lost to requests which
// no answer will follow.
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
    unsigned targetQueueLimit = 12; // requests that wait at the target; it refuses more
    Duration serviceTime = 55ms;
    double serviceTimeSpread = 0.5; // of the work, each way
    size_t backlog = 0; // requests that come at once at the start
    double requestsPerSecond = 0; // requests that come after that
    Duration length = 2s;
};

struct Outcome {
    size_t fresh = 0; // requests after the backlog
    size_t freshInTime = 0;
    size_t answered = 0; // of all, before their timeout
    size_t refused = 0; // by the target
};

class Replay {
public:
    Replay(const Workload& load, bool queueAtAgent, uint64_t seed)
        : m_workload(load)
        , m_queueAtAgent(queueAtAgent)
        , m_random(seed)
    {
        Route route = routeOf(serviceAddress, { { hub, 1 } });
        route.objective = std::chrono::duration_cast<std::chrono::milliseconds>(objective);
        route.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
        m_agent.setState(RouteTable(configurationOf(1, { route }, { "hub" })), {});
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
        heartbeat.slots = m_queueAtAgent ? m_workload.slots : 0; // without stated slots nothing waits at the agent
        m_agent.onHeartbeat(heartbeat);
        m_agent.onRegistered(m_agent.record().incarnation, m_agent.record().targetStart);
    }
    // Opens a flow, and sends the request as soon as the target has answered the SYN.
    void request(bool fresh)
    {
        FlowId flow = flowNumber(++m_lastPort);
        m_requests[m_lastPort] = { m_clock.now(), fresh, false };
        m_outcome.fresh += fresh ? 1 : 0;
        Frame frame;
        frame.kind = FrameKind::Offer;
        frame.next = 1;
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
        std::vector<uint8_t> bytes = FakeFormat::encode(packet);
        m_agent.onTargetPacket(bytes.data(), bytes.size());
        receiveAtTarget();
    }
    // The target's own queue: first come, first served.
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
        result.self = memberNumber(1).agent;
        result.dataCentre = "east";
        result.incarnation = 1;
        return result;
    }

    const Workload m_workload;
    const bool m_queueAtAgent;
    Random m_random;
    ManualClock m_clock;
    FakeFormat m_format;
    CountingObserver m_observer;
    RecordingOutput m_output;
    AgentSteering m_agent { options(), m_format, m_clock, m_observer, m_output };
    std::map<uint16_t, Request> m_requests; // by the caller's port
    std::multimap<Time, FlowId> m_inService; // by the time when the work is done
    std::queue<FlowId> m_targetQueue;
    std::vector<FlowId> m_refusals;
    Outcome m_outcome;
    uint16_t m_lastPort = 0;
    uint64_t m_heartbeatSequence = 0;
    uint64_t m_ticks = 0;
};

double share(size_t part, size_t whole) { return whole == 0 ? 1 : double(part) / double(whole); }

} // namespace

TEST_CASE("overload: after an outage the requests behind the backlog are answered in time", "[overload]")
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
        CHECK(without.refused > load.backlog / 2); // its callers have to come again
    }
}

TEST_CASE("overload: a burst above the target's capacity does not spoil all requests", "[overload]")
{
    Workload load;
    load.requestsPerSecond = 120; // the target can do 91
    load.length = 4s;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        Outcome without = Replay(load, false, seed).run();
        Outcome with = Replay(load, true, seed).run();
        CHECK(share(with.freshInTime, with.fresh) > 0.6);
        CHECK(share(without.freshInTime, without.fresh) < 0.3);
    }
}

TEST_CASE("overload: without a backlog the queue changes nothing", "[overload]")
{
    Workload load;
    load.requestsPerSecond = 50;
    Outcome without = Replay(load, false, 3).run();
    Outcome with = Replay(load, true, 3).run();
    CHECK(with.freshInTime >= without.freshInTime);
    CHECK(share(with.freshInTime, with.fresh) > 0.99);
}
