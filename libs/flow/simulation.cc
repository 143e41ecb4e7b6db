#include "flow/simulation.h"

#include <algorithm>

namespace cicadaward::flow::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr Duration lease = seconds(3);
    constexpr Duration announceInterval = milliseconds(500);
    constexpr Duration publishInterval = milliseconds(250);
    constexpr ServiceId mainService { 1 };
    constexpr ServiceId otherService { 2 };

    template <typename... Handlers> struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

Simulation::Simulation(const SimulationSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_start(m_clock.now())
    , m_lossProbability(settings.lossProbability)
{
}

void Simulation::scheduleAfter(Duration delay, Step step)
{
    m_queue.push({ m_clock.now() + delay, m_order++, std::make_shared<Step>(std::move(step)) });
}

Duration Simulation::randomDuration(int lowMs, int highMs)
{
    return std::chrono::microseconds(lowMs * 1000 + static_cast<int64_t>(m_random.below((highMs - lowMs) * 1000 + 1)));
}

void Simulation::addNote(const std::string& text)
{
    if (!m_settings.trace && m_result.notes.size() >= 20)
        return;
    auto ms = std::chrono::duration_cast<milliseconds>(m_clock.now() - m_start).count();
    m_result.notes.push_back(std::to_string(ms) + " ms: " + text);
}

// Network and processes.

void Simulation::sendDatagram(const Instance* from, const Endpoint& to, const TunnelHeader& header, Bytes bytes)
{
    auto found = m_instanceByAddress.find(to.address);
    if (found == m_instanceByAddress.end() || (from && from->cutFromNetwork))
        return;
    if (m_settings.trace && header.kind != TunnelKind::PeerMessage) {
        auto parsed = parseIpPacket(bytes.data(), bytes.size());
        const IpPacket& packet = std::get<IpPacket>(parsed);
        addNote("segment " + std::to_string(packet.tcpSequence) + (packet.flags.syn ? " SYN" : "") + " kind "
            + std::to_string(static_cast<int>(header.kind)) + " from "
            + (from ? std::to_string(from->endpoint.address & 0xff) : std::string("entry")) + " to "
            + std::to_string(to.address & 0xff) + " version " + std::to_string(header.version.sequence));
    }
    size_t copies = withProbability(m_settings.duplicateProbability) ? 2 : 1;
    for (size_t i = 0; i < copies; ++i) {
        if (withProbability(m_lossProbability))
            continue;
        Duration delay = withProbability(0.05) ? randomDuration(5, 60) : randomDuration(1, 4);
        scheduleAfter(
            delay, [this, address = to.address, header, copy = std::vector<uint8_t>(bytes.begin(), bytes.end())] {
                Instance& instance = *m_instances[m_instanceByAddress[address]];
                if (!instance.cutFromNetwork)
                    dispatch(instance, TunnelReceived { header, copy });
            });
    }
}

void Simulation::dispatch(Instance& instance, const AgentEvent& event)
{
    if (!instance.agent)
        return;
    Actions actions;
    instance.agent->handle(event, actions);
    performActions(instance, actions);
}

void Simulation::performActions(Instance& instance, Actions& actions)
{
    for (const Action& action : actions.list()) {
        std::visit(Overloaded {
                       [&](const SendTunnel& a) {
                           ++m_result.extraHops;
                           sendDatagram(&instance, a.to, a.header, a.packet);
                       },
                       [&](const SendPeer& a) { sendDatagram(&instance, a.to, a.header, a.message); },
                       [&](const DeliverPacket& a) { deliver(instance, a); },
                       [&](const SendToCaller& a) {
                           if (instance.cutFromNetwork || withProbability(m_lossProbability))
                               return;
                           scheduleAfter(randomDuration(1, 3),
                               [this, copy = std::vector<uint8_t>(a.packet.begin(), a.packet.end())] {
                                   receiveAtCaller(copy);
                               });
                       },
                       [&](const RequestDirectory&) {
                           size_t index = m_instanceByAddress[instance.endpoint.address];
                           if (!withProbability(0.1))
                               sendDirectory(index, randomDuration(5, 50));
                       },
                   },
            action);
    }
}

void Simulation::startAgent(Instance& instance)
{
    AgentFlowsSettings settings;
    settings.self = instance.id;
    settings.service = instance.service;
    settings.dataCentre = instance.dataCentre;
    settings.absentMemberTimeout = seconds(12); // longer than any cut of a schedule
    settings.flowTableBytes = 400 * sizeof(FlowKey) * 2;
    if (m_settings.capacity > 100)
        settings.flowTableBytes = 1 << 20;
    instance.random = std::make_unique<Random>(m_random.next());
    instance.admission
        = std::make_unique<TargetAdmission>(m_clock, TargetCapacity { m_settings.capacity, 1, m_settings.coldShare });
    instance.agent = makeAgent(m_settings.policy, settings, *instance.admission, m_clock, *instance.random);
    instance.process = m_nextIncarnation++;
    uint64_t process = instance.process;
    scheduleAfter(randomDuration(5, 100), [this, &instance, process] {
        if (instance.process == process && instance.targetAlive)
            dispatch(instance, TargetUp { Incarnation(instance.target) });
        else if (instance.process == process)
            dispatch(instance, TargetDown {});
    });
}

void Simulation::stopAgent(Instance& instance)
{
    instance.agent.reset();
    instance.lastFault = m_clock.now();
    ++instance.process;
}

void Simulation::startTarget(Instance& instance)
{
    instance.targetAlive = true;
    instance.target = m_nextIncarnation++;
    instance.targetStarted = m_clock.now();
    instance.connections.clear();
    // The agent learns of the target before the target accepts connections.
    dispatch(instance, TargetUp { Incarnation(instance.target) });
}

void Simulation::addInstance(ServiceId service, Endpoint endpoint)
{
    auto instance = std::make_unique<Instance>();
    size_t index = m_instances.size();
    instance->id = MemberId(mixHash(index + 1, 77));
    instance->service = service;
    instance->dataCentre = DataCentreId(static_cast<uint16_t>(1 + index % 3));
    instance->endpoint = endpoint;
    m_instanceByAddress[endpoint.address] = index;
    m_instances.push_back(std::move(instance));
    startTarget(*m_instances[index]);
    startAgent(*m_instances[index]);
    scheduleAfter(randomDuration(0, 300), [this, index] { announce(index); });
    scheduleAfter(randomDuration(0, 100), [this, index] { tick(index); });
}

void Simulation::tick(size_t index)
{
    if (m_instances[index]->removed)
        return;
    dispatch(*m_instances[index], Tick {});
    scheduleAfter(m_settings.tick, [this, index] { tick(index); });
}

// Control.

void Simulation::announce(size_t index)
{
    Instance& instance = *m_instances[index];
    if (instance.removed)
        return;
    scheduleAfter(announceInterval, [this, index] { announce(index); });
    if (!instance.agent || instance.cutFromControl || instance.cutFromNetwork)
        return;
    instance.lastAnnouncement = m_clock.now();
    instance.hasAnnounced = true;
    Member& member = instance.announcedMember;
    member.id = instance.id;
    member.service = instance.service;
    member.dataCentre = instance.dataCentre;
    member.tunnel = instance.endpoint;
    member.capacity = m_settings.capacity;
    member.process = Incarnation(instance.process);
    member.target = Incarnation(instance.target);
    member.state = instance.admission->isWarm() ? MemberState::Warm : MemberState::Warming;
    if (instance.draining)
        member.state = MemberState::Draining;
    if (!instance.targetAlive)
        member.state = MemberState::TargetDown;
    Time sentAt = m_clock.now();
    if (!m_directory || withProbability(0.05))
        return;
    scheduleAfter(
        randomDuration(2, 10), [this, &instance, sentAt, process = instance.process, latest = m_directory->version] {
            if (instance.process == process && !instance.cutFromControl && !instance.cutFromNetwork)
                dispatch(instance, ControlContact { sentAt, latest });
        });
}

void Simulation::publish()
{
    Directory next;
    next.version = m_directory ? m_directory->version : DirectoryVersion { Term(1), 0 };
    for (uint16_t i = 1; i <= 3; ++i)
        next.dataCentres.push_back({ DataCentreId(i), "dc" + std::to_string(i), i == m_dataCentreOut });
    for (uint32_t i = 1; i <= 2; ++i) {
        Service service;
        service.id = ServiceId(i);
        service.spec.name = "service" + std::to_string(i);
        service.spec.address = i == 1 ? serviceAddress : otherAddress;
        service.spec.ports = { { servicePort, Protocol::Tcp, PortMode::Flow } };
        service.spec.buckets = m_settings.buckets;
        service.spec.flowsPerTarget = m_settings.capacity;
        service.spec.coldShare = m_settings.coldShare;
        next.services.push_back(service);
    }
    for (const auto& instance : m_instances) {
        if (instance->hasAnnounced && !instance->removed && m_clock.now() - instance->lastAnnouncement <= lease)
            next.members.push_back(instance->announcedMember);
    }
    std::sort(next.members.begin(), next.members.end(), [](const Member& a, const Member& b) { return a.id < b.id; });
    if (m_directory && encodeDirectory(next) == encodeDirectory(*m_directory))
        return;
    ++next.version.sequence;
    ++m_result.directories;
    m_directory = std::make_shared<Directory>(std::move(next));
    for (size_t i = 0; i < m_instances.size(); ++i) {
        if (!withProbability(0.1))
            sendDirectory(i, withProbability(0.3) ? randomDuration(50, 2000) : randomDuration(5, 50));
    }
    for (size_t i = 0; i < m_entries.size(); ++i) {
        if (!withProbability(0.1))
            scheduleAfter(withProbability(0.3) ? randomDuration(50, 2000) : randomDuration(5, 50),
                [this, i, directory = m_directory] { m_entries[i].forwarder.install(*directory); });
    }
}

void Simulation::sendDirectory(size_t index, Duration delay)
{
    Instance& instance = *m_instances[index];
    if (!m_directory || instance.cutFromControl || instance.cutFromNetwork)
        return;
    scheduleAfter(delay, [this, &instance, directory = m_directory] {
        if (!instance.cutFromControl && !instance.cutFromNetwork)
            dispatch(instance, DirectoryReceived { directory });
    });
}

void Simulation::pollEntry(size_t index)
{
    if (m_directory && !withProbability(0.2))
        m_entries[index].forwarder.install(*m_directory);
    scheduleAfter(seconds(1), [this, index] { pollEntry(index); });
}

// Schedule.

void Simulation::inject(Fault fault)
{
    Instance& affected = *m_instances[m_random.below(m_instances.size())];
    if (affected.removed)
        return;
    addNote(
        "fault " + std::to_string(static_cast<int>(fault)) + " at " + std::to_string(affected.endpoint.address & 0xff));
    switch (fault) {
    case Fault::AgentRestart:
        stopAgent(affected);
        scheduleAfter(withProbability(0.7) ? randomDuration(50, 1500) : randomDuration(1500, 6000), [this, &affected] {
            if (!affected.agent && !affected.removed)
                startAgent(affected);
        });
        break;
    case Fault::TargetRestart:
        affected.targetAlive = false;
        affected.lastFault = m_clock.now();
        affected.connections.clear();
        if (withProbability(0.5))
            scheduleAfter(randomDuration(20, 200), [this, &affected] {
                if (!affected.targetAlive)
                    dispatch(affected, TargetDown {});
            });
        scheduleAfter(randomDuration(300, 3000), [this, &affected] {
            if (!affected.targetAlive && !affected.removed)
                startTarget(affected);
        });
        break;
    case Fault::Drain:
        affected.draining = true;
        dispatch(affected, TargetDraining {});
        scheduleAfter(seconds(8), [this, &affected] {
            affected.draining = false;
            if (affected.connections.empty() && m_instances.size() > 4 && !m_faultsEnded) {
                affected.removed = true;
                affected.targetAlive = false;
                stopAgent(affected);
            } else {
                dispatch(affected, TargetUp { Incarnation(affected.target) });
            }
        });
        break;
    case Fault::ControlCut:
    case Fault::NetworkCut: {
        bool all = fault == Fault::NetworkCut;
        (all ? affected.cutFromNetwork : affected.cutFromControl) = true;
        affected.lastFault = m_clock.now();
        scheduleAfter(randomDuration(500, 9000),
            [&affected, all] { (all ? affected.cutFromNetwork : affected.cutFromControl) = false; });
        break;
    }
    case Fault::Join:
        addInstance(mainService, { m_nextAddress++, 4000 });
        break;
    case Fault::DirectoryBurst: {
        // Changes the states of two members in the directory without changing the members. Their next announcements
        // restore their real states.
        size_t second = m_random.below(m_instances.size());
        for (int i = 0; i < 20; ++i) {
            scheduleAfter(milliseconds(30 * i), [this, &affected, second, i] {
                Instance& changed = i % 4 < 2 ? affected : *m_instances[second];
                bool drain = i % 2 == 0;
                changed.announcedMember.state = drain ? MemberState::Draining : MemberState::Warming;
                publish();
            });
        }
        break;
    }
    case Fault::DataCentreOut:
        m_dataCentreOut = static_cast<uint16_t>(1 + m_random.below(3));
        for (const auto& [attempt, holder] : m_holders) {
            if (m_instances[holder.first]->dataCentre.value() == m_dataCentreOut)
                m_abandoned.insert(attempt);
        }
        publish();
        scheduleAfter(randomDuration(2000, 8000), [this] { m_dataCentreOut = 0; });
        break;
    case Fault::Reassign: {
        size_t serving = 0;
        for (const auto& instance : m_instances)
            serving += instance->service == mainService && !instance->removed ? 1 : 0;
        if (serving < 4 || affected.service != mainService)
            return;
        affected.removed = true;
        affected.targetAlive = false;
        affected.connections.clear();
        stopAgent(affected);
        addInstance(otherService, affected.endpoint);
        break;
    }
    case Fault::LossBurst:
        m_lossProbability = 0.2;
        scheduleAfter(seconds(2), [this] { m_lossProbability = m_settings.lossProbability; });
        break;
    }
}

void Simulation::endFaults()
{
    m_faultsEnded = true;
    m_dataCentreOut = 0;
    m_lossProbability = m_settings.lossProbability;
    for (const auto& instance : m_instances) {
        instance->cutFromControl = instance->cutFromNetwork = false;
        if (instance->removed)
            continue;
        instance->draining = false;
        if (!instance->targetAlive)
            startTarget(*instance);
        if (!instance->agent)
            startAgent(*instance);
    }
}

SimulationResult Simulation::run()
{
    for (size_t i = 0; i < m_settings.agents; ++i)
        addInstance(mainService, { m_nextAddress++, 4000 });
    for (size_t i = 0; i < m_settings.entries; ++i) {
        m_entries.push_back({ MemberId(500 + i), EntryForwarder(MemberId(500 + i), DataCentreId(1)) });
        scheduleAfter(milliseconds(600), [this, i] { pollEntry(i); });
    }
    std::function<void()> publishing = [&] {
        publish();
        scheduleAfter(publishInterval, publishing);
    };
    scheduleAfter(milliseconds(350), publishing);
    m_callers.resize(m_settings.callers);
    for (size_t i = 0; i < m_callers.size(); ++i) {
        m_callers[i].index = i;
        schedule(m_callers[i], milliseconds(1500) + randomDuration(0, 4000));
    }
    for (size_t i = 0; i < m_settings.faultCount; ++i) {
        Fault fault = static_cast<Fault>(m_random.below(faultKinds));
        if (!m_settings.allowedFaults.empty())
            fault = m_settings.allowedFaults[m_random.below(m_settings.allowedFaults.size())];
        scheduleAfter(
            seconds(4) + m_settings.faultPeriod * m_random.below(1000) / 1000, [this, fault] { inject(fault); });
    }
    Time healAt = m_start + seconds(4) + m_settings.faultPeriod;
    scheduleAfter(healAt - m_start, [this] { endFaults(); });
    Time end = healAt + m_settings.faultFreeTime;
    while (!m_queue.empty() && m_queue.top().time <= end) {
        Scheduled next = m_queue.top();
        m_queue.pop();
        m_clock.advance(next.time - m_clock.now());
        (*next.step)();
    }
    finishResult();
    return std::move(m_result);
}

} // namespace cicadaward::flow::simulation
