// Runs random schedules of requests and faults on a simulated service (fake_system.h), one per seed, and checks that no
// schedule runs an id twice, loses a request or gives a false reply. To run more schedules:
// CICADAWARD_SCHEDULES=20000 CICADAWARD_FIRST_SEED=5000 build/libs/request/request_schedule_test

#include "request/fake_system.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace cicadaward;
using namespace cicadaward::request;

namespace {

uint64_t fromEnvironment(const char* name, uint64_t fallback)
{
    const char* value = std::getenv(name);
    return value ? std::strtoull(value, nullptr, 10) : fallback;
}

// Sends a request, and sends it again through a random agent until its outcome is certain or no resends are left.
void sendUntilCertain(FakeSystem& system, const std::string& key, MemberId to, bool repeatable, int resendsLeft)
{
    Duration timeout = std::chrono::milliseconds(50 + system.random().below(700));
    uint32_t caller = static_cast<uint32_t>(1 + system.random().below(3));
    system.send(to, key, repeatable, timeout, caller, [&system, key, repeatable, resendsLeft](const Reply* reply) {
        bool certain = reply && (reply->outcome == RequestOutcome::Answered || reply->status == 422);
        if (certain || resendsLeft == 0)
            return;
        system.schedule(std::chrono::milliseconds(system.random().below(300)), [&system, key, repeatable, resendsLeft] {
            sendUntilCertain(system, key, system.randomMember(), repeatable, resendsLeft - 1);
        });
    });
}

void startRandomRequest(FakeSystem& system)
{
    Random& random = system.random();
    std::string key = system.newKey(random.unit() < 0.85);
    if (random.unit() < 0.1)
        system.setBodySize(key, 10000 + random.below(20000));
    bool repeatable = random.unit() < 0.15;
    sendUntilCertain(system, key, system.randomMember(), repeatable, 3);
    if (random.unit() < 0.1) // the same id concurrently through a random agent
        sendUntilCertain(system, key, system.randomMember(), repeatable, 1);
    // Crashes the owner that decided the claim, with or without its backup, right after the claim.
    if (random.unit() < 0.03) {
        MemberId owner = system.ownerOf(key);
        MemberId backup = random.below(2) == 0 ? system.backupOf(key) : MemberId();
        system.schedule(std::chrono::milliseconds(random.below(60)), [&system, owner, backup] {
            for (MemberId id : { owner, backup }) {
                if (id == MemberId())
                    continue;
                system.crash(id);
                system.schedule(
                    std::chrono::milliseconds(20 + system.random().below(800)), [&system, id] { system.restart(id); });
            }
        });
    }
}

void injectFault(FakeSystem& system)
{
    Random& random = system.random();
    MemberId id = system.randomMember();
    switch (random.below(6)) {
    case 0:
    case 1:
        system.crash(id);
        system.schedule(std::chrono::milliseconds(10 + random.below(900)), [&system, id] { system.restart(id); });
        break;
    case 2:
        system.cutControl(id, std::chrono::milliseconds(random.below(1500)), random.below(2) == 0);
        break;
    case 3:
        system.restartTarget(id);
        break;
    case 4:
        system.drain(id);
        system.schedule(std::chrono::milliseconds(3500 + random.below(500)), [&system, id] { system.restart(id); });
        break;
    default:
        system.closeRandomConnection();
        break;
    }
}

FakeSystemResult runSchedule(uint64_t seed)
{
    FakeSystemOptions options;
    options.seed = seed;
    options.members = 2 + static_cast<int>(seed % 4);
    // A service that has run for longer than the record lifetime has no buckets in quarantine because of its start.
    bool pastRecordLifetime = seed % 3 != 0;
    if (pastRecordLifetime)
        options.recordLifetime = std::chrono::seconds(7);
    FakeSystem system(options);
    system.run(std::chrono::milliseconds(pastRecordLifetime ? 8000 : 600));
    for (int i = 0; i < 60; ++i)
        system.schedule(
            std::chrono::milliseconds(system.random().below(3000)), [&system] { startRandomRequest(system); });
    for (int i = 0; i < 6; ++i)
        system.schedule(std::chrono::milliseconds(system.random().below(3000)), [&system] { injectFault(system); });
    system.run(std::chrono::seconds(7));
    system.checkOverdueRequests();
    return system.result();
}

} // namespace

TEST_CASE("no schedule runs an id twice, loses a request or gives a false reply", "[request][schedule]")
{
    uint64_t count = fromEnvironment("CICADAWARD_SCHEDULES", 2000);
    uint64_t first = fromEnvironment("CICADAWARD_FIRST_SEED", 1);
    FakeSystemResult sum;
    uint64_t failed = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        FakeSystemResult result = runSchedule(seed);
        if (!result.isClean() && ++failed <= 10)
            std::cout << "seed " << seed << ": " << result.firstFault << "\n";
        sum.answered += result.answered;
        sum.notRun += result.notRun;
        sum.unknown += result.unknown;
        sum.cancelled += result.cancelled;
        sum.duplicateRuns += result.duplicateRuns;
        sum.lostRequests += result.lostRequests;
        sum.falseNotRun += result.falseNotRun;
        sum.foreignAnswers += result.foreignAnswers;
        sum.drainsComplete += result.drainsComplete;
        sum.drainsIncomplete += result.drainsIncomplete;
        for (auto [counter, value] : result.counters)
            sum.counters[counter] += value;
    }
    std::cout << count << " schedules from seed " << first << ": answered " << sum.answered << ", not run "
              << sum.notRun << ", unknown " << sum.unknown << ", cancelled " << sum.cancelled << ", drains "
              << sum.drainsComplete << " complete and " << sum.drainsIncomplete << " not; failed schedules " << failed
              << "\n";
    CHECK(sum.duplicateRuns == 0);
    CHECK(sum.lostRequests == 0);
    CHECK(sum.falseNotRun == 0);
    CHECK(sum.foreignAnswers == 0);
    // A system that answers nothing would pass the checks above.
    CHECK(sum.answered > count * 30);
    for (RequestCounter counter : { RequestCounter::StaleAttempt, RequestCounter::PartialAnswer,
             RequestCounter::AmnesiaStarted, RequestCounter::DuplicatePrevented, RequestCounter::Retry })
        CHECK(sum.counters[counter] > 0);
}
