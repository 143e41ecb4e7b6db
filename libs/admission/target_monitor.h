// Decides whether the local target is up from what its health endpoint says and from its own traffic.
//
//     TargetMonitor monitor(clock, {});
//     if (monitor.onHealthReply(Incarnation(7), false))
//         announce(monitor.condition());
//
// A health endpoint can lag or report a wrong state. The target therefore counts as down only when its port refuses
// `refusalsUntilDown` connections in a row, or when neither a health reply nor traffic has arrived for
// `silenceTimeout`. A health endpoint that fails or hangs while traffic flows changes nothing. Not thread-safe.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

namespace cicadaward {

enum class TargetState : uint8_t {
    Unknown, // no health reply yet and not known to be down; a restarted agent must not report its target as down
    Down,
    Up,
    Draining,
};

struct TargetCondition {
    TargetState state = TargetState::Unknown;
    Incarnation incarnation; // from the last health reply

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

    // Each returns true if condition() has changed.
    bool onHealthReply(Incarnation incarnation, bool draining);
    bool onHealthConnectionRefused(); // nothing listens on the target's port
    bool onHealthCheckFailed(); // timeout, or a malformed or negative reply

    // Call when the target has sent a packet or an answer.
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
