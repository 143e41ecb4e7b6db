#include "control/directory_publisher.h"
#include "control/membership.h"

#include "control/test_support.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::control;
using namespace cicadaward::control::test;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock;
    Membership membership { clock, MembershipSettings {} };
    MemberId id = memberIdOf("agent-1");

    // Lets time pass in ticks of 100 ms; announces `record` every second when given.
    void run(Duration duration, const MemberRecord* record = nullptr, bool quorum = true)
    {
        for (Duration passed {}; passed < duration; passed += 100ms) {
            clock.advance(100ms);
            if (record && passed % 1s == 0ms)
                membership.announce(*record);
            membership.tick(quorum);
        }
    }
    bool present() const { return membership.members().count(id) == 1; }
    MemberState state() const { return Membership::effectiveState(membership.members().at(id)); }
};

} // namespace

TEST_CASE("a member is removed one lease after its last announcement", "[control][membership]")
{
    Fixture f;
    CHECK(f.membership.announce(agentRecord("agent-1", 5)) == AnnounceStatus::Accepted);
    f.run(2900ms);
    CHECK(f.present());
    CHECK(f.membership.renew(f.id, recordFingerprint(Incarnation(5), 1)));
    CHECK_FALSE(f.membership.renew(f.id, recordFingerprint(Incarnation(5), 2)));
    f.run(2900ms);
    CHECK(f.present());
    auto upperHalf = static_cast<uint32_t>(f.id.value() >> 32);
    CHECK(f.membership.renewByPrefix(upperHalf, recordFingerprint(Incarnation(5), 1)));
    CHECK_FALSE(f.membership.renewByPrefix(upperHalf + 1, recordFingerprint(Incarnation(5), 1)));
    CHECK_FALSE(f.membership.renewByPrefix(upperHalf, recordFingerprint(Incarnation(5), 2)));
    f.run(2900ms);
    CHECK(f.present());
    f.run(200ms);
    CHECK_FALSE(f.present());
    CHECK_FALSE(f.membership.renew(f.id, recordFingerprint(Incarnation(5), 1)));
}

TEST_CASE("late records of a process are rejected or ignored", "[control][membership]")
{
    // Guards against late records that replace later ones: of an older process, of an older state, of a process that
    // left.
    MemberRecord known = agentRecord("agent-1", 5, MemberState::Draining);
    known.revision = 3;
    auto changed = [&](uint64_t process, uint64_t revision, auto change) {
        MemberRecord record = known;
        record.process = Incarnation(process);
        record.revision = revision;
        record.state = MemberState::Warm;
        change(record);
        return record;
    };
    auto same = [](MemberRecord&) {};
    struct Case {
        const char* name;
        MemberRecord record;
        AnnounceStatus status;
        MemberState state;
    };
    const Case cases[] = {
        { "lower incarnation", changed(4, 9, same), AnnounceStatus::OlderIncarnation, MemberState::Draining },
        { "overtaken revision", changed(5, 2, same), AnnounceStatus::Accepted, MemberState::Draining },
        { "later revision", changed(5, 4, same), AnnounceStatus::Accepted, MemberState::Warm },
        { "restart", changed(6, 1, same), AnnounceStatus::Accepted, MemberState::Warm },
        { "no name", changed(6, 1, [](MemberRecord& r) { r.name = ""; }), AnnounceStatus::Invalid,
            MemberState::Draining },
        { "bad state", changed(6, 1, [](MemberRecord& r) { r.state = MemberState(9); }), AnnounceStatus::Invalid,
            MemberState::Draining },
        { "interval too short", changed(6, 1, [](MemberRecord& r) { r.intervalMs = 1; }), AnnounceStatus::Invalid,
            MemberState::Draining },
        { "agent without service", changed(6, 1, [](MemberRecord& r) { r.service = ""; }), AnnounceStatus::Invalid,
            MemberState::Draining },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        Fixture f;
        f.membership.announce(known);
        CHECK(f.membership.announce(c.record) == c.status);
        CHECK(f.state() == c.state);
    }
    Fixture f;
    f.membership.announce(known);
    f.membership.announce(changed(5, 4, [](MemberRecord& r) { r.leaving = true; }));
    CHECK_FALSE(f.present());
    CHECK(f.membership.announce(known) == AnnounceStatus::OlderIncarnation);
    CHECK(f.membership.announce(changed(6, 1, same)) == AnnounceStatus::Accepted);
}

TEST_CASE("a member removed twice within 60 s is warm only after 10 s", "[control][membership]")
{
    // Guards against a flapping member that receives new flows each time it returns.
    MemberRecord record = agentRecord("agent-1", 5);
    struct Case {
        const char* name;
        Duration between;
        MemberState state;
    };
    for (const Case& c : { Case { "flapping", 5s, MemberState::Warming }, Case { "rare", 70s, MemberState::Warm } }) {
        INFO(c.name);
        Fixture f;
        f.membership.announce(record);
        f.run(4s);
        REQUIRE_FALSE(f.present());
        f.membership.announce(record);
        CHECK(f.state() == MemberState::Warm); // removed once
        f.run(c.between, &record);
        f.run(4s);
        REQUIRE_FALSE(f.present());
        f.membership.announce(record);
        CHECK(f.state() == c.state);
        f.run(9s, &record);
        CHECK(f.state() == c.state);
        uint64_t revision = f.membership.revision();
        f.run(2s, &record);
        CHECK(f.state() == MemberState::Warm);
        CHECK((f.membership.revision() != revision) == (c.state == MemberState::Warming));
    }
}

TEST_CASE("no member is removed when this process could not receive its announcements", "[control][membership]")
{
    Fixture f;
    f.membership.announce(agentRecord("agent-1", 5));
    f.membership.tick(true);
    f.run(10s, nullptr, false); // no quorum
    f.run(100ms);
    CHECK(f.present());
    f.clock.advance(20s); // this process was stopped
    f.membership.tick(true);
    CHECK(f.present());
    f.run(3s);
    CHECK_FALSE(f.present());
}

TEST_CASE("two processes with one instance name are reported once", "[control][membership]")
{
    Fixture f;
    MemberRecord old = agentRecord("agent-1", 5);
    MemberRecord young = agentRecord("agent-1", 6);
    f.membership.announce(old);
    f.membership.announce(young);
    f.membership.announce(old); // may have been in flight
    CHECK(f.membership.takeFindings().empty());
    for (int i = 0; i < 5; ++i) {
        f.run(1s);
        f.membership.announce(young);
        f.membership.announce(old);
    }
    std::vector<std::string> findings = f.membership.takeFindings();
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].find("\"agent-1\" is used by two processes") != std::string::npos);
}

TEST_CASE("the member table is bounded", "[control][membership]")
{
    ManualClock clock;
    MembershipSettings settings;
    settings.maxMembers = 2;
    Membership membership(clock, settings);
    CHECK(membership.announce(agentRecord("a", 1)) == AnnounceStatus::Accepted);
    CHECK(membership.announce(agentRecord("b", 1)) == AnnounceStatus::Accepted);
    CHECK(membership.announce(agentRecord("c", 1)) == AnnounceStatus::TableFull);
    CHECK(membership.announce(agentRecord("a", 2)) == AnnounceStatus::Accepted);
}

namespace {

struct PublisherFixture : Fixture {
    DirectoryPublisher publisher { clock, PublisherSettings {} };
    ManifestRegister manifests;

    PublisherFixture()
    {
        manifests.apply(1, encodeMessage(manifestCommand(sampleManifest(1, 0), "pipeline")));
        publisher.leadershipGained(Term(4));
        membership.announce(agentRecord("agent-1", 5));
    }
    std::shared_ptr<const Directory> publishAfter(Duration duration)
    {
        clock.advance(duration);
        publisher.recordQuorum(clock.now());
        return publisher.publish(manifests, membership);
    }
};

} // namespace

TEST_CASE("a new leader publishes after one lease, then in batches of 100 ms", "[control][publisher]")
{
    PublisherFixture f;
    CHECK_FALSE(f.publishAfter(2900ms));
    auto first = f.publishAfter(100ms);
    REQUIRE(first);
    CHECK(first->version == DirectoryVersion { Term(4), 1 });
    CHECK(first->members.size() == 1);
    CHECK_FALSE(f.publishAfter(200ms)); // nothing new
    f.membership.announce(agentRecord("agent-2", 1));
    CHECK(f.publishAfter(0ms)); // the last one is older than 100 ms
    f.membership.announce(agentRecord("agent-3", 1));
    CHECK_FALSE(f.publishAfter(99ms));
    f.membership.announce(agentRecord("agent-4", 1));
    auto third = f.publishAfter(1ms);
    REQUIRE(third);
    CHECK(third->members.size() == 4);
}

TEST_CASE("nothing is published without a quorum or below a version that a process has seen", "[control][publisher]")
{
    // Guards against a deposed or lagging leader that returns processes to an older state.
    SECTION("no quorum within the election timeout")
    {
        PublisherFixture f;
        f.publishAfter(3s);
        f.membership.announce(agentRecord("agent-2", 1));
        f.clock.advance(1s);
        CHECK_FALSE(f.publisher.publish(f.manifests, f.membership));
    }
    SECTION("later term seen")
    {
        PublisherFixture f;
        f.publisher.recordSeenVersion({ Term(5), 1 }, Epoch(1));
        CHECK_FALSE(f.publishAfter(4s));
    }
    SECTION("later manifest epoch seen")
    {
        PublisherFixture f;
        f.publisher.recordSeenVersion({ Term(3), 9 }, Epoch(2));
        CHECK_FALSE(f.publishAfter(4s));
        f.manifests.apply(2, encodeMessage(manifestCommand(sampleManifest(2, 1), "pipeline")));
        CHECK(f.publishAfter(0s));
    }
    SECTION("later sequence of its own term seen")
    {
        PublisherFixture f;
        f.publisher.recordSeenVersion({ Term(4), 9 }, Epoch(1));
        CHECK(f.publishAfter(4s)->version.sequence == 10);
    }
}

TEST_CASE("a restart of all agents keeps the service id, and members of unknown services are left out",
    "[control][publisher]")
{
    PublisherFixture f;
    MemberRecord lost = agentRecord("agent-2", 1);
    lost.dataCentre = "unknown";
    f.membership.announce(lost);
    lost = agentRecord("agent-3", 1);
    lost.service = "unknown";
    f.membership.announce(lost);
    auto before = f.publishAfter(3s);
    REQUIRE(before);
    CHECK(before->members.size() == 1);
    f.membership.tick(true);
    f.run(4s); // all agents are gone
    auto none = f.publishAfter(0s);
    REQUIRE(none);
    CHECK(none->members.empty());
    REQUIRE(none->services.size() == 2);
    f.membership.announce(agentRecord("agent-1", 6));
    auto after = f.publishAfter(1s);
    REQUIRE(after);
    CHECK(after->members[0].service == before->members[0].service);
}
