// The control instance on the datagram fabric: one loop for messages and the administration API around ControlCore, and
// one thread for the disk.
//
// A store that fails (full or broken disk) ends the consensus machine, not the process: the instance answers 503, opens
// the store again at intervals and continues from what is on the disk.
#pragma once

#include "cluster/control_core.h"
#include "disk_writer.h"
#include "flow_adapter.h"
#include "flow_daemon.h"
#include "store/posix_file_system.h"

#include <deque>
#include <map>

namespace cicadaward {

class FlowControlDaemon final : private cluster::ControlOutput {
public:
    FlowControlDaemon(FlowDaemonBase&, const Settings&, const FlowAdapter&);

    absl::Status start();
    // Hands leadership over and ends the loop.
    void stop();

private:
    void sendMessage(Endpoint to, const cluster::Envelope&) override;
    void persist(uint64_t ticket, const StoreBatch&) override;
    void answer(cluster::RequestNumber, const cluster::Answer&) override;
    void happened(cluster::ControlEvent, const std::string& subject, LogIndex) override;
    void stopped() override;

    bool openStore();
    void onStoreFailure(const absl::Status&);
    void handleOperatorCall(const HttpRequest&, const HttpReply&);
    void onTick();
    void onWritten(uint64_t ticket);
    void updateGauges();
    InstanceId founderIdentity() const;

    struct PendingCall {
        HttpReply reply;
        std::string target;
        Time received;
    };

    FlowDaemonBase& m_base;
    const FlowAdapter& m_adapter;
    const Duration m_stopTimeout;
    cluster::ControlOptions m_options;
    const std::map<InstanceId, cluster::InstanceAddress> m_founders; // the seeds, under their founding identities
    const bool m_bootstrap;
    PosixFileSystem m_files;
    DiskWriter m_disk;
    std::unique_ptr<cluster::ControlCore> m_core; // null while the store does not work
    bool m_storeFailed = false; // the store failed: the machine ends at the next turn of the loop
    Time m_nextOpenTime;
    PeerPort m_peers;
    HttpServer m_operators;
    std::unique_ptr<HttpServer> m_metrics;
    Histogram& m_orderLatencies;
    Histogram& m_diskLatencies; // from a batch's way to the disk to its durability
    std::deque<std::pair<uint64_t, Time>> m_pendingWrites; // tickets in order; bounded as the writer's queue
    std::unique_ptr<Ticker> m_ticker;
    boost::asio::steady_timer m_exitTimer;
    std::map<cluster::RequestNumber, PendingCall> m_calls; // bounded by maxHttpSessions
    cluster::RequestNumber m_lastRequest = 0;
    bool m_stopping = false;
};

} // namespace cicadaward
