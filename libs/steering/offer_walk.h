// The way of an offered SYN from member to member, as functions of the frame that carries the offer. Agents decide with
// them about real offers, and placement_explanation.h about an offer that nobody sent. Pure functions without state.
//
//     OfferVerdict verdict = judge(flow);
//     OfferStep step = takeOfferStep(frame, verdict, self);
//     if (step.action == OfferAction::PassOn)
//         send(step.next, frame);
//
// The first two members compare their loads, and the less loaded one takes the flow. A member that must not take it
// passes the frame on; the last one returns it to the entry.
#pragma once

#include "steering/decisions.h"
#include "steering/frame.h"

namespace cicadaward::steering {

enum class LoadUnit : uint8_t {
    RequestsPer100Slots, // expected requests at the target, see AgentSteering::load()
    HundredMicroseconds, // expected time until a request is answered, see AgentSteering::loadAsTime()
};

const char* loadUnitName(LoadUnit);

// What a member says about a new flow, whatever the frame of the offer holds.
struct OfferVerdict {
    const char* refusal = nullptr; // why the target must not receive the flow; null: it may
    bool isOutdated = false; // the member's newer state gives the flow to another service; nothing else is set then
    bool mayAcceptLater = false; // with a refusal: the member cannot decide yet
    bool isEjected = false; // the target takes the flow only when no other member does
    bool isTrial = false; // the target is half-open: its load, which includes its failures, is not compared
    uint16_t load = 0; // valid without a refusal
    LoadUnit loadUnit = LoadUnit::RequestsPer100Slots;
};

enum class OfferAction : uint8_t {
    Accept, // this member takes the flow
    Compare, // the next member compares its load with that of this one
    PassOn, // the next member decides, or the entry when the frame's kind is Returned
    Deny, // back to the entry, which needs a newer state
};

enum class LoadComparison : uint8_t { None, Compared, OtherUnit };

struct OfferStep {
    OfferAction action = OfferAction::Accept;
    Endpoint next; // receiver of the frame; none for Accept and Deny
    const char* reason = "";
    LoadComparison comparison = LoadComparison::None; // of this member's load with that of another one
};

// The offer of a new flow that the first of `members` (at least one) gets.
Frame makeOffer(const std::vector<Endpoint>& members, bool shouldCompareLoad);
// Call for an offer that has arrived: removes the member that is listed again only for receivers of an earlier version.
void removeRepeatedMember(Frame&);
// Decides what `self` does with an offer, and changes the frame to what the receiver gets.
OfferStep takeOfferStep(Frame&, const OfferVerdict&, Endpoint self);
// Advances the frame to the next member, or returns it to the entry after the last one. When a load was compared, the
// member that reported it comes before the members that were not visited. Returns the receiver.
Endpoint advanceToNextMember(Frame&);
// True when the member has put itself at the end of the list, and the frame has come back to it from there.
bool isLastResort(const Frame&, Endpoint self);

struct ReturnedOffer {
    Decision decision; // Refused: with a reset; Unready: the SYN is dropped, and the caller's next copy decides
    const char* reason;
};

// What the entry does with an offer that no member accepted. `isInTime`: no copy of the SYN can be on its way yet.
ReturnedOffer decideReturnedOffer(const Frame&, bool isInTime);

} // namespace cicadaward::steering
