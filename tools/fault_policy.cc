#include "fault_policy.h"

#include <algorithm>

namespace cicadaward {

namespace detail {

    // Longer than the gap between the packets of a busy flow, so that later datagrams overtake the one held back.
    constexpr auto reorderingDelay = std::chrono::milliseconds(5);
    constexpr uint64_t backwardSeed = 0x9e3779b97f4a7c15; // any odd constant; separates the two directions

} // namespace detail

FaultPolicy::FaultPolicy(uint64_t seed)
    : m_forward { Random(seed), Time() }
    , m_backward { Random(seed ^ detail::backwardSeed), Time() }
{
}

bool FaultPolicy::isCut(Direction direction) const
{
    return direction == Direction::Forward ? m_settings.cutForward : m_settings.cutBackward;
}

Duration FaultPolicy::drawDelay(Random& random)
{
    return m_settings.delay
        + Duration(static_cast<int64_t>(static_cast<double>(m_settings.jitter.count()) * random.unit()));
}

std::vector<Time> FaultPolicy::datagramReleases(Direction direction, Time now)
{
    Side& link = side(direction);
    bool lost = link.random.unit() < m_settings.loss;
    bool duplicated = link.random.unit() < m_settings.duplication;
    bool reordered = link.random.unit() < m_settings.reordering;
    Time release = now + drawDelay(link.random);
    if (lost || isCut(direction))
        return {};
    if (reordered)
        release += detail::reorderingDelay;
    else {
        release = std::max(release, link.lastRelease);
        link.lastRelease = release;
    }
    if (duplicated)
        return { release, release };
    return { release };
}

Time FaultPolicy::streamRelease(Direction direction, Time now) { return now + drawDelay(side(direction).random); }

} // namespace cicadaward
