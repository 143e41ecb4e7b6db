// The processes of one experiment: writes their settings, starts them, and finds them by name.
//
// Names: entries entry-1..., control instances control-1..., targets SERVICE-1... with an agent SERVICE-1-agent each.
// Data centres are filled in turn. All processes listen on the loopback address; ports count up from basePort.
//
// With `proxied`, these links pass the fault-injecting proxy: fabric to entry, agent to fabric, agent to its target's
// HTTP server, and each entry, agent and control instance to each control instance. The tunnel between entries and
// agents does not: `listen.tunnel` is both the bound and the announced endpoint.
#pragma once

#include "core/findings.h"
#include "directory/manifest.h"
#include "fault_proxy.h"
#include "net/udp_port.h"
#include "process.h"

#include <boost/property_tree/ptree.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cicadaward {

struct ServicePlan {
    std::string name;
    uint32_t address = 0;
    int servers = 0;
    uint32_t slots = 3;
    uint32_t flowsPerTarget = 2000;
    uint32_t feeds = 0; // flows that the callers keep open
    double requestsPerSecond = 0;
    double coldShare = 0.1;
    int coldMs = 0; // how long a target stays cold after its start
    int workMs = 5;
};

struct TopologyPlan {
    std::string region;
    std::vector<std::string> dataCentres;
    int entries = 2;
    int controls = 3;
    std::vector<ServicePlan> services;
    uint16_t basePort = 21000;
    std::string programs; // folder of the daemons
    std::string runFolder; // settings, logs, data
    int announceMs = 1000;
    bool proxied = false; // all links between processes pass the fault-injecting proxy
    LinkDelays delays; // of the proxied links
    uint64_t seed = 1; // of the proxy's decisions
};

struct TargetPlace {
    std::string name;
    std::string service;
    std::string dataCentre;
    Endpoint http;
    Endpoint tunnel; // of its agent
};

constexpr uint16_t feedPort = 7000;
constexpr uint16_t requestPort = 8080;

class Topology {
public:
    explicit Topology(TopologyPlan);

    // Writes all settings and starts everything; the manifest is not applied yet.
    void start();

    Process* find(const std::string& name);
    const std::vector<TargetPlace>& targets() const { return m_targets; }
    std::vector<Endpoint> entryEndpoints() const;
    // Where the fabric sends packets for this entry.
    Endpoint entryEndpoint(const std::string& name) const { return m_entryEndpoints.at(name); }
    std::vector<std::string> controlNames() const;
    Endpoint admin(const std::string& control) const { return m_admin.at(control); }
    std::string adminToken() const;
    Endpoint fabricReturn() const { return m_fabricReturn; }
    std::string entryDataCentre(const std::string& name) const { return m_entryDataCentres.at(name); }

    Manifest manifest(uint64_t version, uint64_t replaces, const std::vector<std::string>& out) const;
    const TopologyPlan& plan() const { return m_plan; }
    // Null unless the plan is proxied.
    FaultProxy* proxy() { return m_proxy.get(); }
    absl::Status status() const { return m_proxy ? m_proxy->status() : absl::OkStatus(); }

private:
    using Tree = boost::property_tree::ptree;

    Endpoint nextEndpoint();
    // Endpoint that the `from` side of the link uses to reach `target`.
    Endpoint through(const Link&, Endpoint target);
    std::string controlPeersOf(const std::string& name, const std::string& dataCentre, bool named);
    std::string controlDataCentre(int number) const;
    void add(const std::string& name, const std::string& program, std::vector<std::string> arguments);
    void addDaemon(const std::string& name, const std::string& program, const Tree& settings);
    void planControls();
    void planEntries();
    void planTarget(const ServicePlan&, int number);
    Tree instanceSettings(const std::string& name, const std::string& dataCentre, bool withControl);

    TopologyPlan m_plan;
    uint16_t m_nextPort;
    Endpoint m_fabricReturn;
    std::vector<std::pair<std::string, std::unique_ptr<Process>>> m_processes; // in starting order
    std::vector<TargetPlace> m_targets;
    std::map<std::string, Endpoint> m_entryEndpoints;
    std::map<std::string, std::string> m_entryDataCentres;
    std::map<std::string, Endpoint> m_admin;
    std::vector<Endpoint> m_controlStreams;
    std::unique_ptr<FaultProxy> m_proxy;
};

std::string formatEndpoint(Endpoint);

} // namespace cicadaward
