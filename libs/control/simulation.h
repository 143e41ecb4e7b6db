// Discrete-event simulation of control instances and clients in one process, for the schedule test and the measurement
// program. Time is simulated; all messages pass through their codecs. Equal seeds give equal runs.
//
//     ControlSimulation simulation(seed, settings);
//     size_t client = simulation.addClient(record);
//     simulation.run(std::chrono::seconds(10));
//
// Raft is a model: one committed log, and a leader that is elected only after one second without a quorum, as voters
// refuse to vote while they hear from a leader. Processes are numbered: instances first, then clients.
#pragma once

#include "control/control_client.h"
#include "control/control_instance.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <queue>

namespace cicadaward::control {

struct SimulationSettings {
    size_t instances = 3;
    ControlInstanceSettings instance; // `id` and `others` are filled in
    Duration linkDelay = std::chrono::milliseconds(1);
    Duration tick = std::chrono::milliseconds(50);
    bool measureBusy = false; // fills in Usage::busy
};

// Applied to each message.
struct LinkFaults {
    double loss = 0;
    double duplication = 0;
    Duration jitter {}; // uniform extra delay; reorders messages
};

struct Usage {
    uint64_t sentBytes = 0;
    uint64_t receivedBytes = 0;
    uint64_t sentMessages = 0;
    uint64_t receivedMessages = 0;
    Duration busy {}; // processor time of decisions and codecs
};

class ControlSimulation {
public:
    ControlSimulation(uint64_t seed, SimulationSettings settings);

    // Returns the process number.
    size_t addClient(const MemberRecord& record);
    void run(Duration duration);
    Time now() const { return m_clock.now(); }

    // Faults.
    LinkFaults faults;
    void setGroup(size_t process, int group) { m_processes[process].group = group; } // only equal groups are connected
    void stop(size_t process); // crash: the state in memory is lost
    void start(size_t process); // an instance restores a snapshot that may be old, then applies the log
    void pause(size_t process, Duration duration); // messages wait
    void transferLeadership(); // leadership transfer to a random instance

    void command(size_t instance, const ManifestCommand& command);
    void clientEvent(size_t client, const ControlClientEvent& event);

    // Observers.
    std::function<void(size_t instance, const Directory& directory)> onPublished;
    std::function<void(const ManifestCommand& command, const ManifestResult& result)> onResult;
    std::function<void(size_t client, const Directory& directory)> onDirectory;

    size_t processes() const { return m_processes.size(); }
    size_t instances() const { return m_settings.instances; }
    bool isUp(size_t process) const { return m_processes[process].up; }
    bool isPaused(size_t process) const { return m_processes[process].pausedUntil > now(); }
    int group(size_t process) const { return m_processes[process].group; }
    const ControlInstance& instance(size_t process) const { return *m_processes[process].instance; }
    const ControlClient& client(size_t process) const { return *m_processes[process].client; }
    const MemberRecord& record(size_t process) const { return m_processes[process].record; }
    std::optional<size_t> leader() const { return m_leader; }
    const std::vector<std::string>& log() const { return m_log; }
    Usage& usage(size_t process) { return m_processes[process].usage; }

private:
    struct Process {
        std::unique_ptr<ControlInstance> instance;
        std::unique_ptr<ControlClient> client;
        MemberRecord record;
        bool up = true;
        uint64_t startCount = 1;
        int group = 0;
        Time pausedUntil;
        Usage usage;
        // Raft model of an instance.
        uint64_t applied = 0;
        Term term;
        bool hasLeader = false;
        Time leaderHeard;
    };
    struct Event {
        Time at;
        uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };
    struct RequestOrigin {
        size_t client = 0; // 0: a command, as process 0 is an instance
        uint64_t startCount = 0;
        ManifestCommand command;
    };

    void at(Time time, std::function<void()> run);
    void scheduleTick(size_t process, uint64_t startCount);
    void createInstance(size_t process);
    void send(
        size_t from, size_t to, const std::string& bytes, const std::function<void(const std::string&)>& deliverTo);
    void deliver(size_t from, size_t to, uint64_t startCount, const std::string& bytes,
        const std::function<void(const std::string&)>& action);
    void instanceEvent(size_t instance, const ControlEvent& event);
    void performAction(size_t instance, const ControlAction& action);
    void answer(size_t instance, const AnswerRequest& answer);
    void performAction(size_t client, const ControlClientAction& action);
    void raftTick();
    bool canServe(size_t process) const { return isUp(process) && !isPaused(process); }
    bool hasMajority(size_t instance) const;
    void elect();
    void applyLog(size_t instance);
    ControlInstanceId idOf(size_t instance) const { return ControlInstanceId(static_cast<uint32_t>(instance + 1)); }

    ManualClock m_clock;
    Random m_random;
    SimulationSettings m_settings;
    std::vector<Process> m_processes;
    std::priority_queue<Event> m_events;
    uint64_t m_order = 0;
    uint64_t m_lastRequest = 0;
    absl::flat_hash_map<uint64_t, RequestOrigin> m_requests;

    std::vector<std::string> m_log;
    std::vector<std::pair<uint64_t, std::string>> m_snapshots; // index and state
    std::optional<size_t> m_leader;
    Term m_term;
    Time m_quorumAt;
};

} // namespace cicadaward::control
