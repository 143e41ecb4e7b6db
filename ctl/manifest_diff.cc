#include "manifest_diff.h"

#include <algorithm>
#include <sstream>

namespace cicadaward {

namespace detail {

    template <typename Item> const Item* findNamed(const std::vector<Item>& items, const std::string& name)
    {
        auto found = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
        return found == items.end() ? nullptr : &*found;
    }

    std::string formatPorts(const std::vector<PortSpec>& ports)
    {
        std::string text;
        for (const PortSpec& port : ports) {
            text += (text.empty() ? "" : ",") + std::to_string(port.port)
                + (port.protocol == Protocol::Tcp ? "/tcp" : "/udp")
                + (port.mode == PortMode::Flow ? "/flow" : "/request");
        }
        return text;
    }

    std::string formatShare(double share)
    {
        std::ostringstream text;
        text << share;
        return text.str();
    }

    void diffServices(const ServiceSpec& before, const ServiceSpec& after, std::vector<std::string>& lines)
    {
        auto compare = [&](const char* key, const std::string& old, const std::string& next) {
            if (old != next)
                lines.push_back("~ service " + after.name + ": " + key + " " + old + " -> " + next);
        };
        compare("address", formatAddress(before.address), formatAddress(after.address));
        compare("ports", formatPorts(before.ports), formatPorts(after.ports));
        compare("buckets", std::to_string(before.buckets), std::to_string(after.buckets));
        compare("slotsPerTarget", std::to_string(before.slotsPerTarget), std::to_string(after.slotsPerTarget));
        compare("flowsPerTarget", std::to_string(before.flowsPerTarget), std::to_string(after.flowsPerTarget));
        compare("coldShare", formatShare(before.coldShare), formatShare(after.coldShare));
        if (before.address != after.address || before.buckets != after.buckets)
            lines.push_back("! service " + after.name
                + ": another address or number of buckets makes it a new service; its open flows end");
    }

} // namespace detail

std::vector<std::string> diffManifests(const Manifest& before, const Manifest& after)
{
    std::vector<std::string> lines;
    for (const DataCentreSpec& old : before.dataCentres) {
        const DataCentreSpec* next = detail::findNamed(after.dataCentres, old.name);
        if (!next)
            lines.push_back("- data centre " + old.name);
        else if (next->out != old.out)
            lines.push_back("~ data centre " + old.name + ": " + (next->out ? "in -> out" : "out -> in"));
    }
    for (const DataCentreSpec& next : after.dataCentres) {
        if (!detail::findNamed(before.dataCentres, next.name))
            lines.push_back("+ data centre " + next.name + (next.out ? " (out)" : ""));
    }
    for (const ServiceSpec& old : before.services) {
        const ServiceSpec* next = detail::findNamed(after.services, old.name);
        if (!next)
            lines.push_back("- service " + old.name);
        else
            detail::diffServices(old, *next, lines);
    }
    for (const ServiceSpec& next : after.services) {
        if (!detail::findNamed(before.services, next.name))
            lines.push_back("+ service " + next.name + ": address " + formatAddress(next.address) + ", ports "
                + detail::formatPorts(next.ports));
    }
    return lines;
}

} // namespace cicadaward
