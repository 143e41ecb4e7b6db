// Explains where a new flow between two ends would go now, without sending it. The entry and each agent answer for
// themselves with the functions that decide about real offers (EntrySteering::planOffer(),
// AgentSteering::judgeOffer()), and explainPlacement() walks the offer through their answers with those of
// offer_walk.h.
//
//     EntryExplanation entry = entrySteering.explain(question);
//     answers[agent] = agentSteering.explain(question, entry.service, entry.state); // for each of entry.members
//     PlacementExplanation placement = explainPlacement(entry, answers);
//
// All are const: an explanation changes nothing that a decision reads. It holds for the moment of the answers only, and
// these are of different moments. Memory: at most maxExplainedExclusions excluded members.
#pragma once

#include "steering/agent_steering.h"
#include "steering/entry_steering.h"
#include "steering/offer_walk.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward::steering {

constexpr size_t maxExplainedExclusions = 64;

struct PlacementQuestion {
    FlowId flow;
    uint64_t bodyBytes = 0; // expected size of the request's body
};

struct ExplainedMember {
    Endpoint agent;
    std::string dataCentre; // empty: the entry does not know the member any more
    TargetState state = TargetState::Unknown; // as the entry knows it
    bool isSuspected = false; // its agent did not answer, so it comes last
    bool heldEarlierFlow = false; // of a flow between the same ends, so it comes first
};

struct ExplainedExclusion {
    Endpoint agent;
    std::string reason;
};

// What the entry's admission of bulk transfers would do with the SYN. At most one of the two applies.
struct BulkAdmissionAnswer {
    Duration wait {}; // expected wait of the SYN, which does not count the active flows; 0: it would not wait
    std::string refusal; // empty: not refused
};

struct EntryExplanation {
    StateIndex state; // in force at the entry; 0: none yet
    uint64_t version = 0;
    bool isReady = false;
    Decision decision = Decision::Offered; // Offered, or why the flow is offered to nobody: NoRoute, Unready, Refused
    std::string reason; // empty when offered
    std::string route;
    ServiceKey service; // drawn for the flow
    std::string serviceName; // empty when there is none
    bool shouldCompareLoad = false; // the first two members that may take the flow compare their loads
    std::vector<ExplainedMember> members; // in the order in which they are offered the flow
    std::vector<ExplainedExclusion> excluded; // members of the service that are not offered it
    size_t excludedCount = 0; // may exceed the size of `excluded`
    std::optional<BulkAdmissionAnswer> bulkAdmission; // none: not offered, or no limit for the route
};

struct AgentExplanation {
    StateIndex state;
    uint64_t version = 0;
    TargetState targetState = TargetState::Unknown;
    std::string service; // of the target; empty when there is none
    std::string refusal; // why the target must not receive the flow; empty: it may
    bool isOutdated = false; // as in OfferVerdict, like the following ones
    bool mayAcceptLater = false;
    bool isEjected = false;
    bool isTrial = false;
    uint16_t load = 0; // also with a refusal
    std::string loadUnit;
    size_t openFlows = 0;
    size_t waitingRequests = 0;
    bool hasEarlierFlow = false; // a flow between the same ends that has not ended; the target decides between them

    // Points into `refusal`.
    OfferVerdict verdict() const;
};

// One visit of the offer.
struct PlacementStep {
    Endpoint member;
    bool isAnswered = true; // false: the agent's answer is missing, and the member counts as one that refuses
    OfferAction action = OfferAction::PassOn;
    std::string reason;
};

struct PlacementExplanation {
    std::vector<PlacementStep> steps;
    // Accepted; Outdated: the entry needs a newer state first; Refused and NoRoute as at the entry; Unready as at the
    // entry, or because no member answered.
    Decision decision = Decision::Refused;
    std::string reason;
    Endpoint member; // that would take the flow
    bool isCertain = true; // false: a member was visited whose answer is missing
};

// `answers` by member; one that is missing is an agent without an answer.
PlacementExplanation explainPlacement(const EntryExplanation&, const std::map<Endpoint, AgentExplanation>& answers);

} // namespace cicadaward::steering
