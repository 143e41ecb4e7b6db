// Actions that the classes of this library return. A daemon or a test performs them in order and clears the list:
//
//     Actions actions;
//     agent.handle(event, actions);
//     for (const Action& action : actions.list())
//         std::visit(driver, action);
//     actions.clear();
//
// Packets are views into the bytes of the event or into storage of the list. They are valid only while neither the
// bytes of the event nor the list change. Reusing a list avoids allocations on the forwarding path.
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

// Send `packet`, preceded by `header`, to the tunnel port of another process.
struct SendTunnel {
    Endpoint to;
    TunnelHeader header;
    Bytes packet;
};

// Send an encoded peer message to an agent, as a tunnel datagram of kind PeerMessage. The datagram may be lost.
struct SendPeer {
    MemberId member;
    Endpoint to;
    TunnelHeader header;
    Bytes message;
};

// Deliver `packet` to the local target (PortMode::Flow) or to the agent's own TCP endpoint (PortMode::Request).
struct DeliverPacket {
    PortMode mode = PortMode::Flow;
    bool refuseRequests = false; // the endpoint answers every request of this connection with 503 "not run"
    // After a restart the target may or may not have the connection. The agent drops a reset with which the target
    // answers the packet.
    bool speculative = false;
    Bytes packet;
};

// Send `packet` to the fabric's return address.
struct SendToCaller {
    Bytes packet;
};

// Fetch the directory from a control instance: another process uses at least this version, which is newer than ours.
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

    // Copies bytes that are not part of the event. The view is valid until clear().
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

// The counters of an agent. flowCounterName() returns the name of the metric.
enum class FlowCounter : uint8_t {
    Delivered, // packets delivered to the local target or endpoint
    ForwardedToOwner, // packets passed on because another agent owns the bucket
    ForwardedToHolder, // packets passed on because another agent may hold the flow
    FlowsOpened, // flows admitted here
    FlowsClosed, // flows that ended here
    FlowsAdopted, // flows of the target that this agent recorded again after a restart
    FlowsPlaced, // new flows for which this agent chose the target
    PlacementRefused, // new flows that no target accepted
    Resets, // resets sent to callers
    DroppedDamaged, // packets and messages that cannot be parsed
    DroppedForeign, // packets of another service, or of a sender in a data centre that has been taken out
    DroppedHops, // packets that exceeded maxHops
    DroppedQueueFull, // packets of unsettled buckets that exceeded the bounds of the queue
    DroppedExpired, // packets that waited too long for their bucket to settle
    DroppedNoOwner, // no member owns the bucket
    DroppedIsolated, // packets dropped while isolated or while the own data centre is out
    DroppedUnknown, // segments of unknown flows that may not be answered with a reset yet
    DroppedStale, // packets that do not match the local target or a known flow and cannot be forwarded
    TableFull, // flows refused because the flow table is full
    CopiesDropped, // backup copies for which the flow table or the list of pending updates had no room
    ListIncomplete, // reported or restored flows for which the flow table had no room
    ConflictingHolders, // two holders reported the same flow
    SyncRequests, // sync requests sent
    SyncStale, // sync requests refused because a newer version is known or promised here
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
