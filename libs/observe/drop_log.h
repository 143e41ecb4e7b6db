// Counts dropped packets by reason and reports them with at most one event for each reason and second, so that a flood
// of bad packets does not become a flood of lines.
//
//     DropLog drops(log, clock);
//     drops.add(DropReason::NotAuthenticated); // any thread, one relaxed atomic addition
//     drops.report(); // from a timer of the control thread, once a second or more often
#pragma once

#include "observe/event_log.h"

#include <array>
#include <atomic>

namespace cicadaward {

enum class DropReason : uint8_t {
    Malformed,
    NotAuthenticated,
    UnknownService,
    NoOwner,
    ServiceMismatch,
    TargetMismatch,
    HopLimit,
    QueueFull,
    FlowTableFull,
    Refused,
    NoFlow,
    Fenced,
    DataCentreOut,
    TargetDown,
    SendFailed,
};

constexpr size_t dropReasonCount = static_cast<size_t>(DropReason::SendFailed) + 1;

const char* dropReasonName(DropReason reason);

class DropLog {
public:
    DropLog(EventLog& log, const Clock& clock)
        : m_log(log)
        , m_clock(clock)
    {
    }

    void add(DropReason reason, uint64_t count = 1)
    {
        m_counts[static_cast<size_t>(reason)].fetch_add(count, std::memory_order_relaxed);
    }

    uint64_t count(DropReason reason) const
    {
        return m_counts[static_cast<size_t>(reason)].load(std::memory_order_relaxed);
    }

    // Call from one thread only.
    void report();

private:
    struct Reported {
        uint64_t count = 0;
        Time at;
        bool any = false;
    };

    EventLog& m_log;
    const Clock& m_clock;
    std::array<std::atomic<uint64_t>, dropReasonCount> m_counts {};
    std::array<Reported, dropReasonCount> m_reported {};
};

} // namespace cicadaward
