#include "control/control_client.h"

#include "control/test_support.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::control;
using namespace cicadaward::control::test;
using namespace std::chrono_literals;

namespace {

// A client with three instances, the last one in another data centre, and the latest requests that it sent.
struct Fixture {
    ManualClock clock;
    Random random { 5 };
    ControlClient client { clock, random, settings() };
    std::vector<SendAnnouncement> announcements;
    std::vector<SendWatch> watches;
    std::vector<Contact> contacts;
    std::vector<AnnounceStatus> refusals;
    uint64_t directories = 0;

    static ControlClientSettings settings()
    {
        ControlClientSettings settings;
        settings.record = agentRecord("agent-1", 5);
        settings.instanceInOtherDataCentre = { false, false, true };
        return settings;
    }
    void handle(const ControlClientEvent& event)
    {
        for (const ControlClientAction& action : client.handle(event)) {
            if (auto* send = std::get_if<SendAnnouncement>(&action))
                announcements.push_back(*send);
            else if (auto* watch = std::get_if<SendWatch>(&action))
                watches.push_back(*watch);
            else if (auto* contact = std::get_if<ContactChanged>(&action))
                contacts.push_back(contact->contact);
            else if (auto* refused = std::get_if<AnnouncementRefused>(&action))
                refusals.push_back(refused->status);
            else
                ++directories;
        }
    }
    void run(Duration duration, bool answered = false)
    {
        for (Duration passed {}; passed < duration; passed += 50ms) {
            clock.advance(50ms);
            size_t before = announcements.size();
            handle(ClientTick {});
            if (answered && announcements.size() > before)
                answer(true);
        }
    }
    void answer(bool isQuorumConfirmed, AnnounceStatus status = AnnounceStatus::Accepted)
    {
        AnnounceReply reply;
        reply.sequence = announcements.back().announcement.sequence;
        reply.isQuorumConfirmed = isQuorumConfirmed;
        reply.status = status;
        handle(AnnounceAnswered { announcements.back().instance, reply });
    }
    void answerWatch(const Directory& directory)
    {
        WatchReply reply;
        reply.sequence = watches.back().request.sequence;
        reply.newest = directory.version;
        reply.snapshot = directory;
        handle(WatchAnswered { watches.back().instance, reply });
    }
    static Directory directoryAt(uint64_t term, uint64_t sequence, uint64_t epoch)
    {
        Directory directory;
        directory.version = { Term(term), sequence };
        directory.manifestEpoch = Epoch(epoch);
        return directory;
    }
};

} // namespace

TEST_CASE("the record is sent until it is confirmed, then again after each change", "[control][client]")
{
    Fixture f;
    f.run(100ms);
    REQUIRE(f.announcements.size() == 1);
    CHECK(f.announcements[0].announcement.record);
    f.answer(true);
    f.run(1s);
    REQUIRE(f.announcements.size() == 2);
    CHECK_FALSE(f.announcements[1].announcement.record);
    f.answer(false, AnnounceStatus::NeedRecord);
    f.run(50ms);
    REQUIRE(f.announcements.size() == 3);
    CHECK(f.announcements[2].announcement.record);
    f.answer(true);
    f.handle(StateChanged { MemberState::Draining, Incarnation(1) });
    REQUIRE(f.announcements.size() == 4); // at once
    CHECK(f.announcements[3].announcement.record->state == MemberState::Draining);
    CHECK(f.announcements[3].announcement.record->revision == 2);
    f.answer(true);
    f.handle(Leaving {});
    REQUIRE(f.announcements.size() == 5);
    CHECK(f.announcements[4].announcement.record->leaving);
    f.answer(false, AnnounceStatus::OlderIncarnation);
    CHECK(f.refusals == std::vector<AnnounceStatus> { AnnounceStatus::OlderIncarnation });
}

TEST_CASE("the lease starts at the send time of the last announcement that a quorum confirmed", "[control][client]")
{
    // Guards against a member that still places flows after the leader has removed it.
    Fixture f;
    f.run(100ms);
    Time sent = f.clock.now() - 50ms;
    f.clock.advance(300ms); // a slow reply
    f.answer(true);
    CHECK(f.client.contact() == Contact::Valid);
    while (f.client.contact() == Contact::Valid)
        f.run(50ms);
    CHECK(f.clock.now() - sent >= 3s);
    CHECK(f.clock.now() - sent < 3100ms);
}

TEST_CASE("contact depends on confirmed announcements and on messages from other data centres", "[control][client]")
{
    struct Case {
        const char* name;
        bool isQuorumConfirmed;
        bool hearsOtherDataCentre;
        Duration silence;
        Contact contact;
    };
    const Case cases[] = {
        { "fresh answer", true, false, 1s, Contact::Valid },
        { "lease over, no other data centre", true, false, 3500ms, Contact::Isolated },
        { "lease over, another data centre heard", true, true, 3500ms, Contact::LeaseExpired },
        { "both limits over", true, true, 5500ms, Contact::Isolated },
        { "answer without a quorum", false, true, 1s, Contact::LeaseExpired },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        Fixture f;
        do
            f.run(50ms); // until the first announcement goes to an instance of this data centre
        while (f.announcements.empty() || f.announcements.back().instance == 2);
        f.answer(c.isQuorumConfirmed);
        if (c.hearsOtherDataCentre)
            f.handle(OtherDataCentreHeard {});
        f.run(c.silence);
        CHECK(f.client.contact() == c.contact);
    }
}

TEST_CASE("a reply of a control instance in another data centre counts as a message from there", "[control][client]")
{
    Fixture f;
    do
        f.run(50ms);
    while (f.announcements.empty() || f.announcements.back().instance != 2);
    f.answer(false);
    CHECK(f.client.contact() == Contact::LeaseExpired);
}

TEST_CASE("the client switches away from an instance that is silent, fails or has no leader", "[control][client]")
{
    struct Case {
        const char* name;
        void (*cause)(Fixture&);
    };
    const Case cases[] = {
        { "silent", [](Fixture& f) { f.run(700ms); } },
        { "connection lost", [](Fixture& f) { f.handle(InstanceFailed { f.client.instance() }); } },
        { "no leader", [](Fixture& f) { f.answer(false); } },
        { "stalled watch",
            [](Fixture& f) {
                f.answer(true);
                f.handle(VersionSeen { { Term(1), 2 } });
                f.run(1600ms, true);
            } },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        Fixture f;
        f.run(100ms);
        size_t first = f.client.instance();
        c.cause(f);
        f.run(100ms);
        CHECK(f.client.instanceChanges() == 1);
        CHECK(f.client.instance() != first);
        CHECK(f.announcements.back().instance == f.client.instance());
        CHECK(f.announcements.back().announcement.record);
        CHECK(f.watches.back().instance == f.client.instance());
    }
}

TEST_CASE("with all instances failed the client retries with backoff", "[control][client]")
{
    Fixture f;
    f.run(60s);
    CHECK(f.announcements.size() > 20);
    CHECK(f.announcements.size() < 60);
}

TEST_CASE("a directory with an older version or manifest epoch is rejected", "[control][client]")
{
    Fixture f;
    f.run(100ms);
    f.answerWatch(Fixture::directoryAt(2, 5, 3));
    CHECK(f.client.directory()->version == DirectoryVersion { Term(2), 5 });
    CHECK(f.watches.back().request.known == DirectoryVersion { Term(2), 5 }); // acknowledged at once
    CHECK(f.watches.back().request.activeEpoch == Epoch(3));
    const Directory refused[]
        = { Fixture::directoryAt(2, 4, 3), Fixture::directoryAt(1, 9, 3), Fixture::directoryAt(3, 1, 2) };
    for (const Directory& directory : refused) {
        f.run(200ms);
        f.answerWatch(directory);
        CHECK(f.client.directory()->version == DirectoryVersion { Term(2), 5 });
    }
    CHECK(f.client.refusedDirectories() == 3);
    CHECK(f.directories == 1);
}

TEST_CASE("a newer version seen in a packet is requested without a long poll", "[control][client]")
{
    Fixture f;
    f.run(100ms);
    f.answerWatch(Fixture::directoryAt(1, 1, 1));
    f.handle(VersionSeen { { Term(1), 3 } });
    WatchReply reply; // ends the long poll
    reply.sequence = f.watches.back().request.sequence;
    f.handle(WatchAnswered { f.watches.back().instance, reply });
    f.run(200ms);
    CHECK(f.watches.back().request.waitMs == 0);
}
