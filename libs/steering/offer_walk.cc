#include "steering/offer_walk.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // Asks the next member to compare loads. An earlier version of it does not compare a load that is a time. It
    // accepts the flow, or passes it on in the order of the list, in which this member therefore comes next again.
    OfferStep askToCompare(Frame& frame, const OfferVerdict& verdict, Endpoint self)
    {
        frame.leastLoadedPosition = static_cast<uint8_t>(frame.nextPosition - 1);
        frame.lowestLoad = verdict.load;
        frame.loadIsTime = verdict.loadUnit == LoadUnit::HundredMicroseconds;
        // The position is advanced before the frame is sent, so the receiver counts itself as visited.
        Endpoint next = frame.members[frame.nextPosition++];
        if (frame.loadIsTime && frame.members.size() < maxOfferMembers)
            frame.members.insert(frame.members.begin() + frame.nextPosition, self);
        return { OfferAction::Compare, next, "compare" };
    }

} // namespace

const char* loadUnitName(LoadUnit unit)
{
    switch (unit) {
    case LoadUnit::HundredMicroseconds:
        return "100 microseconds";
    case LoadUnit::RequestsPer100Slots:
        break;
    }
    return "requests per 100 slots";
}

Frame makeOffer(const std::vector<Endpoint>& members, bool shouldCompareLoad)
{
    Frame frame;
    frame.kind = FrameKind::Offer;
    frame.shouldCompareLoad = shouldCompareLoad;
    frame.nextPosition = 1;
    frame.members.assign(members.begin(), members.end());
    return frame;
}

void removeRepeatedMember(Frame& frame)
{
    bool isRepeated = frame.loadIsTime && frame.leastLoadedPosition != noPosition
        && frame.nextPosition < frame.members.size()
        && frame.members[frame.nextPosition] == frame.members[frame.leastLoadedPosition];
    if (isRepeated)
        frame.members.erase(frame.members.begin() + frame.nextPosition);
}

Endpoint advanceToNextMember(Frame& frame)
{
    if (frame.shouldCompareLoad && frame.leastLoadedPosition != noPosition) {
        Endpoint leastLoaded = frame.members[frame.leastLoadedPosition];
        frame.shouldCompareLoad = false;
        frame.leastLoadedPosition = noPosition;
        return leastLoaded;
    }
    if (frame.nextPosition < frame.members.size())
        return frame.members[frame.nextPosition++];
    frame.kind = FrameKind::Returned;
    return frame.entry;
}

bool isLastResort(const Frame& frame, Endpoint self)
{
    return std::count(frame.members.begin(), frame.members.begin() + frame.nextPosition, self) > 1;
}

OfferStep takeOfferStep(Frame& frame, const OfferVerdict& verdict, Endpoint self)
{
    if (verdict.isOutdated)
        return { OfferAction::Deny, {}, "offered by an older state" };
    if (verdict.refusal) {
        frame.mayAcceptLater = frame.mayAcceptLater || verdict.mayAcceptLater;
        return { OfferAction::PassOn, advanceToNextMember(frame), verdict.refusal };
    }
    bool isLast = isLastResort(frame, self);
    if (verdict.isEjected && !isLast) {
        // The flow comes back here when no other member takes it, so that a service does not lose all its targets. Of
        // several ejected members, the comparison of loads selects the one with fewer failures.
        if (frame.members.size() < maxOfferMembers)
            frame.members.push_back(self);
        return { OfferAction::PassOn, advanceToNextMember(frame), "target is ejected" };
    }
    if (verdict.isTrial && !isLast)
        return { OfferAction::Accept, {}, "half-open" }; // the failures in its load would lose any comparison
    bool isCompared = frame.leastLoadedPosition != noPosition;
    if (frame.shouldCompareLoad && !isCompared && frame.nextPosition < frame.members.size())
        return askToCompare(frame, verdict, self);
    if (!frame.shouldCompareLoad || !isCompared)
        return {};
    // Loads in different units cannot be compared: the flow is accepted as if this were the only candidate.
    if (frame.loadIsTime != (verdict.loadUnit == LoadUnit::HundredMicroseconds))
        return { OfferAction::Accept, {}, "", LoadComparison::OtherUnit };
    if (frame.lowestLoad < verdict.load)
        return { OfferAction::PassOn, advanceToNextMember(frame), "higher load", LoadComparison::Compared };
    return { OfferAction::Accept, {}, "", LoadComparison::Compared };
}

ReturnedOffer decideReturnedOffer(const Frame& frame, bool isInTime)
{
    if (frame.mayAcceptLater)
        return { Decision::Unready, "no member can decide yet" };
    if (isInTime)
        return { Decision::Refused, "no member accepts" };
    return { Decision::Unready, "another copy may be open" };
}

} // namespace cicadaward::steering
