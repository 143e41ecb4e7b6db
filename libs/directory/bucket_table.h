// Bucket owners of all services at one directory version, and the look-up of the owner for a packet.
//
//     RoutingTable table(directory);
//     Route route;
//     if (!table.route(packet.key, route))
//         drop(); // no service has this address and port
//     else if (!route.owner)
//         drop(); // no member of the service accepts new flows
//     else
//         send(route.owner->tunnel, ...);
//
// Owner and backup of a bucket are the first and second member in weighted rendezvous order, so a change moves only the
// buckets of the members that changed, and a lost member's buckets move to their backups. Building costs
// buckets x members hashes for each service; route() costs one hash of the key, one look-up of the service and one
// array load, independent of the number of members and flows.
#pragma once

#include "directory/directory.h"
#include "packet/flow_key.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <vector>

namespace cicadaward {

// Owners of the buckets of one service. Immutable.
class BucketTable {
public:
    BucketTable(const Directory& directory, const Service& service);

    ServiceId service() const { return m_service; }
    uint32_t bucketCount() const { return m_bucketCount; }
    BucketId bucket(const FlowKey& key) const { return bucketOf(key.hash(), m_bucketCount); }

    // Null when the service has no such member. The pointer is valid as long as this table.
    const Member* owner(BucketId bucket) const { return memberAt(m_owners[bucket.value()].first); }
    const Member* backup(BucketId bucket) const { return memberAt(m_owners[bucket.value()].second); }

    // All agents of the service, including those that accept no new flows.
    const std::vector<Member>& members() const { return m_members; }
    const Member* member(MemberId id) const;
    bool acceptsNewFlows(const Member& member) const
    {
        return m_acceptsNewFlows[static_cast<size_t>(&member - m_members.data())];
    }

private:
    static constexpr uint16_t noMember = 0xffff;

    struct Owners {
        uint16_t first = noMember;
        uint16_t second = noMember;
    };

    const Member* memberAt(uint16_t index) const { return index == noMember ? nullptr : &m_members[index]; }
    Owners rankOwners(BucketId bucket) const;

    ServiceId m_service;
    uint32_t m_bucketCount;
    std::vector<Member> m_members;
    std::vector<bool> m_acceptsNewFlows;
    std::vector<Owners> m_owners;
};

struct Route {
    ServiceId service;
    PortMode mode = PortMode::Flow;
    BucketId bucket;
    const Member* owner = nullptr;
};

class RoutingTable {
public:
    explicit RoutingTable(const Directory& directory);

    DirectoryVersion version() const { return m_version; }

    // Returns false when no service has the destination of this key. Route::owner is null when no member accepts it.
    bool route(const FlowKey& key, Route& route) const;
    const BucketTable* table(ServiceId service) const;

private:
    struct PortEntry {
        const BucketTable* table = nullptr;
        PortMode mode = PortMode::Flow;
    };

    DirectoryVersion m_version;
    std::vector<std::unique_ptr<BucketTable>> m_tables;
    absl::flat_hash_map<uint64_t, PortEntry> m_ports; // by address, port and protocol
};

} // namespace cicadaward
