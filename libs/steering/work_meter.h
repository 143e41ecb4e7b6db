// Measures the requests in flight at a target: their number, its exponentially weighted mean over about one second, and
// the mean service time.
//
// The mean is updated only when the number changes or is read. The cost is O(1) per request, and no timer is needed.
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
    // A request was answered after `serviceTime`.
    void onFinished(Duration serviceTime)
    {
        onCancelled();
        constexpr double weight = 1.0 / 16;
        m_meanServiceTime += (std::chrono::duration<double>(serviceTime) - m_meanServiceTime) * weight;
    }
    // A request ended without an answer.
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
    // Exponentially weighted mean of the time from forwarding a request to the first data of its answer.
    Duration meanServiceTime() const { return std::chrono::duration_cast<Duration>(m_meanServiceTime); }
    double meanInFlight() const { return m_meanInFlight + (m_inFlight - m_meanInFlight) * (1 - decayFactor()); }

private:
    static constexpr double windowSeconds = 1;
    static constexpr std::chrono::duration<double> initialServiceTime { 0.05 }; // before the first answer

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
