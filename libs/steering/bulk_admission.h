// Decides when an entry offers a new flow of a route whose requests carry bodies of many packets (bulk requests).
//
// Each bulk flow has a window of packets in flight. On a slow link a few windows fill the queue, and the packets of
// urgent requests are lost behind them. The number of active bulk flows is therefore limited to the windows that the
// link carries in a short time. A SYN beyond the limit waits for less than the time after which the caller sends a
// copy, because that copy may open the flow through another entry; then it is refused, and the caller tries again.
//
//     switch (admission.onSyn(packet, objective, data, size)) { ... }
//     admission.onOffered(packet.flow);
//     admission.onPacket(packet.flow);
//     admission.onEnded(packet.flow);
//     while (std::optional<WaitingSyn> syn = admission.takeAdmitted())
//         offer(*syn);
//
// Only a SYN that this entry gave to no member is refused. All state is soft: an entry that restarts learns the active
// flows from their packets. Memory: `maxActive` flows of about 50 bytes, `maxWaiting` SYNs with their bytes and
// `maxRefused` refused flows. Cost: O(maxWaiting + maxRefused) for each SYN, O(waiting SYNs) for other packets of bulk
// flows, O(maxActive) for a tick.
// Not thread-safe.
#pragma once

#include "core/clock.h"
#include "steering/flow_packet.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cicadaward::steering {

struct BulkAdmissionOptions {
    double linkMbps = 0; // bandwidth of the machine's link in Mbit/s; 0: unknown, there is no limit
    Duration linkTime = std::chrono::milliseconds(50); // the windows of the active flows take this time of the link
    Duration maxWait = std::chrono::milliseconds(150); // callers send the first copy of a SYN after 200 ms
    Duration tickInterval = std::chrono::milliseconds(30); // a wait ends at the last tick within maxWait
    Duration maxSilence = std::chrono::milliseconds(700); // a flow that is silent for longer is not active
    Duration refusalRetention = std::chrono::milliseconds(1400); // then a caller has given up a flow
    double minBulkShare = 0.25; // of the link, that bulk may use however much other traffic there is
    Duration initialFlowTime = std::chrono::milliseconds(100); // of the mean, before the first flow has ended
    size_t maxWaiting = 64;
    size_t maxActive = 4096; // further flows are not counted as active
    size_t maxRefused = 1024; // the oldest is dropped
};

// Packets of at most 1,234 bytes that an end of a flow has in flight, in bytes.
constexpr double bulkWindowBytes = 16 * 1234;

// A SYN that waits for its admission.
struct WaitingSyn {
    FlowId flow;
    uint32_t sequence = 0;
    Time arrived;
    std::vector<uint8_t> bytes;
};

class BulkAdmission {
public:
    enum class Verdict : uint8_t {
        Offer,
        Wait, // the SYN is kept
        Drop, // copy of a waiting SYN
        Refuse, // the SYN was given to no target
    };

    BulkAdmission(BulkAdmissionOptions, const Clock&);

    // False: every SYN is to be offered without a call of onSyn().
    bool hasLimit() const { return m_limit != 0; }
    // The active flows take what the link has for them.
    bool isLinkBusy() const { return hasLimit() && m_active.size() >= m_limit; }
    // What onSyn() would return now, and for how long the SYN would wait. Neither changes anything.
    Verdict verdict(const FlowPacket&, Duration objective) const;
    Duration expectedWait(Duration objective) const;
    // `objective` is the latency objective of the route's requests, 0 when there is none. `data` is copied for a wait.
    Verdict onSyn(const FlowPacket&, Duration objective, const uint8_t* data, size_t size);
    // The SYN of the flow was given to a member.
    void onOffered(const FlowId&);
    // The link carried a packet of another route.
    void onOtherTraffic(size_t bytes) { m_otherBytes += bytes; }
    // The caller sent another packet of the flow, which is open.
    void onPacket(const FlowId&);
    // The caller has ended the flow, or all members have denied it.
    void onEnded(const FlowId&);
    // No member accepted the flow.
    void onNotAccepted(const FlowId&);
    // Drops the flows of routes that are not bulk routes any longer; returns their waiting SYNs, which are to be
    // offered.
    std::vector<WaitingSyn> onRoutesChanged(const std::function<bool(const FlowId&)>& isBulk);
    // Call each tickInterval, before takeAdmitted(). Returns the SYNs whose wait has ended, which are to be refused.
    std::vector<WaitingSyn> onTick();
    // Removes and returns the next SYN that is to be offered.
    std::optional<WaitingSyn> takeAdmitted();

    size_t active() const { return m_active.size(); }
    size_t waiting() const { return m_waiting.size(); }
    size_t limit() const { return m_limit; } // of active flows; 0: none
    // Since the start: SYNs that were refused, SYNs that waited and were offered, and offers and packets of flows
    // beyond maxActive.
    uint64_t refused() const { return m_refusedCount; }
    uint64_t waited() const { return m_waitedCount; }
    uint64_t uncounted() const { return m_uncountedCount; }

private:
    struct ActiveFlow {
        std::optional<Time> offered; // no value: learned from a packet of an open flow
        Time lastPacket;
    };
    struct Refusal {
        FlowId flow;
        uint32_t sequence;
        Time at;
    };
    using WaitingSyns = std::multimap<Time, WaitingSyn>; // by the objective's deadline

    void recordRefusal(const FlowId&, uint32_t sequence);
    Time deadline(Duration objective) const;
    bool isOverdue(const WaitingSyn&) const;
    bool isRefused(const FlowPacket&) const;
    WaitingSyns::const_iterator findWaiting(const FlowId&) const;
    ActiveFlow* findOrAddActive(const FlowId&);
    void recordFlowTime(const ActiveFlow&, Time end);
    void expireRefusals();
    void measureOtherTraffic();

    const BulkAdmissionOptions m_options;
    const Clock& m_clock;
    size_t m_limit;
    size_t m_otherBytes = 0; // since the last tick
    double m_otherRate = 0; // mean bytes per second over about one second
    Time m_lastTick;
    absl::flat_hash_map<FlowId, ActiveFlow> m_active;
    WaitingSyns m_waiting;
    std::deque<Refusal> m_recentRefusals; // oldest first
    std::chrono::duration<double> m_meanFlowTime;
    uint64_t m_refusedCount = 0;
    uint64_t m_waitedCount = 0;
    uint64_t m_uncountedCount = 0;
};

} // namespace cicadaward::steering
