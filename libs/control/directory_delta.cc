#include "control/directory_delta.h"

#include <algorithm>

namespace cicadaward::control {

namespace detail {

    bool isSamePort(const PortSpec& a, const PortSpec& b)
    {
        return a.port == b.port && a.protocol == b.protocol && a.mode == b.mode;
    }

    bool isSameDataCentre(const DataCentre& a, const DataCentre& b)
    {
        return a.id == b.id && a.name == b.name && a.isTakenOut == b.isTakenOut;
    }

    // Compares two lists with ascending ids: `changed` receives new and changed items, `removed` the ids of missing
    // ones.
    template <typename T, typename Same, typename Id>
    void diffSorted(const std::vector<T>& before, const std::vector<T>& after, Same same, std::vector<T>& changed,
        std::vector<Id>& removed)
    {
        auto old = before.begin();
        for (const T& item : after) {
            for (; old != before.end() && old->id < item.id; ++old)
                removed.push_back(old->id);
            if (old != before.end() && old->id == item.id) {
                if (!same(*old, item))
                    changed.push_back(item);
                ++old;
            } else
                changed.push_back(item);
        }
        for (; old != before.end(); ++old)
            removed.push_back(old->id);
    }

    template <typename T, typename Id>
    void applySortedDiff(std::vector<T>& items, const std::vector<T>& changed, const std::vector<Id>& removed)
    {
        if (changed.empty() && removed.empty())
            return;
        std::vector<T> result;
        result.reserve(items.size() + changed.size());
        auto next = changed.begin();
        auto nextRemoved = removed.begin();
        for (T& item : items) {
            for (; next != changed.end() && next->id < item.id; ++next)
                result.push_back(*next);
            while (nextRemoved != removed.end() && *nextRemoved < item.id)
                ++nextRemoved;
            if (next != changed.end() && next->id == item.id)
                continue; // replaced: appended by the next round
            if (nextRemoved == removed.end() || *nextRemoved != item.id)
                result.push_back(std::move(item));
        }
        result.insert(result.end(), next, changed.end());
        items = std::move(result);
    }

    template <typename T> bool isAscending(const std::vector<T>& items)
    {
        return std::adjacent_find(items.begin(), items.end(), [](const T& a, const T& b) { return !(a.id < b.id); })
            == items.end();
    }

    template <typename Id> bool areIdsAscending(const std::vector<Id>& ids)
    {
        return std::adjacent_find(ids.begin(), ids.end(), [](Id a, Id b) { return !(a < b); }) == ids.end();
    }

    bool isValidMember(const Member& member)
    {
        return member.role <= MemberRole::Agent && member.state <= MemberState::TargetDown;
    }

    bool isValidService(const Service& service)
    {
        uint32_t buckets = service.spec.buckets;
        return buckets > 0 && buckets <= 65536 && (buckets & (buckets - 1)) == 0
            && std::all_of(service.spec.ports.begin(), service.spec.ports.end(), [](const PortSpec& port) {
                   return port.mode <= PortMode::Request
                       && (port.protocol == Protocol::Tcp || port.protocol == Protocol::Udp);
               });
    }

} // namespace detail

bool isSameMember(const Member& a, const Member& b)
{
    return a.id == b.id && a.name == b.name && a.role == b.role && a.state == b.state && a.service == b.service
        && a.dataCentre == b.dataCentre && a.tunnel == b.tunnel && a.capacity == b.capacity && a.process == b.process
        && a.target == b.target;
}

bool isSameService(const Service& a, const Service& b)
{
    return a.id == b.id && a.spec.name == b.spec.name && a.spec.address == b.spec.address
        && a.spec.buckets == b.spec.buckets && a.spec.slotsPerTarget == b.spec.slotsPerTarget
        && a.spec.flowsPerTarget == b.spec.flowsPerTarget && a.spec.coldShare == b.spec.coldShare
        && std::equal(
            a.spec.ports.begin(), a.spec.ports.end(), b.spec.ports.begin(), b.spec.ports.end(), detail::isSamePort);
}

DirectoryDelta makeDelta(const Directory& before, const Directory& after)
{
    DirectoryDelta delta;
    delta.base = before.version;
    delta.version = after.version;
    delta.manifestEpoch = after.manifestEpoch;
    delta.manifestVersion = after.manifestVersion;
    delta.dataCentresChanged = !std::equal(before.dataCentres.begin(), before.dataCentres.end(),
        after.dataCentres.begin(), after.dataCentres.end(), detail::isSameDataCentre);
    if (delta.dataCentresChanged)
        delta.dataCentres = after.dataCentres;
    detail::diffSorted(before.services, after.services, isSameService, delta.services, delta.removedServices);
    detail::diffSorted(before.members, after.members, isSameMember, delta.members, delta.removedMembers);
    return delta;
}

bool applyDelta(const DirectoryDelta& delta, Directory& directory)
{
    if (delta.base != directory.version || delta.version <= delta.base || delta.manifestEpoch < directory.manifestEpoch)
        return false;
    if (delta.members.size() + delta.removedMembers.size() + delta.services.size() + delta.removedServices.size()
        > maxDeltaItems)
        return false;
    if (!detail::isAscending(delta.services) || !detail::isAscending(delta.members)
        || !detail::isAscending(delta.dataCentres) || !detail::areIdsAscending(delta.removedServices)
        || !detail::areIdsAscending(delta.removedMembers)
        || !std::all_of(delta.members.begin(), delta.members.end(), detail::isValidMember)
        || !std::all_of(delta.services.begin(), delta.services.end(), detail::isValidService))
        return false;
    directory.version = delta.version;
    directory.manifestEpoch = delta.manifestEpoch;
    directory.manifestVersion = delta.manifestVersion;
    if (delta.dataCentresChanged)
        directory.dataCentres = delta.dataCentres;
    detail::applySortedDiff(directory.services, delta.services, delta.removedServices);
    detail::applySortedDiff(directory.members, delta.members, delta.removedMembers);
    return true;
}

bool isWellFormed(const Directory& directory)
{
    return detail::isAscending(directory.dataCentres) && detail::isAscending(directory.services)
        && detail::isAscending(directory.members)
        && std::all_of(directory.members.begin(), directory.members.end(), detail::isValidMember)
        && std::all_of(directory.services.begin(), directory.services.end(), detail::isValidService);
}

} // namespace cicadaward::control
