// cicadawardctl and the administration API against one control instance, and the command lines of all programs.

#include "control_group.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <sys/stat.h>

using namespace cicadaward;
using Json = nlohmann::json;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// One instance that leads.
struct Single : ControlGroup {
    explicit Single(uint16_t port)
        : ControlGroup(1, port)
    {
        start();
        REQUIRE(waitUntilRepaired());
    }
};

// Sends a request and closes the connection without reading the answer.
void sendAndForget(uint16_t port, const std::string& body)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::address_v4::loopback(), port });
    std::string request = "POST /v1/manifest HTTP/1.1\r\nHost: x\r\nOperator: first\r\nAuthorization: Bearer "
        + std::string(testToken) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::write(socket, boost::asio::buffer(request));
}

} // namespace

// Guards against a program that cannot say how to use it or which version it is.
TEST_CASE("help and version of every program end with 0", "[ctl]")
{
    ControlGroup group(1, 23000);
    for (const char* program :
        { "cicadaward-entry", "cicadaward-agent", "cicadaward-control", "cicadawardctl", "cicadaward-bench" }) {
        CAPTURE(program);
        ProgramResult help = group.run(program, { "--help" });
        CHECK(help.code == 0);
        CHECK(contains(help.out, "--help"));
        ProgramResult version = group.run(program, { "--version" });
        CHECK(version.code == 0);
        CHECK(contains(version.out, program));
    }
    CHECK(contains(group.run("cicadawardctl", { "--help" }).out, "Exit codes:"));
}

// Guards against a check that stops at the first fault.
TEST_CASE("--check lists every planted fault of a settings file", "[ctl]")
{
    ControlGroup group(1, 23000);
    std::string file = group.write("bad.ini",
        "[instance]\nname = control-1\ndata-centre = dc-1\nid-key-file = keys\n[listen]\npeers = nowhere\n"
        "[control]\npeers = control-1=127.0.0.1:23000\nlease-ms = 1\nleese = 3\n[data]\nfolder = data\n");
    ProgramResult result = group.run("cicadaward-control", { "--config", file, "--check" });
    CHECK(result.code == 2);
    CHECK(contains(result.err, "listen.peers"));
    CHECK(contains(result.err, "control.lease-ms"));
    CHECK(contains(result.err, "control.leese"));
}

// Guards against bad input that reaches the instances or ends with the code of a refusal.
TEST_CASE("a bad command line ends with 2 and names every finding", "[ctl]")
{
    ControlGroup group(1, 23000);
    std::string open = group.write("open-token", std::string(testToken) + "\n");
    chmod(open.c_str(), 0644);
    struct Case {
        std::vector<std::string> arguments;
        std::vector<std::string> expected;
    };
    const std::vector<Case> cases {
        { {}, { "a command is needed", "--control" } },
        { { "frobnicate" }, { "unknown command" } },
        { { "apply" }, { "usage: apply FILE" } },
        { { "data-centre", "away", "dc-1" }, { "usage: data-centre" } },
        { { "status", "--wait" }, { "--wait" } },
        { { "status", "--timeout", "0" }, { "--timeout" } },
        { { "status", "--control", "here" }, { "control.instances" } },
        { { "status", "--control", "127.0.0.1:23000", "--token-file", open }, { "mode 0600" } },
        { { "status", "--control", "127.0.0.1:23000", "--token-file", "/nonexistent" }, { "cannot be read" } },
        { { "--stat" }, { "--help" } },
    };
    for (const Case& each : cases) {
        ProgramResult result = group.run("cicadawardctl", each.arguments);
        CAPTURE(each.arguments, result.err);
        CHECK(result.code == 2);
        for (const std::string& text : each.expected)
            CHECK(contains(result.err, text));
    }
}

// Guards against findings that arrive one at a time, locally and at the instance.
TEST_CASE("every planted fault of a manifest is listed with its path", "[ctl]")
{
    Single group(23010);
    std::string bad = manifestText(1, 0, 0); // slots below 1
    bad.replace(bad.find("10.100.0.2"), 10, "10.100.0.x");
    bad.replace(bad.find("8080"), 4, "99999");
    ProgramResult result = group.ctl({ "apply", group.write("bad.json", bad) });
    CHECK(result.code == 2);
    AdminResponse response = group.call(1, AdminVerb::Post, "/v1/manifest", bad);
    CHECK(response.status == 422);
    CHECK(Json::parse(response.body).contains("error"));
    for (const char* path : { "services[0].slotsPerTarget", "services[0].address", "services[0].ports[0].port" }) {
        CHECK(contains(result.err, path));
        CHECK(contains(response.body, path));
    }
    CHECK(group.status()["manifestVersion"] == 0);
}

// Guards against a compare-and-set that lets a second content of a version, or an older version, replace the first.
TEST_CASE("good, equal, conflicting, older and detached manifests", "[ctl]")
{
    Single group(23020);
    std::string first = group.write("1.json", manifestText(1, 0));
    ProgramResult good = group.ctl({ "--operator", "ann", "--json", "apply", first, "--wait" });
    REQUIRE(good.code == 0);
    Json accepted = Json::parse(good.out);
    CHECK(accepted["outcome"] == "accepted");
    CHECK(accepted["version"] == 1);
    CHECK(accepted["who"] == "ann");
    CHECK(accepted["everywhere"] == true);

    ProgramResult equal = group.ctl({ "--operator", "bob", "--json", "apply", first });
    CHECK(equal.code == 0);
    CHECK(Json::parse(equal.out)["epoch"] == accepted["epoch"]);
    CHECK(Json::parse(equal.out)["who"] == "ann");

    ProgramResult conflict = group.ctl({ "apply", group.write("1b.json", manifestText(1, 0, 4)) });
    CHECK(conflict.code == 1);
    CHECK(contains(conflict.err, "outcome: conflict"));
    CHECK(contains(conflict.err, "who: ann"));

    CHECK(group.ctl({ "apply", group.write("5.json", manifestText(5, 1)) }).code == 0);
    ProgramResult older = group.ctl({ "apply", group.write("3.json", manifestText(3, 1)) });
    CHECK(older.code == 1);
    CHECK(contains(older.err, "outcome: older"));
    ProgramResult detached = group.ctl({ "apply", group.write("7.json", manifestText(7, 1)) });
    CHECK(detached.code == 1);
    CHECK(contains(detached.err, "outcome: wrong-base"));

    CHECK(Json::parse(group.ctl({ "--json", "show" }).out)["version"] == 5);
    Json history = Json::parse(group.ctl({ "--json", "history" }).out);
    REQUIRE(history.size() == 2);
    CHECK(history[0]["version"] == 5);
    CHECK(history[1]["who"] == "ann");
}

// Guards against an answer that depends on whether the first one arrived.
TEST_CASE("a manifest sent again after a lost answer gets the first answer", "[ctl]")
{
    Single group(23030);
    sendAndForget(group.adminPort(1), manifestText(1, 0));
    REQUIRE(waitUntil([&] { return group.status()["manifestVersion"] == 1; }));
    ProgramResult again
        = group.ctl({ "--operator", "second", "--json", "apply", group.write("1.json", manifestText(1, 0)) });
    REQUIRE(again.code == 0);
    Json json = Json::parse(again.out);
    CHECK(json["epoch"] == 1);
    CHECK(json["who"] == "first");
    CHECK(Json::parse(group.ctl({ "--json", "history" }).out).size() == 1);
}

// Guards against a data centre change that overwrites what another operator has changed meanwhile.
TEST_CASE("a data centre goes out and comes back", "[ctl]")
{
    Single group(23040);
    REQUIRE(group.ctl({ "apply", group.write("1.json", manifestText(1, 0)) }).code == 0);
    ProgramResult out = group.ctl({ "--json", "data-centre", "out", "dc-2", "--replaces", "1", "--wait" });
    REQUIRE(out.code == 0);
    CHECK(Json::parse(out.out)["version"] == 2);
    CHECK(contains(group.ctl({ "show" }).out, "dc-2         out"));
    // The same change again is the answer to the first one; another change on the old base is not.
    CHECK(group.ctl({ "data-centre", "out", "dc-2", "--replaces", "1" }).code == 0);
    CHECK(group.ctl({ "data-centre", "out", "dc-1", "--replaces", "1" }).code == 1);
    CHECK(group.ctl({ "data-centre", "out", "dc-9" }).code == 1);
    CHECK(group.ctl({ "data-centre", "in", "dc-2" }).code == 0);
    CHECK(group.status()["manifestVersion"] == 3);
}

// Guards against a diff that hides a change or the end of a service's flows.
TEST_CASE("diff shows what applying a file would change", "[ctl]")
{
    Single group(23050);
    CHECK(contains(group.ctl({ "diff", group.write("1.json", manifestText(1, 0)) }).out, "+ service catalogue"));
    REQUIRE(group.ctl({ "apply", group.folder() + "/1.json" }).code == 0);
    std::string next = manifestText(2, 1, 9);
    next.replace(next.find("10.100.0.2"), 10, "10.100.0.7");
    ProgramResult diff = group.ctl({ "diff", group.write("2.json", next) });
    CHECK(diff.code == 0);
    CHECK(contains(diff.out, "version 1 -> 2"));
    CHECK(contains(diff.out, "slotsPerTarget 3 -> 9"));
    CHECK(contains(diff.out, "its open flows end"));
    CHECK(contains(group.ctl({ "diff", group.folder() + "/1.json" }).out, "no change"));
    CHECK(group.status()["manifestVersion"] == 1);
}

// Guards against changes or reads without the token, and against tokens in the log.
TEST_CASE("a wrong token is refused and stays out of the log", "[ctl]")
{
    Single group(23060);
    std::string wrong = group.write("wrong", "not-the-right-token\n");
    for (const char* command : { "show", "status", "metrics", "events" }) {
        ProgramResult result = group.run("cicadawardctl",
            { "--control", "127.0.0.1:" + std::to_string(group.adminPort(1)), "--token-file", wrong, "--timeout", "20",
                command });
        CHECK(result.code == 1);
        CHECK(contains(result.err, "401"));
    }
    CHECK(contains(group.logText(1), "admin-refused"));
    CHECK_FALSE(contains(group.logText(1), "not-the-right-token"));
    CHECK_FALSE(contains(group.logText(1), testToken));
}

// Guards against answers that are no JSON, and against input that ends the process.
TEST_CASE("the administration API refuses what it does not know", "[ctl]")
{
    Single group(23070);
    struct Case {
        AdminVerb verb;
        std::string target;
        std::string body;
        unsigned status;
    };
    const std::vector<Case> cases {
        { AdminVerb::Get, "/", "", 404 },
        { AdminVerb::Get, "/v2/status", "", 404 },
        { AdminVerb::Get, "/v1/status/more", "", 404 },
        { AdminVerb::Post, "/v1/data-centres//out", "", 404 },
        { AdminVerb::Post, "/v1/data-centres/dc-1/away", "", 404 },
        { AdminVerb::Post, "/v1/status", "", 405 },
        { AdminVerb::Get, "/v1/data-centres/dc-1/out", "", 405 },
        { AdminVerb::Get, "/v1/sta%2", "", 400 },
        { AdminVerb::Get, "/v1/events?limit=0", "", 400 },
        { AdminVerb::Get, "/v1/history?limit=many", "", 400 },
        { AdminVerb::Post, "/v1/data-centres/dc-1/out?replaces=x", "", 400 },
        { AdminVerb::Post, "/v1/data-centres/%ff%00/out", "", 422 }, // bytes that are not UTF-8
        { AdminVerb::Post, "/v1/manifest", "{", 422 },
        { AdminVerb::Post, "/v1/manifest", std::string(maxManifestSize + 1, ' '), 413 },
    };
    for (const Case& each : cases) {
        CAPTURE(each.target);
        AdminResponse response = group.call(1, each.verb, each.target, each.body, "op\xff");
        CHECK(response.status == each.status);
        CHECK(Json::parse(response.body, nullptr, false).contains("error"));
    }
    // A name that is not UTF-8 is kept in the history and must not end the process that prints it.
    REQUIRE(group.call(1, AdminVerb::Post, "/v1/manifest", manifestText(1, 0), "op\xff").status == 200);
    CHECK(group.call(1, AdminVerb::Get, "/v1/history").status == 200);
    CHECK(Json::parse(group.call(1, AdminVerb::Get, "/v1/events?limit=3").body).is_array());
    CHECK(group.ctl({ "events" }).code == 0);
    CHECK(group.ctl({ "metrics" }).code == 0);
    CHECK(group.ctl({ "members" }).code == 0);
    CHECK(group.instance(1).isRunning());
}
