// What the target beside an agent says of itself. Heartbeats may be late, repeated, out of order, or come from a target
// that is dead already; the newest start wins, and within one start the highest sequence.
//
//     if (registration.onHeartbeat(heartbeat) == HeartbeatResult::NewStart)
//         forgetFlows();
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
    uint64_t startTimeMs = 0; // time of the start by the target's clock, milliseconds since 1970; 0 when not given
    uint64_t sequence = 0; // rises within one start
    uint32_t slots = 1; // requests that the target works on at once
};

enum class HeartbeatResult : uint8_t {
    Unchanged,
    Changed, // state, service or warm-up
    NewStart, // another start than before: flows of the earlier one are gone
    Outdated, // late or from an earlier start; nothing changed
};

class TargetRegistration {
public:
    // Without a heartbeat for `heartbeatTimeout` the target counts as gone until the next one.
    TargetRegistration(const Clock& clock, Duration heartbeatTimeout)
        : m_clock(clock)
        , m_heartbeatTimeout(heartbeatTimeout)
    {
    }

    HeartbeatResult onHeartbeat(const Heartbeat&);
    // Returns true when the id is the registered target's.
    bool onDeparture(const std::string& id);

    TargetState state() const;
    // Time since the newest heartbeat. Only meaningful once there was one.
    Duration heartbeatAge() const { return m_clock.now() - m_lastHeartbeatTime; }
    // The newest heartbeat, also of a target that is gone.
    const std::optional<Heartbeat>& lastHeartbeat() const { return m_lastHeartbeat; }
    // True when the first heartbeat of the target's start came to this process, so it has seen all of its flows.
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
