// State of the target beside an agent, as its heartbeats report it. Heartbeats may arrive late, repeated or out of
// order, or come from a target that has already ended or from another writer. Within one start of the target the
// highest sequence wins.
//
// A heartbeat alone does not prove that the registered start has ended, whatever it says. A heartbeat of another start
// is a claim: it takes effect once the registered start has departed or has been silent, or when the target itself
// shows that it has lost its flows. Of several claims, only the one with the most and the newest heartbeats does; a
// claim that has been silent is dropped. While a claim is open it is not known who receives packets at the target's
// address.
//
//     if (registration.onHeartbeat(heartbeat) == HeartbeatResult::NewStart)
//         onNewStart();
//     if (registration.onTick())
//         onNewStart(); // of an open claim
//
// Memory: at most `maxClaims` claims and `maxEndedStarts` earlier starts.
#pragma once

#include "core/clock.h"
#include "steering/members.h"
#include "steering/route_table.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward::steering {

struct Heartbeat {
    std::string id;
    ServiceKey service;
    std::string dataCentre;
    bool draining = false;
    std::chrono::milliseconds warmUpLeft { 0 };
    uint64_t startTimeMs = 0; // start of the target by its own clock, milliseconds since 1970; 0: not given
    uint64_t sequence = 0; // increases within one start
    uint32_t slots = 1; // requests that the target processes concurrently

    bool isSameStart(const Heartbeat& other) const { return id == other.id && startTimeMs == other.startTimeMs; }
};

// How a heartbeat arrived. It may be judged later, after further ones of its start.
struct HeartbeatArrival {
    Time at;
    // No earlier process of this agent can have forwarded flows to the start: this heartbeat, or an earlier one of the
    // start, was its first, or the start began after this process.
    bool includesFirst = false;
};

enum class HeartbeatResult : uint8_t {
    Unchanged,
    Changed, // state or warm-up
    NewStart, // another start of the target is registered now
    Claimed, // names another start, while the registered one may live
    Outdated, // late, repeated or from an earlier start; ignored
    UnknownService, // names a service that the configuration in force does not name; see AgentSteering::onHeartbeat()
};

class TargetRegistration {
public:
    // `heartbeatTimeout`: four heartbeat intervals. The target is in state Gone when no heartbeat has arrived for so
    // long.
    TargetRegistration(const Clock& clock, Duration heartbeatTimeout);

    HeartbeatResult onHeartbeat(const Heartbeat& heartbeat) { return onHeartbeat(heartbeat, arrivalOf(heartbeat)); }
    HeartbeatResult onHeartbeat(const Heartbeat&, HeartbeatArrival);
    // Call when the heartbeat arrives.
    HeartbeatArrival arrivalOf(const Heartbeat&);
    // Handles the deregistration of a target, which may be one whose claim is open. Returns false when `id` is neither
    // or was already deregistered.
    bool onDeparture(const std::string& id);
    // Returns true when an open claim took effect. Call at least every 100 ms; a longer time between two calls counts
    // as a pause of this process, in which the target was not silent.
    bool onTick();
    // The target does not hold a flow that the registered start held. Returns true when an open claim took effect.
    bool onFlowsLost();
    // The target does not hold a flow that the start before held, so that one has ended.
    void onEarlierFlowsLost() { m_earlierHasEnded = true; }

    TargetState state() const;
    // Time since the newest heartbeat. Requires that lastHeartbeat() has a value.
    Duration heartbeatAge() const { return m_clock.now() - m_lastHeartbeatTime; }
    // The newest heartbeat that was not ignored; kept when the target is gone or has departed.
    const std::optional<Heartbeat>& lastHeartbeat() const { return m_lastHeartbeat; }
    // True when another start was announced since the newest heartbeat of the registered one.
    bool isContested() const { return m_isContested; }
    // True when this process has seen every flow of the target: it received the first heartbeat of the target's current
    // start, or began before that start, and either knows that the start before has ended or has seen every flow of
    // that one too.
    bool hasSeenStart() const
    {
        return m_hasSeenStart && (m_earlierHasEnded || m_hasSeenEarlierStart) && !m_isContested;
    }
    // False while the start that was registered before may live and hold flows.
    bool hasEarlierStartEnded() const { return m_earlierHasEnded; }
    bool isCold() const { return m_clock.now() < m_coldUntil; }

private:
    struct Claim {
        Heartbeat heartbeat; // the newest one
        HeartbeatArrival arrival;
        Duration pausedBefore; // m_paused when it was noted
        unsigned heartbeats = 1;
    };
    struct EndedStart {
        std::string id;
        uint64_t startTimeMs = 0;
        bool departed = false;
    };

    bool hasEnded() const { return state() == TargetState::Gone || state() == TargetState::Departed; }
    HeartbeatResult onSameStart(const Heartbeat&, Time arrived);
    bool mayBeNewer(const Heartbeat&) const;
    bool mayTakeEffect(const Heartbeat&) const;
    const EndedStart* findEnded(const Heartbeat&) const;
    bool isFirst(const Heartbeat&) const;
    void accept(const Heartbeat&, HeartbeatArrival);
    void addEnded(const Heartbeat& start, bool departed);
    // Returns false when the heartbeat is not newer than the claim of the same start.
    bool addClaim(const Heartbeat&, HeartbeatArrival);
    // The claim that may take effect; null when there is none, or another has as many heartbeats or was heard later.
    const Claim* strongestClaim() const;
    bool acceptStrongestClaim();
    void countPause();
    // Time without a heartbeat of the registered start in which this process ran.
    Duration silence() const { return silenceSince(m_lastHeartbeatTime, m_pausedBefore); }
    Duration silenceSince(Time arrived, Duration pausedBefore) const;
    void dropSilentClaims();

    const Clock& m_clock;
    const Duration m_heartbeatTimeout;
    const Duration m_silenceLimit; // one heartbeat is overdue
    const Time m_started;
    std::optional<Heartbeat> m_lastHeartbeat;
    std::vector<Claim> m_claims; // the one that was heard last is the last
    std::deque<EndedStart> m_ended; // newest last
    Time m_lastHeartbeatTime;
    Time m_coldUntil;
    Time m_lastTick;
    Duration m_paused {}; // total time in which this process did not run
    Duration m_pausedBefore {}; // m_paused when the newest heartbeat was noted
    bool m_departed = false;
    bool m_isContested = false;
    bool m_hasLostFlows = false; // the target does not hold flows of the registered start
    bool m_hasSeenStart = false; // HeartbeatArrival::includesFirst of the current start
    bool m_hasSeenEarlierStart = false; // has seen every flow of the start before
    bool m_earlierHasEnded = true;
};

} // namespace cicadaward::steering
