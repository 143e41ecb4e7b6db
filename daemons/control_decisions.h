// The consensus thread of a control instance: drives Raft, the durable store and control::ControlInstance. A batch is
// written and synced before the thread continues, so no message that depends on it can be sent earlier; this delays
// heartbeats for the few milliseconds that a sync takes.
//
// Other instances are known by name from the settings, and by the instance id of their disk from /hello calls. The
// leader adds the unknown id of a configured name as a learner, which Raft promotes when it has caught up. An id that
// belongs to no configured name any longer is removed once every name has a live voter, so that a repaired group has
// exactly one voter for each name.
//
// A Raft group is bootstrapped only once: an instance with control.bootstrap and an empty disk waits until every
// configured peer has reported that it belongs to no group, so an instance that has lost its disk cannot start a second
// group.
#pragma once

#include "control/control_instance.h"
#include "control_messages.h"
#include "daemon.h"
#include "net/waking_ring.h"
#include "raft/raft.h"
#include "store/posix_file_system.h"
#include "store/store.h"

#include <map>

namespace cicadaward {

// Sent to every configured peer once a second, and answered with the same.
struct Hello {
    std::string name;
    InstanceId instance;
    bool inGroup = false; // its disk belongs to a group
    bool bootstrap = false; // its settings say control.bootstrap

    MSGPACK_DEFINE_ARRAY(name, instance, inGroup, bootstrap)
};

class ControlConsensusThread {
public:
    // The functions are called on the consensus thread. `failed` is called when the store has failed; the process must
    // then end.
    ControlConsensusThread(DaemonBase&, const Settings&, std::function<bool(NetworkInput&&)> toNetwork,
        std::function<bool(AdminAnswer&&)> toAdmin, std::function<void()> failed);

    // Opens the store. A DataLoss error names the damaged file and the offset.
    absl::Status open();
    void start() { m_loop.start(); }
    void stop();

    bool pushFromNetwork(ConsensusInput&& input) { return m_fromNetwork.push(std::move(input)); }
    bool pushFromAdmin(ConsensusInput&& input) { return m_fromAdmin.push(std::move(input)); }

private:
    struct Peer {
        std::string name;
        InstanceId instance; // zero while unknown
        bool inGroup = false;
        bool bootstrap = false;
        Time lastHelloTime;
    };

    void handleInput(const CallReceived&);
    void handleInput(const PeerReplied&);
    void handleInput(const AdminCall&);
    void handleHello(const std::string& payload);
    std::string encodeHello() const;

    void handle(raft::RaftEvent);
    void perform(raft::SendMessage&);
    void perform(raft::Persist&);
    void perform(raft::ApplyEntries&);
    void perform(raft::InstallSnapshot&);
    void perform(raft::BecameLeader&);
    void perform(raft::BecameFollower&);
    void perform(raft::RequestResult&);
    void perform(raft::StopReady&);

    void handle(const control::ControlEvent&);
    void perform(const control::ProposeCommand&);
    void perform(const control::SendToInstance&);
    void perform(const control::SendToAllInstances&);
    void perform(const control::AnswerRequest&);
    void perform(const control::ReportFinding&);
    void answerAdmin(uint64_t call, const control::ControlAnswer&);

    void tick();
    void sendHellos();
    void updateMembership();
    void bootstrapIfSafe();
    void createRaft(StoreContents);
    void handleStoreFailure(const absl::Status&);
    void takeSnapshot();
    void reportMetrics();
    void handleAdminRead(const AdminCall&);
    void handleAdminChange(const AdminCall&);
    std::string membersJson() const;

    control::ControlInstanceId controlInstanceId(InstanceId) const;
    uint32_t peerIndex(InstanceId) const;
    void post(uint32_t peer, const char* path, std::string payload);

    DaemonBase& m_base;
    std::string m_name;
    std::string m_folder;
    bool m_bootstrap;
    Duration m_electionTimeout;
    std::function<bool(NetworkInput&&)> m_toNetwork;
    std::function<bool(AdminAnswer&&)> m_toAdmin;
    std::function<void()> m_onStoreFailure;

    EventLoopThread m_loop;
    Random m_random;
    PosixFileSystem m_files;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<raft::Raft> m_raft;
    std::unique_ptr<control::ControlInstance> m_instance;
    std::vector<Peer> m_peers; // by index in control.peers
    uint32_t m_selfIndex = 0;
    std::optional<Term> m_pendingLeadership; // term that this leader has won, until its first entry is applied
    LogIndex m_appliedIndex = 0;
    LogIndex m_snapshotIndex = 0;
    std::vector<raft::RaftEvent> m_pendingEvents; // events that actions have caused and that are not handled yet
    bool m_handling = false;
    bool m_stopped = false;
    uint64_t m_lastRaftRequest = 0;
    // RequestId -> call number and path; the path is adminPath for the administration API.
    std::map<uint64_t, std::pair<uint64_t, const char*>> m_calls;
    uint64_t m_lastRequest = 0;
    WakingRing<ConsensusInput> m_fromNetwork;
    WakingRing<ConsensusInput> m_fromAdmin;
    std::function<void()> m_onStopReady;
};

} // namespace cicadaward
