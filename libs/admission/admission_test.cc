#include "admission/target_admission.h"
#include "core/random.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace cicadaward;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Reports the answers of a healthy target at the current limit for `duration`.
void reportGoodAnswers(ManualClock& clock, TargetAdmission& admission, Duration duration)
{
    for (Duration passed {}; passed < duration; passed += milliseconds(100)) {
        clock.advance(milliseconds(100));
        for (uint32_t i = 0; i < admission.flows().limit() / 10 + 1; ++i)
            admission.flows().observe(Outcome::Completed, milliseconds(5));
        admission.work().observe(Outcome::Completed, milliseconds(5));
    }
}

void repeat(int count, const std::function<void()>& action)
{
    for (int i = 0; i < count; ++i)
        action();
}

} // namespace

TEST_CASE("answers move the limits; load hints alone never raise them", "[admission]")
{
    struct Case {
        const char* name;
        std::function<void(ManualClock&, TargetAdmission&)> run;
        uint32_t minLimit;
        uint32_t maxLimit;
    };
    auto slow = [](TargetAdmission& a) { a.flows().observe(Outcome::Completed, seconds(2)); };
    auto timeout = [](TargetAdmission& a) { a.flows().observe(Outcome::TimedOut, seconds(3)); };
    const Case cases[] = {
        { "starts at the cold share", [](ManualClock&, TargetAdmission&) {}, 200, 200 },
        { "is warm after some seconds of good answers",
            [](ManualClock& c, TargetAdmission& a) { reportGoodAnswers(c, a, seconds(12)); }, 2000, 2000 },
        { "a burst of good answers within one round duration does not raise it",
            [](ManualClock&, TargetAdmission& a) {
                repeat(5000, [&] { a.flows().observe(Outcome::Completed, milliseconds(1)); });
            },
            200, 200 },
        { "time that passes without answers does not raise it",
            [](ManualClock& c, TargetAdmission&) { c.advance(std::chrono::hours(1)); }, 200, 200 },
        { "answers slower than the goal do not raise it",
            [](ManualClock& c, TargetAdmission& a) {
                repeat(500, [&] {
                    c.advance(milliseconds(20));
                    a.flows().observe(Outcome::Completed, milliseconds(400));
                });
            },
            200, 200 },
        { "one refusal lowers it at once",
            [](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                a.flows().observe(Outcome::Refused, milliseconds(1));
            },
            1400, 1400 },
        { "five timeouts in a row make it cold",
            [&](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                repeat(5, [&] { timeout(a); });
            },
            1, 200 },
        { "latency collapse makes it cold",
            [&](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                repeat(5, [&] { slow(a); });
            },
            200, 200 },
        { "a new incarnation makes it cold",
            [](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                a.targetStarted(Incarnation(2));
            },
            200, 200 },
        { "an old incarnation changes nothing",
            [](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                a.targetStarted(Incarnation(1));
            },
            2000, 2000 },
        { "a good hint does not raise it", [](ManualClock&, TargetAdmission& a) { a.setLoadHint(1); }, 200, 200 },
        { "a bad hint lowers it when no answers arrive",
            [](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                c.advance(seconds(2));
                a.setLoadHint(0.5);
            },
            1000, 1000 },
        { "a hint of 0 keeps the cold limit, so that answers can disprove it",
            [](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                c.advance(seconds(2));
                a.setLoadHint(0);
            },
            200, 200 },
        { "a bad hint is ignored while answers arrive",
            [](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                a.setLoadHint(0);
            },
            2000, 2000 },
        { "a hint of 1 does not outweigh timeouts",
            [&](ManualClock& c, TargetAdmission& a) {
                reportGoodAnswers(c, a, seconds(12));
                a.setLoadHint(1);
                repeat(5, [&] { timeout(a); });
            },
            1, 200 },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        ManualClock clock;
        TargetAdmission admission(clock, { 2000, 5, 0.1 });
        admission.targetStarted(Incarnation(1));
        c.run(clock, admission);
        CHECK(admission.flows().limit() >= c.minLimit);
        CHECK(admission.flows().limit() <= c.maxLimit);
    }
}

TEST_CASE("no sequence of events admits more than the limit or the capacity", "[admission][fuzz]")
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        ManualClock clock;
        TargetAdmission admission(clock, { 1 + static_cast<uint32_t>(random.below(50)), 5, 0.1 });
        AdaptiveLimit& flows = admission.flows();
        for (int step = 0; step < 500; ++step) {
            uint32_t before = flows.limit();
            switch (random.below(5)) {
            case 0:
                if (flows.tryAcquire())
                    REQUIRE(flows.inUse() <= flows.limit());
                break;
            case 1:
                flows.release();
                break;
            case 2:
                flows.observe(static_cast<Outcome>(1 + random.below(3)), seconds(1));
                REQUIRE(flows.limit() <= before);
                break;
            case 3:
                admission.setLoadHint(random.unit());
                REQUIRE(flows.limit() <= flows.capacity());
                break;
            default:
                clock.advance(milliseconds(random.below(2000)));
                flows.observe(Outcome::Completed, milliseconds(random.below(300)));
            }
            REQUIRE(flows.limit() >= 1);
            REQUIRE(flows.limit() <= flows.capacity());
        }
    }
}

TEST_CASE("good answers do not raise the limit before the minimum cold time has passed", "[admission]")
{
    // Guards against over-admission to a cold target that answers light work fast.
    ManualClock clock;
    AdaptiveLimit limit(clock, 400, 0.1, {});
    limit.setMinColdTime(std::chrono::seconds(6));
    limit.resetToCold();
    for (int i = 0; i < 59; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        for (int j = 0; j < 20; ++j)
            limit.observe(Outcome::Completed, std::chrono::milliseconds(5));
        REQUIRE(limit.limit() == 40);
    }
    for (int i = 0; i < 20; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        for (int j = 0; j < 20; ++j)
            limit.observe(Outcome::Completed, std::chrono::milliseconds(5));
    }
    CHECK(limit.limit() > 40);
}

TEST_CASE("a limit that long flows take up entirely grows while there are no bad answers", "[admission]")
{
    // Guards against a limit that stays cold for ever because open feeds take up all of it and no new answers arrive.
    ManualClock clock;
    AdaptiveLimit limit(clock, 400, 0.1, {});
    uint32_t opened = 0;
    for (int i = 0; i < 600; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        opened += limit.tryAcquire() ? 1 : 0;
        REQUIRE(limit.inUse() <= limit.limit());
    }
    CHECK(opened > 100);
    limit.observe(Outcome::Refused, std::chrono::milliseconds(5));
    uint32_t after = limit.limit();
    clock.advance(std::chrono::milliseconds(1900));
    CHECK_FALSE(limit.tryAcquire());
    CHECK(limit.limit() == after);
}
