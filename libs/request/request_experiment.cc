// Deterministic experiments with simulated agents on a manual clock. Prints Markdown for docs/REQUEST-MEASUREMENTS.md.
// Run build/libs/request/request_experiment overload|crash.

#include "request/fake_system.h"

#include <cstring>
#include <iostream>

using namespace cicadaward;
using namespace cicadaward::request;
using namespace std::chrono_literals;

namespace {

struct Load {
    uint64_t sent = 0;
    uint64_t answered = 0;
    uint64_t notRun = 0;
    uint64_t unknown = 0; // includes replies after the deadline and closed connections
};

// Schedules open-loop load: `perSecond` new requests from 20 callers through random agents, for `duration`.
void addLoad(FakeSystem& system, Load& load, double perSecond, Duration duration, Duration timeout, bool withTime)
{
    auto total = static_cast<uint64_t>(perSecond * std::chrono::duration<double>(duration).count());
    for (uint64_t i = 0; i < total; ++i) {
        Duration when = std::chrono::duration_cast<Duration>(duration * (static_cast<double>(i) / total));
        system.schedule(when, [&system, &load, timeout, withTime, i] {
            ++load.sent;
            MemberId to = system.randomMember();
            while (!system.isUp(to))
                to = system.randomMember();
            system.send(to, system.newKey(withTime), false, timeout, 1 + i % 20, [&load](const Reply* reply) {
                bool notRun = reply && reply->status == 503;
                ++(reply && reply->outcome == RequestOutcome::Answered ? load.answered
                        : notRun                                       ? load.notRun
                                                                       : load.unknown);
            });
        });
    }
}

FakeSystemOptions faultFreeOptions()
{
    FakeSystemOptions options;
    options.loss = options.duplicate = options.longDelayProbability = options.targetRefusal = options.targetBreak = 0;
    options.lease = 3s;
    options.largeAnswers = false;
    return options;
}

void overload()
{
    std::cout << "| load | goodput, admission and budget | refused, not run | goodput, neither |\n|---|---|---|---|\n";
    for (double factor : { 0.5, 0.9, 1.0, 1.5, 2.0, 4.0, 10.0 }) {
        Load results[2];
        for (int limited = 0; limited < 2; ++limited) {
            FakeSystemOptions options = faultFreeOptions();
            options.processorSharing = true;
            options.retriesPerRequest = limited ? 0.1 : 1000;
            options.maxQueued = limited ? 64 : 1 << 20;
            FakeSystem system(options);
            if (!limited)
                system.setSlots(1 << 20);
            system.run(7s);
            // The capacity is 400/s: 4 targets x 3 slots / 30 ms.
            addLoad(system, results[limited], 400 * factor, 10s, 500ms, true);
            system.run(12s);
        }
        std::cout << "| " << factor << "x | " << static_cast<double>(results[1].answered) / 10 << "/s | "
                  << static_cast<double>(results[1].notRun) / 10 << "/s | "
                  << static_cast<double>(results[0].answered) / 10 << "/s |\n";
    }
}

void crash()
{
    std::cout << "| members lost | ids | sent | answered | not run | unknown | share unknown |\n"
                 "|---|---|---|---|---|---|---|\n";
    for (int lost = 1; lost <= 2; ++lost) {
        for (bool withTime : { true, false }) {
            FakeSystemOptions options = faultFreeOptions();
            options.members = 7;
            options.recordLifetime = 600s;
            FakeSystem system(options);
            system.run(610s);
            Load load;
            addLoad(system, load, 50, 600s, 2s, withTime);
            system.schedule(2s, [&system] { system.crash(MemberId(103)); });
            if (lost == 2)
                system.schedule(2s, [&system] { system.crash(MemberId(105)); });
            system.run(605s);
            std::cout << "| " << lost << " | " << (withTime ? "UUIDv7, age bound" : "no time, quarantine of everything")
                      << " | " << load.sent << " | " << load.answered << " | " << load.notRun << " | " << load.unknown
                      << " | " << 100 * static_cast<double>(load.unknown) / static_cast<double>(load.sent) << "% |\n";
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc == 2 && std::strcmp(argv[1], "overload") == 0)
        overload();
    else if (argc == 2 && std::strcmp(argv[1], "crash") == 0)
        crash();
    else
        return std::cerr << "usage: request_experiment overload|crash\n", 2;
    return 0;
}
