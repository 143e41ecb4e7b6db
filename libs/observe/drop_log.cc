#include "observe/drop_log.h"

namespace cicadaward {

const char* dropReasonName(DropReason reason)
{
    switch (reason) {
    case DropReason::Malformed:
        return "malformed";
    case DropReason::NotAuthenticated:
        return "not-authenticated";
    case DropReason::UnknownService:
        return "unknown-service";
    case DropReason::NoOwner:
        return "no-owner";
    case DropReason::ServiceMismatch:
        return "service-mismatch";
    case DropReason::TargetMismatch:
        return "target-mismatch";
    case DropReason::HopLimit:
        return "hop-limit";
    case DropReason::QueueFull:
        return "queue-full";
    case DropReason::FlowTableFull:
        return "flow-table-full";
    case DropReason::Refused:
        return "refused";
    case DropReason::NoFlow:
        return "no-flow";
    case DropReason::Fenced:
        return "fenced";
    case DropReason::DataCentreOut:
        return "data-centre-out";
    case DropReason::TargetDown:
        return "target-down";
    case DropReason::SendFailed:
        return "send-failed";
    }
    return "";
}

void DropLog::report()
{
    const Time now = m_clock.now();
    for (size_t i = 0; i < dropReasonCount; ++i) {
        Reported& reported = m_reported[i];
        const uint64_t total = m_counts[i].load(std::memory_order_relaxed);
        if (total == reported.count || (reported.any && now - reported.at < std::chrono::seconds(1)))
            continue;
        m_log.write(EventId::PacketDropped,
            { { "reason", dropReasonName(static_cast<DropReason>(i)) }, { "count", total - reported.count },
                { "total", total } });
        reported = { total, now, true };
    }
}

} // namespace cicadaward
