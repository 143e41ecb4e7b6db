// Delay before the next attempt to connect: exponential, with jitter so that the clients of a failed server
// do not all reconnect at the same time.
//
//     Backoff backoff(Random(seed), { 100ms, 5s });
//     timer.expires_after(backoff.next());
//     ...
//     backoff.reset(); // after the server has answered
#pragma once

#include "core/random.h"

#include <chrono>

namespace cicadaward {

struct BackoffLimits {
    std::chrono::milliseconds initialDelay { 100 };
    std::chrono::milliseconds maxDelay { 5000 };
};

class Backoff {
public:
    Backoff(Random random, BackoffLimits limits)
        : m_random(random)
        , m_limits(limits)
    {
    }

    // Uniform in [0, initialDelay] for the first attempt after a reset, then in [d/2, d] with d doubling up to
    // maxDelay.
    std::chrono::milliseconds next();
    void reset() { m_attempts = 0; }

private:
    Random m_random;
    BackoffLimits m_limits;
    int m_attempts = 0;
};

} // namespace cicadaward
