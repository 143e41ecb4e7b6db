// Strong types for the numbers that name things, so that a service id cannot be passed where a member id is expected.
//
//     ServiceId service(7);
//     if (service == packet.service)
//         deliver(service.value());
//
// Ids are never reused: the control instances assign service and data centre ids in the replicated log, and a member
// id is a hash of the instance name. A service that is created again under an old name or address gets a new id.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

namespace cicadaward {

template <typename Tag, typename Representation> class Id {
public:
    using Value = Representation;

    constexpr Id() = default;
    constexpr explicit Id(Representation value)
        : m_value(value)
    {
    }

    constexpr Representation value() const { return m_value; }

    friend constexpr bool operator==(Id a, Id b) { return a.m_value == b.m_value; }
    friend constexpr bool operator!=(Id a, Id b) { return a.m_value != b.m_value; }
    friend constexpr bool operator<(Id a, Id b) { return a.m_value < b.m_value; }
    friend constexpr bool operator>(Id a, Id b) { return b < a; }
    friend constexpr bool operator<=(Id a, Id b) { return !(b < a); }
    friend constexpr bool operator>=(Id a, Id b) { return !(a < b); }

    template <typename H> friend H AbslHashValue(H state, Id id) { return H::combine(std::move(state), id.m_value); }

private:
    Representation m_value {};
};

// Zero means "none" for every id.
using ServiceId = Id<struct ServiceTag, uint32_t>;
using DataCentreId = Id<struct DataCentreTag, uint16_t>;
using MemberId = Id<struct MemberTag, uint64_t>;
using BucketId = Id<struct BucketTag, uint16_t>;

// Number of the process start or target start; a later start has a larger number.
using Incarnation = Id<struct IncarnationTag, uint64_t>;

// Number of a caller's connection within one process; never reused.
using ConnectionId = Id<struct ConnectionTag, uint64_t>;

// Number of accepted manifests, from 1; 0 before the first.
using Epoch = Id<struct EpochTag, uint64_t>;

// Position in the replicated log of the command that led to a state; a larger index is always newer, in every process.
using StateIndex = Id<struct StateIndexTag, uint64_t>;

// Term of the control instances' election.
using Term = Id<struct TermTag, uint64_t>;

} // namespace cicadaward

namespace std {
template <typename Tag, typename Representation> struct hash<cicadaward::Id<Tag, Representation>> {
    size_t operator()(cicadaward::Id<Tag, Representation> id) const { return hash<Representation>()(id.value()); }
};
} // namespace std
