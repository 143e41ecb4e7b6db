// Stand-in for a target: takes packets of feeds and HTTP requests, answers both, and counts what reaches it. The counts
// are the evidence of every experiment, so they come from here and not from the product.
//
// Packets: a SYN opens a flow, each data segment is answered with the target's name, FIN and RST close it, and a
// segment of an unknown flow is answered with a reset, as a host does. Requests: the body is answered as "NAME ID BODY"
// after the work time, which ends at the deadline of the request; each start is written to the run log before the work,
// so that a kill loses no count.
//
// HTTP paths for the driver: /health (incarnation, state), /stats (counts), /control?state=ok|draining&cold=1&lie=1.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "net/http_server.h"
#include "net/udp_port.h"
#include "packet/ip_packet.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>
#include <fstream>

namespace cicadaward {

struct TargetOptions {
    std::string name;
    uint32_t serviceAddress = 0;
    Endpoint packets; // where the agent hands over packets
    Endpoint agent; // where answers to packets go
    Endpoint http;
    std::string runLog; // file name; empty for none
    uint32_t slots = 3; // requests at the same time when warm
    uint32_t flows = 2000; // open flows when warm
    double coldShare = 0.1;
    std::chrono::milliseconds coldTime { 0 }; // from the start until warm
    std::chrono::milliseconds workTime { 5 };
    uint64_t incarnation = 0; // of this start; larger after a restart
};

class Target {
public:
    Target(boost::asio::io_context&, const Clock&, TargetOptions);

    absl::Status status() const;

private:
    struct Counts {
        uint64_t flowsOpened = 0;
        uint64_t packets = 0;
        uint64_t misdelivered = 0;
        uint64_t unknownFlowPackets = 0;
        uint64_t overAdmittedFlows = 0;
        uint64_t overAdmittedRequests = 0;
        uint64_t overAdmittedAfterTurn = 0; // while cold after turning cold without warning: nobody could know at first
        uint64_t requestsRun = 0;
        uint64_t opensWhileDraining = 0;
        uint64_t lastPacketAt = 0; // ms since 1970
    };

    void handlePacket(const uint8_t* data, size_t size);
    void openFlow(const IpPacket&);
    void answer(const IpPacket&, TcpFlags, const std::string& payload);
    void handleHttp(const HttpRequest&, HttpReplyCallback);
    void handleControl(const std::string& query);
    void run(const HttpRequest&, HttpReplyCallback);
    void countOverAdmitted(uint64_t& count);
    bool isCold() const;
    double share() const { return isCold() ? m_options.coldShare : 1; }
    std::string stats() const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    TargetOptions m_options;
    Time m_warmAt;
    bool m_turnedCold = false;
    std::string m_state = "ok";
    Counts m_counts;
    absl::flat_hash_map<FlowKey, uint32_t> m_flows; // next expected sequence
    uint32_t m_running = 0;
    std::ofstream m_runLog;
    UdpPort m_packetPort;
    HttpServer m_http;
};

} // namespace cicadaward
