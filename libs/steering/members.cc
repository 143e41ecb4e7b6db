#include "steering/members.h"

#include "core/hash.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    uint64_t rendezvousScore(uint64_t flowHash, Endpoint agent) { return mixHash(flowHash, agent.key()); }

} // namespace

const char* targetStateName(TargetState state)
{
    switch (state) {
    case TargetState::Ready:
        return "ready";
    case TargetState::Draining:
        return "draining";
    case TargetState::Gone:
        return "gone";
    case TargetState::Departed:
        return "departed";
    case TargetState::Unknown:
        break;
    }
    return "unknown";
}

const char* newFlowExclusion(TargetState state)
{
    switch (state) {
    case TargetState::Unknown:
        return "no heartbeat yet";
    case TargetState::Draining:
        return "target is draining";
    case TargetState::Gone:
        return "target is gone";
    case TargetState::Departed:
        return "target has departed";
    case TargetState::Ready:
        break;
    }
    return nullptr;
}

size_t digestBucketOf(Endpoint agent) { return mixHash(agent.key(), digestBuckets) % digestBuckets; }

void addToDigest(MemberDigest& digest, const MemberRecord& record)
{
    digest.resize(digestBuckets);
    uint64_t hash = mixHash(mixHash(record.agent.key(), record.incarnation), record.sequence);
    digest[digestBucketOf(record.agent)] ^= mixHash(hash, static_cast<uint64_t>(record.state));
}

MemberDigest Members::digest() const
{
    MemberDigest digest(digestBuckets);
    for (const auto& [agent, entry] : m_members)
        addToDigest(digest, entry.record);
    return digest;
}

bool Members::update(const MemberRecord& record)
{
    auto found = m_members.find(record.agent);
    if (found == m_members.end()) {
        if (m_members.size() >= maxMembers) {
            ++m_refused;
            return false;
        }
        index(m_members.emplace(record.agent, MemberEntry { record, m_clock.now(), {}, 0 }).first->second);
        return true;
    }
    if (!record.isNewerThan(found->second.record))
        return false;
    bool restarted = record.incarnation != found->second.record.incarnation;
    bool moves = record.service != found->second.record.service;
    if (moves)
        unindex(found->second);
    found->second.record = record;
    found->second.updated = m_clock.now();
    if (moves)
        index(found->second);
    if (restarted)
        found->second.suspectUntil = {};
    return true;
}

void Members::markSuspect(Endpoint agent, Duration minDuration)
{
    auto found = m_members.find(agent);
    if (found == m_members.end() || isSuspect(found->second))
        return;
    Duration duration = std::min<Duration>(
        maxSuspicionDuration, minDuration * (1 << std::min(found->second.consecutiveSuspicions, 8U)));
    ++found->second.consecutiveSuspicions;
    found->second.suspectUntil = m_clock.now() + duration;
}

void Members::markResponsive(Endpoint agent)
{
    auto found = m_members.find(agent);
    if (found == m_members.end())
        return;
    found->second.suspectUntil = {};
    found->second.consecutiveSuspicions = 0;
}

void Members::expire()
{
    for (auto i = m_members.begin(); i != m_members.end();) {
        TargetState state = i->second.record.state;
        bool gone = state == TargetState::Gone || state == TargetState::Departed;
        if (!gone || m_clock.now() - i->second.updated <= goneMemberRetention) {
            ++i;
            continue;
        }
        unindex(i->second);
        m_members.erase(i++);
    }
}

void Members::index(const MemberEntry& entry) { m_byService[entry.record.service].push_back(&entry); }

void Members::unindex(const MemberEntry& entry)
{
    auto found = m_byService.find(entry.record.service);
    std::vector<const MemberEntry*>& members = found->second;
    members.erase(std::find(members.begin(), members.end(), &entry));
    if (members.empty())
        m_byService.erase(found);
}

const std::vector<const Members::MemberEntry*>* Members::membersOfService(ServiceKey service) const
{
    auto found = m_byService.find(service);
    return found == m_byService.end() ? nullptr : &found->second;
}

bool Members::hasMembersOf(ServiceKey service) const { return membersOfService(service) != nullptr; }

bool Members::isResponsive(const MemberEntry& entry) const
{
    TargetState state = entry.record.state;
    return state != TargetState::Gone && state != TargetState::Departed && !isSuspect(entry);
}

bool Members::isResponsive(Endpoint agent) const
{
    auto found = m_members.find(agent);
    return found != m_members.end() && isResponsive(found->second);
}

bool Members::isSuspect(Endpoint agent) const
{
    auto found = m_members.find(agent);
    return found != m_members.end() && isSuspect(found->second);
}

const MemberRecord* Members::find(Endpoint agent) const
{
    auto found = m_members.find(agent);
    return found == m_members.end() ? nullptr : &found->second.record;
}

const char* Members::newFlowExclusion(const MemberRecord& record, const std::set<std::string>& evacuated)
{
    if (const char* reason = steering::newFlowExclusion(record.state))
        return reason;
    return evacuated.count(record.dataCentre) != 0 ? "data centre is evacuated" : nullptr;
}

std::vector<ExcludedMember> Members::excludedFromNewFlows(
    ServiceKey service, const std::set<std::string>& evacuated) const
{
    std::vector<ExcludedMember> excluded;
    if (const std::vector<const MemberEntry*>* members = membersOfService(service)) {
        for (const MemberEntry* entry : *members) {
            if (const char* reason = newFlowExclusion(entry->record, evacuated))
                excluded.push_back({ entry->record.agent, reason });
        }
    }
    std::sort(excluded.begin(), excluded.end(),
        [](const ExcludedMember& a, const ExcludedMember& b) { return a.agent < b.agent; });
    return excluded;
}

std::vector<Endpoint> Members::candidatesForNewFlow(
    uint64_t flowHash, ServiceKey service, const std::set<std::string>& evacuated, size_t limit) const
{
    const std::vector<const MemberEntry*>* members = membersOfService(service);
    if (!members)
        return {};
    std::vector<RankedMember> ranked;
    for (const MemberEntry* entry : *members) {
        const MemberRecord& record = entry->record;
        if (newFlowExclusion(record, evacuated))
            continue;
        ranked.push_back({ isSuspect(*entry) ? 1 : 0, rendezvousScore(flowHash, record.agent), record.agent });
    }
    return agentsInOrder(std::move(ranked), limit);
}

std::vector<Endpoint> Members::candidatesForExistingFlow(uint64_t flowHash, const Route& route, ServiceKey first,
    size_t limit, CandidateOrder order, const absl::flat_hash_set<Endpoint>* except) const
{
    std::vector<ServiceKey> services = route.formerServices;
    for (const WeightedService& current : route.services)
        services.push_back(current.service);
    std::sort(services.begin(), services.end());
    services.erase(std::unique(services.begin(), services.end()), services.end());

    constexpr int unresponsive = 2;
    std::vector<RankedMember> ranked;
    for (ServiceKey service : services) {
        const std::vector<const MemberEntry*>* members = membersOfService(service);
        if (!members)
            continue;
        for (const MemberEntry* entry : *members) {
            const MemberRecord& record = entry->record;
            if (record.state == TargetState::Departed || (except && except->count(record.agent) != 0))
                continue;
            int tier = service == first ? 0 : 1;
            if (order == CandidateOrder::ResponsiveFirst && !isResponsive(*entry))
                tier += unresponsive;
            ranked.push_back({ tier, rendezvousScore(flowHash, record.agent), record.agent });
        }
    }
    return agentsInOrder(std::move(ranked), limit);
}

std::vector<Endpoint> Members::agentsInOrder(std::vector<RankedMember> ranked, size_t limit)
{
    size_t count = std::min(limit, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + count, ranked.end(), [](const RankedMember& a, const RankedMember& b) {
            return a.tier != b.tier ? a.tier < b.tier : a.score > b.score;
        });
    std::vector<Endpoint> agents;
    agents.reserve(count);
    for (size_t i = 0; i < count; ++i)
        agents.push_back(ranked[i].agent);
    return agents;
}

} // namespace cicadaward::steering
