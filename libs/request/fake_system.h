// A simulated service for the tests and experiments: agents with their fake targets, a network that loses, duplicates
// and delays peer messages, a control instance whose directories reach the agents at different times, and callers that
// send an id again. Everything runs on one manual clock, and one seed determines the order of events.
//
// The checks follow from the requirements and not from the implementation: the fake targets count the runs of each id,
// and each reply is compared with these counts. Leases and lifetimes are shorter than in production, so that a schedule
// of a few seconds contains many of them.
#pragma once

#include "request/agent_requests.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace cicadaward::request {

struct FakeSystemOptions {
    uint64_t seed = 1;
    int members = 4;
    double loss = 0.05;
    double duplicate = 0.05;
    double longDelayProbability = 0.02; // of a peer message that arrives up to 1 s late
    double targetRefusal = 0.05;
    double targetBreak = 0.03;
    uint32_t slots = 3;
    Duration serviceTime = std::chrono::milliseconds(30);
    Duration lease = std::chrono::milliseconds(300);
    Duration recordLifetime = std::chrono::seconds(60);
    size_t maxQueued = 64;
    bool largeAnswers = true; // a third of the answers has a body of 20 kB
    bool processorSharing = false; // a target with more than `slots` attempts serves each of them proportionally slower
    double retriesPerRequest = 0.1;
};

struct FakeSystemResult {
    uint64_t answered = 0;
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t cancelled = 0;
    uint64_t duplicateRuns = 0;
    uint64_t lostRequests = 0;
    uint64_t falseNotRun = 0;
    uint64_t foreignAnswers = 0;
    uint64_t drainsComplete = 0;
    uint64_t drainsIncomplete = 0;
    std::map<RequestCounter, uint64_t> counters;
    std::string firstFault;

    bool isClean() const { return duplicateRuns + lostRequests + falseNotRun + foreignAnswers == 0; }
};

class FakeSystem {
public:
    // A reply may arrive this long after the deadline: two ticks.
    static constexpr Duration replyMargin = std::chrono::milliseconds(20);
    static constexpr Duration tickInterval = std::chrono::milliseconds(10);

    explicit FakeSystem(const FakeSystemOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (int i = 0; i < options.members; ++i) {
            Node& node = m_nodes[MemberId(static_cast<uint64_t>(101 + i))];
            node.id = MemberId(static_cast<uint64_t>(101 + i));
            node.state = MemberState::Warm;
            start(node);
        }
        publish();
        scheduleEvery(std::chrono::milliseconds(50), [this] { renewControlContact(); });
        scheduleEvery(tickInterval, [this] { tickAll(); });
    }

    ManualClock& clock() { return m_clock; }
    Random& random() { return m_random; }
    FakeSystemResult& result() { return m_result; }
    MemberId randomMember() { return MemberId(101 + m_random.below(m_nodes.size())); }
    MemberId ownerOf(const std::string& key) const
    {
        const Member* owner = m_table->owner(bucketOf(hashBytes(key.data(), key.size(), 1), m_table->bucketCount()));
        return owner ? owner->id : MemberId();
    }
    MemberId backupOf(const std::string& key) const
    {
        const Member* backup = m_table->backup(bucketOf(hashBytes(key.data(), key.size(), 1), m_table->bucketCount()));
        return backup ? backup->id : MemberId();
    }
    bool isUp(MemberId id) const { return m_nodes.at(id).agent != nullptr; }
    void setSlots(uint32_t slots)
    {
        for (auto& [id, node] : m_nodes)
            handle(node, SlotsChanged { slots });
    }
    AgentRequests& agent(MemberId id) { return *m_nodes.at(id).agent; }
    int runs(const std::string& key) const
    {
        auto found = m_runs.find(key);
        return found == m_runs.end() ? 0 : found->second;
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_clock.now() + delay, std::move(action));
    }
    void scheduleEvery(Duration interval, const std::function<void()>& action)
    {
        schedule(interval, [this, interval, action] {
            action();
            scheduleEvery(interval, action);
        });
    }
    void run(Duration duration)
    {
        Time end = m_clock.now() + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            if (event.key() > m_clock.now())
                m_clock.advance(event.key() - m_clock.now());
            event.mapped()();
        }
        m_clock.advance(end - m_clock.now());
    }

    // Returns a new id, with a creation time (UUIDv7) or without.
    std::string newKey(bool withTime)
    {
        char text[64];
        uint64_t wall = static_cast<uint64_t>(m_clock.wallTime().count());
        uint64_t tail = ++m_keys;
        if (withTime)
            snprintf(text, sizeof(text), "%08x-%04x-7000-8000-%012llx", static_cast<unsigned>(wall >> 16),
                static_cast<unsigned>(wall & 0xffff), static_cast<unsigned long long>(tail));
        else
            snprintf(text, sizeof(text), "order-%llu", static_cast<unsigned long long>(tail));
        return text;
    }

    using Callback = std::function<void(const Reply*)>; // null if the connection was closed without a reply
    void send(MemberId to, const std::string& key, bool repeatable, Duration timeout, uint32_t caller, Callback done)
    {
        Node& node = m_nodes.at(to);
        if (!node.agent)
            return done(nullptr);
        Request request;
        request.method = repeatable ? "GET" : "POST";
        request.path = "/work";
        request.body = key + std::string(m_bodySizes.count(key) ? m_bodySizes[key] : 0, 'b');
        request.key = key;
        request.repeatable = repeatable;
        request.timeout = timeout;
        request.caller = caller;
        ConnectionId connection(++m_connections);
        m_open[connection] = { to, key, repeatable, m_clock.now() + timeout + replyMargin, std::move(done) };
        handle(node, RequestReceived { connection, std::move(request) });
    }
    void setBodySize(const std::string& key, size_t size) { m_bodySizes[key] = size; }
    void closeRandomConnection()
    {
        if (m_open.empty())
            return;
        auto open = std::next(m_open.begin(), static_cast<ptrdiff_t>(m_random.below(m_open.size())));
        OpenRequest closed = std::move(open->second);
        ConnectionId connection = open->first;
        m_open.erase(open);
        handle(m_nodes.at(closed.agent), ConnectionClosed { connection });
        closed.done(nullptr);
    }

    void crash(MemberId id)
    {
        Node& node = m_nodes.at(id);
        if (!node.agent)
            return;
        node.agent.reset();
        node.attempts.clear();
        ++node.startCount;
        node.lastSeen = m_clock.now();
        std::vector<Callback> broken;
        for (auto it = m_open.begin(); it != m_open.end();) {
            if (it->second.agent == id)
                broken.push_back(std::move(it->second.done));
            it = it->second.agent == id ? m_open.erase(it) : std::next(it);
        }
        for (Callback& done : broken)
            done(nullptr);
    }
    void restart(MemberId id)
    {
        Node& node = m_nodes.at(id);
        if (node.agent)
            return;
        node.state = MemberState::Warm;
        node.listed = true;
        start(node);
        publish();
    }
    void cutControl(MemberId id, Duration duration, bool peersToo)
    {
        m_nodes.at(id).cut = true;
        m_nodes.at(id).cutPeers = peersToo;
        schedule(duration, [this, id] {
            Node& node = m_nodes.at(id);
            node.cut = node.cutPeers = false;
            if (node.agent && !node.listed) {
                node.listed = true;
                node.lastSeen = m_clock.now();
                publish();
            }
        });
    }
    void drain(MemberId id)
    {
        Node& node = m_nodes.at(id);
        if (!node.agent)
            return;
        node.state = MemberState::Draining;
        publish();
        handle(node, DrainStarted { std::chrono::seconds(3) });
    }
    void restartTarget(MemberId id)
    {
        Node& node = m_nodes.at(id);
        node.target = Incarnation(node.target.value() + 1);
        node.attempts.clear();
        if (node.agent)
            handle(node, TargetStateChanged { node.target, true });
    }
    void publish()
    {
        auto directory = std::make_shared<Directory>();
        directory->version = { Term(1), ++m_sequence };
        Service service;
        service.id = ServiceId(1);
        service.spec.buckets = 64;
        directory->services = { service };
        for (auto& [id, node] : m_nodes) {
            if (!node.listed)
                continue;
            Member member;
            member.id = id;
            member.state = node.state;
            member.service = service.id;
            member.capacity = 2000;
            member.process = node.process;
            member.target = node.target;
            directory->members.push_back(member);
        }
        m_directory = directory;
        m_table = std::make_shared<BucketTable>(*directory, service);
        for (auto& [id, node] : m_nodes) {
            // The delays differ, so some agents miss this version and get only the next one.
            Duration delay = m_random.unit() < 0.2 ? std::chrono::milliseconds(m_random.below(400))
                                                   : std::chrono::milliseconds(1 + m_random.below(20));
            schedule(delay, [this, target = id] { pullDirectory(target); });
        }
    }

    // Counts open requests whose reply is overdue as lost.
    void checkOverdueRequests()
    {
        for (auto& [connection, open] : m_open) {
            if (m_clock.now() > open.replyBy && !open.reported) {
                open.reported = true;
                reportFault(m_result.lostRequests, "lost request " + open.key);
            }
        }
    }

private:
    struct Node {
        MemberId id;
        MemberState state = MemberState::Warm;
        std::unique_ptr<Random> random;
        std::unique_ptr<AgentRequests> agent;
        Incarnation process;
        Incarnation target { 1 };
        int startCount = 0;
        bool listed = true;
        bool cut = false;
        bool cutPeers = false;
        Time lastSeen; // last contact with control
        std::map<AttemptId, std::string> attempts; // open attempts and their keys
    };
    struct OpenRequest {
        MemberId agent;
        std::string key;
        bool repeatable = false;
        Time replyBy;
        Callback done;
        bool reported = false;
    };

    void start(Node& node)
    {
        AgentRequestsConfig config;
        config.self = node.id;
        config.service = ServiceId(1);
        node.process = config.process = Incarnation(++m_processes);
        config.lease = m_options.lease;
        config.recordLifetime = m_options.recordLifetime;
        config.clockSkewAllowance = std::chrono::milliseconds(100);
        config.retransmitInterval = std::chrono::milliseconds(20);
        config.maxQueued = m_options.maxQueued;
        config.retriesPerRequest = m_options.retriesPerRequest;
        node.random = std::make_unique<Random>(m_random.next());
        node.agent = std::make_unique<AgentRequests>(m_clock, *node.random, config);
        node.lastSeen = m_clock.now();
        node.cut = node.cutPeers = false;
        ++node.startCount;
        handle(node, SlotsChanged { m_options.slots });
        handle(node, TargetStateChanged { node.target, true });
    }
    void pullDirectory(MemberId id)
    {
        Node& node = m_nodes.at(id);
        if (node.agent && !node.cut)
            handle(node, DirectoryChanged { m_directory, m_table });
    }
    void renewControlContact()
    {
        bool changed = false;
        for (auto& [id, node] : m_nodes) {
            if (node.agent && !node.cut) {
                node.lastSeen = m_clock.now();
                schedule(std::chrono::milliseconds(1 + m_random.below(10)),
                    [this, target = id, startCount = node.startCount, version = m_directory->version] {
                        Node& reached = m_nodes.at(target);
                        if (reached.agent && reached.startCount == startCount && !reached.cut)
                            handle(reached, ControlContact { true, version });
                    });
                if (m_random.unit() < 0.2)
                    schedule(
                        std::chrono::milliseconds(m_random.below(50)), [this, target = id] { pullDirectory(target); });
            } else if (node.listed && m_clock.now() - node.lastSeen >= m_options.lease) {
                node.listed = false;
                changed = true;
            }
        }
        if (changed)
            publish();
        checkOverdueRequests();
    }
    void tickAll()
    {
        for (auto& [id, node] : m_nodes) {
            if (node.agent)
                handle(node, Tick {});
        }
    }

    void handle(Node& node, RequestEvent event)
    {
        for (RequestAction& action : node.agent->handle(std::move(event)))
            std::visit([&](auto& a) { perform(node, a); }, action);
    }
    void perform(Node& node, SendPeerMessage& action)
    {
        if (action.bytes.size() > maxPeerMessageBytes)
            reportFault(m_result.lostRequests, "peer message of " + std::to_string(action.bytes.size()) + " bytes");
        int copies = m_random.unit() < m_options.loss ? 0 : 1;
        if (m_random.unit() < m_options.duplicate)
            ++copies;
        for (int i = 0; i < copies && !node.cutPeers; ++i) {
            Duration delay = std::chrono::microseconds(500 + m_random.below(2500));
            if (m_random.unit() < m_options.longDelayProbability)
                delay = std::chrono::milliseconds(m_random.below(1000));
            schedule(delay, [this, from = node.id, to = action.to, bytes = action.bytes] {
                auto found = m_nodes.find(to);
                if (found != m_nodes.end() && found->second.agent && !found->second.cutPeers)
                    handle(found->second, PeerMessageReceived { from, bytes });
            });
        }
    }
    void perform(Node& node, SendToTarget& action)
    {
        MemberId id = node.id;
        AttemptId attempt = action.attempt;
        int startCount = node.startCount;
        if (m_random.unit() < m_options.targetRefusal) {
            auto failure = m_random.below(2) == 0 ? TargetFailure::NotSent : TargetFailure::Refused;
            schedule(std::chrono::milliseconds(1), [this, id, attempt, startCount, failure] {
                deliver(id, startCount, TargetFailed { attempt, failure });
            });
            return;
        }
        std::string key = action.request->key;
        // A run is counted even if the agent crashes now, because it has already sent the request.
        if (++m_runs[key] > 1 && !action.request->repeatable)
            reportFault(m_result.duplicateRuns, "duplicate run of " + key);
        node.attempts[attempt] = key;
        Duration time = std::chrono::duration_cast<Duration>(m_options.serviceTime * (0.5 + m_random.unit()));
        if (m_options.processorSharing && node.attempts.size() > m_options.slots)
            time = time * static_cast<int64_t>(node.attempts.size()) / m_options.slots;
        if (m_random.unit() < m_options.targetBreak) {
            schedule(time, [this, id, attempt, startCount] {
                deliver(id, startCount, TargetFailed { attempt, TargetFailure::Broken });
            });
            return;
        }
        TargetAnswered answered { attempt, { 200, {}, expectedBody(key) }, 0 };
        answered.declaredLength = answered.answer.body.size();
        if (m_options.targetBreak > 0 && m_random.unit() < 0.02)
            answered.answer.body.resize(
                answered.answer.body.size() / 2); // truncated: the connection failed in the middle
        schedule(time, [this, id, startCount, answered] { deliver(id, startCount, answered); });
        if (m_random.unit() < 0.05) // a late duplicate
            schedule(time * 3, [this, id, startCount, answered] { deliver(id, startCount, answered); });
    }
    void perform(Node& node, CancelAttempt& action) { node.attempts.erase(action.attempt); }
    void perform(Node&, WriteReply& action)
    {
        auto found = m_open.find(action.connection);
        if (found == m_open.end())
            return reportFault(m_result.foreignAnswers, "reply to a closed connection");
        OpenRequest open = std::move(found->second);
        m_open.erase(found);
        checkReply(open, action.reply);
        open.done(&action.reply);
    }
    void perform(Node&, Count& action) { m_result.counters[action.counter] += action.by; }
    void perform(Node& node, DrainFinished& action)
    {
        ++(action.complete ? m_result.drainsComplete : m_result.drainsIncomplete);
        schedule(Duration(), [this, id = node.id] { crash(id); });
    }
    void deliver(MemberId id, int startCount, RequestEvent event)
    {
        Node& node = m_nodes.at(id);
        if (const auto* answered = std::get_if<TargetAnswered>(&event))
            node.attempts.erase(answered->attempt);
        if (node.agent && node.startCount == startCount)
            handle(node, std::move(event));
    }

    std::string expectedBody(const std::string& key) const
    {
        bool large = m_options.largeAnswers && hashString(key) % 3 == 0;
        return "answer to " + key + std::string(large ? 20000 : 10, 'a');
    }
    void checkReply(const OpenRequest& open, const Reply& reply)
    {
        bool saysNotRun = reply.outcome == RequestOutcome::NotRun
            || (reply.outcome == RequestOutcome::Cancelled && !reply.mayHaveRun);
        uint64_t* counts[] = { &m_result.answered, &m_result.notRun, &m_result.unknown, &m_result.cancelled };
        ++*counts[static_cast<size_t>(reply.outcome)];
        // 422 refuses another request with the same id, of which the first one may have run.
        if (saysNotRun && runs(open.key) > 0 && !open.repeatable && reply.status != 422)
            reportFault(m_result.falseNotRun, "false not-run of " + open.key + ": " + reply.reason);
        if (reply.outcome == RequestOutcome::Answered && reply.answer->body != expectedBody(open.key))
            reportFault(m_result.foreignAnswers, "foreign answer to " + open.key);
        if (m_clock.now() > open.replyBy && !open.reported)
            reportFault(m_result.lostRequests, "late reply to " + open.key);
    }
    void reportFault(uint64_t& counter, const std::string& text)
    {
        ++counter;
        if (m_result.firstFault.empty())
            m_result.firstFault = text;
    }

    FakeSystemOptions m_options;
    ManualClock m_clock;
    Random m_random;
    std::multimap<Time, std::function<void()>> m_events;
    std::map<MemberId, Node> m_nodes;
    std::map<ConnectionId, OpenRequest> m_open;
    std::map<std::string, int> m_runs;
    std::map<std::string, size_t> m_bodySizes;
    std::shared_ptr<const Directory> m_directory;
    std::shared_ptr<const BucketTable> m_table;
    uint64_t m_sequence = 0;
    uint64_t m_processes = 0;
    uint64_t m_connections = 0;
    uint64_t m_keys = 0;
    FakeSystemResult m_result;
};

} // namespace cicadaward::request
