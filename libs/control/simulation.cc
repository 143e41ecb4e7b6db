#include "control/simulation.h"

namespace cicadaward::control {

namespace detail {

    constexpr Duration electionTimeout = std::chrono::seconds(1);
    constexpr Duration raftTickInterval = std::chrono::milliseconds(50);
    constexpr size_t entriesPerSnapshot = 4; // entries

    // Adds the processor time of a scope to a counter.
    class BusyTimer {
    public:
        BusyTimer(Duration& total, bool enabled)
            : m_total(total)
            , m_enabled(enabled)
        {
            if (m_enabled)
                m_start = std::chrono::steady_clock::now();
        }
        ~BusyTimer()
        {
            if (m_enabled)
                m_total += std::chrono::steady_clock::now() - m_start;
        }
        BusyTimer(const BusyTimer&) = delete;
        BusyTimer& operator=(const BusyTimer&) = delete;

    private:
        Duration& m_total;
        bool m_enabled;
        std::chrono::steady_clock::time_point m_start;
    };

} // namespace detail

ControlSimulation::ControlSimulation(uint64_t seed, SimulationSettings settings)
    : m_random(seed)
    , m_settings(std::move(settings))
{
    m_quorumAt = now() - detail::electionTimeout;
    for (size_t i = 0; i < m_settings.instances; ++i) {
        m_processes.emplace_back();
        createInstance(i);
        scheduleTick(i, 1);
    }
    at(now(), [this] { raftTick(); });
}

void ControlSimulation::createInstance(size_t process)
{
    ControlInstanceSettings settings = m_settings.instance;
    settings.id = idOf(process);
    settings.others.clear();
    for (size_t i = 0; i < m_settings.instances; ++i) {
        if (i != process)
            settings.others.push_back(idOf(i));
    }
    m_processes[process].instance = std::make_unique<ControlInstance>(m_clock, m_random, std::move(settings));
}

size_t ControlSimulation::addClient(const MemberRecord& record)
{
    size_t process = m_processes.size();
    m_processes.emplace_back();
    m_processes[process].record = record;
    m_processes[process].up = false;
    m_processes[process].startCount = 0;
    start(process);
    return process;
}

void ControlSimulation::at(Time time, std::function<void()> run) { m_events.push({ time, ++m_order, std::move(run) }); }

void ControlSimulation::run(Duration duration)
{
    Time end = now() + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        std::function<void()> run = m_events.top().run;
        m_clock.advance(m_events.top().at - now());
        m_events.pop();
        run();
    }
    m_clock.advance(end - now());
}

void ControlSimulation::scheduleTick(size_t process, uint64_t startCount)
{
    auto phase = Duration(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(m_settings.tick.count()))));
    auto tick = std::make_shared<std::function<void()>>();
    std::weak_ptr<std::function<void()>> weak = tick;
    *tick = [this, process, startCount, weak] {
        Process& self = m_processes[process];
        if (!self.up || self.startCount != startCount)
            return;
        if (!isPaused(process)) {
            if (self.instance)
                instanceEvent(process, Tick {});
            else
                clientEvent(process, ClientTick {});
        }
        if (auto again = weak.lock())
            at(now() + m_settings.tick, [again] { (*again)(); });
    };
    at(now() + phase, [tick] { (*tick)(); });
}

// --- faults

void ControlSimulation::stop(size_t process)
{
    Process& self = m_processes[process];
    self.up = false;
    ++self.startCount;
}

void ControlSimulation::start(size_t process)
{
    Process& self = m_processes[process];
    if (self.up)
        return;
    self.up = true;
    ++self.startCount;
    self.pausedUntil = Time();
    if (process >= m_settings.instances) {
        ControlClientSettings settings;
        self.record.process = Incarnation(self.record.process.value() + 1);
        self.record.revision = 1;
        settings.record = self.record;
        settings.instanceInOtherDataCentre.resize(m_settings.instances);
        self.client = std::make_unique<ControlClient>(m_clock, m_random, std::move(settings));
    } else {
        createInstance(process);
        self.hasLeader = false;
        uint64_t before = self.applied;
        self.applied = 0;
        for (const auto& [index, snapshot] : m_snapshots) {
            if (index <= before && index > self.applied && m_random.below(2) == 0) {
                instanceEvent(process, SnapshotInstalled { snapshot });
                self.applied = index;
            }
        }
    }
    scheduleTick(process, self.startCount);
}

void ControlSimulation::pause(size_t process, Duration duration)
{
    m_processes[process].pausedUntil = now() + duration;
}

void ControlSimulation::transferLeadership()
{
    if (!m_leader || !canServe(*m_leader))
        return;
    size_t old = *m_leader;
    m_leader.reset();
    m_processes[old].hasLeader = false;
    instanceEvent(old, LeaderChanged { m_term, ControlInstanceId() });
    elect();
}

// --- messages

void ControlSimulation::send(
    size_t from, size_t to, const std::string& bytes, const std::function<void(const std::string&)>& deliverTo)
{
    Usage& usage = m_processes[from].usage;
    usage.sentBytes += bytes.size();
    ++usage.sentMessages;
    int copies = m_random.unit() < faults.duplication ? 2 : 1;
    uint64_t startCount = m_processes[to].startCount;
    for (int i = 0; i < copies; ++i) {
        if (m_random.unit() < faults.loss)
            continue;
        Duration delay = m_settings.linkDelay;
        if (faults.jitter > Duration(0))
            delay += Duration(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(faults.jitter.count()))));
        at(now() + delay,
            [this, from, to, startCount, bytes, deliverTo] { deliver(from, to, startCount, bytes, deliverTo); });
    }
}

void ControlSimulation::deliver(size_t from, size_t to, uint64_t startCount, const std::string& bytes,
    const std::function<void(const std::string&)>& action)
{
    Process& target = m_processes[to];
    if (!target.up || target.startCount != startCount || target.group != m_processes[from].group)
        return;
    if (isPaused(to)) {
        at(target.pausedUntil,
            [this, from, to, startCount, bytes, action] { deliver(from, to, startCount, bytes, action); });
        return;
    }
    target.usage.receivedBytes += bytes.size();
    ++target.usage.receivedMessages;
    action(bytes);
}

void ControlSimulation::instanceEvent(size_t instance, const ControlEvent& event)
{
    ControlActions actions;
    {
        detail::BusyTimer timer(m_processes[instance].usage.busy, m_settings.measureBusy);
        actions = m_processes[instance].instance->handle(event);
    }
    for (const ControlAction& action : actions)
        performAction(instance, action);
}

void ControlSimulation::performAction(size_t instance, const ControlAction& action)
{
    auto sendMessage = [&](size_t to, const InstanceMessage& message) {
        std::string bytes;
        {
            detail::BusyTimer timer(m_processes[instance].usage.busy, m_settings.measureBusy);
            bytes = encodeInstanceMessage(message);
        }
        send(instance, to, bytes, [this, instance, to](const std::string& received) {
            InstanceMessage decoded;
            bool isDecoded = false;
            {
                detail::BusyTimer timer(m_processes[to].usage.busy, m_settings.measureBusy);
                isDecoded = decodeInstanceMessage(received, decoded);
            }
            if (isDecoded)
                instanceEvent(to, InstanceMessageReceived { idOf(instance), std::move(decoded) });
        });
    };
    if (auto* one = std::get_if<SendToInstance>(&action))
        sendMessage(one->to.value() - 1, one->message);
    else if (auto* all = std::get_if<SendToAllInstances>(&action)) {
        if (onPublished)
            onPublished(instance, *m_processes[instance].instance->relay().current());
        for (size_t i = 0; i < m_settings.instances; ++i) {
            if (i != instance)
                sendMessage(i, all->message);
        }
    } else if (auto* propose = std::get_if<ProposeCommand>(&action)) {
        if (m_leader == instance && hasMajority(instance)) {
            m_log.push_back(propose->command);
            applyLog(instance);
        }
    } else if (auto* answered = std::get_if<AnswerRequest>(&action))
        answer(instance, *answered);
}

void ControlSimulation::answer(size_t instance, const AnswerRequest& answer)
{
    auto found = m_requests.find(answer.request.value());
    if (found == m_requests.end())
        return;
    RequestOrigin origin = found->second;
    m_requests.erase(found);
    if (auto* result = std::get_if<ManifestResult>(&answer.answer)) {
        if (onResult)
            onResult(origin.command, *result);
        return;
    }
    auto reply = [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        std::string bytes;
        {
            detail::BusyTimer timer(m_processes[instance].usage.busy, m_settings.measureBusy);
            bytes = encodeMessage(message);
        }
        send(instance, origin.client, bytes, [this, instance, origin](const std::string& received) {
            if (m_processes[origin.client].startCount != origin.startCount)
                return;
            Message decoded;
            {
                detail::BusyTimer timer(m_processes[origin.client].usage.busy, m_settings.measureBusy);
                if (!decodeMessage(received, decoded))
                    return;
            }
            if constexpr (std::is_same_v<Message, AnnounceReply>)
                clientEvent(origin.client, AnnounceAnswered { instance, std::move(decoded) });
            else
                clientEvent(origin.client, WatchAnswered { instance, std::move(decoded) });
        });
    };
    if (auto* announced = std::get_if<AnnounceReply>(&answer.answer))
        reply(*announced);
    else if (auto* watched = std::get_if<WatchReply>(&answer.answer))
        reply(*watched);
}

void ControlSimulation::command(size_t instance, const ManifestCommand& command)
{
    if (!canServe(instance))
        return;
    m_requests[++m_lastRequest] = RequestOrigin { 0, 0, command };
    instanceEvent(instance, CommandReceived { RequestId(m_lastRequest), command });
}

void ControlSimulation::clientEvent(size_t client, const ControlClientEvent& event)
{
    if (auto* changed = std::get_if<StateChanged>(&event)) {
        m_processes[client].record.state = changed->state;
        m_processes[client].record.target = changed->target;
    }
    ControlClientActions actions;
    {
        detail::BusyTimer timer(m_processes[client].usage.busy, m_settings.measureBusy);
        actions = m_processes[client].client->handle(event);
    }
    for (const ControlClientAction& action : actions)
        performAction(client, action);
}

void ControlSimulation::performAction(size_t client, const ControlClientAction& action)
{
    auto request = [&](size_t instance, const auto& message, auto makeEvent) {
        using Message = std::decay_t<decltype(message)>;
        std::string bytes;
        {
            detail::BusyTimer timer(m_processes[client].usage.busy, m_settings.measureBusy);
            bytes = encodeMessage(message);
        }
        RequestOrigin origin { client, m_processes[client].startCount, {} };
        send(client, instance, bytes, [this, instance, origin, makeEvent](const std::string& received) {
            Message decoded;
            {
                detail::BusyTimer timer(m_processes[instance].usage.busy, m_settings.measureBusy);
                if (!decodeMessage(received, decoded))
                    return;
            }
            m_requests[++m_lastRequest] = origin;
            instanceEvent(instance, makeEvent(RequestId(m_lastRequest), std::move(decoded)));
        });
    };
    if (auto* announced = std::get_if<SendAnnouncement>(&action))
        request(announced->instance, announced->announcement, [](RequestId id, Announcement message) {
            return AnnounceReceived { id, std::move(message) };
        });
    else if (auto* watched = std::get_if<SendWatch>(&action))
        request(watched->instance, watched->request, [](RequestId id, WatchRequest message) {
            return WatchReceived { id, std::move(message) };
        });
    else if (auto* changed = std::get_if<DirectoryChanged>(&action)) {
        if (onDirectory)
            onDirectory(client, *changed->directory);
    }
}

// --- raft model

bool ControlSimulation::hasMajority(size_t instance) const
{
    size_t reachable = 0;
    for (size_t i = 0; i < m_settings.instances; ++i) {
        if (canServe(i) && group(i) == group(instance))
            ++reachable;
    }
    return canServe(instance) && reachable > m_settings.instances / 2;
}

void ControlSimulation::elect()
{
    std::vector<size_t> candidates;
    for (size_t i = 0; i < m_settings.instances; ++i) {
        if (hasMajority(i))
            candidates.push_back(i);
    }
    if (candidates.empty())
        return;
    m_term = Term(m_term.value() + 1);
    m_leader = candidates[m_random.below(candidates.size())];
    m_quorumAt = now();
    Process& leader = m_processes[*m_leader];
    applyLog(*m_leader);
    leader.term = m_term;
    leader.hasLeader = true;
    leader.leaderHeard = now();
    instanceEvent(*m_leader, LeadershipGained { m_term });
}

void ControlSimulation::applyLog(size_t instance)
{
    Process& self = m_processes[instance];
    while (self.applied < m_log.size()) {
        uint64_t index = ++self.applied;
        instanceEvent(instance, EntryApplied { index, m_log[index - 1] });
        if (index % detail::entriesPerSnapshot == 0 && (m_snapshots.empty() || m_snapshots.back().first < index))
            m_snapshots.emplace_back(index, self.instance->manifests().snapshot());
    }
}

void ControlSimulation::raftTick()
{
    // A restarted instance is a follower, also when it was the leader before.
    bool hasActiveLeader = m_leader && hasMajority(*m_leader) && m_processes[*m_leader].hasLeader;
    if (hasActiveLeader) {
        m_quorumAt = now();
        instanceEvent(*m_leader, QuorumHeard { now() });
    } else if (now() - m_quorumAt >= detail::electionTimeout)
        elect();
    for (size_t i = 0; i < m_settings.instances; ++i) {
        Process& self = m_processes[i];
        if (!canServe(i))
            continue;
        bool connected = hasActiveLeader && m_leader && self.group == group(*m_leader);
        if (connected) {
            if (i != *m_leader && (self.term != m_term || !self.hasLeader))
                instanceEvent(i, LeaderChanged { m_term, idOf(*m_leader) });
            self.term = m_term;
            self.hasLeader = true;
            self.leaderHeard = now();
            applyLog(i);
        } else if (self.hasLeader && now() - self.leaderHeard >= detail::electionTimeout) {
            self.hasLeader = false;
            instanceEvent(i, LeaderChanged { self.term, ControlInstanceId() });
        }
    }
    at(now() + detail::raftTickInterval, [this] { raftTick(); });
}

} // namespace cicadaward::control
