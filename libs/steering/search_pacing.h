// Bounds what the search for flows adds to the load of an entry's link.
//
// Load: the entries with the fastest links fail, and the others, whose links are nearly full, get all flows. Each flow
// is searched for, answers take longer than usual, and a search that is not answered in time repeats its packet to
// several members. The repeated packets fill the link, answers take longer still, and more searches repeat.
//
// Two limits end this cycle. The time that a search waits for its answer follows the answers that were observed (as the
// retransmission timeout of TCP does), and repeated packets may take only a share of the link's bandwidth. A packet
// that is not repeated is not lost: its caller retransmits it after 200 ms.
//
//     SearchPacing pacing(options, clock);
//     pacing.setEnabled(true);
//     pacing.onFound(duration); // of a search
//     searches.setFirstWalkTimeout(pacing.timeout());
//     pacing.limit(step, frameBytes, 1); // before the frames of a step are sent
//
// Disabled, or without a link bandwidth, nothing is limited. Memory and cost: O(1).
#pragma once

#include "core/clock.h"
#include "steering/flow_search.h"

namespace cicadaward::steering {

struct SearchPacingOptions {
    double linkBytesPerSecond = 0; // 0: unknown, nothing is limited
    double repeatShare = 0.02; // of the link's bandwidth, for repeated packets
    Duration burst = std::chrono::seconds(1); // repeated packets of this time may be sent at once
    Duration maxTimeout = std::chrono::milliseconds(150); // callers retransmit after 200 ms
};

class SearchPacing {
public:
    SearchPacing(SearchPacingOptions, const SearchOptions&, const Clock&);

    void setEnabled(bool isEnabled) { m_isEnabled = isEnabled; }
    // A search was answered after `duration`.
    void onFound(Duration);
    // How long the first frame of a search waits for an answer before its packet is repeated.
    Duration timeout() const;
    // Removes frames from the step that the share of the link does not allow, last probe first, then groups. The first
    // `freeFrames` probes are not repeated packets and always stay. `frameBytes` is the size of a probe.
    void limit(SearchStep&, size_t frameBytes, size_t freeFrames);
    // Frames that limit() has removed.
    uint64_t withheldFrames() const { return m_withheldFrames; }

private:
    bool isActive() const { return m_isEnabled && m_options.linkBytesPerSecond > 0; }
    void refill();
    bool take(size_t bytes);

    const SearchPacingOptions m_options;
    const Duration m_minTimeout;
    const Clock& m_clock;
    bool m_isEnabled = false;
    bool m_hasSample = false;
    std::chrono::duration<double> m_meanAnswer {}; // exponentially weighted
    std::chrono::duration<double> m_answerDeviation {};
    double m_bytes = 0; // that may be sent now
    Time m_refilled;
    uint64_t m_withheldFrames = 0;
};

} // namespace cicadaward::steering
