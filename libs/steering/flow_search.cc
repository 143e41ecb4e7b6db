// The kinds of search steps are described in flow_search.h.
#include "steering/flow_search.h"

#include <algorithm>
#include <limits>

namespace cicadaward::steering {

namespace {

    // Adds the member when it is not in the list.
    void moveToFront(std::vector<Endpoint>& members, Endpoint member)
    {
        members.erase(std::remove(members.begin(), members.end(), member), members.end());
        members.insert(members.begin(), member);
    }

} // namespace

FlowSearches::FlowSearches(SearchOptions options, const Clock& clock, const Members& members)
    : m_options(options)
    , m_clock(clock)
    , m_members(members)
    , m_firstWalkTimeout(options.firstWalkTimeout)
{
}

SearchStep FlowSearches::nextStep(const FlowId& flow, const Route& route, Endpoint located)
{
    Search* current = findOrStart(flow);
    Search unkept; // at maxSearches: each packet starts a new walk, without state
    Search& search = current ? *current : unkept;
    search.located = located;
    if (current && isOverdue(search))
        return broadcastStep(flow, route, search);
    return walkStep(flow, route, search);
}

size_t FlowSearches::maxProbes(const Route& route) const
{
    return m_isLinkBusy && route.hasBulkRequests ? m_options.maxBusyProbes : m_options.maxDirectProbes;
}

bool FlowSearches::isOverdue(const Search& search) const
{
    Time now = m_clock.now();
    if (search.broadcasts != 0 && now - search.lastBroadcast < m_options.broadcastInterval)
        return false;
    Duration laterWalkTimeout = std::max(m_options.laterWalkTimeout, m_firstWalkTimeout);
    return now - search.lastWalk >= (search.denied.empty() ? m_firstWalkTimeout : laterWalkTimeout);
}

SearchStep FlowSearches::retryStep(const FlowId& flow, const Route& route, Time sent)
{
    SearchStep step;
    auto found = m_searches.find(flow);
    if (found == m_searches.end() || !isOverdue(found->second) || m_clock.now() - sent >= m_options.maxRetryAge)
        return step;
    uint64_t hash = flow.hash();
    step.probes = m_members.candidatesForExistingFlow(hash, route, route.selectService(hash), m_options.maxDirectProbes,
        CandidateOrder::ByFlowHash, &found->second.denied);
    step.located = found->second.located;
    if (step.located.port != 0)
        moveToFront(step.probes, step.located);
    size_t limit = maxProbes(route);
    if (limit < m_options.maxDirectProbes && step.probes.size() > limit) {
        std::vector<Endpoint> members = std::move(step.probes);
        step.probes.assign(members.begin(), members.begin() + std::ptrdiff_t(limit));
        addGroups(step, members, step.probes.size(), hash, 0);
    }
    return step;
}

SearchStep FlowSearches::onDenied(
    const FlowId& flow, const Route& route, const std::vector<Endpoint>& members, bool isCertain)
{
    Search* current = findOrStart(flow);
    if (!current)
        return {};
    current->isCertain = current->isCertain && isCertain;
    current->located = {};
    current->lastWalk = m_clock.now();
    for (Endpoint member : members) {
        if (m_denials >= m_options.maxDenials) {
            current->isCertain = false;
            return {};
        }
        m_denials += current->denied.insert(member).second ? 1 : 0;
    }
    return walkStep(flow, route, *current);
}

std::optional<Duration> FlowSearches::onFlowFound(const FlowId& flow)
{
    auto found = m_searches.find(flow);
    if (found == m_searches.end())
        return std::nullopt;
    Duration duration = m_clock.now() - found->second.started;
    erase(found);
    return duration;
}

std::vector<Endpoint> FlowSearches::takeDenials(const FlowId& flow)
{
    auto found = m_searches.find(flow);
    if (found == m_searches.end())
        return {};
    std::vector<Endpoint> members;
    if (found->second.isCertain)
        members.assign(found->second.denied.begin(), found->second.denied.end());
    erase(found);
    return members;
}

void FlowSearches::cancel(const FlowId& flow)
{
    auto found = m_searches.find(flow);
    if (found != m_searches.end())
        erase(found);
}

void FlowSearches::expire()
{
    for (auto i = m_searches.begin(); i != m_searches.end();) {
        auto search = i++;
        if (m_clock.now() - search->second.started > m_options.searchLifetime)
            erase(search);
    }
}

// The search that is under way, or a new one; null at maxSearches.
FlowSearches::Search* FlowSearches::findOrStart(const FlowId& flow)
{
    auto found = m_searches.find(flow);
    if (found != m_searches.end() && m_clock.now() - found->second.started <= m_options.searchLifetime)
        return &found->second;
    if (found != m_searches.end())
        erase(found);
    if (m_searches.size() >= m_options.maxSearches)
        return nullptr;
    Search& created = m_searches[flow];
    created.started = created.lastWalk = m_clock.now();
    return &created;
}

SearchStep FlowSearches::walkStep(const FlowId& flow, const Route& route, const Search& search) const
{
    SearchStep step;
    step.located = search.located;
    uint64_t hash = flow.hash();
    ServiceKey service = route.selectService(hash);
    size_t limit = search.denied.empty() ? m_options.firstWalkMembers : maxFrameMembers;
    step.walk = m_members.candidatesForExistingFlow(
        hash, route, service, limit, CandidateOrder::ResponsiveFirst, &search.denied);
    if (step.located.port != 0) {
        moveToFront(step.walk, step.located);
        step.walk.resize(std::min(step.walk.size(), limit));
    }
    for (Endpoint member : m_members.candidatesForExistingFlow(
             hash, route, service, m_options.maxDirectProbes, CandidateOrder::ByFlowHash, &search.denied)) {
        bool isInWalk = std::find(step.walk.begin(), step.walk.end(), member) != step.walk.end();
        if (!isInWalk && !m_members.isResponsive(member))
            step.probes.push_back(member);
    }
    return step;
}

SearchStep FlowSearches::broadcastStep(const FlowId& flow, const Route& route, Search& search) const
{
    search.lastBroadcast = m_clock.now();
    unsigned round = search.broadcasts++;
    SearchStep step;
    step.isBroadcast = true;
    uint64_t hash = flow.hash();
    std::vector<Endpoint> all = m_members.candidatesForExistingFlow(hash, route, route.selectService(hash),
        std::numeric_limits<size_t>::max(), CandidateOrder::ByFlowHash, nullptr);
    size_t front = std::min(maxProbes(route), all.size());
    step.probes.assign(all.begin(), all.begin() + front);
    step.located = search.located;
    if (step.located.port != 0)
        moveToFront(step.probes, step.located);
    addGroups(step, all, front, hash, round);
    return step;
}

// Adds the members from position `first` on, in groups.
void FlowSearches::addGroups(
    SearchStep& step, const std::vector<Endpoint>& members, size_t first, uint64_t choice, unsigned round) const
{
    for (size_t at = first; at < members.size(); at += maxFrameMembers) {
        SearchStep::FanOutGroup group;
        group.members.assign(members.begin() + at, members.begin() + std::min(at + maxFrameMembers, members.size()));
        // Each round chooses another forwarder, because the previous one may be the member that does not answer.
        std::vector<Endpoint> responsive;
        std::copy_if(group.members.begin(), group.members.end(), std::back_inserter(responsive),
            [this](Endpoint member) { return m_members.isResponsive(member); });
        const std::vector<Endpoint>& forwarders = responsive.empty() ? group.members : responsive;
        group.forwarder = forwarders[(choice + round) % forwarders.size()];
        step.groups.push_back(group);
        if (round == 0 || forwarders.size() == 1)
            continue;
        group.forwarder = forwarders[(choice + round + forwarders.size() / 2) % forwarders.size()];
        step.groups.push_back(std::move(group));
    }
}

void FlowSearches::erase(absl::flat_hash_map<FlowId, Search>::iterator search)
{
    m_denials -= search->second.denied.size();
    m_searches.erase(search);
}

} // namespace cicadaward::steering
