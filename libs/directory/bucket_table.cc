#include "directory/bucket_table.h"

#include <algorithm>
#include <cmath>

namespace cicadaward {

namespace detail {

    uint64_t portKey(uint32_t address, uint16_t port, Protocol protocol)
    {
        return static_cast<uint64_t>(address) << 24 | static_cast<uint64_t>(port) << 8
            | static_cast<uint64_t>(protocol);
    }

    // Weighted rendezvous score: -w / ln(u) with u uniform in (0, 1) gives each member a share of buckets proportional
    // to its weight w, and a change of one weight moves only buckets to or from that member.
    double rendezvousScore(ServiceId service, BucketId bucket, const Member& member)
    {
        uint64_t seed = static_cast<uint64_t>(service.value()) << 16 | bucket.value();
        uint64_t hash = mixHash(member.id.value(), seed);
        double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
        return -static_cast<double>(std::max<uint32_t>(member.capacity, 1)) / std::log(uniform);
    }

} // namespace detail

BucketTable::BucketTable(const Directory& directory, const Service& service)
    : m_service(service.id)
    , m_bucketCount(service.spec.buckets)
{
    for (const Member& member : directory.members) {
        if (member.role != MemberRole::Agent || member.service != service.id)
            continue;
        m_members.push_back(member);
        m_acceptsNewFlows.push_back(cicadaward::acceptsNewFlows(directory, member));
    }
    m_owners.reserve(m_bucketCount);
    for (uint32_t bucket = 0; bucket < m_bucketCount; ++bucket)
        m_owners.push_back(rankOwners(BucketId(static_cast<uint16_t>(bucket))));
}

BucketTable::Owners BucketTable::rankOwners(BucketId bucket) const
{
    Owners owners;
    double bestScore = 0;
    double secondScore = 0;
    for (size_t i = 0; i < m_members.size(); ++i) {
        if (!m_acceptsNewFlows[i])
            continue;
        double score = detail::rendezvousScore(m_service, bucket, m_members[i]);
        if (score > bestScore) {
            owners.second = owners.first;
            secondScore = bestScore;
            owners.first = static_cast<uint16_t>(i);
            bestScore = score;
        } else if (score > secondScore) {
            owners.second = static_cast<uint16_t>(i);
            secondScore = score;
        }
    }
    return owners;
}

const Member* BucketTable::member(MemberId id) const
{
    auto found = std::lower_bound(
        m_members.begin(), m_members.end(), id, [](const Member& member, MemberId key) { return member.id < key; });
    return found != m_members.end() && found->id == id ? &*found : nullptr;
}

RoutingTable::RoutingTable(const Directory& directory)
    : m_version(directory.version)
{
    m_tables.reserve(directory.services.size());
    for (const Service& service : directory.services) {
        m_tables.push_back(std::make_unique<BucketTable>(directory, service));
        for (const PortSpec& port : service.spec.ports)
            m_ports[detail::portKey(service.spec.address, port.port, port.protocol)]
                = { m_tables.back().get(), port.mode };
    }
}

bool RoutingTable::route(const FlowKey& key, Route& route) const
{
    auto found = m_ports.find(detail::portKey(key.destinationAddress, key.destinationPort, key.protocol));
    if (found == m_ports.end())
        return false;
    const BucketTable& table = *found->second.table;
    route.service = table.service();
    route.mode = found->second.mode;
    route.bucket = table.bucket(key);
    route.owner = table.owner(route.bucket);
    return true;
}

const BucketTable* RoutingTable::table(ServiceId service) const
{
    for (const auto& table : m_tables) {
        if (table->service() == service)
            return table.get();
    }
    return nullptr;
}

} // namespace cicadaward
