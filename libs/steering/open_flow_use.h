// Measures the work that an open flow brings to a target in a second, beyond its first request. The first one is left
// out because a flow that carries a single request brings nothing more once it is open.
//
// Work and open time are sums with exponentially decaying weights over about 10 s. The cost is O(1) per call.
#pragma once

#include "core/clock.h"

#include <cmath>
#include <cstddef>

namespace cicadaward::steering {

class OpenFlowUse {
public:
    explicit OpenFlowUse(const Clock& clock)
        : m_clock(clock)
        , m_measured(clock.now())
    {
    }

    // Call at intervals with the number of flows that are open now.
    void measure(size_t openFlows)
    {
        std::chrono::duration<double> elapsed = m_clock.now() - m_measured;
        m_measured = m_clock.now();
        double decay = std::exp(-elapsed.count() / windowSeconds);
        m_work *= decay;
        m_flowSeconds = m_flowSeconds * decay + double(openFlows) * elapsed.count();
    }
    // A request of an open flow was answered that was not its first one.
    void onAnswered(Duration serviceTime) { m_work += std::chrono::duration<double>(serviceTime).count(); }
    void reset()
    {
        m_work = m_flowSeconds = 0;
        m_measured = m_clock.now();
    }
    // Seconds of work in a second. 0 before the first second of an open flow was measured.
    double workPerFlow() const { return m_flowSeconds < 1 ? 0 : m_work / m_flowSeconds; }

private:
    static constexpr double windowSeconds = 10;

    const Clock& m_clock;
    Time m_measured;
    double m_work = 0; // seconds
    double m_flowSeconds = 0;
};

} // namespace cicadaward::steering
