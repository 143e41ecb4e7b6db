// Difference between two directories, for sending changes instead of whole directories.
//
//     DirectoryDelta delta = makeDelta(before, after);
//     if (!applyDelta(delta, copy)) // `copy` is at another version than the delta's base
//         askForSnapshot();
//
// A changed member or service is sent completely. Cost: O(members + services) to make and to apply.
#pragma once

#include "directory/codec.h"

namespace cicadaward::control {

struct DirectoryDelta {
    DirectoryVersion base;
    DirectoryVersion version;
    Epoch manifestEpoch;
    uint64_t manifestVersion = 0;
    bool dataCentresChanged = false;
    std::vector<DataCentre> dataCentres; // all of them when dataCentresChanged, else empty
    std::vector<Service> services; // new or changed
    std::vector<ServiceId> removedServices;
    std::vector<Member> members; // new or changed
    std::vector<MemberId> removedMembers;

    bool isEmpty() const
    {
        return !dataCentresChanged && services.empty() && removedServices.empty() && members.empty()
            && removedMembers.empty();
    }

    MSGPACK_DEFINE_ARRAY(base, version, manifestEpoch, manifestVersion, dataCentresChanged, dataCentres, services,
        removedServices, members, removedMembers)
};

// applyDelta() rejects a delta with more members and services, added and removed, than this.
constexpr size_t maxDeltaItems = 1 << 16;

bool isSameMember(const Member& a, const Member& b);
bool isSameService(const Service& a, const Service& b);

DirectoryDelta makeDelta(const Directory& before, const Directory& after);

// Returns false and leaves `directory` unchanged when it is not at the delta's base, when the delta does not lead to a
// newer version, or when it would lower the manifest epoch.
bool applyDelta(const DirectoryDelta& delta, Directory& directory);

// False when ids are not ascending or an enumeration is out of range, as in a damaged message.
bool isWellFormed(const Directory& directory);

} // namespace cicadaward::control
