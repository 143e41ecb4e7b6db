// The callers and targets of the simulated system, and the checks against the model. The model knows every connection
// of every target, which no agent under test does.

#include "flow/simulation.h"

#include <algorithm>
#include <cmath>

namespace cicadaward::flow::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr int maxConnectRetries = 4;
    constexpr int maxCloseRetries = 8;
    // A caller gives up its flow after this many segments without an answer, sent one a second.
    constexpr int maxSegmentRetries = 25;

    // A fault lasts up to 9 s and is followed by the lease of 3 s.
    constexpr Duration faultEffectDuration = seconds(15);

    // The number of connections that a target sustains: its cold share at first, 1.5 times as many after each second.
    uint32_t sustainableConnections(uint32_t capacity, double coldShare, Duration running)
    {
        auto sustainable = static_cast<uint32_t>(capacity * coldShare);
        for (Duration t = seconds(1); t <= running && sustainable < capacity; t += seconds(1))
            sustainable = static_cast<uint32_t>(std::ceil(sustainable * 1.5));
        return std::min(sustainable, capacity);
    }

} // namespace

void Simulation::schedule(Caller& caller, Duration delay)
{
    scheduleAfter(delay, [this, index = caller.index, timer = ++caller.timer] { callerStep(index, timer); });
}

void Simulation::sendFromCaller(Caller& caller, TcpFlags flags, const std::string& payload)
{
    uint32_t sequence = flags.isInitialSyn() ? caller.attempt : caller.attempt + 1;
    std::vector<uint8_t> bytes
        = buildTcpPacket(caller.key, flags, sequence, flags.ack ? caller.expectedSequence : 0, payload);
    size_t copies = withProbability(m_settings.duplicateProbability) ? 2 : 1;
    for (size_t i = 0; i < copies; ++i) {
        scheduleAfter(randomDuration(1, 3), [this, bytes] {
            // The fabric may send each packet to any entry.
            Entry& entry = m_entries[m_random.below(m_entries.size())];
            Forwarding forwarding;
            if (entry.forwarder.forward(bytes.data(), bytes.size(), forwarding) == EntryVerdict::Forward)
                sendDatagram(nullptr, forwarding.to, forwarding.header, bytes);
        });
    }
}

void Simulation::connect(Caller& caller)
{
    // Often reuses the 5-tuple of the previous connection immediately.
    bool again = caller.key.sourcePort != 0 && withProbability(0.4);
    if (!again) {
        m_callerByKey.erase(caller.key);
        caller.key.sourceAddress = 0xc0a80000 + static_cast<uint32_t>(caller.index);
        caller.key.destinationAddress = serviceAddress;
        caller.key.destinationPort = servicePort;
        caller.key.sourcePort = static_cast<uint16_t>(1024 + m_random.below(60000));
        m_callerByKey[caller.key] = caller.index;
    }
    m_nextAttempt += 16;
    caller.attempt = m_nextAttempt;
    caller.state = CallerState::Connecting;
    caller.retries = 0;
}

void Simulation::callerStep(size_t index, uint64_t timer)
{
    Caller& caller = m_callers[index];
    if (timer != caller.timer)
        return;
    TcpFlags ack;
    ack.ack = true;
    switch (caller.state) {
    case CallerState::Idle:
        connect(caller);
        [[fallthrough]];
    case CallerState::Connecting: {
        if (caller.retries > maxConnectRetries) {
            // Gives up. The target may keep a half-open connection, so the 5-tuple is not reused.
            caller.state = CallerState::Idle;
            m_callerByKey.erase(caller.key);
            caller.key.sourcePort = 0;
            schedule(caller, randomDuration(100, 2000));
            return;
        }
        TcpFlags syn;
        syn.syn = true;
        sendFromCaller(caller, syn, "");
        schedule(caller, seconds(1LL << std::min(caller.retries++, 2)));
        return;
    }
    case CallerState::Established:
        if (caller.retries == 0 && m_clock.now() >= caller.closeAt) {
            caller.state = CallerState::Closing;
            schedule(caller, milliseconds(0));
            return;
        }
        if (caller.retries > maxSegmentRetries) {
            callerReset(caller);
            return;
        }
        ++caller.retries;
        sendFromCaller(caller, ack, "d");
        schedule(caller, seconds(1));
        return;
    case CallerState::Closing: {
        if (caller.retries++ > maxCloseRetries) {
            caller.state = CallerState::Idle;
            schedule(caller, randomDuration(100, 2000));
            return;
        }
        TcpFlags fin = ack;
        fin.fin = true;
        sendFromCaller(caller, fin, "");
        schedule(caller, seconds(1));
        return;
    }
    }
}

Instance* Simulation::holderOf(uint32_t attempt)
{
    auto found = m_holders.find(attempt);
    if (found == m_holders.end())
        return nullptr;
    Instance& instance = *m_instances[found->second.first];
    if (!instance.targetAlive || instance.target != found->second.second || instance.removed)
        return nullptr;
    for (const auto& [key, connection] : instance.connections) {
        if (connection.attempt == attempt && !connection.closing)
            return &instance;
    }
    return nullptr;
}

void Simulation::callerReset(Caller& caller)
{
    Instance* holder = holderOf(caller.attempt);
    bool out = holder && holder->dataCentre.value() == m_dataCentreOut;
    // A flow does not count as broken if its data centre was taken out at any time during the connection.
    if (holder && !out && m_abandoned.count(caller.attempt) == 0) {
        ++m_result.brokenFlows;
        addNote("flow of attempt " + std::to_string(caller.attempt) + " held at "
            + std::to_string(holder->endpoint.address & 0xff) + " was lost after " + std::to_string(caller.retries)
            + " segments");
    } else {
        ++m_result.endedWithTarget;
    }
    caller.state = CallerState::Idle;
    // The target is not informed; if the caller reuses the 5-tuple, the target sees a new connection.
    schedule(caller, randomDuration(50, 1500));
}

void Simulation::receiveAtCaller(const std::vector<uint8_t>& bytes)
{
    auto parsed = parseIpPacket(bytes.data(), bytes.size());
    const IpPacket& packet = std::get<IpPacket>(parsed);
    FlowKey key = packet.key;
    std::swap(key.sourceAddress, key.destinationAddress);
    std::swap(key.sourcePort, key.destinationPort);
    auto found = m_callerByKey.find(key);
    if (found == m_callerByKey.end())
        return;
    Caller& caller = m_callers[found->second];
    bool connecting = caller.state == CallerState::Connecting;
    bool open = caller.state == CallerState::Established || caller.state == CallerState::Closing;
    if (packet.flags.rst) {
        if (connecting && packet.flags.ack && packet.tcpAcknowledgement == caller.attempt + 1) {
            ++m_result.refused;
            caller.state = CallerState::Idle;
            schedule(caller, randomDuration(100, 2000));
        } else if (open && packet.tcpSequence == caller.expectedSequence) {
            if (caller.state == CallerState::Established)
                callerReset(caller);
            else
                caller.state = CallerState::Idle;
        }
    } else if (packet.flags.syn) {
        if (connecting && packet.tcpAcknowledgement == caller.attempt + 1) {
            ++m_result.established;
            caller.state = CallerState::Established;
            caller.expectedSequence = packet.tcpSequence + 1;
            caller.retries = 0;
            caller.closeAt = m_clock.now()
                + milliseconds(static_cast<int64_t>(-std::log(1 - m_random.unit())
                    * static_cast<double>(
                        std::chrono::duration_cast<milliseconds>(m_settings.meanConnectionTime).count())));
            schedule(caller, milliseconds(0));
        }
    } else if (open && packet.tcpSequence == caller.expectedSequence) {
        if (caller.state == CallerState::Closing && packet.flags.fin) {
            TcpFlags ack;
            ack.ack = true;
            sendFromCaller(caller, ack, "");
            caller.state = CallerState::Idle;
            schedule(caller, randomDuration(20, 2000));
        } else if (caller.state == CallerState::Established) {
            caller.retries = 0;
            schedule(caller, milliseconds(static_cast<int64_t>(m_settings.meanThinkSeconds * 2000 * m_random.unit())));
        }
    }
}

void Simulation::answer(
    Instance& instance, const FlowKey& key, TcpFlags flags, uint32_t sequence, uint32_t acknowledgement)
{
    FlowKey reply = key;
    std::swap(reply.sourceAddress, reply.destinationAddress);
    std::swap(reply.sourcePort, reply.destinationPort);
    std::vector<uint8_t> bytes = buildTcpPacket(reply, flags, sequence, acknowledgement, "");
    scheduleAfter(randomDuration(1, 5), [this, &instance, bytes, target = instance.target] {
        if (instance.targetAlive && instance.target == target)
            dispatch(instance, TargetPacket { bytes });
    });
}

void Simulation::openConnection(Instance& instance, const IpPacket& packet)
{
    uint32_t attempt = packet.tcpSequence;
    Instance* other = holderOf(attempt);
    auto isUndisturbed = [&](const Instance& i) { return m_clock.now() - i.lastFault > faultEffectDuration; };
    if (other && m_abandoned.count(attempt) == 0 && isUndisturbed(*other) && isUndisturbed(instance)) {
        ++m_result.splitFlows;
        addNote("one first packet opened flows at " + std::to_string(other->endpoint.address & 0xff) + " and "
            + std::to_string(instance.endpoint.address & 0xff));
    }
    size_t open = 0;
    for (const auto& [key, connection] : instance.connections)
        open += connection.closing || key == packet.key || m_abandoned.count(connection.attempt) > 0 ? 0 : 1;
    uint32_t sustainable
        = sustainableConnections(m_settings.capacity, m_settings.coldShare, m_clock.now() - instance.targetStarted);
    if (open >= sustainable) {
        ++m_result.overAdmitted;
        addNote("target " + std::to_string(instance.endpoint.address & 0xff) + " got connection "
            + std::to_string(open + 1) + " but sustains " + std::to_string(sustainable));
    }
    m_nextAttempt += 16;
    instance.connections[packet.key] = { attempt, m_nextAttempt, false };
    if (m_settings.trace)
        addNote("attempt " + std::to_string(attempt) + " opens at " + std::to_string(instance.endpoint.address & 0xff));
    if (instance.dataCentre.value() == m_dataCentreOut)
        m_abandoned.insert(attempt);
    m_holders[attempt] = { m_instanceByAddress[instance.endpoint.address], instance.target };
}

void Simulation::deliver(Instance& instance, const DeliverPacket& delivery)
{
    auto parsed = parseIpPacket(delivery.packet.data(), delivery.packet.size());
    const IpPacket& packet = std::get<IpPacket>(parsed);
    ++m_result.deliveries;
    bool foreign = (packet.key.destinationAddress == serviceAddress) != (instance.service == ServiceId(1));
    if (foreign) {
        ++m_result.misdelivered;
        addNote("packet of another service at " + std::to_string(instance.endpoint.address & 0xff));
    }
    if (!instance.targetAlive)
        return;
    bool opens = packet.flags.isInitialSyn();
    uint32_t attempt = opens ? packet.tcpSequence : packet.tcpSequence - 1;
    auto found = instance.connections.find(packet.key);
    bool known = found != instance.connections.end() && found->second.attempt == attempt;
    auto holder = m_holders.find(attempt);
    m_result.speculative += delivery.speculative ? 1 : 0;
    // A late segment of an earlier use of the 5-tuple belongs to no flow; the target drops it by its sequence number.
    bool reused = found != instance.connections.end() && !known;
    if (!known && !reused && !opens && !delivery.speculative && holder != m_holders.end()) {
        bool here = m_instances[holder->second.first].get() == &instance;
        // The packet is for an older incarnation of this target, or for a connection that is open at another target.
        if ((here && holder->second.second < instance.target)
            || (!here && holderOf(attempt) && m_abandoned.count(attempt) == 0)) {
            ++m_result.misdelivered;
            addNote("packet of attempt " + std::to_string(attempt) + " at wrong target "
                + std::to_string(instance.endpoint.address & 0xff));
        }
    }
    TcpFlags flags;
    flags.ack = true;
    if (packet.flags.rst) {
        if (known)
            instance.connections.erase(found);
    } else if (opens) {
        if (!known)
            openConnection(instance, packet);
        flags.syn = true;
        answer(instance, packet.key, flags, instance.connections[packet.key].sequence, attempt + 1);
    } else if (known) {
        Connection& connection = found->second;
        uint32_t sequence = connection.sequence + 1;
        if (packet.flags.fin) {
            connection.closing = true;
            flags.fin = true;
        } else if (connection.closing && packet.payloadSize == 0) {
            instance.connections.erase(found);
            return;
        }
        answer(instance, packet.key, flags, sequence, attempt + 1);
    } else if (found == instance.connections.end()) {
        flags = TcpFlags {};
        flags.rst = true;
        answer(instance, packet.key, flags, packet.tcpAcknowledgement, 0);
    }
}

void Simulation::finishResult()
{
    for (Caller& caller : m_callers) {
        if (caller.state == CallerState::Established && caller.retries > 8)
            callerReset(caller);
    }
    double most = 0;
    double sum = 0;
    size_t targets = 0;
    for (const auto& instance : m_instances) {
        if (instance->removed || !instance->targetAlive || !instance->admission || instance->service != ServiceId(1)
            || (m_settings.policy == Policy::Machines && !instance->admission->isWarm()))
            continue;
        double open = 0;
        for (const auto& [key, connection] : instance->connections)
            open += connection.closing ? 0 : 1;
        most = std::max(most, open);
        sum += open;
        ++targets;
    }
    m_result.imbalance = sum > 0 ? most * static_cast<double>(targets) / sum : 0;
}

} // namespace cicadaward::flow::simulation
