#include "topology.h"

#include <boost/filesystem.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <fstream>
#include <sys/stat.h>

namespace cicadaward {

namespace detail {

    constexpr uint32_t loopback = 0x7f000001;

    void writePrivateFile(const std::string& name, const std::string& text)
    {
        std::ofstream(name) << text;
        chmod(name.c_str(), S_IRUSR | S_IWUSR);
    }

} // namespace detail

std::string formatEndpoint(Endpoint endpoint)
{
    return formatAddress(endpoint.address) + ":" + std::to_string(endpoint.port);
}

Topology::Topology(TopologyPlan plan)
    : m_plan(std::move(plan))
    , m_nextPort(m_plan.basePort)
{
    boost::filesystem::create_directories(m_plan.runFolder);
    detail::writePrivateFile(m_plan.runFolder + "/keys", "1 000102030405060708090a0b0c0d0e0f\n");
    detail::writePrivateFile(m_plan.runFolder + "/token", "experiment-token\n");
    if (m_plan.proxied)
        m_proxy = std::make_unique<FaultProxy>(m_plan.seed, m_plan.delays);
    m_fabricReturn = nextEndpoint();
    planControls();
    planEntries();
    for (const ServicePlan& service : m_plan.services) {
        for (int i = 1; i <= service.servers; ++i)
            planTarget(service, i);
    }
}

Endpoint Topology::nextEndpoint() { return { detail::loopback, m_nextPort++ }; }

Endpoint Topology::through(const Link& link, Endpoint target)
{
    if (!m_proxy)
        return target;
    Endpoint listen = nextEndpoint();
    m_proxy->add(link, listen, target);
    return listen;
}

std::string Topology::controlDataCentre(int number) const
{
    return m_plan.dataCentres[static_cast<size_t>(number - 1) % m_plan.dataCentres.size()];
}

// "ip:port, ..." or "name=ip:port, ..."; a control instance reaches itself directly.
std::string Topology::controlPeersOf(const std::string& name, const std::string& dataCentre, bool named)
{
    std::string peers;
    for (int i = 1; i <= m_plan.controls; ++i) {
        std::string control = "control-" + std::to_string(i);
        Endpoint endpoint = m_controlStreams[static_cast<size_t>(i - 1)];
        if (control != name)
            endpoint = through({ LinkKind::Control, name, dataCentre, control, controlDataCentre(i) }, endpoint);
        peers += (i == 1 ? "" : ", ") + (named ? control + "=" : "") + formatEndpoint(endpoint);
    }
    return peers;
}

std::string Topology::adminToken() const { return "experiment-token"; }

void Topology::add(const std::string& name, const std::string& program, std::vector<std::string> arguments)
{
    m_processes.emplace_back(name,
        std::make_unique<Process>(
            m_plan.programs + "/" + program, std::move(arguments), m_plan.runFolder + "/" + name + ".out"));
}

void Topology::addDaemon(const std::string& name, const std::string& program, const Tree& settings)
{
    std::string file = m_plan.runFolder + "/" + name + ".ini";
    boost::property_tree::write_ini(file, settings);
    add(name, program, { "--config", file });
}

Topology::Tree Topology::instanceSettings(const std::string& name, const std::string& dataCentre, bool withControl)
{
    Tree tree;
    tree.put("instance.name", name);
    tree.put("instance.data-centre", dataCentre);
    tree.put("instance.id-key-file", m_plan.runFolder + "/keys");
    if (withControl) {
        tree.put("control.peers", controlPeersOf(name, dataCentre, false));
        tree.put("control.announce-interval-ms", m_plan.announceMs);
        tree.put("control.lease-ms", 3 * m_plan.announceMs);
        tree.put("admin.listen", formatEndpoint(nextEndpoint()));
    }
    tree.add("log.file", m_plan.runFolder + "/" + name + ".log");
    return tree;
}

void Topology::planControls()
{
    for (int i = 1; i <= m_plan.controls; ++i)
        m_controlStreams.push_back(nextEndpoint());
    for (int i = 1; i <= m_plan.controls; ++i) {
        std::string name = "control-" + std::to_string(i);
        m_admin[name] = nextEndpoint();
        std::string dataCentre = controlDataCentre(i);
        Tree tree = instanceSettings(name, dataCentre, false);
        tree.put("listen.peers", formatEndpoint(m_controlStreams[static_cast<size_t>(i - 1)]));
        tree.put("admin.listen", formatEndpoint(m_admin[name]));
        tree.put("admin.token-file", m_plan.runFolder + "/token");
        tree.put("control.peers", controlPeersOf(name, dataCentre, true));
        tree.put("control.bootstrap", i == 1 ? "true" : "false");
        tree.put("control.lease-ms", 3 * m_plan.announceMs);
        tree.put("data.folder", m_plan.runFolder + "/" + name + "-data");
        addDaemon(name, "cicadaward-control", tree);
    }
}

void Topology::planEntries()
{
    for (int i = 1; i <= m_plan.entries; ++i) {
        std::string name = "entry-" + std::to_string(i);
        std::string dataCentre = m_plan.dataCentres[static_cast<size_t>(i - 1) % m_plan.dataCentres.size()];
        Endpoint fabric = nextEndpoint();
        m_entryEndpoints[name] = through({ LinkKind::Packets, "fabric", "", name, dataCentre }, fabric);
        m_entryDataCentres[name] = dataCentre;
        Tree tree = instanceSettings(name, dataCentre, true);
        tree.put("listen.fabric", formatEndpoint(fabric));
        tree.put("listen.tunnel", formatEndpoint(nextEndpoint()));
        addDaemon(name, "cicadaward-entry", tree);
    }
}

void Topology::planTarget(const ServicePlan& service, int number)
{
    TargetPlace place;
    place.name = service.name + "-" + std::to_string(number);
    place.service = service.name;
    place.dataCentre = m_plan.dataCentres[static_cast<size_t>(number - 1) % m_plan.dataCentres.size()];
    place.http = nextEndpoint();
    place.tunnel = nextEndpoint();
    Endpoint packets = nextEndpoint();
    Endpoint fromTarget = nextEndpoint();
    m_targets.push_back(place);
    add(place.name, "cicadaward-target",
        { "--name", place.name, "--address", formatAddress(service.address), "--packets", formatEndpoint(packets),
            "--agent", formatEndpoint(fromTarget), "--http", formatEndpoint(place.http), "--run-log",
            m_plan.runFolder + "/" + place.name + ".runs", "--slots", std::to_string(service.slots), "--flows",
            std::to_string(service.flowsPerTarget), "--cold-share", std::to_string(service.coldShare), "--cold-ms",
            std::to_string(service.coldMs), "--work-ms", std::to_string(service.workMs) });
    std::string agent = place.name + "-agent";
    Tree tree = instanceSettings(agent, place.dataCentre, true);
    tree.put("listen.tunnel", formatEndpoint(place.tunnel));
    tree.put("listen.target", formatEndpoint(fromTarget));
    tree.put("fabric.return",
        formatEndpoint(through({ LinkKind::Packets, agent, place.dataCentre, "fabric", "" }, m_fabricReturn)));
    tree.put("service.name", service.name);
    tree.put("target.packets", formatEndpoint(packets));
    tree.put("target.http",
        formatEndpoint(
            through({ LinkKind::TargetHttp, agent, place.dataCentre, place.name, place.dataCentre }, place.http)));
    addDaemon(agent, "cicadaward-agent", tree);
}

void Topology::start()
{
    if (m_proxy)
        m_proxy->start();
    for (auto& [name, process] : m_processes)
        process->start();
}

Process* Topology::find(const std::string& name)
{
    for (auto& [key, process] : m_processes) {
        if (key == name)
            return process.get();
    }
    return nullptr;
}

std::vector<Endpoint> Topology::entryEndpoints() const
{
    std::vector<Endpoint> result;
    for (const auto& [name, endpoint] : m_entryEndpoints)
        result.push_back(endpoint);
    return result;
}

std::vector<std::string> Topology::controlNames() const
{
    std::vector<std::string> result;
    for (const auto& [name, endpoint] : m_admin)
        result.push_back(name);
    return result;
}

Manifest Topology::manifest(uint64_t version, uint64_t replaces, const std::vector<std::string>& out) const
{
    Manifest manifest;
    manifest.version = version;
    manifest.replaces = replaces;
    for (const std::string& name : m_plan.dataCentres)
        manifest.dataCentres.push_back({ name, std::find(out.begin(), out.end(), name) != out.end() });
    for (const ServicePlan& plan : m_plan.services) {
        ServiceSpec service;
        service.name = plan.name;
        service.address = plan.address;
        service.ports
            = { { feedPort, Protocol::Tcp, PortMode::Flow }, { requestPort, Protocol::Tcp, PortMode::Request } };
        service.slotsPerTarget = plan.slots;
        service.flowsPerTarget = plan.flowsPerTarget;
        service.coldShare = plan.coldShare;
        service.coldSeconds = static_cast<uint32_t>((plan.coldMs + 999) / 1000);
        manifest.services.push_back(service);
    }
    return manifest;
}

} // namespace cicadaward
