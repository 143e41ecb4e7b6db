// Seeded schedules of faults over whole control planes. CICADAWARD_SCHEDULES sets their number and
// CICADAWARD_FIRST_SEED the first seed; the seed of a failing schedule is printed.

#include "control/simulation.h"
#include "control/test_support.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>

using namespace cicadaward;
using namespace cicadaward::control;
using namespace cicadaward::control::test;
using namespace std::chrono_literals;

namespace {

uint64_t numberFromEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

class Schedule {
public:
    explicit Schedule(uint64_t seed)
        : m_random(seed)
        , m_simulation(seed, settings(seed))
    {
        m_simulation.onPublished = [this](size_t, const Directory& directory) { checkPublished(directory); };
        m_simulation.onResult
            = [this](const ManifestCommand& command, const ManifestResult& result) { checkResult(command, result); };
        m_simulation.onDirectory = [this](size_t client, const Directory& directory) {
            checkMonotonic(client, directory.version, directory.manifestEpoch);
        };
        size_t clients = 4 + m_random.below(20);
        for (size_t i = 0; i < clients; ++i) {
            MemberRecord record = agentRecord("member-" + std::to_string(i), 1);
            record.dataCentre = i % 3 == 0 ? "hal-a" : "hal-b";
            if (i % 4 == 0) {
                record.role = MemberRole::Entry;
                record.service.clear();
            } else if (i % 4 == 1)
                record.service = "artwork";
            m_simulation.addClient(record);
        }
        m_last.resize(m_simulation.processes());
    }

    // The first violation, or nothing.
    std::string run()
    {
        m_simulation.run(2s);
        sendManifest();
        for (int i = 0; i < 60 && m_failure.empty(); ++i) {
            injectRandomFault();
            for (int j = 0; j < 5; ++j) {
                m_simulation.run(50ms);
                checkAll();
            }
        }
        clearFaults();
        for (int i = 0; i < 360 && m_failure.empty(); ++i) {
            m_simulation.run(50ms);
            checkAll();
        }
        if (m_failure.empty())
            checkConverged();
        return m_failure;
    }

private:
    struct LastObserved {
        uint64_t leaderTerm = 0;
        DirectoryVersion version;
        Epoch epoch;
        Epoch registerEpoch;
        const void* instanceAddress = nullptr; // changes with a restart
    };

    static SimulationSettings settings(uint64_t seed)
    {
        SimulationSettings settings;
        settings.instances = seed % 3 == 0 ? 5 : 3;
        settings.instance.relay.maxHistory = seed % 2 == 0 ? 4 : 256;
        return settings;
    }

    void injectRandomFault()
    {
        size_t process = m_random.below(m_simulation.processes());
        size_t instance = m_random.below(m_simulation.instances());
        switch (m_random.below(14)) {
        case 0:
            m_simulation.faults.loss = m_random.unit() * 0.3;
            m_simulation.faults.duplication = m_random.unit() * 0.3;
            m_simulation.faults.jitter = std::chrono::milliseconds(1 + m_random.below(800));
            break;
        case 1:
            m_simulation.faults = {};
            break;
        case 2:
            m_simulation.setGroup(instance, 1);
            break;
        case 3:
            for (size_t i = 0; i < m_simulation.processes(); ++i)
                m_simulation.setGroup(i, m_random.below(4) == 0 ? 1 : 0);
            break;
        case 4:
            for (size_t i = 0; i < m_simulation.processes(); ++i)
                m_simulation.setGroup(i, 0);
            break;
        case 5:
            m_simulation.stop(process);
            break;
        case 6:
            m_simulation.stop(instance);
            if (m_random.below(2) == 0)
                m_simulation.start(instance);
            break;
        case 7:
            for (size_t i = 0; i < m_simulation.processes(); ++i)
                m_simulation.start(i);
            break;
        case 8:
            m_simulation.pause(process, std::chrono::milliseconds(m_random.below(6000)));
            break;
        case 9:
            m_simulation.pause(instance, std::chrono::milliseconds(m_random.below(4000)));
            break;
        case 10:
            m_simulation.transferLeadership();
            break;
        case 11:
            changeState();
            break;
        default:
            sendManifest();
            break;
        }
        exchangeVersions();
    }

    // Half of the time two operators race with one version number; sometimes an earlier command is sent again.
    void sendManifest()
    {
        for (uint64_t i = 1 + m_random.below(2); i > 0; --i) {
            size_t instance = m_random.below(m_simulation.instances());
            uint64_t current = m_simulation.instance(instance).manifests().version();
            ManifestCommand command;
            if (current > 0 && m_random.below(3) == 0)
                command = dataCentreCommand("hal-b", m_random.below(2) == 0, m_random.below(2) * current);
            else {
                Manifest manifest = sampleManifest(current + 1, current);
                manifest.services[0].slotsPerTarget = static_cast<uint32_t>(1 + m_random.below(8));
                if (m_random.below(4) == 0)
                    manifest.services.pop_back();
                command = manifestCommand(manifest, "operator-" + std::to_string(m_random.below(100)));
            }
            if (!m_sent.empty() && m_random.below(4) == 0)
                command = m_sent[m_random.below(m_sent.size())];
            m_sent.push_back(command);
            m_simulation.command(instance, command);
        }
    }

    void changeState()
    {
        size_t client = randomClient();
        if (m_simulation.isUp(client) && !m_simulation.isPaused(client))
            m_simulation.clientEvent(
                client, StateChanged { static_cast<MemberState>(m_random.below(4)), Incarnation(m_random.below(3)) });
    }

    // Simulates a packet, which carries the directory version of its sender.
    void exchangeVersions()
    {
        size_t from = randomClient();
        size_t to = randomClient();
        if (m_simulation.isUp(from) && m_simulation.isUp(to) && !m_simulation.isPaused(to)
            && m_simulation.group(from) == m_simulation.group(to)) {
            m_simulation.clientEvent(to, VersionSeen { m_simulation.client(from).directory()->version });
            m_simulation.clientEvent(to, OtherDataCentreHeard {});
        }
    }

    size_t randomClient()
    {
        return m_simulation.instances() + m_random.below(m_simulation.processes() - m_simulation.instances());
    }

    void clearFaults()
    {
        m_simulation.faults = {};
        for (size_t i = 0; i < m_simulation.processes(); ++i) {
            m_simulation.setGroup(i, 0);
            m_simulation.pause(i, 0s);
            m_simulation.start(i);
        }
    }

    void fail(const std::string& text)
    {
        if (m_failure.empty())
            m_failure = text + " at " + std::to_string((m_simulation.now() - Time()) / 1ms) + " ms";
    }

    void checkMonotonic(size_t process, DirectoryVersion version, Epoch epoch)
    {
        LastObserved& last = m_last[process];
        if (version < last.version || epoch < last.epoch)
            fail("version or epoch of process " + std::to_string(process) + " went back");
        last.version = version;
        last.epoch = epoch;
    }

    void checkAll()
    {
        for (size_t i = 0; i < m_simulation.processes(); ++i) {
            bool isInstance = i < m_simulation.instances();
            const void* instanceAddress = isInstance ? static_cast<const void*>(&m_simulation.instance(i).relay())
                                                     : static_cast<const void*>(&m_simulation.client(i));
            if (!m_simulation.isUp(i)) {
                m_last[i] = {};
                continue;
            }
            if (m_last[i].instanceAddress != instanceAddress)
                m_last[i] = {};
            m_last[i].instanceAddress = instanceAddress;
            if (!isInstance)
                continue;
            const Directory& directory = *m_simulation.instance(i).relay().current();
            checkMonotonic(i, directory.version, directory.manifestEpoch);
            Epoch epoch = m_simulation.instance(i).manifests().epoch();
            if (epoch < m_last[i].registerEpoch)
                fail("the register of instance " + std::to_string(i) + " went back");
            m_last[i].registerEpoch = epoch;
        }
    }

    void checkResult(const ManifestCommand& command, const ManifestResult& result)
    {
        Findings findings;
        std::optional<Manifest> manifest = parseManifest("sent", command.manifest, findings);
        if (manifest && result.outcome == ManifestOutcome::Accepted && manifestDigest(*manifest) != result.digest)
            fail("version " + std::to_string(result.version) + " was answered as accepted for a loser");
        if (result.outcome != ManifestOutcome::Accepted && result.outcome != ManifestOutcome::Conflict)
            return;
        auto [winner, added] = m_winners.emplace(result.version, result);
        if (winner->second.digest != result.digest || winner->second.epoch != result.epoch)
            fail("version " + std::to_string(result.version) + " has two winners");
    }

    // A process with a valid lease may place flows, so the directory must contain it.
    void checkPublished(const Directory& directory)
    {
        if (directory.version <= m_newest)
            fail("a version was published twice or out of order");
        m_newest = directory.version;
        if (directory.manifestEpoch < m_newestEpoch)
            fail("a published epoch went back");
        m_newestEpoch = directory.manifestEpoch;
        for (size_t i = m_simulation.instances(); i < m_simulation.processes(); ++i) {
            const MemberRecord& record = m_simulation.record(i);
            std::optional<Time> lease = m_simulation.client(i).leaseEnd();
            bool isInManifest = directory.findDataCentre(record.dataCentre)
                && (record.service.empty() || directory.findService(record.service));
            if (m_simulation.isUp(i) && isInManifest && lease && *lease > m_simulation.now()
                && !directory.findMember(memberIdOf(record.name)))
                fail("live member " + record.name + " was removed");
        }
    }

    void checkConverged()
    {
        if (!m_simulation.leader())
            return fail("no leader");
        const ControlInstance& leader = m_simulation.instance(*m_simulation.leader());
        const Directory& newest = *leader.relay().current();
        if (newest.version != m_newest || newest.manifestEpoch != leader.manifests().epoch())
            fail("the leader does not hold the newest version");
        for (const auto& [version, result] : m_winners) {
            const ManifestRegister::HistoryEntry* entry = leader.manifests().findVersion(version);
            if (!entry || entry->digest != result.digest || entry->epoch != result.epoch)
                fail("accepted version " + std::to_string(version) + " was lost");
        }
        for (size_t i = 0; i < m_simulation.instances(); ++i) {
            const ControlInstance& instance = m_simulation.instance(i);
            if (encodeDirectory(*instance.relay().current()) != encodeDirectory(newest))
                fail("instance " + std::to_string(i) + " holds another directory");
            if (instance.manifests().snapshot() != leader.manifests().snapshot())
                fail("instance " + std::to_string(i) + " holds another register");
        }
        for (size_t i = m_simulation.instances(); i < m_simulation.processes(); ++i)
            checkConverged(i, newest);
    }

    void checkConverged(size_t process, const Directory& newest)
    {
        const MemberRecord& record = m_simulation.record(process);
        const ControlClient& client = m_simulation.client(process);
        bool isInManifest = newest.findDataCentre(record.dataCentre)
            && (record.service.empty() || newest.findService(record.service));
        const Member* member = newest.findMember(memberIdOf(record.name));
        if (isInManifest != (member != nullptr))
            fail(record.name + " is missing or should not be there");
        if (member
            && (member->state != record.state || member->process != record.process || member->target != record.target))
            fail(record.name + " is published with old facts: state " + std::to_string(int(member->state))
                + " instead of " + std::to_string(int(record.state)) + ", process "
                + std::to_string(member->process.value()) + " instead of " + std::to_string(record.process.value()));
        if (client.contact() != Contact::Valid)
            fail(record.name + " has no contact");
        Directory expected = newest;
        if (record.role == MemberRole::Agent) {
            const Service* own = newest.findService(record.service);
            auto isOtherService = [&](const Member& m) { return !own || m.service != own->id; };
            expected.members.erase(std::remove_if(expected.members.begin(), expected.members.end(), isOtherService),
                expected.members.end());
            expected.services.clear();
            if (own)
                expected.services = { *own };
        }
        if (encodeDirectory(*client.directory()) != encodeDirectory(expected))
            fail(record.name + " does not hold its part of the newest directory");
    }

    Random m_random;
    ControlSimulation m_simulation;
    std::vector<ManifestCommand> m_sent;
    std::map<uint64_t, ManifestResult> m_winners;
    std::vector<LastObserved> m_last;
    DirectoryVersion m_newest;
    Epoch m_newestEpoch;
    std::string m_failure;
};

} // namespace

TEST_CASE("no schedule of faults breaks an invariant, and all processes converge", "[control][schedule]")
{
    uint64_t count = numberFromEnvironment("CICADAWARD_SCHEDULES", 2000);
    uint64_t first = numberFromEnvironment("CICADAWARD_FIRST_SEED", 1);
    for (uint64_t seed = first; seed < first + count; ++seed) {
        std::string failure = Schedule(seed).run();
        INFO("seed " << seed << ": " << failure);
        REQUIRE(failure.empty());
    }
}
