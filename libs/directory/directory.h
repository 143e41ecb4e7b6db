// The directory: the versioned view of the system that every process holds. It lists the services and data centres of
// the accepted manifest, and the registered members. Only the leader of the control plane makes a new version.
//
//     Directory directory;
//     if (!decodeDirectory(bytes, directory))
//         return;
//     if (directory.version > current.version)
//         current = std::move(directory);
//
// Plain data without behaviour; about 80 bytes for each member.
#pragma once

#include "core/version.h"
#include "directory/manifest.h"

#include <string>
#include <utility>
#include <vector>

namespace cicadaward {

enum class MemberRole : uint8_t {
    Entry = 0,
    Agent = 1,
};

enum class MemberState : uint8_t {
    Warming = 0, // accepts new flows, within the limit of a cold target
    Warm = 1,
    Draining = 2, // keeps its flows, accepts no new ones, owns no bucket
    TargetDown = 3, // the agent runs, its target does not: no flows, owns no bucket
};

// IPv4 address and UDP or TCP port, host byte order.
struct Endpoint {
    uint32_t address = 0;
    uint16_t port = 0;

    friend bool operator==(const Endpoint& a, const Endpoint& b) { return a.address == b.address && a.port == b.port; }
    friend bool operator!=(const Endpoint& a, const Endpoint& b) { return !(a == b); }
    friend bool operator<(const Endpoint& a, const Endpoint& b) { return a.key() < b.key(); }
    template <typename H> friend H AbslHashValue(H state, const Endpoint& endpoint)
    {
        return H::combine(std::move(state), endpoint.key());
    }

    // Address and port in one number; different endpoints have different keys.
    uint64_t key() const { return (uint64_t(address) << 16) | port; }
};

struct Member {
    MemberId id;
    std::string name;
    MemberRole role = MemberRole::Agent;
    MemberState state = MemberState::Warming;
    ServiceId service; // none for an entry
    DataCentreId dataCentre;
    Endpoint tunnel;
    uint32_t capacity = 0; // maximum number of open flows when the target is warm
    Incarnation process; // of the entry or agent
    Incarnation target; // of the target beside the agent
};

struct Service {
    ServiceId id;
    ServiceSpec spec;
};

struct DataCentre {
    DataCentreId id;
    std::string name;
    bool isTakenOut = false;
};

struct Directory {
    DirectoryVersion version;
    Epoch manifestEpoch;
    uint64_t manifestVersion = 0;
    std::vector<DataCentre> dataCentres; // ascending ids
    std::vector<Service> services; // ascending ids
    std::vector<Member> members; // ascending ids

    const DataCentre* findDataCentre(DataCentreId id) const;
    const DataCentre* findDataCentre(const std::string& name) const;
    const Service* findService(ServiceId id) const;
    const Service* findService(const std::string& name) const;
    const Member* findMember(MemberId id) const;

    // False when the id is unknown: a data centre that the manifest does not name is not taken out.
    bool isTakenOut(DataCentreId id) const;
};

// True for an agent that is warming or warm and whose data centre is not taken out: it may own buckets.
bool acceptsNewFlows(const Directory& directory, const Member& member);

// MessagePack. decodeDirectory() returns false on damaged or oversized input and leaves `directory` unspecified.
std::string encodeDirectory(const Directory& directory);
bool decodeDirectory(const std::string& bytes, Directory& directory);

} // namespace cicadaward
