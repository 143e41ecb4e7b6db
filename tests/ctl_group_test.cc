// cicadawardctl against three control instances that race, die, stop and lose their disks.

#include "control_group.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace cicadaward;
using Json = nlohmann::json;

namespace {

struct Three : ControlGroup {
    explicit Three(uint16_t port)
        : ControlGroup(3, port)
    {
        start();
        REQUIRE(waitUntilRepaired());
    }
    ProgramResult apply(uint64_t version, uint64_t replaces)
    {
        return ctl({ "apply", write(std::to_string(version) + ".json", manifestText(version, replaces)) });
    }
};

int follower(const ControlGroup& group)
{
    int leader = group.leader();
    return leader == 3 ? 2 : 3; // instance 1 bootstraps; the tests leave its disk alone
}

} // namespace

// Guards against two operators who are both told that their content of a version is in force.
TEST_CASE("of two operators with equal versions exactly one wins", "[ctl]")
{
    Three group(23100);
    namespace bp = boost::process;
    for (uint64_t version = 1; version <= 5; ++version) {
        std::vector<std::unique_ptr<bp::child>> racers;
        for (int i = 0; i < 2; ++i) {
            std::string name = "race-" + std::to_string(i);
            std::string file = group.write(name + ".json", manifestText(version, version - 1, 3 + i));
            racers.push_back(std::make_unique<bp::child>(std::string(CICADAWARD_PROGRAMS) + "/cicadawardctl",
                bp::args(group.ctlArguments({ i + 1, 3 }, { "--operator", name, "--json", "apply", file })),
                bp::std_in<bp::null, bp::std_out>(group.folder() + "/" + name + ".out"), bp::std_err > bp::null));
        }
        int codes[2];
        for (size_t i = 0; i < 2; ++i) {
            racers[i]->wait();
            codes[i] = racers[i]->exit_code();
        }
        CAPTURE(version, codes[0], codes[1]);
        REQUIRE(codes[0] + codes[1] == 1);
        std::string winner = codes[0] == 0 ? "race-0" : "race-1";
        std::ifstream loser(group.folder() + (codes[0] == 0 ? "/race-1.out" : "/race-0.out"));
        Json answer = Json::parse(loser, nullptr, false);
        CHECK(answer["outcome"] == "conflict");
        CHECK(answer["who"] == winner);
        Json shown = Json::parse(group.ctl({ "--json", "history", "--limit", "1" }).out);
        CHECK(shown[0]["who"] == winner);
    }
}

// Guards against a manifest that is lost with the leader.
TEST_CASE("after kill -9 of the leader the manifest is there and apply works", "[ctl]")
{
    Three group(23110);
    REQUIRE(group.apply(1, 0).code == 0);
    int leader = group.leader();
    REQUIRE(leader != 0);
    group.instance(leader).kill();
    CHECK(group.apply(2, 1).code == 0);
    Json status = group.status();
    CHECK(status["manifestVersion"] == 2);
    CHECK(status["repaired"] == false);
    Json history = Json::parse(group.ctl({ "--json", "history" }).out);
    REQUIRE(history.size() == 2);
    CHECK(history[1]["version"] == 1);
    group.instance(leader).start();
    CHECK(group.waitUntilRepaired());
}

// Guards against an instance that serves an old manifest after it has missed changes.
TEST_CASE("an instance that was stopped catches up", "[ctl]")
{
    Three group(23120);
    REQUIRE(group.apply(1, 0).code == 0);
    int stopped = follower(group);
    group.stop(stopped);
    CHECK(group.instance(stopped).exitCode() == 0);
    for (uint64_t version = 2; version <= 6; ++version)
        REQUIRE(group.apply(version, version - 1).code == 0);
    group.instance(stopped).start();
    CHECK(waitUntil([&] {
        Json status = group.statusOf(stopped);
        return status.is_object() && status["manifestVersion"] == 6;
    }));
    CHECK(group.waitUntilRepaired());
    CHECK(Json::parse(group.ctlAt(stopped, { "--json", "show" }).out)["version"] == 6);
}

// Guards against an instance that votes with the promises of a lost disk, and against an early "repaired".
TEST_CASE("an instance with an emptied data folder rejoins as a new identity", "[ctl]")
{
    Three group(23130);
    REQUIRE(group.apply(1, 0).code == 0);
    int lost = follower(group);
    std::string name = "control-" + std::to_string(lost);
    auto identity = [&]() -> Json {
        Json status = group.status();
        if (!status.is_object())
            return nullptr;
        for (const Json& instance : status["instances"]) {
            if (instance["name"] == name)
                return instance["id"];
        }
        return nullptr;
    };
    Json before = identity();
    REQUIRE(before.is_number());
    group.instance(lost).kill();
    group.emptyDataFolder(lost);
    group.instance(lost).start();
    REQUIRE(waitUntil([&] {
        Json now = identity();
        return now.is_number() && now != before;
    }));
    REQUIRE(group.waitUntilRepaired());
    CHECK(identity() != before);
    CHECK(waitUntil([&] {
        Json status = group.statusOf(lost);
        return status.is_object() && status["manifestVersion"] == 1;
    }));
    // The repaired copy counts: with another follower gone, it completes the quorum.
    for (int other = 1; other <= 3; ++other) {
        if (other != lost && other != group.leader()) {
            group.instance(other).kill();
            break;
        }
    }
    CHECK(group.apply(2, 1).code == 0);
}

// Guards against reading the manifest from an instance that knows nothing.
TEST_CASE("without a quorum, show asks the instance that knows most", "[ctl]")
{
    Three group(23170);
    REQUIRE(group.apply(1, 0).code == 0);
    REQUIRE(waitUntil([&] { return group.statusOf(1)["manifestVersion"] == 1; }));
    for (int lost : { 2, 3 }) {
        group.instance(lost).kill();
        group.emptyDataFolder(lost);
    }
    for (int lost : { 2, 3 }) {
        group.instance(lost).start();
        REQUIRE(waitUntil([&] { return group.statusOf(lost).is_object(); }));
    }
    REQUIRE(waitUntil([&] { return group.leader() == 0; }));
    ProgramResult shown = group.run("cicadawardctl", group.ctlArguments({ 2, 3, 1 }, { "--json", "show" }));
    CHECK(shown.code == 0);
    CHECK(Json::parse(shown.out)["version"] == 1);
    CHECK(shown.err.find("may be old") != std::string::npos);
}

// Guards against a --wait that reports success while a live process has not acted, or that names nobody.
TEST_CASE("--wait names the processes that do not act", "[ctl]")
{
    ControlGroup group(1, 23140);
    group.start();
    REQUIRE(group.waitUntilRepaired());
    // The longest interval that an entry may announce, so that the frozen process stays a member for 30 s.
    std::string settings = group.write("entry-1.ini",
        "[instance]\nname = entry-1\ndata-centre = dc-1\nid-key-file = " + group.folder()
            + "/keys\n[control]\npeers = " + group.peerList()
            + "\nannounce-interval-ms = 10000\nlease-ms = 30000\nisolation-ms = 60000\n"
              "[listen]\nfabric = 127.0.0.1:23150\ntunnel = 127.0.0.1:23151\n");
    Process entry(std::string(CICADAWARD_PROGRAMS) + "/cicadaward-entry", { "--config", settings },
        group.folder() + "/entry-1.out");
    auto apply = [&](uint64_t version, const char* timeout) {
        std::string file = group.write("m.json", manifestText(version, version - 1));
        return group.ctl({ "--json", "apply", file, "--wait", "--timeout", timeout });
    };
    REQUIRE(apply(1, "60").code == 0);
    entry.start();
    REQUIRE(waitUntil([&] { return Json::parse(group.ctl({ "--json", "members" }).out).size() == 1; }));
    REQUIRE(apply(2, "60").code == 0);
    entry.freeze();
    ProgramResult frozen = apply(3, "2");
    CHECK(frozen.code == 3);
    Json answer = Json::parse(frozen.out);
    CHECK(answer["outcome"] == "accepted");
    CHECK(answer["behind"] == Json::array({ "entry-1" }));
    CHECK(frozen.err.find("entry-1") != std::string::npos);
    entry.resume();
    CHECK(apply(4, "60").code == 0);
}
