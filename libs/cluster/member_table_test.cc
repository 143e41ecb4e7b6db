// The table of targets that a control instance keeps for pollers.
#include "cluster/member_table.h"
#include "cluster/test_values.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

TEST_CASE(
    "table: registered members have rows before they are announced, and departed ones have no live row", "[members]")
{
    ManualClock clock;
    MemberTable table(clock, 77);
    steering::MemberRecord member = memberNumber(1);
    member.targetStartSequence = 1;
    MemberRegister members { { member.agent, member } };
    auto row = [&] {
        PollReply reply;
        table.fillReply({}, steering::MemberDigest(steering::digestBuckets), reply);
        REQUIRE(reply.members.size() == 1);
        return reply.members[0];
    };
    table.applyRegister(members);
    CHECK(row().state == steering::TargetState::Unknown);
    SECTION("an announcement of the registered start supersedes it")
    {
        table.update(member, 0ms);
        CHECK(row().state == steering::TargetState::Ready);
        CHECK(table.registerChanges(members).add.empty());
    }
    SECTION("a start that the register does not have is to be added")
    {
        member.sequence = member.targetStartSequence = 4;
        table.update(member, 0ms);
        REQUIRE(table.registerChanges(members).add.size() == 1);
        CHECK(table.registerChanges(members).add[0].targetStartSequence == 4);
    }
    SECTION("a registered start that is newer than the row shows, also under another service")
    {
        table.update(member, 0ms);
        members[member.agent].sequence = 6;
        members[member.agent].service = steering::serviceKey("other");
        table.applyRegister(members);
        CHECK(row().service == steering::serviceKey("other"));
    }
    SECTION("a departure removes it, also from entries that have it")
    {
        steering::MemberRecord departed = member;
        departed.sequence = 3;
        departed.state = steering::TargetState::Departed;
        table.update(departed, 0ms);
        std::vector<steering::MemberRecord> remove = table.registerChanges(members).remove;
        REQUIRE(remove.size() == 1);
        table.remove(remove[0]);
        CHECK(row().state == steering::TargetState::Departed);
    }
    SECTION("a removal from the log supersedes a row that was never announced")
    {
        steering::MemberRecord removed = member;
        removed.state = steering::TargetState::Departed;
        table.remove(removed);
        CHECK(row().state == steering::TargetState::Departed);
        member.sequence = member.targetStartSequence = 2; // the next start
        table.update(member, 0ms);
        CHECK(row().state == steering::TargetState::Ready);
    }
    SECTION("only after half a day of silence a member that has not departed is removed; it may come back")
    {
        table.update(member, 0ms);
        clock.advance(11h);
        table.expire();
        CHECK(table.registerChanges(members).remove.empty());
        clock.advance(2h);
        std::vector<steering::MemberRecord> remove = table.registerChanges(members).remove;
        REQUIRE(remove.size() == 1);
        table.remove(remove[0]);
        CHECK(row().state == steering::TargetState::Departed);
        CHECK(table.incarnationOf(member.agent) == member.incarnation + 1); // the agent announces a higher incarnation
    }
}

TEST_CASE(
    "member table: replies have the changed members, and silent agents only when most agents are heard", "[table]")
{
    ManualClock clock;
    MemberTable table(clock, 77);
    for (uint32_t i = 0; i < 10; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply all;
    table.fillReply({}, steering::MemberDigest(steering::digestBuckets), all);
    CHECK(all.members.size() == 10);
    steering::MemberRecord changed = memberNumber(3);
    changed.sequence = 2;
    table.update(changed, 0ms);
    CHECK(table.incarnationOf(changed.agent) == 10);
    PollReply delta;
    table.fillReply(all.table, {}, delta);
    CHECK(delta.members.size() == 1);
    PollReply other;
    table.fillReply({ 78, 99 }, steering::MemberDigest(steering::digestBuckets),
        other); // versions of another instance are not comparable
    CHECK(other.members.size() == 10);
    steering::MemberRecord old = memberNumber(3);
    old.incarnation = 9;
    old.sequence = 50;
    table.update(old, 0ms);
    CHECK(table.incarnationOf(old.agent) == 10); // a restarted agent must announce a higher one

    clock.advance(3100ms);
    for (uint32_t i = 0; i < 4; ++i)
        table.update(i == 3 ? changed : memberNumber(i), 0ms);
    PollReply cutOff;
    table.fillReply(delta.table, {}, cutOff);
    CHECK(cutOff.silent.empty());
    for (uint32_t i = 4; i < 9; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply judged;
    table.fillReply(delta.table, {}, judged);
    CHECK(judged.silent == std::vector<Endpoint> { memberNumber(9).agent });
    clock.advance(91s);
    table.expire();
    CHECK(table.size() == 0);
}

TEST_CASE("member table: a truncated reply continues with the next poll", "[table]")
{
    ManualClock clock;
    MemberTable table(clock, 1);
    const uint32_t members = maxReplyMembers + 100;
    for (uint32_t i = 0; i < members; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply first;
    CHECK_FALSE(table.fillReply({ 1, 0 }, {}, first));
    CHECK(first.members.size() == maxReplyMembers);
    PollReply second;
    CHECK(table.fillReply(first.table, {}, second));
    CHECK(second.members.size() == 100);
}

// Guards against entries that fetch the whole table from each control instance and after each restart of one, which at
// the target size alone exceeds the budget of control traffic.
TEST_CASE("member table: a digest brings only the members that differ", "[table]")
{
    ManualClock clock;
    MemberTable table(clock, 1);
    steering::Members known(clock);
    const uint32_t members = maxReplyMembers + 100;
    for (uint32_t i = 0; i < members; ++i)
        table.update(memberNumber(i), 0ms);
    PollReply unknown;
    CHECK_FALSE(table.fillReply({ 99, 5 }, {}, unknown)); // of another owner
    CHECK(unknown.wantsDigest);
    CHECK(unknown.members.empty());

    int polls = 0;
    for (bool complete = false; !complete; ++polls) {
        REQUIRE(polls < 5);
        PollReply reply;
        complete = table.fillReply({}, known.digest(), reply);
        CHECK(reply.table.owner == (complete ? 1 : 0));
        for (const steering::MemberRecord& record : reply.members)
            known.update(record);
    }
    CHECK(known.size() == members);
    PollReply equal;
    CHECK(table.fillReply({}, known.digest(), equal));
    CHECK(equal.members.empty());

    // The digest shows every change of a record.
    steering::MemberRecord changed = memberNumber(7);
    SECTION("sequence") { ++changed.sequence; }
    SECTION("incarnation") { ++changed.incarnation; }
    SECTION("new member") { changed = memberNumber(members + 1); }
    table.update(changed, 0ms);
    PollReply differing;
    CHECK(table.fillReply({}, known.digest(), differing));
    CHECK(differing.members.size() < 40);
    CHECK(std::any_of(differing.members.begin(), differing.members.end(), [&](const steering::MemberRecord& record) {
        return record.agent == changed.agent && record.sequence == changed.sequence
            && record.incarnation == changed.incarnation;
    }));
}
