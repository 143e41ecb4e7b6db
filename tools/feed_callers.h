// Callers of long-lived feeds: each keeps one flow open, sends a segment at a fixed interval and expects the answer of
// the target that took the first segment.
//
// A flow counts as broken when an established one is reset, is answered by another target, or stays unanswered for
// maxUnanswered repetitions, unless its target has been excused (killed, or in a data centre that operators took out).
// Afterwards, and after a refused opening, the caller opens a new flow from another port.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "fabric.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadaward {

struct FeedOptions {
    uint32_t serviceAddress = 0;
    uint16_t servicePort = 0;
    uint32_t firstCallerAddress = 0; // one address for each 4,096 flows
    uint32_t flows = 0;
    std::chrono::milliseconds interval { 500 };
    std::chrono::milliseconds openSpread { 2000 }; // openings are spread evenly over this time
    std::chrono::milliseconds retransmit { 250 };
};

struct FeedCounts {
    uint64_t opened = 0;
    uint64_t refused = 0; // openings that were answered by a reset
    uint64_t openTimeouts = 0; // openings that nobody answered
    uint64_t broken = 0;
    uint64_t excused = 0; // ended with their target or data centre
    uint64_t answers = 0;
    uint64_t retransmissions = 0;
    std::map<std::string, uint64_t> brokenBy; // reason -> count
    std::vector<std::string> firstBroken; // time of day (UTC, as in the logs), flow, reason, target; at most 20
};

class FeedCallers {
public:
    // Repetitions of a segment until the flow counts as broken. 40 x 250 ms = 10 s.
    static constexpr uint32_t maxUnanswered = 40;

    FeedCallers(const Clock&, Random&, FeedOptions, std::function<void(const uint8_t*, size_t)> send);

    void tick(); // every 10 to 50 ms
    void handlePacket(const IpPacket&, const uint8_t* data);
    bool owns(const IpPacket&) const;

    // Flows at these targets may end.
    void excuse(const std::set<std::string>& targets) { m_excused = targets; }

    const FeedCounts& counts() const { return m_counts; }
    // Established flows by the name of their target.
    std::map<std::string, uint64_t> openFlowsByTarget() const;

private:
    enum class State : uint8_t {
        Idle,
        Opening,
        Open,
    };

    struct Flow {
        FlowKey key;
        State state = State::Idle;
        uint32_t sequence = 0; // next byte to send
        uint32_t acknowledged = 0; // next byte expected from the target
        bool waiting = false; // for an answer
        uint32_t repetitions = 0;
        Time nextAction;
        std::string target;
    };

    void open(Flow&);
    void sendSegment(Flow&);
    void repeat(Flow&);
    void end(Flow&, const char* reason);
    void noteBroken(const Flow&, const char* reason);
    void handleOpen(Flow&, const IpPacket&, const uint8_t* data);

    const Clock& m_clock;
    Random& m_random;
    FeedOptions m_options;
    std::function<void(const uint8_t*, size_t)> m_send;
    std::vector<Flow> m_flows;
    absl::flat_hash_map<FlowKey, size_t> m_byKey; // by the key of the answers' direction reversed
    uint64_t m_nextPort = 0;
    std::set<std::string> m_excused;
    FeedCounts m_counts;
};

} // namespace cicadaward
