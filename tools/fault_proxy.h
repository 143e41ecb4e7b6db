// All faulty links of an experiment, on an event loop and a thread of their own. Each link has a listening endpoint on
// the loopback address that one process is told to use, and the endpoint of the other process as its target.
//
//     FaultProxy proxy(seed, delays);
//     proxy.add({ LinkKind::Control, "entry-1", "dc-1", "control-1", "dc-2" }, listen, target);
//     proxy.start(); // afterwards links cannot be added
//     proxy.cut("entry-1", CutDirection::Both); // returns once the cut is in force
//
// The state of a link follows from all faults in force: a link cut for two reasons is whole once both are healed.
#pragma once

#include "tcp_relay.h"
#include "udp_relay.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>

namespace cicadaward {

enum class LinkKind { Control, Packets, TargetHttp }; // Packets is UDP, the others are TCP

// An empty data centre stands for the callers, who are outside of all data centres.
struct Link {
    LinkKind kind = LinkKind::Control;
    std::string from;
    std::string fromDataCentre;
    std::string to;
    std::string toDataCentre;
};

struct LinkDelays {
    Duration betweenDataCentres { 0 };
    Duration toCallers { 0 };
};

struct PacketFaults {
    double loss = 0;
    double duplication = 0;
    double reordering = 0;
};

enum class CutDirection { Both, In, Out }; // as seen by the process that is cut

class FaultProxy {
public:
    FaultProxy(uint64_t seed, LinkDelays);
    ~FaultProxy();

    void add(const Link&, Endpoint listen, Endpoint target);
    const absl::Status& status() const { return m_status; } // of the first link that failed
    void start();

    // A process is cut from all control instances; a control instance is cut from all its peers.
    void cut(const std::string& process, CutDirection);
    void heal(const std::string& process);
    // Cuts all links that cross the border of the data centre.
    void cutDataCentre(const std::string& name);
    void healDataCentre(const std::string& name);
    void setPacketFaults(const PacketFaults&);
    void setExtraDelay(Duration); // on links that have a base delay

    FaultSettings settingsOf(const Link&) const;

private:
    struct Entry {
        Link link;
        std::unique_ptr<UdpRelay> udp;
        std::unique_ptr<TcpRelay> tcp;
    };

    void change(const std::function<void()>& change);
    Duration delayOf(const Link&) const;
    void applyProcessCuts(const Link&, FaultSettings&) const;

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
    uint64_t m_seed;
    absl::Status m_status;
    std::vector<Entry> m_links;

    // Written on the loop's thread once it runs.
    LinkDelays m_delays;
    Duration m_extraDelay { 0 };
    PacketFaults m_packetFaults;
    std::map<std::string, CutDirection> m_cutProcesses;
    std::set<std::string> m_cutDataCentres;
};

} // namespace cicadaward
