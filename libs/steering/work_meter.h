// Requests in hand at a target and their mean over about a second.
//
// The mean decays exponentially and is brought up to date only when the number changes or is read, so its cost follows
// the requests and no timer is needed.
#pragma once

#include "core/clock.h"

#include <cmath>
#include <cstdint>

namespace cicadaward::steering {

class WorkMeter {
public:
    explicit WorkMeter(const Clock& clock)
        : m_clock(clock)
        , m_updated(clock.now())
    {
    }

    void started()
    {
        update();
        ++m_inHand;
    }
    void finished()
    {
        update();
        if (m_inHand > 0)
            --m_inHand;
    }
    void reset()
    {
        m_inHand = 0;
        m_mean = 0;
        m_updated = m_clock.now();
    }
    uint32_t inHand() const { return m_inHand; }
    double mean() const { return m_mean + (m_inHand - m_mean) * (1 - decay()); }

private:
    static constexpr double windowSeconds = 1;

    double decay() const
    {
        std::chrono::duration<double> passed = m_clock.now() - m_updated;
        return std::exp(-passed.count() / windowSeconds);
    }
    void update()
    {
        m_mean = mean();
        m_updated = m_clock.now();
    }

    const Clock& m_clock;
    Time m_updated;
    uint32_t m_inHand = 0;
    double m_mean = 0;
};

} // namespace cicadaward::steering
