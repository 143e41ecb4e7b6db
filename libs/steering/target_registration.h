// State of the target beside an agent, as its heartbeats report it. Heartbeats may arrive late, repeated or out of
// order, or come from a target that has already ended. The newest start wins, and within one start the highest
// sequence.
//
//     if (registration.onHeartbeat(heartbeat) == HeartbeatResult::NewStart)
//         flows.markTargetEnded();
#pragma once

#include "core/clock.h"
#include "steering/members.h"
#include "steering/route_table.h"

#include <chrono>
#include <optional>
#include <string>

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
};

enum class HeartbeatResult : uint8_t {
    Unchanged,
    Changed, // state, service or warm-up
    NewStart, // the target has started again: flows of its earlier start have ended
    Outdated, // late, repeated or from an earlier start; ignored
};

class TargetRegistration {
public:
    // The target is in state Gone when no heartbeat has arrived for `heartbeatTimeout`.
    TargetRegistration(const Clock& clock, Duration heartbeatTimeout)
        : m_clock(clock)
        , m_heartbeatTimeout(heartbeatTimeout)
    {
    }

    HeartbeatResult onHeartbeat(const Heartbeat&);
    // Handles the deregistration of a target. Returns false when `id` is not the registered target or it was already
    // deregistered.
    bool onDeparture(const std::string& id);

    TargetState state() const;
    // Time since the newest heartbeat. Requires that lastHeartbeat() has a value.
    Duration heartbeatAge() const { return m_clock.now() - m_lastHeartbeatTime; }
    // The newest heartbeat that was not ignored; kept when the target is gone or has departed.
    const std::optional<Heartbeat>& lastHeartbeat() const { return m_lastHeartbeat; }
    // True when this process received the first heartbeat of the target's current start. It has then seen every flow of
    // that start.
    bool hasSeenStart() const { return m_hasSeenStart; }
    bool isCold() const { return m_clock.now() < m_coldUntil; }

private:
    bool hasEnded() const { return state() == TargetState::Gone || state() == TargetState::Departed; }

    const Clock& m_clock;
    const Duration m_heartbeatTimeout;
    std::optional<Heartbeat> m_lastHeartbeat;
    Time m_lastHeartbeatTime;
    Time m_coldUntil;
    bool m_departed = false;
    bool m_hasSeenStart = false;
};

} // namespace cicadaward::steering
