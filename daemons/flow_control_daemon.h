// The control instance on the datagram fabric: one event loop for messages, the administration API and ControlCore, and
// one thread for the disk. A second one writes the file of the flow records, once an agent has reported flows.
//
// A failure of the store (full or broken disk) ends the Raft state machine, not the process: the instance answers 503,
// tries to open the store again at an interval, and continues from what is on the disk.
#pragma once

#include "cluster/control_core.h"
#include "cluster/flow_records.h"
#include "disk_writer.h"
#include "flow_adapter.h"
#include "flow_daemon.h"
#include "flow_record_file.h"
#include "store/posix_file_system.h"

#include <deque>
#include <map>
#include <optional>

namespace cicadaward {

class FlowControlDaemon final : private cluster::ControlOutput {
public:
    FlowControlDaemon(FlowDaemonBase&, const Settings&, const FlowAdapter&);

    absl::Status start();
    // Transfers leadership and ends the event loop, at the latest after stop.limit-ms.
    void stop();

private:
    void sendMessage(Endpoint to, const cluster::Envelope&) override;
    void persist(uint64_t batchNumber, const StoreBatch&) override;
    void answer(cluster::RequestNumber, const cluster::Answer&) override;
    void onEvent(cluster::ControlEvent, const std::string& subject, LogIndex) override;
    void stopped() override;

    bool openStore();
    void onStoreFailure(const absl::Status&);
    void handleOperatorCall(const HttpRequest&, const HttpReplyCallback&);
    void handleMessage(Endpoint sender, const cluster::Envelope&);
    void loadFlowRecords();
    void writeFlowRecords();
    void onFlowRecordsWritten(const absl::Status&);
    void onTick();
    void onWritten(uint64_t batchNumber);
    void updateGauges();
    InstanceId founderIdentity() const;

    struct PendingCall {
        HttpReplyCallback reply;
        std::string target;
        Time received;
    };

    FlowDaemonBase& m_base;
    const FlowAdapter& m_adapter;
    const Duration m_stopTimeout;
    cluster::ControlOptions m_options;
    const std::map<InstanceId, cluster::InstanceAddress>
        m_founders; // the seeds, by the instance id that founderId() derives
    const bool m_bootstrap;
    PosixFileSystem m_files;
    DiskWriter m_disk;
    cluster::FlowRecords m_flowRecords; // answers also while the store is not open
    PosixFileSystem m_flowRecordFiles; // for the thread of m_flowRecordFile
    FlowRecordFile m_flowRecordFile;
    Time m_nextFlowRecordEvent;
    std::unique_ptr<cluster::ControlCore> m_core; // null while the store is not open
    bool m_storeFailed = false; // onTick() destroys m_core
    Time m_nextOpenTime;
    std::optional<Time> m_storeFailedSince; // nothing while the store is open
    PeerPort m_peers;
    HttpServer m_operators;
    std::unique_ptr<HttpServer> m_metrics;
    Histogram& m_orderLatencies;
    Histogram& m_diskLatencies; // from the submission of a batch until it is durable
    std::deque<std::pair<uint64_t, Time>>
        m_pendingWrites; // ticket and submission time, in order; bounded like the queue of DiskWriter
    std::unique_ptr<Ticker> m_ticker;
    boost::asio::steady_timer m_exitTimer;
    std::map<cluster::RequestNumber, PendingCall> m_calls; // bounded by maxHttpSessions
    cluster::RequestNumber m_lastRequest = 0;
    bool m_stopping = false;
};

} // namespace cicadaward
