// Decides where an entry sends each packet of a caller. A state machine without I/O: it uses only the given clock and
// output. Not thread-safe.
//
//     EntrySteering steering(options, format, clock, observer, output);
//     steering.setState(index, routes, evacuated);
//     steering.members().update(record);
//     steering.onCallerPacket(data, size);
//     steering.onFrame(agent, data, size);
//
// Correctness does not depend on state of the entry: its flow cache is a hint, and the target decides whether it holds
// a flow. An agent denies a new flow whose service its newer state excludes; the entry then requests that state and
// offers the flow again. Memory: at most `maxCachedFlows` cached flows of about 80 bytes, `maxDenied` denied flows, the
// packets kept for a retry and the early packets.
//
// A flow that all members deny is reset only when the member list is proved complete: a target gets no flow before it
// is in the register of members, so the list that the leader confirms after the denial, together with the routes of the
// leader's state, contains every target that can hold the flow. Without that proof the packet of a flow that no member
// holds is dropped, and the caller retransmits it.
#pragma once

#include "core/clock.h"
#include "steering/bulk_admission.h"
#include "steering/decisions.h"
#include "steering/early_packets.h"
#include "steering/flow_search.h"
#include "steering/frame.h"
#include "steering/members.h"
#include "steering/route_table.h"
#include "steering/search_pacing.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <set>
#include <string>

namespace cicadaward::steering {

struct EntryOptions {
    Endpoint self; // where agents send their answers
    size_t maxCachedFlows = 65536;
    Duration offerTimeout = std::chrono::milliseconds(60); // then an offer counts as unanswered by its agents
    // An original SYN that no member accepted is refused with a reset only within this time of its arrival. The caller
    // retransmits the SYN later than that, and the retransmission may open the flow.
    Duration refusalWindow = std::chrono::milliseconds(150);
    SearchOptions search;
    SearchPacingOptions searchPacing;
    Duration minSuspicionDuration = std::chrono::seconds(1); // see Members::markSuspect()
    uint8_t offersUntilSuspected = 2; // consecutive unanswered offers
    Duration closedRetention = std::chrono::seconds(4); // of cached flows after a FIN or reset
    EarlyPacketsOptions earlyPackets;
    BulkAdmissionOptions bulk;
};

class EntryOutput {
public:
    virtual ~EntryOutput() = default;
    virtual void sendFrame(Endpoint agent, const std::vector<uint8_t>& frame) = 0;
    virtual void sendToCaller(const FlowId&, const std::vector<uint8_t>& packet) = 0;
    // Asks the leader to confirm the member list. Answered by onMembersConfirmed() or not at all; the entry asks again.
    virtual void confirmMembers() = 0;
    // An agent has a newer state than this entry, which should request it.
    virtual void newerStateSeen(StateIndex) { }
};

struct BulkAdmissionAnswer;
struct EntryExplanation;
struct PlacementQuestion;

class EntrySteering {
public:
    EntrySteering(EntryOptions, const PacketFormat&, const Clock&, DecisionObserver&, EntryOutput&);

    // Replaces the routes and the evacuated data centres by those of the replicated state with this index. Open flows
    // stay at their targets.
    void setState(StateIndex, RouteTable, std::set<std::string> evacuated);
    const RouteTable& routes() const { return m_routes; }
    Members& members() { return m_members; }
    // True when there are routes and at least one member.
    bool isReady() const { return m_routes.version() != 0 && m_members.size() != 0; }

    void onCallerPacket(const uint8_t* data, size_t size);
    void onFrame(Endpoint sender, const uint8_t* data, size_t size);
    // The leader has confirmed that, at some time at or after `asked`, members() held every registered member and
    // routes() was the newest state.
    void onMembersConfirmed(Time asked);
    // Call about every 20 ms while packets arrive; entries expire at most once a second.
    void onTick();

    // Where a new flow would be offered now. Changes nothing. Defined in placement_explanation.cc.
    EntryExplanation explain(const PlacementQuestion&) const;
    size_t cachedFlows() const { return m_flows.size(); }
    size_t earlyPackets() const { return m_earlyPackets.size(); }
    const BulkAdmission& bulk() const { return m_bulk; }
    const SearchPacing& searchPacing() const { return m_searchPacing; }

private:
    // An entry of the flow cache.
    struct CachedFlow {
        Endpoint agent; // of the target that holds the flow; port 0: unknown
        Time lastPacket;
        Time firstSynAt; // arrival of the original SYN
        bool hasCallerIsn = false; // callerIsn is known
        uint32_t callerIsn = 0; // of the newest SYN
        StateIndex offeredBy; // state of the newest offer
        uint32_t lastDataSequence = 0; // of the caller's newest data; valid when hasData
        uint32_t searchSequence = 0; // of the packet that started the search; valid while there is one
        bool hasData = false;
        bool isAwaitingConfirmation = false; // listed in m_deniedFlows
        bool isClosing = false;

        // Records the data of a packet. Returns true when it is a retransmission: the caller has had no answer.
        bool recordData(const FlowPacket&);
        // True when the packet ends the flow. A reset counts only near the caller's newest data.
        bool isEnd(const FlowPacket&) const;
    };
    // The packet that started a search, kept for a retry when the walk is not answered.
    struct UnansweredPacket {
        FlowId flow;
        Time sent;
        std::vector<uint8_t> bytes;
    };
    // A flow that all of `members` have denied.
    struct DeniedFlow {
        FlowId flow;
        uint32_t acknowledged; // acknowledgement number of the caller's last packet
        Time deniedAt;
        std::vector<Endpoint> members;
    };
    // A SYN that an agent denied because of its newer state. It is offered again when this entry has that state.
    struct OutdatedOffer {
        StateIndex needed;
        Time arrived;
        std::vector<uint8_t> bytes;
    };
    struct PendingOffer {
        FlowId flow;
        Endpoint first;
        Endpoint second; // asked to compare its load; port 0: none
        Time sent;
    };

    // What happens to the SYN of a new flow.
    struct OfferPlan {
        Decision decision = Decision::Offered; // else NoRoute, Unready or Refused, with `reason`
        const char* reason = "";
        const Route* route = nullptr;
        ServiceKey service;
        std::vector<Endpoint> members; // that are offered the flow, in order
        bool shouldCompareLoad = false;
    };

    void steer(const FlowPacket&, const uint8_t* data, size_t size);
    void steerEarlyPackets();
    void onSyn(const FlowPacket&, const uint8_t* data, size_t size);
    // `isOtherFlow`: the SYN is no copy of one that this entry remembers.
    OfferPlan planOffer(const FlowId&, bool isOtherFlow, uint8_t synRetransmission) const;
    void offer(const FlowPacket&, Time arrived, const uint8_t* data, size_t size);
    void onNonSyn(const FlowPacket&, const uint8_t* data, size_t size);
    bool isBulkFlow(const FlowId&) const;
    bool admitBulk(const FlowPacket&, const uint8_t* data, size_t size);
    std::optional<BulkAdmissionAnswer> explainBulkAdmission(const FlowId&, const Route&) const;
    void refuseBulk(const FlowId&);
    void recordTraffic(const FlowPacket&, size_t size, bool isClosing);
    void offer(const WaitingSyn&);
    void offerAdmittedBulk();
    void updateBulkRoutes();
    void tickBulk();
    void search(const FlowPacket&, CachedFlow&, const uint8_t* data, size_t size);
    // The first `freeProbes` probes are not repeated packets, see SearchPacing::limit().
    void send(SearchStep, size_t freeProbes, const FlowPacket&, const uint8_t* data, size_t size);
    void sendProbe(
        Endpoint agent, FrameKind, const std::vector<Endpoint>& members, bool mayTry, const uint8_t* data, size_t size);
    void onLocated(Endpoint sender, const FlowId&);
    void onReturned(Endpoint sender, const Frame&, const uint8_t* packet, size_t size);
    void onOfferReturned(Endpoint sender, const Frame&, const FlowPacket&);
    void onOfferOutdated(Endpoint sender, const Frame&, const FlowPacket&, const uint8_t* data, size_t size);
    void repeatOutdatedOffers();
    void onAllMembersDenied(const FlowPacket&, CachedFlow&);
    bool isDeniedByAllMembers(const DeniedFlow&) const;
    void refuse(const FlowPacket&, const char* reason);
    void send(Endpoint agent, const Frame&, const uint8_t* packet, size_t size);
    CachedFlow* findOrAddFlow(const FlowId&);
    void startFlow(const FlowId&, CachedFlow&, uint32_t callerIsn);
    bool isEvacuated(Endpoint agent) const;
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
    StateIndex m_state; // 0: none yet
    RouteTable m_routes;
    std::set<std::string> m_evacuated;
    Members m_members;
    FlowSearches m_searches;
    SearchPacing m_searchPacing;
    EarlyPackets m_earlyPackets;
    BulkAdmission m_bulk;
    absl::flat_hash_map<FlowId, CachedFlow> m_flows;
    std::deque<PendingOffer> m_offers; // oldest first
    std::deque<OutdatedOffer> m_outdatedOffers; // in the order of the denials, at most maxOutdatedOffers
    std::deque<UnansweredPacket> m_unansweredPackets; // oldest first
    std::deque<DeniedFlow> m_deniedFlows; // oldest first
    absl::flat_hash_map<Endpoint, uint8_t> m_unansweredOffers; // by agent
    Time m_lastExpiry;
    std::vector<uint8_t> m_buffer;
};

} // namespace cicadaward::steering
