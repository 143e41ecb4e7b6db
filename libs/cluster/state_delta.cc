#include "cluster/state_delta.h"

#include "cluster/codec.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>

namespace cicadaward::cluster {

namespace {

    bool isSame(const steering::Route& a, const steering::Route& b)
    {
        return a.name == b.name && a.address == b.address && a.services == b.services
            && a.formerServices == b.formerServices && a.objective == b.objective && a.timeout == b.timeout
            && a.priority == b.priority && a.isIdempotent == b.isIdempotent && a.hasBulkRequests == b.hasBulkRequests;
    }
    bool isSame(const steering::ServicePolicy& a, const steering::ServicePolicy& b)
    {
        return a.key == b.key && a.name == b.name && a.warmUp == b.warmUp && a.warmUpRate == b.warmUpRate
            && a.maxFlows == b.maxFlows;
    }
    Endpoint keyOf(const steering::Route& route) { return route.address; }
    steering::ServiceKey keyOf(const steering::ServicePolicy& policy) { return policy.key; }

    template <typename Item>
    void collectChanges(const std::vector<Item>& from, const std::vector<Item>& to, std::vector<Item>& changed,
        std::vector<decltype(keyOf(std::declval<Item>()))>& removed)
    {
        absl::flat_hash_map<decltype(keyOf(std::declval<Item>())), const Item*> before;
        for (const Item& item : from)
            before[keyOf(item)] = &item;
        for (const Item& item : to) {
            auto found = before.find(keyOf(item));
            if (found == before.end() || !isSame(*found->second, item))
                changed.push_back(item);
            if (found != before.end())
                before.erase(found);
        }
        for (const auto& [key, item] : before)
            removed.push_back(key);
    }

    template <typename Item, typename Key>
    void applyChanges(std::vector<Item>& items, const std::vector<Item>& changed, const std::vector<Key>& removed)
    {
        absl::flat_hash_map<Key, size_t> positions;
        for (size_t i = 0; i < items.size(); ++i)
            positions[keyOf(items[i])] = i;
        for (const Item& item : changed) {
            auto found = positions.find(keyOf(item));
            if (found == positions.end())
                items.push_back(item);
            else
                items[found->second] = item;
        }
        auto isRemoved
            = [&](const Item& item) { return std::find(removed.begin(), removed.end(), keyOf(item)) != removed.end(); };
        if (!removed.empty())
            items.erase(std::remove_if(items.begin(), items.end(), isRemoved), items.end());
    }

} // namespace

ForwardingDelta deltaBetween(const ForwardingState& from, const ForwardingState& to)
{
    ForwardingDelta delta;
    delta.baseIndex = from.index;
    delta.index = to.index;
    delta.version = to.configuration.version;
    delta.flowIdleLimit = to.configuration.flowIdleLimit;
    delta.evacuatedDataCentres = to.evacuatedDataCentres;
    collectChanges(from.configuration.routes, to.configuration.routes, delta.routes, delta.removedRoutes);
    collectChanges(from.configuration.services, to.configuration.services, delta.services, delta.removedServices);
    return delta;
}

bool applyDelta(const ForwardingDelta& delta, ForwardingState& state)
{
    if (delta.baseIndex != state.index)
        return false;
    state.index = delta.index;
    state.evacuatedDataCentres = delta.evacuatedDataCentres;
    state.configuration.version = delta.version;
    state.configuration.flowIdleLimit = delta.flowIdleLimit;
    applyChanges(state.configuration.routes, delta.routes, delta.removedRoutes);
    applyChanges(state.configuration.services, delta.services, delta.removedServices);
    return true;
}

void DeltaHistory::add(const ForwardingState& state)
{
    if (m_newest.index != 0) {
        ForwardingDelta delta = deltaBetween(m_newest, state);
        size_t bytes = encodeMessage(delta).size();
        m_items.push_back({ std::move(delta), bytes });
        m_bytes += bytes;
    }
    m_newest = state;
}

void DeltaHistory::trim(size_t maxBytes)
{
    while (m_bytes > maxBytes) {
        m_bytes -= m_items.front().bytes;
        m_items.pop_front();
    }
}

std::vector<ForwardingDelta> DeltaHistory::since(LogIndex index, size_t maxBytes) const
{
    auto item = std::find_if(
        m_items.begin(), m_items.end(), [index](const Item& other) { return other.delta.baseIndex == index; });
    std::vector<ForwardingDelta> deltas;
    for (size_t bytes = 0; item != m_items.end() && bytes + item->bytes <= maxBytes; ++item) {
        bytes += item->bytes;
        deltas.push_back(item->delta);
    }
    return deltas;
}

} // namespace cicadaward::cluster
