// The events of an experiment: what happens to processes, targets and the manifest while the callers run.

#include "experiment.h"

#include <algorithm>
#include <iostream>

namespace cicadaward {

namespace detail {

    // A fabric takes an entry out of its set when the entry's health check has failed for this long.
    constexpr auto fabricDetection = std::chrono::milliseconds(500);
    constexpr auto excuseAfterStart = std::chrono::seconds(3);

} // namespace detail

void Experiment::perform(const PlannedEvent& event)
{
    if (m_showProgress)
        std::cerr << "[" << secondsSinceStart() << " s] " << event.action << " " << event.argument << "\n";
    if (event.action == "data-centre-out")
        setDataCentre(event.argument, true);
    else if (event.action == "data-centre-in")
        setDataCentre(event.argument, false);
    else if (event.action == "drain")
        control(event.argument, "state=draining");
    else if (event.action == "undrain")
        control(event.argument, "state=ok");
    else if (event.action == "turn-cold")
        control(event.argument, "cold=1");
    else if (event.action == "kill-leader")
        killLeader();
    else if (event.action == "race")
        race();
    else if (isLinkEvent(event.action))
        performOnLinks(event);
    else
        performOnProcess(event);
}

void Experiment::control(const std::string& target, const std::string& query)
{
    ask(target, "/control?" + query, [](const std::string&) {});
}

void Experiment::performOnProcess(const PlannedEvent& event)
{
    Process* process = m_topology.find(event.argument);
    if (!process) {
        m_status = absl::NotFoundError("no process is named " + event.argument);
        return;
    }
    auto targets = m_topology.targets();
    bool isTarget = std::any_of(
        targets.begin(), targets.end(), [&](const TargetPlace& place) { return place.name == event.argument; });
    bool isEntry = event.argument.rfind("entry-", 0) == 0;
    if (event.action == "kill" || event.action == "stop" || event.action == "freeze") {
        if (isTarget) {
            m_killed.insert(event.argument);
            updateExcuses();
        }
        if (isEntry) {
            Endpoint entry = m_topology.entryEndpoint(event.argument);
            schedule(detail::fabricDetection, [this, entry] { m_fabric->removeEntry(entry); });
        }
        if (event.action == "kill")
            process->kill();
        else if (event.action == "stop")
            process->terminate();
        else
            process->freeze();
        return;
    }
    if (event.action == "start")
        process->start();
    else
        process->resume();
    if (isEntry)
        m_fabric->addEntry(m_topology.entryEndpoint(event.argument));
    if (isTarget) {
        schedule(detail::excuseAfterStart, [this, name = event.argument] {
            m_killed.erase(name);
            updateExcuses();
        });
    }
}

void Experiment::updateExcuses()
{
    std::set<std::string> excused = m_killed;
    for (const TargetPlace& target : m_topology.targets()) {
        if (std::find(m_out.begin(), m_out.end(), target.dataCentre) != m_out.end()
            || m_cutDataCentres.count(target.dataCentre) > 0)
            excused.insert(target.name);
    }
    for (auto& feeds : m_feeds)
        feeds->excuse(excused);
}

void Experiment::setDataCentre(const std::string& name, bool out)
{
    if (out) {
        m_out.push_back(name);
        updateExcuses();
        changeDataCentre(name, true);
        return;
    }
    // The counts of the targets tell when the last packet reached them; they have to be read before traffic returns.
    collectStats([this, name] {
        noteSilence(name);
        m_out.erase(std::remove(m_out.begin(), m_out.end(), name), m_out.end());
        changeDataCentre(name, false);
    });
}

void Experiment::changeDataCentre(const std::string& name, bool out)
{
    applyManifest([this, name, out] {
        for (int i = 1; i <= m_plan.topology.entries; ++i) {
            std::string entryName = "entry-" + std::to_string(i);
            if (m_topology.entryDataCentre(entryName) != name)
                continue;
            Endpoint entry = m_topology.entryEndpoint(entryName);
            schedule(out ? detail::fabricDetection : Duration(0),
                [this, entry, out] { out ? m_fabric->removeEntry(entry) : m_fabric->addEntry(entry); });
        }
        if (out)
            m_outAt[name] = static_cast<double>(m_clock.wallTime().count());
        else // Flows that ended with the data centre have been given up by now; new ones are counted again.
            schedule(detail::excuseAfterStart, [this] { updateExcuses(); });
    });
}

// Time from the acceptance of the manifest that took the data centre out until the last packet reached a target there.
void Experiment::noteSilence(const std::string& name)
{
    auto out = m_outAt.find(name);
    for (const TargetPlace& target : m_topology.targets()) {
        auto stats = m_stats.find(target.name);
        if (target.dataCentre != name || out == m_outAt.end() || stats == m_stats.end())
            continue;
        double seconds = (stats->second.value("last_packet_ms", 0.0) - out->second) / 1000;
        m_secondsToSilence = std::max(m_secondsToSilence, seconds);
    }
}

// Two operators send manifests of equal version and different content at the same moment: exactly one may win.
void Experiment::race()
{
    uint64_t version = m_manifestVersion + 1;
    Manifest first = m_topology.manifest(version, m_manifestVersion, m_out);
    Manifest second = first;
    second.services[0].flowsPerTarget += 1;
    auto winners = std::make_shared<int>(0);
    auto answers = std::make_shared<int>(0);
    auto done = [this, version, winners, answers](unsigned status, const std::string&) {
        if (status == 200) {
            ++*winners;
            m_manifestVersion = std::max(m_manifestVersion, version);
        }
        if (++*answers < 2)
            return;
        m_lostRaces += *winners == 0 ? 1 : 0;
        m_doubleWins += *winners > 1 ? 1 : 0;
    };
    post("/v1/manifest", formatManifest(first), 60, done);
    post("/v1/manifest", formatManifest(second), 61, done);
}

} // namespace cicadaward
