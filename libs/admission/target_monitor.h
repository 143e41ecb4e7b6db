// Decides whether the local target is up from what its health endpoint says and from its own traffic.
//
//     TargetMonitor monitor(clock, {});
//     if (monitor.onHealthReply(Incarnation(7), false))
//         announce(monitor.condition());
//
// Health endpoints lag or mislead, so only two things count as proof that the target is gone: nothing accepts
// connections at its port (refusalsUntilDown times in a row), or neither health answers nor traffic for silenceTimeout.
// A health endpoint that fails or hangs while traffic flows changes nothing. Not safe for use by several threads.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

namespace cicadaward {

enum class TargetState : uint8_t {
    Unknown, // before the first proof; an agent that restarts must not report its target as down
    Down,
    Up,
    Draining,
};

struct TargetCondition {
    TargetState state = TargetState::Unknown;
    Incarnation incarnation; // the last one that was seen

    friend bool operator==(const TargetCondition& a, const TargetCondition& b)
    {
        return a.state == b.state && a.incarnation == b.incarnation;
    }
    friend bool operator!=(const TargetCondition& a, const TargetCondition& b) { return !(a == b); }
};

struct TargetMonitorSettings {
    int refusalsUntilDown = 2;
    Duration silenceTimeout = std::chrono::seconds(3);
};

class TargetMonitor {
public:
    TargetMonitor(const Clock& clock, TargetMonitorSettings settings);

    // Each returns true when condition() has changed.
    bool onHealthReply(Incarnation incarnation, bool draining);
    bool onHealthConnectionRefused(); // nothing listens at the target's port
    bool onHealthCheckFailed(); // timeout, damaged or negative answer

    // The target has sent a packet or an answer.
    void recordTraffic() { m_lastTraffic = m_clock.now(); }

    const TargetCondition& condition() const { return m_condition; }

private:
    bool setCondition(TargetState state, Incarnation incarnation);

    const Clock& m_clock;
    TargetMonitorSettings m_settings;
    TargetCondition m_condition;
    int m_consecutiveRefusals = 0;
    Time m_lastHealth;
    Time m_lastTraffic;
};

} // namespace cicadaward
