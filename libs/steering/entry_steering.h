// Decides where an entry sends each packet of a caller. Pure: no sockets, no clock but the given one; one thread.
//
//     EntrySteering steering(options, format, clock, observer, output);
//     steering.setState(routes, evacuated);
//     steering.members().update(record);
//     steering.onCallerPacket(data, size);
//     steering.onFrame(agent, data, size);
//
// The entry holds no state that correctness rests on: its cache of flow positions is a hint, and the target decides
// whether it holds a flow. Memory: at most `cacheEntries` positions of about 80 bytes, `maxDenied` denied flows and the
// packets that came before the first state.
//
// A flow that all members deny is reset only when the member list is proved complete: a target gets no flow before the
// members' register names it, so the list that the leader confirms after the denial, together with the routes of the
// leader's state, contains every target that can hold the flow. Without that proof a packet that nobody takes is
// dropped; the caller repeats it.
#pragma once

#include "core/clock.h"
#include "steering/decisions.h"
#include "steering/early_packets.h"
#include "steering/flow_search.h"
#include "steering/frame.h"
#include "steering/members.h"
#include "steering/route_table.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <set>
#include <string>

namespace cicadaward::steering {

struct EntryOptions {
    Endpoint self; // where agents send frames for this entry
    size_t cacheEntries = 65536;
    Duration answerLimit
        = std::chrono::milliseconds(60); // an offer without an answer by then counts against its agents
    // A first copy of a SYN that no member took is refused until then. The caller's second copy comes later than that,
    // and may open the flow.
    Duration refusalLimit = std::chrono::milliseconds(150);
    SearchOptions search;
    Duration suspicion = std::chrono::seconds(1); // how long an agent that did not answer is asked last
    uint8_t strikes = 2; // unanswered offers in a row until an agent is suspected
    Duration closedRetention = std::chrono::seconds(4); // positions of flows that are being closed
    EarlyPacketsOptions early;
};

class EntryOutput {
public:
    virtual ~EntryOutput() = default;
    virtual void sendFrame(Endpoint agent, const std::vector<uint8_t>& frame) = 0;
    virtual void sendToCaller(const FlowId&, const std::vector<uint8_t>& packet) = 0;
    // Answered by onMembersConfirmed(), or not at all; the entry asks again.
    virtual void confirmMembers() = 0;
};

class EntrySteering {
public:
    EntrySteering(EntryOptions, const PacketFormat&, const Clock&, DecisionObserver&, EntryOutput&);

    // Replaces routes and evacuated data centres; open flows stay where they are.
    void setState(RouteTable, std::set<std::string> evacuated);
    const RouteTable& routes() const { return m_routes; }
    Members& members() { return m_members; }
    // True when packets can be forwarded by a configuration that is in force.
    bool isReady() const { return m_routes.version() != 0 && m_members.size() != 0; }

    void onCallerPacket(const uint8_t* data, size_t size);
    void onFrame(Endpoint sender, const uint8_t* data, size_t size);
    // The leader has confirmed that members() held every registered member and routes() the newest state at a time not
    // before `asked`.
    void onMembersConfirmed(Time asked);
    // Call about every 20 ms while packets flow; expires at most once a second.
    void onTick();

    size_t cachedFlows() const { return m_flows.size(); }
    size_t earlyPackets() const { return m_early.size(); }

private:
    // What the entry remembers of a flow.
    struct Position {
        Endpoint agent; // where the flow lives; port 0: unknown
        Time lastPacket;
        Time offered; // first copy of the SYN
        uint32_t lastData = 0; // sequence of the caller's newest data, when hasData
        bool hasData = false;
        bool denied = false; // stands in m_denied
        bool closing = false;

        // Takes note of a packet. True when it repeats data: the caller has no answer to it.
        bool noteRepeat(const FlowPacket&);
    };
    // A packet that a walk has taken along, in case that it brings no answer.
    struct Unanswered {
        FlowId flow;
        Time sent;
        std::vector<uint8_t> bytes;
    };
    // A flow that all of `members` have denied.
    struct Denied {
        FlowId flow;
        uint32_t acknowledged; // by the caller's last packet
        Time at;
        std::vector<Endpoint> members;
    };
    struct PendingOffer {
        FlowId flow;
        Endpoint first;
        Endpoint second; // port 0: only one was asked
        Time sent;
    };

    void steer(const FlowPacket&, const uint8_t* data, size_t size);
    void steerEarlyPackets();
    void onOpen(const FlowPacket&, const uint8_t* data, size_t size);
    void onData(const FlowPacket&, const uint8_t* data, size_t size);
    void search(const FlowPacket&, Endpoint first, const uint8_t* data, size_t size);
    void send(const SearchStep&, const FlowPacket&, const uint8_t* data, size_t size);
    void sendProbe(Endpoint agent, FrameKind, const std::vector<Endpoint>& members, const uint8_t* data, size_t size);
    void onLocated(Endpoint sender, const FlowId&);
    void onReturned(Endpoint sender, const Frame&, const uint8_t* packet, size_t size);
    void onUnavailable(Endpoint sender, const Frame&, const FlowPacket&);
    void onDenied(const FlowPacket&, Position&);
    bool isComplete(const Denied&) const;
    void refuse(const FlowPacket&, const char* reason);
    void send(Endpoint agent, const Frame&, const uint8_t* packet, size_t size);
    Position* position(const FlowId&);
    void strike(Endpoint agent);
    void checkOffers();
    void checkSearches();
    void expireDenied();
    void expire();

    const EntryOptions m_options;
    const PacketFormat& m_format;
    const Clock& m_clock;
    DecisionObserver& m_observer;
    EntryOutput& m_output;
    RouteTable m_routes;
    std::set<std::string> m_evacuated;
    Members m_members;
    FlowSearches m_searches;
    EarlyPackets m_early;
    absl::flat_hash_map<FlowId, Position> m_flows;
    std::deque<PendingOffer> m_offers; // oldest first
    std::deque<Unanswered> m_unanswered; // oldest first
    std::deque<Denied> m_denied; // oldest first
    absl::flat_hash_map<Endpoint, uint8_t> m_strikes; // by agent
    Time m_lastExpiry;
    std::vector<uint8_t> m_buffer;
};

} // namespace cicadaward::steering
