// Measures the control plane in the simulation and prints the tables of docs/CONTROL-MEASUREMENTS.md. Bytes are those
// of the encoded messages, sent and received, without the framing of the transport; the number of messages is given so
// that framing can be added. Processor time is that of decisions and codecs on this machine.
//
//     control_measurement [NODES ...]     default: 50 200 800 3020

#include "control/simulation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <numeric>

namespace cicadaward::control {
namespace {

    using namespace std::chrono_literals;

    enum class Role { Leader, Follower, Entry, Agent };
    constexpr std::array<const char*, 4> roleNames { "leader", "follower", "entry", "agent" };

    struct RoleUsage {
        double meanBytes = 0; // per process
        double maxBytes = 0;
        double meanMessages = 0;
        double meanBusy = 0; // seconds
        double maxBusy = 0;
    };
    using RoleUsages = std::array<RoleUsage, 4>;

    class Measurement {
    public:
        Measurement(size_t nodes, uint32_t intervalMs, uint64_t seed)
            : m_nodes(nodes)
            , m_simulation(seed, settings(intervalMs))
        {
            // The proportions of the target size: 413 entries and 260 services of 10 agents on 3,013 nodes.
            size_t clients = nodes - m_simulation.instances();
            size_t entries = std::max<size_t>(2, clients * 413 / 3013);
            m_services = std::max<size_t>(1, (clients - entries) / 10);
            for (size_t i = 0; i < clients; ++i) {
                MemberRecord record;
                record.name = (i < entries ? "entry-" : "agent-") + std::to_string(i);
                record.role = i < entries ? MemberRole::Entry : MemberRole::Agent;
                record.state = MemberState::Warm;
                if (i >= entries)
                    record.service = "service-" + std::to_string((i - entries) % m_services);
                record.dataCentre = "dc-" + std::to_string(i % 7);
                record.tunnel = { 0x0a000000 + static_cast<uint32_t>(i), 9000 };
                record.capacity = 2000;
                record.process = Incarnation(1'700'000'000'000 + i);
                record.target = Incarnation(1'700'000'000'000 + i);
                record.intervalMs = intervalMs;
                m_simulation.addClient(record);
            }
            m_simulation.onResult = [this](const ManifestCommand&, const ManifestResult& result) {
                m_accepted = m_simulation.now();
                m_acceptedEpoch = result.epoch;
                m_outcome = result.outcome;
            };
            m_simulation.onDirectory = [this](size_t, const Directory& directory) {
                if (directory.manifestEpoch == m_acceptedEpoch && directory.manifestEpoch > Epoch(1))
                    m_activationTimes.push_back(m_simulation.now() - m_accepted);
            };
            m_simulation.run(2s);
            m_simulation.command(0, { 0, "pipeline", formatManifest(manifest()), "", false, 0 });
            m_simulation.run(4 * std::chrono::milliseconds(3 * intervalMs));
        }

        // Usage during `duration`, at whose start `act` is executed.
        template <typename Act> RoleUsages measureUsage(Duration duration, Act act)
        {
            std::vector<Usage> before;
            for (size_t i = 0; i < m_simulation.processes(); ++i)
                before.push_back(m_simulation.usage(i));
            act();
            m_simulation.run(duration);
            RoleUsages usages;
            std::array<size_t, 4> counts {};
            for (size_t i = 0; i < m_simulation.processes(); ++i) {
                const Usage& now = m_simulation.usage(i);
                auto role = static_cast<size_t>(roleOf(i));
                RoleUsage& usage = usages[role];
                auto bytes = static_cast<double>(
                    now.sentBytes + now.receivedBytes - before[i].sentBytes - before[i].receivedBytes);
                double busy = std::chrono::duration<double>(now.busy - before[i].busy).count();
                usage.meanBytes += bytes;
                usage.maxBytes = std::max(usage.maxBytes, bytes);
                usage.meanMessages += static_cast<double>(
                    now.sentMessages + now.receivedMessages - before[i].sentMessages - before[i].receivedMessages);
                usage.meanBusy += busy;
                usage.maxBusy = std::max(usage.maxBusy, busy);
                ++counts[role];
            }
            for (size_t role = 0; role < usages.size(); ++role) {
                auto count = static_cast<double>(std::max<size_t>(1, counts[role]));
                usages[role].meanBytes /= count;
                usages[role].meanMessages /= count;
                usages[role].meanBusy /= count;
            }
            return usages;
        }

        void changeDataCentre()
        {
            ManifestCommand command;
            command.who = "operator";
            command.dataCentre = "dc-3";
            command.out = m_out = !m_out;
            m_simulation.command(*m_simulation.leader(), command);
        }

        void restart(size_t client)
        {
            m_simulation.stop(client);
            m_simulation.start(client);
        }

        // Stops 40 clients at once and starts them after `downtime`; the largest bytes in one second per role.
        RoleUsages restartRack(Duration downtime)
        {
            size_t first = m_simulation.instances() + 2;
            size_t count = std::min<size_t>(40, (m_simulation.processes() - first) / 2);
            for (size_t i = 0; i < count; ++i)
                m_simulation.stop(first + i);
            RoleUsages peak {};
            for (int second = 0; second < 30; ++second) {
                RoleUsages usages = measureUsage(1s, [&] {
                    if (second * Duration(1s) == downtime) {
                        for (size_t i = 0; i < count; ++i)
                            m_simulation.start(first + i);
                    }
                });
                for (size_t role = 0; role < peak.size(); ++role)
                    peak[role].maxBytes = std::max(peak[role].maxBytes, usages[role].maxBytes);
            }
            return peak;
        }

        // Seconds from acceptance to each process, over `changes` changes; with `losesLeader`, the leader is
        // disconnected right after.
        std::vector<double> activationTimes(int changes, bool losesLeader)
        {
            m_activationTimes.clear();
            for (int i = 0; i < changes; ++i) {
                if (losesLeader) {
                    m_simulation.onPublished = [this](size_t instance, const Directory&) {
                        m_simulation.onPublished = nullptr;
                        m_simulation.setGroup(instance, 1); // the messages do not arrive
                    };
                }
                changeDataCentre();
                m_simulation.run(losesLeader ? Duration(30s) : Duration(4s) + std::chrono::milliseconds(37 * i));
                for (size_t j = 0; j < m_simulation.instances(); ++j)
                    m_simulation.setGroup(j, 0);
            }
            std::vector<double> seconds;
            for (Duration duration : m_activationTimes)
                seconds.push_back(std::chrono::duration<double>(duration).count());
            std::sort(seconds.begin(), seconds.end());
            return seconds;
        }

        // Bytes that an entry and an agent receive in the first 500 ms after they missed `changes` versions.
        std::pair<uint64_t, uint64_t> catchUp(int changes)
        {
            size_t entry = m_simulation.instances();
            size_t agent = m_simulation.processes() - 1;
            m_simulation.setGroup(entry, 1);
            m_simulation.setGroup(agent, 1);
            DirectoryVersion before = m_simulation.client(entry).directory()->version;
            size_t changing = agent - m_services; // of the same service as `agent`
            for (int i = 0; i < changes; ++i) {
                size_t client = i % 10 == 0 ? changing : entry + 1 + static_cast<size_t>(i) % (m_nodes / 2);
                m_simulation.clientEvent(client, StateChanged { MemberState::Warm, Incarnation(++m_lastTarget) });
                m_simulation.run(310ms); // past the batch interval, so that each change is a version
            }
            m_simulation.run(1s);
            uint64_t sequence = m_simulation.instance(*m_simulation.leader()).relay().current()->version.sequence;
            m_missed = sequence - before.sequence;
            uint64_t entryBytes = m_simulation.usage(entry).receivedBytes;
            uint64_t agentBytes = m_simulation.usage(agent).receivedBytes;
            m_simulation.setGroup(entry, 0);
            m_simulation.setGroup(agent, 0);
            for (int i = 0; i < 60 && m_simulation.client(entry).directory()->version == before; ++i)
                m_simulation.run(100ms);
            m_simulation.run(2s);
            return { m_simulation.usage(entry).receivedBytes - entryBytes,
                m_simulation.usage(agent).receivedBytes - agentBytes };
        }

        uint64_t missed() const { return m_missed; }
        bool accepted() const { return m_outcome == ManifestOutcome::Accepted; }
        ControlSimulation& simulation() { return m_simulation; }

    private:
        static SimulationSettings settings(uint32_t intervalMs)
        {
            SimulationSettings settings;
            settings.instances = 7;
            settings.instance.publisher.newLeaderDelay = std::chrono::milliseconds(3 * intervalMs);
            settings.measureBusy = true;
            return settings;
        }

        Manifest manifest() const
        {
            Manifest manifest;
            manifest.version = 1;
            for (int i = 0; i < 7; ++i)
                manifest.dataCentres.push_back({ "dc-" + std::to_string(i), false });
            for (size_t i = 0; i < m_services; ++i) {
                ServiceSpec service;
                service.name = "service-" + std::to_string(i);
                service.address = 0x0a640000 + static_cast<uint32_t>(i);
                service.ports = { { 7000, Protocol::Tcp, PortMode::Flow }, { 8080, Protocol::Tcp, PortMode::Request } };
                manifest.services.push_back(service);
            }
            return manifest;
        }

        Role roleOf(size_t process) const
        {
            if (process < m_simulation.instances())
                return m_simulation.leader() == process ? Role::Leader : Role::Follower;
            return m_simulation.record(process).role == MemberRole::Entry ? Role::Entry : Role::Agent;
        }

        size_t m_nodes;
        ControlSimulation m_simulation;
        size_t m_services = 1;
        Time m_accepted;
        Epoch m_acceptedEpoch;
        ManifestOutcome m_outcome = ManifestOutcome::Unknown;
        std::vector<Duration> m_activationTimes;
        uint64_t m_missed = 0;
        uint64_t m_lastTarget = 0;
        bool m_out = false;
    };

    double percentile(const std::vector<double>& sorted, double share)
    {
        if (sorted.empty())
            return -1;
        return sorted[std::min(sorted.size() - 1, static_cast<size_t>(share * static_cast<double>(sorted.size())))];
    }

    // One row of every table.
    void measure(size_t nodes, uint32_t intervalMs)
    {
        Measurement m(nodes, intervalMs, nodes);
        const double seconds = 60;
        RoleUsages steady = m.measureUsage(60s, [] {});
        RoleUsages change = m.measureUsage(20s, [&] { m.changeDataCentre(); });
        const int restarts = 10;
        RoleUsages restart = m.measureUsage(20s, [&] {
            for (size_t i = 0; i < restarts; ++i) {
                m.restart(m.simulation().instances() + 3 + i * (nodes - 20) / restarts);
                m.simulation().run(1s);
            }
        });
        RoleUsages rack = m.restartRack(12s);
        std::vector<double> quiet = m.activationTimes(10, false);
        auto [entryBytes, agentBytes] = m.catchUp(200);
        uint64_t missedFew = m.missed();
        auto [entryMany, agentMany] = m.catchUp(500);
        uint64_t missedMany = m.missed();
        std::vector<double> lost = m.activationTimes(3, true);
        for (size_t role = 0; role < roleNames.size(); ++role) {
            const RoleUsage& s = steady[role];
            double extraChange = change[role].meanBytes - s.meanBytes / seconds * 20;
            double extraRestart = (restart[role].meanBytes - s.meanBytes / seconds * 30) / restarts;
            std::printf("usage | %zu | %u | %s | %.2f | %.2f | %.1f | %.0f | %.0f | %.3f | %.1f | %.3f |\n", nodes,
                intervalMs, roleNames[role], s.meanBytes / seconds / 1000, s.maxBytes / seconds / 1000,
                s.meanMessages / seconds, extraChange, extraRestart, extraRestart * 790 / 86400 / 1000,
                rack[role].maxBytes / 1000, 100 * s.maxBusy / seconds);
        }
        std::printf("force | %zu | %zu | %.3f | %.3f | %.3f | %zu | %.3f | %.3f | %.3f |\n", nodes, quiet.size(),
            percentile(quiet, 0.5), percentile(quiet, 0.99), percentile(quiet, 1), lost.size(), percentile(lost, 0.5),
            percentile(lost, 0.99), percentile(lost, 1));
        std::printf("catch-up | %zu | %llu | %llu | %llu | %llu | %llu | %llu |\n", nodes,
            static_cast<unsigned long long>(missedFew), static_cast<unsigned long long>(entryBytes),
            static_cast<unsigned long long>(agentBytes), static_cast<unsigned long long>(missedMany),
            static_cast<unsigned long long>(entryMany), static_cast<unsigned long long>(agentMany));
        std::fflush(stdout);
    }

} // namespace
} // namespace cicadaward::control

int main(int argumentCount, char** arguments)
{
    std::vector<size_t> sizes;
    for (int i = 1; i < argumentCount; ++i)
        sizes.push_back(std::strtoul(arguments[i], nullptr, 10));
    if (sizes.empty())
        sizes = { 50, 200, 800, 3020 };
    for (size_t nodes : sizes)
        cicadaward::control::measure(std::max<size_t>(nodes, 30), nodes > 1000 ? 3000 : 1000);
}
