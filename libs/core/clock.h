// Monotonic time. State machines take a `const Clock&` in the constructor and never read the system's clock, so that a
// test sets the time itself:
//
//     ManualClock clock;
//     Lease lease(clock);
//     clock.advance(std::chrono::seconds(3));
#pragma once

#include <chrono>
#include <ctime>

namespace cicadaward {

using Duration = std::chrono::nanoseconds;

// Time since an arbitrary start that differs between processes; never sent to another process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock {
public:
    virtual ~Clock() = default;
    virtual Time now() const = 0;
    // Milliseconds since 1970, for comparison with times in request ids. May jump.
    virtual std::chrono::milliseconds wallTime() const = 0;
};

class SystemClock final : public Clock {
public:
    // The boot clock: unlike the steady clock, it counts the time that the machine was suspended, so a lease ends for a
    // process that wakes late.
    Time now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return Time(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
    std::chrono::milliseconds wallTime() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    }
};

// Clock for tests and other drivers. Not safe for use by several threads.
class ManualClock final : public Clock {
public:
    Time now() const override { return m_now; }
    std::chrono::milliseconds wallTime() const override { return m_wallTime; }
    void advance(Duration duration)
    {
        m_now += duration;
        m_wallTime += std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }
    void setWallTime(std::chrono::milliseconds wallTime) { m_wallTime = wallTime; }

private:
    Time m_now { std::chrono::hours(1) };
    std::chrono::milliseconds m_wallTime { 1'700'000'000'000 };
};

} // namespace cicadaward
