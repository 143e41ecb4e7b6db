// Simulates bulk and urgent requests on the links of entries, for tests of BulkAdmission. No network and no members: a
// flow is open once its SYN was offered. The same seed gives the same run.
//
//     BulkSimulation simulation({ { 4.1 }, { 100 } }, true, 42);
//     simulation.startUploads(20, 10s, 40'000);
//     simulation.startUrgent(60, 10s, 300);
//     simulation.run(15s);
//     CHECK(simulation.urgent().late == 0);
#pragma once

#include "steering/bulk_admission.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cicadaward::steering {

// Delays of finished requests and the number of requests that were not served before their deadline.
struct Outcomes {
    std::vector<double> ms;
    size_t failed = 0;
    size_t late = 0; // beyond the objective of the kind, the failed ones included

    double quantile(double) const; // 0 when nothing finished
    std::string text() const;
};

class BulkSimulation {
public:
    struct EntryLink {
        double mbps = 0;
    };

    // Without `isLimited`, every SYN is admitted.
    BulkSimulation(const std::vector<EntryLink>&, bool isLimited, uint64_t seed);

    // Poisson arrivals at all entries for `duration`. An upload has an exponentially distributed body that is at most
    // six times the mean, an objective of 800 ms and a deadline of 10 s; an urgent request is one packet with an
    // objective of 200 ms and a deadline of 2.5 s.
    void startUploads(double perSecond, Duration, double meanBytes);
    void startUrgent(double perSecond, Duration, size_t bytes);
    // One upload of `packets` whose caller waits for `pause` after each packet.
    void upload(size_t packets, Duration pause, size_t firstEntry);
    // The entry drops all packets from now on; callers reach it no longer after `detection`.
    void kill(size_t entry, Duration detection);
    void run(Duration);

    const Outcomes& uploads() const { return m_uploads; }
    const Outcomes& urgent() const { return m_urgent; }
    const BulkAdmission& admission(size_t entry) const { return *m_entries[entry].admission; }
    size_t packetsLost() const { return m_packetsLost; }

private:
    struct Entry {
        double bytesPerSecond;
        std::unique_ptr<BulkAdmission> admission;
        Time linkFree {};
        bool isDead = false;
        bool isReachable = true;
    };
    struct Upload {
        Time started;
        size_t packets;
        Duration pause;
        size_t entry = 0;
        FlowId flow; // of the current try
        size_t nextPacket = 0;
        size_t delivered = 0;
        bool isOpen = false;
        bool isDone = false;
    };
    using UploadRef = std::shared_ptr<Upload>;

    void at(Time, std::function<void()>);
    // Returns when the packet has crossed the link; nothing when it is lost.
    std::optional<Time> cross(size_t entry, size_t bytes);
    size_t otherEntry(size_t);
    void tryUpload(const UploadRef&);
    void sendSyn(const UploadRef&, uint8_t copy, FlowId);
    void decide(const UploadRef&, uint8_t copy, FlowId, size_t entry);
    void open(const FlowId&, size_t entry);
    void refused(const FlowId&);
    void sendNext(const UploadRef&);
    void sendPacket(const UploadRef&, Duration timeout);
    void delivered(const UploadRef&);
    void finish(const UploadRef&);
    void sendUrgent(size_t entry, size_t bytes, Time started, Duration timeout);
    void tick();

    ManualClock m_clock;
    std::mt19937_64 m_random;
    const bool m_isLimited;
    std::vector<Entry> m_entries;
    std::multimap<Time, std::function<void()>> m_agenda;
    std::map<uint16_t, UploadRef> m_uploadsByPort;
    uint16_t m_lastPort = 0;
    Outcomes m_uploads;
    Outcomes m_urgent;
    size_t m_packetsLost = 0;
};

} // namespace cicadaward::steering
