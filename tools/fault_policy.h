// Decides what happens to each datagram and to each piece of a byte stream on one link. Equal seeds give equal fates:
// each datagram takes the same number of draws whatever the settings are, and each direction has its own source.
//
//     FaultPolicy policy(seed);
//     policy.change({ .. });
//     for (Time release : policy.datagramReleases(Direction::Forward, now))
//         queue.push(release, datagram); // no release: the datagram is lost
#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <vector>

namespace cicadaward {

enum class Direction { Forward, Backward }; // from the side that connects to the target, and back

// Shares are in [0, 1]. A stalled link holds everything back; a cut one loses datagrams and holds streams back.
struct FaultSettings {
    Duration delay { 0 };
    Duration jitter { 0 }; // largest addition to `delay`
    double loss = 0;
    double duplication = 0;
    double reordering = 0;
    bool cutForward = false;
    bool cutBackward = false;
    bool stalled = false;
};

class FaultPolicy {
public:
    explicit FaultPolicy(uint64_t seed);

    void change(const FaultSettings& settings) { m_settings = settings; }
    bool isCut(Direction) const;
    bool isStalled() const { return m_settings.stalled; }

    // When to deliver each copy of a datagram; empty when it is lost. Without reordering, releases never decrease.
    std::vector<Time> datagramReleases(Direction, Time now);

    // When to deliver bytes of a stream that arrived now.
    Time streamRelease(Direction, Time now);

private:
    struct Side {
        Random random;
        Time lastRelease;
    };

    Side& side(Direction direction) { return direction == Direction::Forward ? m_forward : m_backward; }
    Duration drawDelay(Random&);

    FaultSettings m_settings;
    Side m_forward;
    Side m_backward;
};

} // namespace cicadaward
