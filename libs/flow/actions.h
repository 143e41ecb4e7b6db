// Actions that the flow machines return. The driver (a daemon or a test) carries them out in order and clears the list:
//
//     Actions actions;
//     agent.handle(event, actions);
//     for (const Action& action : actions.list())
//         std::visit(driver, action);
//     actions.clear();
//
// Packets are views. They point into the event's own bytes or into storage of the list, so they are valid until both
// the event's bytes and the list change. A list that is reused allocates nothing on the forwarding path.
#pragma once

#include "directory/directory.h"
#include "packet/tunnel.h"

#include <absl/types/span.h>
#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cicadaward::flow {

using Bytes = absl::Span<const uint8_t>;

// Send `packet` behind `header` to the tunnel port of another process.
struct SendTunnel {
    Endpoint to;
    TunnelHeader header;
    Bytes packet;
};

// Send an encoded peer message to an agent, as a tunnel datagram of kind PeerMessage. It may be lost.
struct SendPeer {
    MemberId member;
    Endpoint to;
    TunnelHeader header;
    Bytes message;
};

// Hand `packet` to the local target (PortMode::Flow) or to the agent's own TCP endpoint (PortMode::Request). With
// `refuse`, the endpoint answers every request of this connection with 503 "not run".
struct DeliverPacket {
    PortMode mode = PortMode::Flow;
    bool refuse = false;
    bool speculative = false; // after a restart: the target may not have the connection, and its reset is held back
    Bytes packet;
};

// Send `packet` to the fabric's return address.
struct SendToCaller {
    Bytes packet;
};

// Somebody uses a directory of at least this version, which is newer than ours: pull it from a control instance.
struct RequestDirectory {
    DirectoryVersion version;
};

using Action = std::variant<SendTunnel, SendPeer, DeliverPacket, SendToCaller, RequestDirectory>;

class Actions {
public:
    const std::vector<Action>& list() const { return m_list; }
    bool empty() const { return m_list.empty(); }
    void clear()
    {
        m_list.clear();
        m_storage.clear();
    }

    void add(const Action& action) { m_list.push_back(action); }

    // Keeps bytes that the event does not hold, until clear().
    Bytes store(std::vector<uint8_t> bytes)
    {
        m_storage.push_back(std::move(bytes));
        return m_storage.back();
    }
    Bytes store(const std::string& bytes) { return store(std::vector<uint8_t>(bytes.begin(), bytes.end())); }

private:
    std::vector<Action> m_list;
    std::vector<std::vector<uint8_t>> m_storage;
};

// What the machines count. flowCounterName() gives the metric's name.
enum class FlowCounter : uint8_t {
    Delivered, // packets handed to the local target or endpoint
    ForwardedToOwner, // packets passed on because another agent owns the bucket
    ForwardedToHolder, // packets of flows that live elsewhere
    FlowsOpened, // flows admitted here
    FlowsClosed, // flows that ended here
    FlowsAdopted, // flows taken back after a restart of the agent
    FlowsPlaced, // placements decided here
    PlacementRefused, // new flows that no target took
    Resets, // resets sent to callers
    DroppedDamaged, // packets and messages that cannot be parsed
    DroppedForeign, // packets of another service, or of a sender in a data centre that is out
    DroppedHops, // packets beyond maxHops
    DroppedQueueFull, // packets of unsettled buckets beyond the queue's bounds
    DroppedExpired, // packets that waited too long for their bucket
    DroppedNoOwner, // no member owns the bucket
    DroppedIsolated, // packets refused under the isolation rule
    DroppedUnknown, // segments of unknown flows that may not be reset yet
    DroppedStale, // last-hop check failed and nobody else can take the packet
    TableFull, // flows refused because the flow table is full
    CopiesDropped, // backup copies that did not fit
    ListIncomplete, // flows of a synced bucket that did not fit
    ConflictingHolders, // two holders reported the same flow
    SyncRequests, // sync requests sent
    SyncStale, // sync requests refused because their version is old
    BucketsTaken, // buckets whose take-over began
    BucketsSettled, // buckets whose take-over ended
    RefusedLease, // admissions refused because the lease has lapsed
    RefusedLimit, // admissions refused by the admission limit
    RefusedVersion, // admissions refused because the bucket has been promised to a newer owner
    RefusedTarget, // admissions refused because the target is down, draining or has another incarnation
};
constexpr size_t flowCounterCount = 30;
const char* flowCounterName(FlowCounter counter);

class FlowCounters {
public:
    void add(FlowCounter counter, uint64_t count = 1) { m_values[static_cast<size_t>(counter)] += count; }
    uint64_t value(FlowCounter counter) const { return m_values[static_cast<size_t>(counter)]; }

private:
    std::array<uint64_t, flowCounterCount> m_values {};
};

} // namespace cicadaward::flow
