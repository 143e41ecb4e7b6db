// What the daemons of the datagram fabric share: event loop, event log, metrics, periodic timers, the UDP port for
// messages and frames, and the graceful shutdown. Each daemon has one event loop thread; the control daemon has a
// second thread for its disk.
#pragma once

#include "cluster/message_transport.h"
#include "cluster/messages.h"
#include "cluster/poller.h"
#include "core/clock.h"
#include "core/random.h"
#include "explanation_json.h"
#include "net/http_server.h"
#include "net/udp_port.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cicadaward {

Duration durationFromSeconds(double);
Endpoint endpointSetting(const Settings&, const std::string& key);
std::string formatEndpoint(Endpoint);
// The datagram endpoints of the seeds: their addresses with the port that all control instances use.
std::vector<Endpoint> controlSeeds(const Settings&);

struct FlowDaemonBase {
    explicit FlowDaemonBase(const Settings&);

    boost::asio::io_context context;
    SystemClock clock;
    std::unique_ptr<EventLog> log;
    MetricRegistry metrics;
    Random random;
    std::string dataCentre;
    uint64_t startId; // random; differs between two starts of a process, without an order
};

// Calls `action` at the interval until the loop ends.
class Ticker {
public:
    Ticker(boost::asio::io_context&, Duration interval, std::function<void()> action);

private:
    void schedule();

    boost::asio::steady_timer m_timer;
    Duration m_interval;
    std::function<void()> m_action;
};

// One UDP socket for messages, which go through MessageTransport, and for other datagrams (frames of the data plane).
class PeerPort {
public:
    using MessageHandler = std::function<void(Endpoint, const cluster::Envelope&)>;
    using DatagramHandler = std::function<void(Endpoint, uint8_t*, size_t)>;

    PeerPort(FlowDaemonBase&, Endpoint listen, MessageHandler, DatagramHandler);

    const absl::Status& status() const { return m_port.status(); }
    void send(Endpoint to, const cluster::Envelope&);
    void sendDatagram(Endpoint to, const uint8_t* data, size_t size) { m_port.send(to, data, size); }
    void updateMetrics();

private:
    void onDatagram(Endpoint, uint8_t*, size_t);
    void scheduleRepair();
    void reportTooLarge(Endpoint to, cluster::MessageKind, const absl::Status&);
    void reportLosses(Endpoint sender);

    FlowDaemonBase& m_base;
    cluster::MessageTransport m_transport;
    boost::asio::steady_timer m_repairTimer;
    bool m_isRepairScheduled = false;
    MessageHandler m_onMessage;
    DatagramHandler m_onDatagram;
    Counter& m_bytesSent;
    Counter& m_tooLarge;
    Counter& m_lost;
    Counter& m_fragmentsRequested;
    Counter& m_fragmentsResent;
    uint64_t m_reportedLosses = 0;
    Time m_nextTooLargeReport;
    Time m_nextLossReport;
    UdpPort m_port;
};

// Sets the gauges of what is in force in an entry or agent.
void updatePollerGauges(MetricRegistry&, const cluster::Poller&);

// Rejects a call that the adapter could not translate: replies 404 when there is no such call, else 400 with all
// findings, and logs `event`.
void refuseCall(EventLog&, EventId, const std::string& call, const absl::Status&, const HttpReplyCallback&);

// Rounds towards zero.
int64_t wholeMilliseconds(Duration);

// How well this process is informed, for the answer to GET /explain.
ControlContact controlContact(const cluster::Poller&);

// Answers GET /explain as JSON.
using ExplainHandler = std::function<std::string(const ExplainCall&)>;

// Serves the metrics on metrics.listen: as JSON on paths that end in ".json", as text on all others but the path of
// ExplainCall, which `explain` answers unless it is null. Returns null when the port of metrics.listen is 0. `refresh`
// updates the gauges before each reply with metrics.
std::unique_ptr<HttpServer> serveMetrics(
    FlowDaemonBase&, const Settings&, std::function<void()> refresh, ExplainHandler explain = nullptr);

// Runs the event loop until it is stopped. The first SIGTERM or SIGINT calls `stop`; SIGHUP is logged and ignored.
void runUntilStopped(FlowDaemonBase&, const std::function<void()>& stop);

} // namespace cicadaward
