// Tests of outlier detection with the real decisions of an entry and all agents of a service. Each load is played with
// the reference policy, which judges a target by its heartbeats and unanswered SYNs alone, and with outlier detection.
//
// Guards against a target that fails and draws the flows of working targets because it looks idle, against a service
// that loses all its targets, and against the ejection of targets that work.
#include "steering/target_fault_simulation.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

struct Comparison {
    FaultOutcome reference;
    FaultOutcome detecting;
};

void print(const char* name, const char* policy, const FaultOutcome& outcome)
{
    std::cout << name << ", " << policy << ": orders " << outcome.orders << ", answered " << outcome.ordersAnswered
              << ", lost " << outcome.ordersLost << ", not run " << outcome.ordersNotRun << "; reads "
              << outcome.readsAnswered << " of " << outcome.reads << "; ejections " << outcome.ejections << '\n';
}

void add(FaultOutcome& sum, const FaultOutcome& outcome)
{
    sum.orders += outcome.orders;
    sum.ordersAnswered += outcome.ordersAnswered;
    sum.ordersLost += outcome.ordersLost;
    sum.ordersNotRun += outcome.ordersNotRun;
    sum.reads += outcome.reads;
    sum.readsAnswered += outcome.readsAnswered;
    sum.ejections += outcome.ejections;
    sum.ejectedAtEnd += outcome.ejectedAtEnd;
    sum.longestSilence = std::max(sum.longestSilence, outcome.longestSilence);
}

// Sums over three seeds.
Comparison compare(const char* name, FaultWorkload workload)
{
    Comparison result;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        workload.isDetecting = false;
        add(result.reference, TargetFaultSimulation(workload, seed).run());
        workload.isDetecting = true;
        add(result.detecting, TargetFaultSimulation(workload, seed).run());
    }
    print(name, "reference", result.reference);
    print(name, "detecting", result.detecting);
    return result;
}

} // namespace

TEST_CASE("target faults: at most a tenth of the orders are lost when a third of the targets resets all", "[outlier]")
{
    FaultWorkload workload;
    workload.fault = FaultKind::ResetAll;
    Comparison result = compare("a third resets", workload);
    CHECK(result.detecting.ordersLost * 10 <= result.reference.ordersLost);
    CHECK(result.detecting.ordersAnswered > result.reference.ordersAnswered);
    CHECK(result.detecting.ejectedAtEnd == 0);
}

TEST_CASE("target faults: fewer orders are lost when a third of the targets resets half of its requests", "[outlier]")
{
    FaultWorkload workload;
    workload.fault = FaultKind::ResetSome;
    Comparison result = compare("a third resets half", workload);
    CHECK(result.detecting.ordersLost * 3 <= result.reference.ordersLost);
    CHECK(result.detecting.ejectedAtEnd == 0);
}

TEST_CASE("target faults: fewer orders are lost when a third of the targets hangs", "[outlier]")
{
    FaultWorkload workload;
    workload.fault = GENERATE(FaultKind::Hang, FaultKind::HangSome);
    Comparison result = compare(workload.fault == FaultKind::Hang ? "a third hangs" : "a third hangs half", workload);
    CHECK(result.detecting.ordersLost * 2 <= result.reference.ordersLost);
    CHECK(result.detecting.ordersAnswered > result.reference.ordersAnswered);
    CHECK(result.detecting.ejectedAtEnd == 0);
}

TEST_CASE("target faults: fewer orders are lost when a third of the targets goes down and up", "[outlier]")
{
    FaultWorkload workload;
    workload.fault = FaultKind::Flap;
    Comparison result = compare("a third flaps", workload);
    CHECK(result.detecting.ordersLost <= result.reference.ordersLost);
    CHECK(result.detecting.ordersAnswered >= result.reference.ordersAnswered);
    CHECK(result.detecting.ejectedAtEnd == 0);
}

TEST_CASE("target faults: targets that are eight times as slow serve as many orders as before", "[outlier]")
{
    FaultWorkload workload;
    workload.fault = FaultKind::Slow;
    Comparison result = compare("a third is slow", workload);
    CHECK(result.detecting.ordersAnswered >= result.reference.ordersAnswered);
    CHECK(result.detecting.ejectedAtEnd == 0);
}

TEST_CASE("target faults: one target of a small service that resets all is ejected", "[outlier]")
{
    FaultWorkload workload;
    workload.targets = 4;
    workload.failingTargets = 1;
    workload.fault = FaultKind::ResetAll;
    workload.ordersPerSecond = 80;
    workload.feeds = 50;
    Comparison result = compare("one of four resets", workload);
    CHECK(result.detecting.ordersLost * 10 <= result.reference.ordersLost);
    CHECK(result.detecting.ejectedAtEnd == 0);
}

TEST_CASE("target faults: a service whose targets all reset resumes within the longest pause", "[outlier]")
{
    FaultWorkload workload;
    workload.targets = workload.failingTargets = 4;
    workload.fault = FaultKind::ResetAll;
    workload.faultEnd = 6s;
    workload.ordersPerSecond = 80;
    workload.feeds = 50;
    Comparison result = compare("all reset", workload);
    CHECK(result.detecting.longestSilence <= workload.faultEnd - workload.faultStart + OutlierOptions().maxPause);
    CHECK(result.detecting.ordersAnswered >= result.reference.ordersAnswered);
    CHECK(result.detecting.ejectedAtEnd == 0);
}

TEST_CASE("target faults: a drain ejects no target", "[outlier]")
{
    FaultWorkload workload;
    workload.isDrained = true;
    Comparison result = compare("a third drains", workload);
    CHECK(result.detecting.ejections == 0);
    CHECK(result.detecting.ordersLost == 0);
}

TEST_CASE("target faults: no working target is ejected at 90% of its capacity", "[outlier]")
{
    FaultWorkload workload;
    workload.targets = 4;
    workload.failingTargets = 0;
    workload.length = 20s;
    workload.ordersPerSecond = 260; // with the reads 360 of 400: 4 targets with 2 slots and 20 ms each
    workload.feeds = 55;
    FaultOutcome sum;
    for (uint64_t seed = 1; seed <= 50; ++seed)
        add(sum, TargetFaultSimulation(workload, seed).run());
    print("normal load", "detecting", sum);
    CHECK(sum.ejections == 0);
    CHECK(sum.orders > 0);
}
