// Delay before the next attempt to connect: exponential, with jitter so that many clients of a lost server do not
// return at the same moment.
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

    // Uniform in [0, first] for the first attempt after a reset, then in [d/2, d] with d doubling up to `longest`.
    std::chrono::milliseconds next();
    void reset() { m_attempts = 0; }

private:
    Random m_random;
    BackoffLimits m_limits;
    int m_attempts = 0;
};

} // namespace cicadaward
