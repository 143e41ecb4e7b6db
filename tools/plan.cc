#include "plan.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <set>
#include <sstream>

namespace cicadaward {

namespace detail {

    using Tree = boost::property_tree::ptree;

    const std::set<std::string> eventActions = { "data-centre-out", "data-centre-in", "drain", "undrain", "turn-cold",
        "kill", "start", "stop", "freeze", "resume", "kill-leader", "race", "cut", "cut-in", "cut-out", "heal",
        "cut-data-centre", "heal-data-centre", "loss", "duplication", "reordering", "delay" };
    const std::set<std::string> faultActions = { "cut", "cut-in", "cut-out", "heal", "cut-data-centre",
        "heal-data-centre", "loss", "duplication", "reordering", "delay" };

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> items;
        boost::split(items, text, boost::is_any_of(","));
        for (std::string& item : items)
            boost::trim(item);
        return items;
    }

    ServicePlan readService(const std::string& name, const Tree& tree, const std::string& file, Findings& findings)
    {
        ServicePlan service;
        service.name = name;
        if (!parseAddress(tree.get<std::string>("address", ""), service.address))
            findings.add({ file, 0, "service." + name + ".address" }, "must be an IPv4 address");
        service.servers = tree.get("servers", 1);
        service.slots = tree.get("slots", 3U);
        service.flowsPerTarget = tree.get("flows-per-target", 2000U);
        service.feeds = tree.get("feeds", 0U);
        service.requestsPerSecond = tree.get("requests-per-second", 0.0);
        service.coldShare = tree.get("cold-share", 0.1);
        service.coldMs = tree.get("cold-ms", 0);
        service.workMs = tree.get("work-ms", 5);
        return service;
    }

    void readEvents(const Tree& tree, const std::string& file, ExperimentPlan& plan, Findings& findings)
    {
        for (const auto& [key, value] : tree) {
            PlannedEvent event;
            std::istringstream text(value.data());
            if (!(text >> event.seconds >> event.action) || eventActions.count(event.action) == 0) {
                findings.add({ file, 0, "events." + key }, "must be \"SECONDS ACTION [ARGUMENT]\" with a known action");
                continue;
            }
            text >> event.argument;
            plan.events.push_back(event);
        }
        std::stable_sort(plan.events.begin(), plan.events.end(),
            [](const PlannedEvent& a, const PlannedEvent& b) { return a.seconds < b.seconds; });
    }

    Duration readMilliseconds(const Tree& tree, const char* key)
    {
        std::chrono::duration<double, std::milli> value(tree.get(key, 0.0));
        return std::chrono::duration_cast<Duration>(value);
    }

    void readProxy(const Tree& tree, ExperimentPlan& plan)
    {
        plan.topology.proxied = tree.get("topology.proxied", false);
        plan.topology.delays.betweenDataCentres = readMilliseconds(tree, "topology.delay-between-ms");
        plan.topology.delays.toCallers = readMilliseconds(tree, "topology.delay-callers-ms");
    }

    void readGoals(const Tree& tree, const std::string& file, ExperimentPlan& plan, Findings& findings)
    {
        for (const auto& [key, value] : tree) {
            bool isMaximum = boost::starts_with(key, "max.");
            if (!isMaximum && !boost::starts_with(key, "min."))
                findings.add({ file, 0, "goals." + key }, "must start with \"max.\" or \"min.\"");
            else
                plan.goals.push_back({ key.substr(4), isMaximum, std::strtod(value.data().c_str(), nullptr) });
        }
    }

} // namespace detail

bool isLinkEvent(const std::string& action) { return detail::faultActions.count(action) > 0; }

std::optional<ExperimentPlan> loadPlan(const std::string& file, Findings& findings)
{
    detail::Tree tree;
    try {
        boost::property_tree::read_ini(file, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        findings.add({ file, static_cast<int>(error.line()), "" }, error.message());
        return std::nullopt;
    }
    ExperimentPlan plan;
    plan.name = file.substr(file.find_last_of('/') + 1);
    plan.name = plan.name.substr(0, plan.name.rfind('.'));
    plan.description = tree.get("experiment.description", "");
    plan.seconds = tree.get("experiment.seconds", plan.seconds);
    plan.seed = tree.get("experiment.seed", plan.seed);
    plan.topology.region = tree.get("topology.region", "");
    plan.topology.dataCentres = detail::splitList(tree.get("topology.data-centres", "dc-1"));
    plan.topology.entries = tree.get("topology.entries", plan.topology.entries);
    plan.topology.controls = tree.get("topology.controls", plan.topology.controls);
    plan.topology.announceMs = tree.get("topology.announce-ms", plan.topology.announceMs);
    detail::readProxy(tree, plan);
    for (const auto& [section, values] : tree) {
        if (boost::starts_with(section, "service."))
            plan.topology.services.push_back(detail::readService(section.substr(8), values, file, findings));
        else if (section == "events")
            detail::readEvents(values, file, plan, findings);
        else if (section == "goals")
            detail::readGoals(values, file, plan, findings);
        else if (section != "experiment" && section != "topology")
            findings.add({ file, 0, section }, "unknown section");
    }
    bool needsProxy = std::any_of(
        plan.events.begin(), plan.events.end(), [](const PlannedEvent& event) { return isLinkEvent(event.action); });
    if (needsProxy && !plan.topology.proxied)
        findings.add({ file, 0, "topology.proxied" }, "must be true for events on links");
    if (plan.topology.services.empty())
        findings.add({ file, 0, "" }, "names no service");
    if (!findings.empty())
        return std::nullopt;
    return plan;
}

} // namespace cicadaward
