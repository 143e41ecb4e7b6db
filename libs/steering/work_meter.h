// Requests in hand at a target, their mean over about a second, and how long one takes.
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

    void onStarted()
    {
        update();
        ++m_inFlight;
    }
    // A request that was answered after `took`.
    void onFinished(Duration serviceTime)
    {
        onCancelled();
        constexpr double weight = 1.0 / 16;
        m_meanServiceTime += (std::chrono::duration<double>(serviceTime) - m_meanServiceTime) * weight;
    }
    // A request that ended in another way.
    void onCancelled()
    {
        update();
        if (m_inFlight > 0)
            --m_inFlight;
    }
    void reset()
    {
        m_inFlight = 0;
        m_meanInFlight = 0;
        m_meanServiceTime = initialServiceTime;
        m_updated = m_clock.now();
    }
    uint32_t inFlight() const { return m_inFlight; }
    // Mean time of the last requests from the first byte to the first byte of the answer.
    Duration meanServiceTime() const { return std::chrono::duration_cast<Duration>(m_meanServiceTime); }
    double meanInFlight() const { return m_meanInFlight + (m_inFlight - m_meanInFlight) * (1 - decayFactor()); }

private:
    static constexpr double windowSeconds = 1;
    static constexpr std::chrono::duration<double> initialServiceTime { 0.05 }; // before anything is known

    double decayFactor() const
    {
        std::chrono::duration<double> elapsed = m_clock.now() - m_updated;
        return std::exp(-elapsed.count() / windowSeconds);
    }
    void update()
    {
        m_meanInFlight = meanInFlight();
        m_updated = m_clock.now();
    }

    const Clock& m_clock;
    Time m_updated;
    uint32_t m_inFlight = 0;
    double m_meanInFlight = 0;
    std::chrono::duration<double> m_meanServiceTime = initialServiceTime;
};

} // namespace cicadaward::steering
