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
        if (m_members.size() >= maxMembers)
            return false;
        m_members.emplace(record.agent, Entry { record, m_clock.now(), {}, 0 });
        return true;
    }
    if (!record.isNewerThan(found->second.record))
        return false;
    bool restarted = record.incarnation != found->second.record.incarnation;
    found->second.record = record;
    found->second.updated = m_clock.now();
    if (restarted)
        found->second.suspectUntil = {};
    return true;
}

void Members::suspect(Endpoint agent, Duration shortest)
{
    auto found = m_members.find(agent);
    if (found == m_members.end() || isSuspect(found->second))
        return;
    Duration duration = std::min<Duration>(maxSuspicion, shortest * (1 << std::min(found->second.suspicions, 8U)));
    ++found->second.suspicions;
    found->second.suspectUntil = m_clock.now() + duration;
}

void Members::confirm(Endpoint agent)
{
    auto found = m_members.find(agent);
    if (found == m_members.end())
        return;
    found->second.suspectUntil = {};
    found->second.suspicions = 0;
}

void Members::expire()
{
    for (auto i = m_members.begin(); i != m_members.end();) {
        TargetState state = i->second.record.state;
        bool gone = state == TargetState::Gone || state == TargetState::Departed;
        if (gone && m_clock.now() - i->second.updated > memberRetention)
            m_members.erase(i++);
        else
            ++i;
    }
}

bool Members::knowsService(ServiceKey service) const
{
    return std::any_of(
        m_members.begin(), m_members.end(), [&](const auto& entry) { return entry.second.record.service == service; });
}

const MemberRecord* Members::find(Endpoint agent) const
{
    auto found = m_members.find(agent);
    return found == m_members.end() ? nullptr : &found->second.record;
}

std::vector<Endpoint> Members::forNewFlow(
    uint64_t flowHash, ServiceKey service, const std::set<std::string>& evacuated, size_t limit) const
{
    std::vector<Ranked> ranked;
    for (const auto& [key, entry] : m_members) {
        const MemberRecord& record = entry.record;
        if (record.service != service || record.state != TargetState::Ready || evacuated.count(record.dataCentre))
            continue;
        ranked.push_back({ isSuspect(entry) ? 1 : 0, rendezvousScore(flowHash, record.agent), record.agent });
    }
    return inOrder(std::move(ranked), limit);
}

std::vector<Endpoint> Members::forOldFlow(uint64_t flowHash, const Route& route, ServiceKey first, size_t limit) const
{
    auto belongs = [&](ServiceKey service) {
        for (const WeightedService& current : route.services) {
            if (current.service == service)
                return true;
        }
        return std::find(route.former.begin(), route.former.end(), service) != route.former.end();
    };
    std::vector<Ranked> ranked;
    for (const auto& [key, entry] : m_members) {
        const MemberRecord& record = entry.record;
        if (record.state == TargetState::Departed || !belongs(record.service))
            continue;
        int group = record.service == first ? 0 : 1;
        if (record.state == TargetState::Gone)
            group += 2;
        if (isSuspect(entry))
            group += 4;
        ranked.push_back({ group, rendezvousScore(flowHash, record.agent), record.agent });
    }
    return inOrder(std::move(ranked), limit);
}

std::vector<Endpoint> Members::inOrder(std::vector<Ranked> ranked, size_t limit)
{
    std::sort(ranked.begin(), ranked.end(),
        [](const Ranked& a, const Ranked& b) { return a.group != b.group ? a.group < b.group : a.score > b.score; });
    std::vector<Endpoint> agents;
    for (const Ranked& member : ranked) {
        if (agents.size() == limit)
            break;
        agents.push_back(member.agent);
    }
    return agents;
}

} // namespace cicadaward::steering
