#include "directory/directory.h"

#include "directory/codec.h"

#include <algorithm>

namespace cicadaward {

namespace detail {

    template <typename T, typename Key> const T* findSorted(const std::vector<T>& items, Key id)
    {
        auto found
            = std::lower_bound(items.begin(), items.end(), id, [](const T& item, Key key) { return item.id < key; });
        return found != items.end() && found->id == id ? &*found : nullptr;
    }

} // namespace detail

const DataCentre* Directory::findDataCentre(DataCentreId id) const { return detail::findSorted(dataCentres, id); }

const DataCentre* Directory::findDataCentre(const std::string& name) const
{
    auto found
        = std::find_if(dataCentres.begin(), dataCentres.end(), [&](const DataCentre& d) { return d.name == name; });
    return found == dataCentres.end() ? nullptr : &*found;
}

const Service* Directory::findService(ServiceId id) const { return detail::findSorted(services, id); }

const Service* Directory::findService(const std::string& name) const
{
    auto found = std::find_if(services.begin(), services.end(), [&](const Service& s) { return s.spec.name == name; });
    return found == services.end() ? nullptr : &*found;
}

const Member* Directory::findMember(MemberId id) const { return detail::findSorted(members, id); }

bool Directory::isTakenOut(DataCentreId id) const
{
    const DataCentre* dataCentre = findDataCentre(id);
    return dataCentre && dataCentre->isTakenOut;
}

bool acceptsNewFlows(const Directory& directory, const Member& member)
{
    return member.role == MemberRole::Agent
        && (member.state == MemberState::Warming || member.state == MemberState::Warm)
        && !directory.isTakenOut(member.dataCentre);
}

std::string encodeDirectory(const Directory& directory) { return encodeMessage(directory); }

bool decodeDirectory(const std::string& bytes, Directory& directory) { return decodeMessage(bytes, directory); }

} // namespace cicadaward
