// The events of an experiment that concern the control leader and the links of the fault-injecting proxy.

#include "experiment.h"

namespace cicadaward {

namespace detail {

    // As in experiment_events.cc: a fabric's health check notices an entry that it cannot reach.
    constexpr auto fabricDetection = std::chrono::milliseconds(500);
    constexpr auto excuseAfterHeal = std::chrono::seconds(3);
    constexpr auto leaderRetry = std::chrono::milliseconds(200);
    constexpr int leaderTries = 50; // 10 s, far longer than an election

    struct LeaderSearch {
        size_t waiting = 0;
        int64_t term = -1;
        std::string leader;
    };

} // namespace detail

// Asks every instance: one that is cut off may still name a former leader, so the highest term decides.
void Experiment::findLeader(int tries, const std::function<void(std::string)>& done)
{
    auto search = std::make_shared<detail::LeaderSearch>();
    search->waiting = m_topology.controlNames().size();
    for (const std::string& name : m_topology.controlNames()) {
        HttpClientRequest request(boost::beast::http::verb::get, "/v1/status", 11);
        request.set(boost::beast::http::field::authorization, "Bearer " + m_topology.adminToken());
        request.set(boost::beast::http::field::host, name);
        auto answered = [this, search, tries, done](uint64_t, HttpResult result) {
            auto* response = std::get_if<HttpClientResponse>(&result);
            auto json = nlohmann::json::parse(response ? response->body() : "", nullptr, false);
            if (json.is_object() && json.value("isLeader", false) && json.value("term", int64_t { 0 }) > search->term) {
                search->term = json.value("term", int64_t { 0 });
                search->leader = json.value("instance", "");
            }
            if (--search->waiting > 0)
                return;
            if (m_topology.find(search->leader))
                done(search->leader);
            else if (tries > 0)
                schedule(detail::leaderRetry, [this, tries, done] { findLeader(tries - 1, done); });
            else
                m_status = absl::NotFoundError("no control instance says that it leads");
        };
        client(name, m_topology.admin(name)).send(++m_lastCall, request, std::chrono::seconds(1), answered);
    }
}

void Experiment::killLeader()
{
    findLeader(detail::leaderTries, [this](const std::string& leader) { m_topology.find(leader)->kill(); });
}

void Experiment::performOnLinks(const PlannedEvent& event)
{
    FaultProxy& proxy = *m_topology.proxy();
    double number = std::strtod(event.argument.c_str(), nullptr);
    if (event.action == "cut-data-centre" || event.action == "heal-data-centre")
        performOnBorder(event.argument, event.action == "cut-data-centre");
    else if (event.action == "delay")
        proxy.setExtraDelay(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(number)));
    else if (event.action == "loss" || event.action == "duplication" || event.action == "reordering") {
        double& share = event.action == "loss" ? m_packetFaults.loss
            : event.action == "duplication"    ? m_packetFaults.duplication
                                               : m_packetFaults.reordering;
        share = number / 100;
        proxy.setPacketFaults(m_packetFaults);
    } else if (event.argument != "leader")
        performOnProcessLinks(event.action, event.argument);
    else if (event.action == "heal")
        performOnProcessLinks(event.action, m_leader);
    else {
        findLeader(detail::leaderTries, [this, action = event.action](const std::string& leader) {
            m_leader = leader;
            performOnProcessLinks(action, leader);
        });
    }
}

void Experiment::performOnProcessLinks(const std::string& action, const std::string& process)
{
    if (!m_topology.find(process)) {
        m_status = absl::NotFoundError("no process is named \"" + process + "\"");
        return;
    }
    FaultProxy& proxy = *m_topology.proxy();
    if (action == "heal")
        proxy.heal(process);
    else if (action == "cut")
        proxy.cut(process, CutDirection::Both);
    else
        proxy.cut(process, action == "cut-in" ? CutDirection::In : CutDirection::Out);
}

// Flows that end behind a cut border cannot go on, as with a data centre that is out.
void Experiment::performOnBorder(const std::string& dataCentre, bool cut)
{
    if (cut) {
        m_cutDataCentres.insert(dataCentre);
        updateExcuses();
        m_topology.proxy()->cutDataCentre(dataCentre);
    } else {
        m_cutDataCentres.erase(dataCentre);
        m_topology.proxy()->healDataCentre(dataCentre);
        schedule(detail::excuseAfterHeal, [this] { updateExcuses(); });
    }
    for (int i = 1; i <= m_plan.topology.entries; ++i) {
        std::string name = "entry-" + std::to_string(i);
        if (m_topology.entryDataCentre(name) != dataCentre)
            continue;
        Endpoint entry = m_topology.entryEndpoint(name);
        schedule(detail::fabricDetection, [this, entry, cut] {
            if (cut)
                m_fabric->removeEntry(entry);
            else
                m_fabric->addEntry(entry);
        });
    }
}

} // namespace cicadaward
