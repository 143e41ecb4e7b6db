#include "control/dissemination.h"

#include "control/test_support.h"

#include <catch2/catch.hpp>
#include <map>

using namespace cicadaward;
using namespace cicadaward::control;
using namespace cicadaward::control::test;
using namespace std::chrono_literals;

namespace {

// Random sequence of directories: members are added, removed and changed; services return with new ids.
class RandomDirectories {
public:
    explicit RandomDirectories(uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 5; ++i)
            changeService();
    }

    std::shared_ptr<const Directory> next()
    {
        ++m_directory.version.sequence;
        if (m_random.below(6) == 0)
            changeService();
        if (m_random.below(8) == 0) {
            m_directory.dataCentres = { { DataCentreId(1), "hal-a", m_random.below(2) == 0 } };
            m_directory.manifestEpoch = Epoch(m_directory.manifestEpoch.value() + 1);
        }
        for (uint64_t i = m_random.below(4); i > 0; --i)
            changeMember();
        return std::make_shared<const Directory>(m_directory);
    }

private:
    void changeService()
    {
        auto& services = m_directory.services;
        std::string name = "service-" + std::to_string(m_random.below(3));
        auto known = std::find_if(services.begin(), services.end(), [&](auto& s) { return s.spec.name == name; });
        if (known != services.end())
            services.erase(known);
        Service service;
        service.id = ServiceId(++m_lastService);
        service.spec.name = name;
        services.push_back(service);
        m_directory.manifestEpoch = Epoch(m_directory.manifestEpoch.value() + 1);
    }
    void changeMember()
    {
        MemberId id(1 + m_random.below(30));
        auto& members = m_directory.members;
        auto place = std::lower_bound(
            members.begin(), members.end(), id, [](const Member& m, MemberId key) { return m.id < key; });
        bool known = place != members.end() && place->id == id;
        if (known && m_random.below(3) == 0) {
            members.erase(place);
            return;
        }
        if (!known)
            place = members.insert(place, Member());
        place->id = id;
        place->role = id.value() <= 5 ? MemberRole::Entry : MemberRole::Agent;
        place->state = static_cast<MemberState>(m_random.below(4));
        if (place->role == MemberRole::Agent)
            place->service = m_directory.services[m_random.below(m_directory.services.size())].id;
        place->process = Incarnation(m_random.below(100));
    }

    Random m_random;
    Directory m_directory;
    uint32_t m_lastService = 0;
};

Directory filterByHand(const Directory& all, const WatchRequest& watch)
{
    Directory result = all;
    if (watch.role == MemberRole::Entry)
        return result;
    const Service* own = all.findService(watch.service);
    result.services.clear();
    result.members.clear();
    if (!own)
        return result;
    result.services = { *own };
    for (const Member& member : all.members) {
        if (member.role == MemberRole::Agent && member.service == own->id)
            result.members.push_back(member);
    }
    return result;
}

WatchRequest watchOf(MemberId member, const Directory& known, const std::string& service)
{
    WatchRequest watch;
    watch.member = member;
    watch.known = known.version;
    watch.activeEpoch = known.manifestEpoch;
    if (!service.empty()) {
        watch.role = MemberRole::Agent;
        watch.service = service;
        const Service* own = known.findService(service);
        watch.serviceId = own ? own->id : ServiceId();
    }
    return watch;
}

} // namespace

TEST_CASE("a delta changes each directory into each later one", "[control][dissemination]")
{
    RandomDirectories directories(7);
    std::vector<std::shared_ptr<const Directory>> all;
    for (int i = 0; i < 200; ++i) {
        all.push_back(directories.next());
        size_t from = static_cast<size_t>(i / 2);
        if (from + 1 >= all.size())
            continue;
        DirectoryDelta delta;
        REQUIRE(decodeMessage(encodeMessage(makeDelta(*all[from], *all.back())), delta));
        Directory copy = *all[from];
        REQUIRE(applyDelta(delta, copy));
        REQUIRE(encodeDirectory(copy) == encodeDirectory(*all.back()));
        REQUIRE_FALSE(applyDelta(delta, copy)); // a repeated delta finds another base
    }
}

TEST_CASE("a delta that is malformed or leads to an older version is rejected as a whole", "[control][dissemination]")
{
    RandomDirectories directories(8);
    Directory before = *directories.next();
    Directory after = *directories.next();
    while (makeDelta(before, after).members.size() < 3)
        after = *directories.next();
    const DirectoryDelta good = makeDelta(before, after);
    struct Case {
        const char* name;
        void (*change)(DirectoryDelta&);
    };
    const Case cases[] = {
        { "other base", [](DirectoryDelta& d) { ++d.base.sequence; } },
        { "not newer", [](DirectoryDelta& d) { d.version = d.base; } },
        { "lower epoch", [](DirectoryDelta& d) { d.manifestEpoch = Epoch(); } },
        { "unsorted members", [](DirectoryDelta& d) { std::swap(d.members.front(), d.members.back()); } },
        { "bad state", [](DirectoryDelta& d) { d.members[0].state = MemberState(7); } },
        { "too many items", [](DirectoryDelta& d) { d.removedMembers.resize(maxDeltaItems + 1); } },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        DirectoryDelta delta = good;
        c.change(delta);
        Directory copy = before;
        CHECK_FALSE(applyDelta(delta, copy));
        CHECK(encodeDirectory(copy) == encodeDirectory(before));
    }
}

TEST_CASE("a subscriber at any older version receives exactly its part of the directory", "[control][dissemination]")
{
    // Compares the relay, which merges deltas, with a filter on the whole directory.
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        RandomDirectories directories(seed);
        ManualClock clock;
        DirectoryRelaySettings settings;
        settings.maxHistory = 16;
        DirectoryRelay relay(clock, settings);
        std::map<std::string, Directory> copies { { "", {} }, { "service-0", {} }, { "service-1", {} },
            { "service-2", {} } };
        uint64_t deltas = 0;
        for (int i = 0; i < 300; ++i) {
            REQUIRE(relay.advance(directories.next()));
            for (auto& [service, copy] : copies) {
                if (random.below(random.below(10) == 0 ? 40 : 3) != 0)
                    continue; // misses some
                WatchRequest watch = watchOf(MemberId(1), copy, service);
                WatchReply reply = relay.changesSince(watch);
                if (reply.snapshot)
                    copy = *reply.snapshot;
                else if (reply.delta) {
                    ++deltas;
                    REQUIRE(applyDelta(*reply.delta, copy));
                }
                REQUIRE(encodeDirectory(copy) == encodeDirectory(filterByHand(*relay.current(), watch)));
            }
        }
        REQUIRE(deltas > 100);
    }
}

TEST_CASE("a watch waits for a newer directory, at most 10 s", "[control][dissemination]")
{
    ManualClock clock;
    DirectoryRelay relay(clock, DirectoryRelaySettings {});
    RandomDirectories directories(3);
    relay.advance(directories.next());
    Directory known = *relay.current();
    WatchRequest entry = watchOf(MemberId(1), known, "");
    CHECK_FALSE(relay.watch(RequestId(1), entry));
    clock.advance(9900ms);
    CHECK(relay.takeDueReplies().empty());
    clock.advance(100ms);
    auto late = relay.takeDueReplies();
    REQUIRE(late.size() == 1);
    CHECK_FALSE(late[0].second.delta);
    CHECK_FALSE(relay.watch(RequestId(2), entry));
    relay.advance(directories.next());
    auto news = relay.takeDueReplies();
    REQUIRE(news.size() == 1);
    CHECK(news[0].first == RequestId(2));
    CHECK(news[0].second.delta);
    CHECK(relay.takeDueReplies().empty());
    entry.waitMs = 0;
    CHECK(relay.watch(RequestId(3), entry)->delta);
    entry.waitMs = 10000;
    entry.known = relay.current()->version;
    CHECK_FALSE(relay.watch(RequestId(4), entry));
    CHECK_FALSE(relay.watch(RequestId(5), entry)); // replaces 4
    REQUIRE(relay.takeDueReplies().size() == 1);
    relay.close(RequestId(5));
    clock.advance(10s);
    CHECK(relay.takeDueReplies().empty());
}

TEST_CASE("a version that does not affect an agent reaches it within a second", "[control][dissemination]")
{
    ManualClock clock;
    DirectoryRelay relay(clock, DirectoryRelaySettings {});
    auto directory = std::make_shared<Directory>(*RandomDirectories(3).next());
    relay.advance(directory);
    WatchRequest watch = watchOf(MemberId(1), *directory, directory->services[0].spec.name);
    CHECK_FALSE(relay.watch(RequestId(1), watch));
    auto next = std::make_shared<Directory>(*directory);
    ++next->version.sequence;
    next->members.clear();
    for (const Member& member : directory->members) {
        if (member.service == directory->services[0].id)
            next->members.push_back(member);
    }
    relay.advance(next);
    CHECK(relay.takeDueReplies().empty());
    clock.advance(1s);
    REQUIRE(relay.takeDueReplies().size() == 1);
    CHECK_FALSE(relay.watch(RequestId(2), watchOf(MemberId(1), *next, watch.service)));
    auto change = std::make_shared<Directory>(*next);
    ++change->version.sequence;
    change->manifestEpoch = Epoch(change->manifestEpoch.value() + 1);
    relay.advance(change);
    CHECK(relay.takeDueReplies().size() == 1); // a manifest concerns everyone: apply --wait counts the acknowledgements
}

TEST_CASE("the relay counts the subscribers that do not act on an epoch", "[control][dissemination]")
{
    ManualClock clock;
    DirectoryRelaySettings settings;
    settings.maxSubscribers = 2;
    DirectoryRelay relay(clock, settings);
    auto directory = RandomDirectories(3).next();
    relay.advance(directory);
    WatchRequest behind = watchOf(MemberId(1), *directory, "");
    behind.activeEpoch = Epoch(1);
    relay.watch(RequestId(1), behind);
    relay.watch(RequestId(2), watchOf(MemberId(2), *directory, ""));
    CHECK(relay.watch(RequestId(3), watchOf(MemberId(3), *directory, ""))); // table full: answered empty
    std::vector<std::string> ids;
    CHECK(relay.countBehind(directory->manifestEpoch, ids, 10) == 1);
    CHECK(ids == std::vector<std::string> { "1" });
    CHECK(relay.takeNewAcknowledgements().size() == 2);
    CHECK(relay.takeNewAcknowledgements().empty());
    clock.advance(10s);
    relay.takeDueReplies();
    clock.advance(31s);
    relay.takeDueReplies();
    CHECK(relay.subscriberCount() == 0);
}

TEST_CASE("malformed messages are rejected or harmless", "[control][messages][fuzz]")
{
    Random random(77);
    RandomDirectories directories(5);
    Directory base = *directories.next();
    Directory next = *directories.next();
    AnnouncementBatch batch;
    batch.records = { agentRecord("agent-1", 1), agentRecord("agent-2", 7) };
    batch.renewals = "12345678abcdefgh";
    batch.acknowledgements = { { MemberId(4), Epoch(5) } };
    BatchReply reply;
    reply.needRecord = { 9 };
    reply.refused = { { MemberId(3), Incarnation(2), AnnounceStatus::TableFull } };
    reply.snapshot = next;
    const InstanceMessage messages[] = { batch, reply, DirectoryUpdate { Term(3), makeDelta(base, next) },
        CommandForward { encodeMessage(manifestCommand(sampleManifest(1, 0), "ben")) } };
    for (const InstanceMessage& message : messages) {
        std::string bytes = encodeInstanceMessage(message);
        InstanceMessage decoded;
        REQUIRE(decodeInstanceMessage(bytes, decoded));
        REQUIRE(encodeInstanceMessage(decoded) == bytes);
        REQUIRE_FALSE(decodeInstanceMessage(bytes + "x", decoded));
        for (int i = 0; i < 5000; ++i) {
            if (!decodeInstanceMessage(corrupt(bytes, random), decoded))
                continue;
            if (auto* update = std::get_if<DirectoryUpdate>(&decoded)) {
                Directory copy = base;
                if (applyDelta(update->delta, copy))
                    REQUIRE(isWellFormed(copy));
            }
        }
    }
    InstanceMessage decoded;
    CHECK_FALSE(decodeInstanceMessage("", decoded));
    CHECK_FALSE(decodeInstanceMessage("\x09\x90", decoded));
}
