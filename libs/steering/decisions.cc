#include "steering/decisions.h"

namespace cicadaward::steering {

const char* decisionName(Decision decision)
{
    switch (decision) {
    case Decision::Offered:
        return "offered";
    case Decision::Accepted:
        return "accepted";
    case Decision::Repeated:
        return "repeated";
    case Decision::Waiting:
        return "waiting";
    case Decision::PassedOn:
        return "passed-on";
    case Decision::Searched:
        return "searched";
    case Decision::Broadcast:
        return "broadcast";
    case Decision::Tried:
        return "tried";
    case Decision::Located:
        return "located";
    case Decision::Refused:
        return "refused";
    case Decision::Outdated:
        return "outdated";
    case Decision::Reset:
        return "reset";
    case Decision::NoRoute:
        return "no-route";
    case Decision::NotHeld:
        return "not-held";
    case Decision::Malformed:
        return "malformed";
    case Decision::TableFull:
        return "table-full";
    case Decision::Unready:
        return "unready";
    case Decision::Count:
        break;
    }
    return "unknown";
}

const char* latencyName(Latency latency)
{
    switch (latency) {
    case Latency::FlowOpened:
        return "flow.opened";
    case Latency::FlowFound:
        return "flow.found";
    case Latency::RequestAnswered:
        return "request.answered";
    case Latency::RequestWaited:
        return "request.waited";
    case Latency::Count:
        break;
    }
    return "unknown";
}

} // namespace cicadaward::steering
