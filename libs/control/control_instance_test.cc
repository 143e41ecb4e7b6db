#include "control/control_instance.h"

#include "control/test_support.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::control;
using namespace cicadaward::control::test;
using namespace std::chrono_literals;

namespace {

// Leader 1 and follower 2; messages between them are delivered immediately unless `dropsMessages` is set.
struct Fixture {
    ManualClock clock;
    Random random { 5 };
    ControlInstance leader { clock, random, settings(1) };
    ControlInstance follower { clock, random, settings(2) };
    std::vector<std::pair<uint64_t, ControlAnswer>> answers;
    std::vector<std::string> findings;
    uint64_t index = 0;
    uint64_t lastRequest = 100;
    bool dropsMessages = false;

    static ControlInstanceSettings settings(uint32_t id)
    {
        ControlInstanceSettings settings;
        settings.id = ControlInstanceId(id);
        settings.others = { ControlInstanceId(3 - id) };
        return settings;
    }
    Fixture()
    {
        handle(1, LeadershipGained { Term(1) });
        handle(2, LeaderChanged { Term(1), ControlInstanceId(1) });
        command(1, manifestCommand(sampleManifest(1, 0), "pipeline"));
        run(3100ms);
    }
    ControlInstance& at(uint32_t id) { return id == 1 ? leader : follower; }
    void handle(uint32_t id, const ControlEvent& event)
    {
        for (ControlAction& action : at(id).handle(event)) {
            if (auto* send = std::get_if<SendToInstance>(&action)) {
                if (!dropsMessages)
                    handle(send->to.value(), InstanceMessageReceived { ControlInstanceId(id), send->message });
            } else if (auto* all = std::get_if<SendToAllInstances>(&action)) {
                if (!dropsMessages)
                    handle(3 - id, InstanceMessageReceived { ControlInstanceId(id), all->message });
            } else if (auto* propose = std::get_if<ProposeCommand>(&action)) {
                EntryApplied applied { ++index, propose->command };
                handle(1, applied);
                handle(2, applied);
            } else if (auto* answer = std::get_if<AnswerRequest>(&action))
                answers.emplace_back(answer->request.value(), answer->answer);
            else
                findings.push_back(std::get<ReportFinding>(action).text);
        }
    }
    void run(Duration duration, bool quorum = true)
    {
        for (Duration passed {}; passed < duration; passed += 50ms) {
            clock.advance(50ms);
            if (quorum)
                handle(1, QuorumHeard { clock.now() });
            handle(1, Tick {});
            handle(2, Tick {});
        }
    }
    template <typename Answer> const Answer* answer(uint64_t request) const
    {
        for (const auto& [id, value] : answers) {
            if (id == request)
                return std::get_if<Answer>(&value);
        }
        return nullptr;
    }
    uint64_t announce(uint32_t id, const MemberRecord& record, bool hasRecord = true)
    {
        Announcement announcement;
        announcement.id = memberIdOf(record.name);
        announcement.fingerprint = recordFingerprint(record.process, record.revision);
        announcement.sequence = ++lastRequest;
        if (hasRecord)
            announcement.record = record;
        handle(id, AnnounceReceived { RequestId(lastRequest), announcement });
        return lastRequest;
    }
    uint64_t command(uint32_t id, const ManifestCommand& command)
    {
        handle(id, CommandReceived { RequestId(++lastRequest), command });
        return lastRequest;
    }
    StatusReply status(uint32_t id)
    {
        handle(id, StatusReceived { RequestId(++lastRequest) });
        return *answer<StatusReply>(lastRequest);
    }
    const Member* member(uint32_t id, const std::string& name)
    {
        return at(id).relay().current()->findMember(memberIdOf(name));
    }
};

} // namespace

TEST_CASE("an announcement at a follower is confirmed once the leader has accepted it", "[control][instance]")
{
    Fixture f;
    uint64_t request = f.announce(2, agentRecord("agent-1", 5));
    CHECK_FALSE(f.answer<AnnounceReply>(request));
    f.run(300ms);
    REQUIRE(f.answer<AnnounceReply>(request));
    CHECK(f.answer<AnnounceReply>(request)->isQuorumConfirmed);
    CHECK(f.member(1, "agent-1"));
    CHECK(f.member(2, "agent-1"));
    CHECK(f.leader.relay().current()->version == f.follower.relay().current()->version);
    for (int i = 0; i < 6; ++i) {
        request = f.announce(2, agentRecord("agent-1", 5), false);
        f.run(1s);
        CHECK(f.answer<AnnounceReply>(request)->isQuorumConfirmed);
    }
    CHECK(f.member(1, "agent-1"));
    f.run(4s);
    CHECK_FALSE(f.member(2, "agent-1"));
}

TEST_CASE("without a quorum or a leader no announcement is confirmed and no member is removed", "[control][instance]")
{
    Fixture f;
    f.announce(1, agentRecord("agent-1", 5));
    f.announce(2, agentRecord("agent-2", 5));
    f.run(300ms);
    REQUIRE(f.member(1, "agent-2"));
    f.run(4s, false);
    CHECK(f.member(1, "agent-1"));
    CHECK_FALSE(f.answer<AnnounceReply>(f.announce(1, agentRecord("agent-1", 5)))->isQuorumConfirmed);
    uint64_t request = f.announce(2, agentRecord("agent-2", 5));
    f.run(300ms, false);
    CHECK_FALSE(f.answer<AnnounceReply>(request)->isQuorumConfirmed);
    f.dropsMessages = true;
    request = f.announce(2, agentRecord("agent-2", 5));
    f.run(800ms);
    REQUIRE(f.answer<AnnounceReply>(request)); // soon enough to try another instance
    CHECK_FALSE(f.answer<AnnounceReply>(request)->isQuorumConfirmed);
    f.handle(2, LeaderChanged { Term(1), ControlInstanceId() });
    CHECK_FALSE(f.answer<AnnounceReply>(f.announce(2, agentRecord("agent-2", 5)))->isQuorumConfirmed);
}

TEST_CASE("draining and a lost target are published at once", "[control][instance]")
{
    for (MemberState state : { MemberState::Draining, MemberState::TargetDown }) {
        for (uint32_t at : { 1U, 2U }) {
            Fixture f;
            MemberRecord record = agentRecord("agent-1", 5);
            f.announce(at, record);
            f.run(1s);
            record.state = state;
            record.revision = 2;
            f.announce(at, record);
            REQUIRE(f.member(2, "agent-1"));
            CHECK(f.member(2, "agent-1")->state == state); // no time has passed
            record.revision = 3;
            record.leaving = true;
            f.run(100ms);
            f.announce(at, record);
            CHECK_FALSE(f.member(2, "agent-1"));
        }
    }
}

TEST_CASE("a lost batch loses no change of state", "[control][instance]")
{
    // Guards against a renewal that keeps a member in an older state after the batch with the new state was lost.
    Fixture f;
    MemberRecord record = agentRecord("agent-1", 5);
    f.announce(2, record);
    f.run(1s);
    record.state = MemberState::Draining;
    record.revision = 2;
    f.dropsMessages = true;
    f.announce(2, record);
    f.dropsMessages = false;
    f.run(1s);
    CHECK(f.member(1, "agent-1")->state == MemberState::Draining);
}

TEST_CASE("a new leader keeps every live member", "[control][instance]")
{
    Fixture f;
    f.announce(2, agentRecord("agent-1", 5));
    f.run(300ms);
    f.handle(1, LeaderChanged { Term(2), ControlInstanceId() });
    f.handle(1, LeadershipGained { Term(3) });
    f.handle(2, LeaderChanged { Term(3), ControlInstanceId(1) });
    DirectoryVersion before = f.leader.relay().current()->version;
    for (int i = 0; i < 5; ++i) {
        f.announce(2, agentRecord("agent-1", 5), false);
        f.run(1s);
        REQUIRE(f.member(2, "agent-1"));
    }
    CHECK(f.follower.relay().current()->version > before);
    CHECK(f.follower.relay().current()->version.term == Term(3));
}

TEST_CASE("a command is answered by the instance that received it", "[control][instance]")
{
    Fixture f;
    uint64_t request = f.command(2, manifestCommand(sampleManifest(2, 1), "ben"));
    REQUIRE(f.answer<ManifestResult>(request));
    CHECK(f.answer<ManifestResult>(request)->epoch == Epoch(2));
    request = f.command(2, dataCentreCommand("hal-b", true, 2));
    CHECK(f.answer<ManifestResult>(request)->version == 3);
    f.run(200ms);
    CHECK(f.follower.relay().current()->manifestVersion == 3);
    ManifestCommand bad = manifestCommand(sampleManifest(4, 3), "ben");
    bad.manifest = "{}";
    uint64_t before = f.index;
    CHECK(f.answer<ManifestResult>(f.command(1, bad))->outcome == ManifestOutcome::Invalid);
    CHECK(f.index == before); // kept out of the log
    f.dropsMessages = true;
    request = f.command(2, manifestCommand(sampleManifest(4, 3), "ben"));
    f.run(5100ms);
    CHECK(f.answer<ManifestResult>(request)->outcome == ManifestOutcome::Unknown);
    f.handle(2, LeaderChanged { Term(2), ControlInstanceId() });
    request = f.command(2, manifestCommand(sampleManifest(4, 3), "ben"));
    CHECK(f.answer<ManifestResult>(request)->outcome == ManifestOutcome::NoLeader);
}

TEST_CASE("the status lists the members that do not act on the current epoch", "[control][instance]")
{
    Fixture f;
    f.announce(1, agentRecord("agent-1", 5));
    f.announce(2, agentRecord("agent-2", 5));
    f.run(500ms);
    WatchRequest watch;
    watch.member = memberIdOf("agent-2");
    watch.known = f.follower.relay().current()->version;
    watch.activeEpoch = Epoch(1);
    f.handle(2, WatchReceived { RequestId(1), watch });
    f.run(300ms);
    StatusReply status = f.status(1);
    CHECK(status.isLeader);
    CHECK(status.members == 2);
    CHECK(status.behind == std::vector<std::string> { "agent-1" });
    CHECK(f.status(2).leader == ControlInstanceId(1));
    CHECK(f.status(2).behindCount == 0);
}

TEST_CASE("a name used by two processes at one follower is reported", "[control][instance]")
{
    Fixture f;
    for (int i = 0; i < 6; ++i) {
        f.announce(2, agentRecord("agent-1", 6));
        uint64_t request = f.announce(2, agentRecord("agent-1", 5));
        CHECK(f.answer<AnnounceReply>(request)->status == AnnounceStatus::OlderIncarnation);
        f.run(1s);
    }
    REQUIRE(f.findings.size() == 1);
    CHECK(f.status(1).findings.size() == 1);
}

TEST_CASE("a register snapshot replaces missed entries, and a damaged one is reported", "[control][instance]")
{
    Fixture f;
    f.command(1, manifestCommand(sampleManifest(2, 1), "ben"));
    Random random(1);
    ControlInstance fresh(f.clock, random, Fixture::settings(3));
    CHECK(fresh.handle(SnapshotInstalled { "damaged" }).size() == 1);
    CHECK(fresh.handle(SnapshotInstalled { f.leader.manifests().snapshot() }).empty());
    CHECK(fresh.manifests().epoch() == Epoch(2));
}
