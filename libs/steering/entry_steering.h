// Decides where an entry sends each packet of a caller. Pure: no sockets, no clock but the given one; one thread.
//
//     EntrySteering steering(options, format, clock, observer, output);
//     steering.setState(routes, evacuated);
//     steering.members().update(record);
//     steering.onCallerPacket(data, size);
//     steering.onFrame(agent, data, size);
//
// The entry holds no state that correctness rests on: its cache of flow positions is a hint, and the target decides
// whether it holds a flow. Memory: at most `maxCachedFlows` positions of about 80 bytes, `maxDenied` denied flows and
// the packets that came before the first state.
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
    size_t maxCachedFlows = 65536;
    Duration offerTimeout
        = std::chrono::milliseconds(60); // an offer without an answer by then counts against its agents
    // A first copy of a SYN that no member took is refused until then. The caller's second copy comes later than that,
    // and may open the flow.
    Duration refusalWindow = std::chrono::milliseconds(150);
    SearchOptions search;
    Duration minSuspicionDuration = std::chrono::seconds(1); // how long an agent that did not answer is asked last
    uint8_t offersUntilSuspected = 2; // unanswered offers in a row until an agent is suspected
    Duration closedRetention = std::chrono::seconds(4); // positions of flows that are being closed
    EarlyPacketsOptions earlyPackets;
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
    size_t earlyPackets() const { return m_earlyPackets.size(); }

private:
    // What the entry remembers of a flow.
    struct CachedFlow {
        Endpoint agent; // where the flow lives; port 0: unknown
        Time lastPacket;
        Time firstSynAt; // first copy of the SYN
        uint32_t lastDataSequence = 0; // sequence of the caller's newest data, when hasData
        bool hasData = false;
        bool isAwaitingConfirmation = false; // stands in m_deniedFlows
        bool isClosing = false;

        // Takes note of a packet. True when it repeats data: the caller has no answer to it.
        bool recordData(const FlowPacket&);
    };
    // A packet that a walk has taken along, in case that it brings no answer.
    struct UnansweredPacket {
        FlowId flow;
        Time sent;
        std::vector<uint8_t> bytes;
    };
    // A flow that all of `members` have denied.
    struct DeniedFlow {
        FlowId flow;
        uint32_t acknowledged; // by the caller's last packet
        Time deniedAt;
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
    void onSyn(const FlowPacket&, const uint8_t* data, size_t size);
    void onNonSyn(const FlowPacket&, const uint8_t* data, size_t size);
    void search(const FlowPacket&, Endpoint lastKnownAgent, const uint8_t* data, size_t size);
    void send(const SearchStep&, const FlowPacket&, const uint8_t* data, size_t size);
    void sendProbe(Endpoint agent, FrameKind, const std::vector<Endpoint>& members, const uint8_t* data, size_t size);
    void onLocated(Endpoint sender, const FlowId&);
    void onReturned(Endpoint sender, const Frame&, const uint8_t* packet, size_t size);
    void onOfferReturned(Endpoint sender, const Frame&, const FlowPacket&);
    void onAllMembersDenied(const FlowPacket&, CachedFlow&);
    bool isDeniedByAllMembers(const DeniedFlow&) const;
    void refuse(const FlowPacket&, const char* reason);
    void send(Endpoint agent, const Frame&, const uint8_t* packet, size_t size);
    CachedFlow* findOrAddFlow(const FlowId&);
    void countUnansweredOffer(Endpoint agent);
    void checkUnansweredOffers();
    void retryUnansweredPackets();
    void expireDeniedFlows();
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
    EarlyPackets m_earlyPackets;
    absl::flat_hash_map<FlowId, CachedFlow> m_flows;
    std::deque<PendingOffer> m_offers; // oldest first
    std::deque<UnansweredPacket> m_unansweredPackets; // oldest first
    std::deque<DeniedFlow> m_deniedFlows; // oldest first
    absl::flat_hash_map<Endpoint, uint8_t> m_unansweredOffers; // by agent
    Time m_lastExpiry;
    std::vector<uint8_t> m_buffer;
};

} // namespace cicadaward::steering
