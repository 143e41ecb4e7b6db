#include "control/directory_publisher.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>

namespace cicadaward::control {

namespace detail {

    std::shared_ptr<const Directory> buildDirectory(
        DirectoryVersion version, const ManifestRegister& manifests, const Membership& membership)
    {
        auto directory = std::make_shared<Directory>();
        directory->version = version;
        directory->manifestEpoch = manifests.epoch();
        directory->manifestVersion = manifests.version();
        directory->dataCentres = manifests.dataCentres();
        directory->services = manifests.services();
        absl::flat_hash_map<std::string, ServiceId> services;
        absl::flat_hash_map<ServiceId, uint32_t> capacities;
        for (const Service& service : directory->services) {
            services[service.spec.name] = service.id;
            capacities[service.id] = service.spec.flowsPerTarget;
        }
        absl::flat_hash_map<std::string, DataCentreId> dataCentres;
        for (const DataCentre& dataCentre : directory->dataCentres)
            dataCentres[dataCentre.name] = dataCentre.id;
        directory->members.reserve(membership.members().size());
        for (const auto& [id, entry] : membership.members()) {
            const MemberRecord& record = entry.record;
            auto service = services.find(record.service);
            auto dataCentre = dataCentres.find(record.dataCentre);
            if (dataCentre == dataCentres.end() || (record.role == MemberRole::Agent && service == services.end()))
                continue;
            Member member;
            member.id = id;
            member.name = record.name;
            member.role = record.role;
            member.state = Membership::effectiveState(entry);
            if (record.role == MemberRole::Agent)
                member.service = service->second;
            member.dataCentre = dataCentre->second;
            member.tunnel = record.tunnel;
            member.capacity = record.capacity;
            // An agent that states no capacity of its own has that of its service.
            if (member.capacity == 0 && record.role == MemberRole::Agent)
                member.capacity = capacities[service->second];
            member.process = record.process;
            member.target = record.target;
            directory->members.push_back(std::move(member));
        }
        return directory;
    }

} // namespace detail

void DirectoryPublisher::leadershipGained(Term term)
{
    m_term = term;
    m_leaderSince = m_clock.now();
    m_quorumAt.reset();
    m_publishedAt.reset();
    m_publishedEpoch = Epoch();
    m_publishedRevision = 0;
    m_sequence = 0;
}

void DirectoryPublisher::recordQuorum(Time at)
{
    if (!m_quorumAt || *m_quorumAt < at)
        m_quorumAt = at;
}

void DirectoryPublisher::recordSeenVersion(DirectoryVersion version, Epoch epoch)
{
    m_seen = std::max(m_seen, version);
    m_seenEpoch = std::max(m_seenEpoch, epoch);
}

bool DirectoryPublisher::hasQuorum() const
{
    return m_term && m_quorumAt && m_clock.now() - *m_quorumAt < m_settings.quorumTimeout;
}

std::shared_ptr<const Directory> DirectoryPublisher::publish(
    const ManifestRegister& manifests, const Membership& membership)
{
    Time now = m_clock.now();
    if (!hasQuorum() || now - m_leaderSince < m_settings.newLeaderDelay)
        return nullptr;
    if (m_publishedAt && now - *m_publishedAt < m_settings.minInterval)
        return nullptr;
    if (m_seen.term > *m_term || m_seenEpoch > manifests.epoch())
        return nullptr;
    if (m_publishedAt && m_publishedEpoch == manifests.epoch() && m_publishedRevision == membership.revision())
        return nullptr;
    if (m_seen.term == *m_term)
        m_sequence = std::max(m_sequence, m_seen.sequence);
    DirectoryVersion version { *m_term, ++m_sequence };
    m_publishedAt = now;
    m_publishedEpoch = manifests.epoch();
    m_publishedRevision = membership.revision();
    return detail::buildDirectory(version, manifests, membership);
}

} // namespace cicadaward::control
