// A fixture for tests of EntrySteering: an entry that has no routes and no members yet.
#pragma once

#include "steering/test_fabric.h"

#include <vector>

namespace cicadaward::steering {

struct EntryWithoutState {
    ManualClock clock;
    FakePacketFormat format;
    CountingObserver observer;
    RecordingOutput output;
    EntrySteering entry { options(), format, clock, observer, output };

    static EntryOptions options()
    {
        EntryOptions result;
        result.self = entryEndpoint;
        result.maxCachedFlows = 64;
        return result;
    }
    void packet(const FlowPacket& head)
    {
        std::vector<uint8_t> bytes = FakePacketFormat::encode(head);
        entry.onCallerPacket(bytes.data(), bytes.size());
    }
};

} // namespace cicadaward::steering
