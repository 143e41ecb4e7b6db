// The fault-injecting proxy: an experiment that runs over links without the faults it asked for proves nothing.

#include "fault_proxy.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>

using namespace cicadaward;

namespace {

constexpr Endpoint anyPort { 0x7f000001, 0 };

// The guards only end a run that hangs; no result depends on the time.
template <typename Condition> bool waitFor(boost::asio::io_context& context, Condition condition)
{
    Time end = SystemClock().now() + std::chrono::seconds(30);
    while (!condition() && SystemClock().now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(10));
    }
    return condition();
}

std::string fatesOf(uint64_t seed, const FaultSettings& settings)
{
    FaultPolicy policy(seed);
    policy.change(settings);
    std::string fates;
    for (int i = 0; i < 2000; ++i)
        fates += std::to_string(policy.datagramReleases(Direction::Forward, Time()).size());
    return fates;
}

boost::asio::ip::tcp::endpoint tcpEndpoint(Endpoint endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
}

// A sender and a target with a UDP relay between them.
struct UdpPath {
    boost::asio::io_context context;
    std::vector<std::string> atTarget;
    std::vector<std::string> atSender;
    Endpoint lastSender;
    UdpPort target { context, anyPort, 2048, [this](Endpoint from, uint8_t* data, size_t size) {
                        atTarget.emplace_back(data, data + size);
                        lastSender = from;
                    } };
    UdpPort sender { context, anyPort, 2048,
        [this](Endpoint, uint8_t* data, size_t size) { atSender.emplace_back(data, data + size); } };
    UdpRelay relay;

    explicit UdpPath(uint64_t seed)
        : relay(context, anyPort, target.localEndpoint(), seed)
    {
    }

    void toTarget(const std::string& text) { send(sender, relay.localEndpoint(), text); }
    void toSender(const std::string& text) { send(target, lastSender, text); }
    static void send(UdpPort& port, Endpoint to, const std::string& text)
    {
        REQUIRE(port.send(to, reinterpret_cast<const uint8_t*>(text.data()), text.size()));
    }
};

// A caller and a target with a TCP relay between them; the connection is open once a byte has passed both ways.
struct TcpPath {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor { context, tcpEndpoint(anyPort) };
    TcpRelay relay { context, anyPort, { 0x7f000001, acceptor.local_endpoint().port() }, 1 };
    boost::asio::ip::tcp::socket caller { context };
    boost::asio::ip::tcp::socket target { context };

    TcpPath()
    {
        bool accepted = false;
        acceptor.async_accept(target, [&](boost::system::error_code error) { accepted = !error; });
        caller.connect(tcpEndpoint(relay.localEndpoint()));
        REQUIRE(waitFor(context, [&] { return accepted; }));
        REQUIRE(pass(caller, target, "a") == "a");
        REQUIRE(pass(target, caller, "b") == "b");
    }

    std::string receive(boost::asio::ip::tcp::socket& to, size_t size)
    {
        std::string text(size, ' ');
        bool done = false;
        boost::asio::async_read(to, boost::asio::buffer(text), [&](boost::system::error_code, size_t read) {
            text.resize(read);
            done = true;
        });
        REQUIRE(waitFor(context, [&] { return done; }));
        return text;
    }

    std::string pass(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to, const std::string& text)
    {
        boost::asio::write(from, boost::asio::buffer(text));
        return receive(to, text.size());
    }
};

FaultSettings cut(bool forward, bool backward)
{
    FaultSettings settings;
    settings.cutForward = forward;
    settings.cutBackward = backward;
    return settings;
}

} // namespace

TEST_CASE("equal seeds give equal fates, and shares are near the settings", "[proxy]")
{
    struct Case {
        double loss;
        double duplication;
    };
    for (const Case& each : { Case { 0, 0 }, { 0.02, 0 }, { 0.3, 0.1 }, { 1, 0 }, { 0, 1 } }) {
        FaultSettings settings;
        settings.loss = each.loss;
        settings.duplication = each.duplication;
        std::string fates = fatesOf(7, settings);
        CAPTURE(each.loss, each.duplication);
        CHECK(fates == fatesOf(7, settings));
        bool isRandom = each.loss > 0 && each.loss < 1;
        CHECK((fates != fatesOf(8, settings)) == isRandom);
        auto lost = static_cast<double>(std::count(fates.begin(), fates.end(), '0')) / 2000;
        CHECK(lost == Approx(each.loss).margin(0.05));
        auto doubled = static_cast<double>(std::count(fates.begin(), fates.end(), '2')) / 2000;
        CHECK(doubled == Approx(each.duplication * (1 - each.loss)).margin(0.05));
    }
}

TEST_CASE("a change of one fault leaves the draws of the others alone", "[proxy]")
{
    FaultSettings lossOnly;
    lossOnly.loss = 0.2;
    FaultSettings all = lossOnly;
    all.duplication = 0.5;
    all.reordering = 0.5;
    all.jitter = std::chrono::milliseconds(3);
    std::string first = fatesOf(3, lossOnly);
    std::string second = fatesOf(3, all);
    for (size_t i = 0; i < first.size(); ++i)
        REQUIRE((first[i] == '0') == (second[i] == '0'));
}

TEST_CASE("releases keep their order unless reordering is on", "[proxy]")
{
    struct Case {
        double reordering;
        bool ordered;
    };
    for (const Case& each : { Case { 0, true }, { 0.2, false } }) {
        FaultSettings settings;
        settings.delay = std::chrono::milliseconds(1);
        settings.jitter = std::chrono::milliseconds(20);
        settings.reordering = each.reordering;
        FaultPolicy policy(5);
        policy.change(settings);
        std::vector<Time> releases;
        releases.reserve(500);
        for (int i = 0; i < 500; ++i)
            releases.push_back(policy.datagramReleases(Direction::Backward, Time(std::chrono::milliseconds(i)))[0]);
        CHECK(std::is_sorted(releases.begin(), releases.end()) == each.ordered);
    }
}

TEST_CASE("datagrams keep their order through a relay with jitter", "[proxy]")
{
    UdpPath path(1);
    FaultSettings settings;
    settings.delay = std::chrono::milliseconds(1);
    settings.jitter = std::chrono::milliseconds(5);
    path.relay.change(settings);
    std::vector<std::string> sent;
    for (int i = 0; i < 200; ++i) {
        sent.push_back(std::to_string(i));
        path.toTarget(sent.back());
    }
    REQUIRE(waitFor(path.context, [&] { return path.atTarget.size() == sent.size(); }));
    CHECK(path.atTarget == sent);
}

TEST_CASE("a one-way cut drops datagrams of that direction only", "[proxy]")
{
    struct Case {
        bool forward;
        bool backward;
    };
    for (const Case& each : { Case { true, false }, { false, true }, { true, true }, { false, false } }) {
        CAPTURE(each.forward, each.backward);
        UdpPath path(1);
        path.toTarget("open");
        REQUIRE(waitFor(path.context, [&] { return path.atTarget.size() == 1; }));
        path.relay.change(cut(each.forward, each.backward));
        path.toTarget("during");
        path.toSender("during");
        REQUIRE(waitFor(path.context, [&] {
            return path.relay.received(Direction::Forward) == 2 && path.relay.received(Direction::Backward) == 1;
        }));
        path.relay.change({});
        path.toTarget("after");
        path.toSender("after");
        REQUIRE(waitFor(path.context, [&] {
            return path.atTarget.back() == "after" && !path.atSender.empty() && path.atSender.back() == "after";
        }));
        CHECK(path.atTarget.size() == (each.forward ? 2 : 3));
        CHECK(path.atSender.size() == (each.backward ? 1 : 2));
    }
}

TEST_CASE("a cut TCP connection looks alive, passes nothing, and goes on after the cut", "[proxy]")
{
    struct Case {
        bool forward;
        bool backward;
    };
    for (const Case& each : { Case { true, false }, { false, true }, { true, true } }) {
        CAPTURE(each.forward, each.backward);
        TcpPath path;
        path.relay.change(cut(each.forward, each.backward));
        // In a direction that is whole the bytes pass; in a cut one the relay takes them and neither end is told.
        boost::asio::write(path.caller, boost::asio::buffer(std::string("request")));
        boost::asio::write(path.target, boost::asio::buffer(std::string("answer")));
        REQUIRE(waitFor(path.context, [&] {
            return path.relay.received(Direction::Forward) == 8 && path.relay.received(Direction::Backward) == 7;
        }));
        if (!each.forward)
            CHECK(path.receive(path.target, 7) == "request");
        if (!each.backward)
            CHECK(path.receive(path.caller, 6) == "answer");
        CHECK(path.target.available() == 0);
        CHECK(path.caller.available() == 0);
        path.relay.change({});
        if (each.forward)
            CHECK(path.receive(path.target, 7) == "request");
        if (each.backward)
            CHECK(path.receive(path.caller, 6) == "answer");
    }
}

TEST_CASE("the end of a cut connection is held back, and a reset reaches both ends", "[proxy]")
{
    TcpPath path;
    path.relay.change(cut(true, true));
    bool ended = false;
    char byte = 0;
    boost::system::error_code end;
    path.target.async_read_some(boost::asio::buffer(&byte, 1), [&](boost::system::error_code error, size_t) {
        end = error;
        ended = true;
    });
    path.caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    boost::asio::write(path.target, boost::asio::buffer(std::string("x")));
    REQUIRE(waitFor(path.context, [&] { return path.relay.received(Direction::Backward) == 2; }));
    CHECK_FALSE(ended);
    path.relay.resetConnections();
    REQUIRE(waitFor(path.context, [&] { return ended; }));
    CHECK(end == boost::asio::error::connection_reset);
    path.caller.read_some(boost::asio::buffer(&byte, 1), end);
    CHECK(end == boost::asio::error::connection_reset);
}

TEST_CASE("cuts of processes and data centres reach the links they name", "[proxy]")
{
    const Link entryToControl { LinkKind::Control, "entry-1", "dc-1", "control-2", "dc-2" };
    const Link betweenControls { LinkKind::Control, "control-2", "dc-2", "control-1", "dc-1" };
    const Link fabricToEntry { LinkKind::Packets, "fabric", "", "entry-1", "dc-1" };
    const Link agentToTarget { LinkKind::TargetHttp, "hub-1-agent", "dc-1", "hub-1", "dc-1" };
    struct Case {
        std::string process;
        CutDirection direction;
        std::string dataCentre;
        const Link& link;
        bool forward;
        bool backward;
    };
    const std::vector<Case> cases = {
        { "entry-1", CutDirection::Both, "", entryToControl, true, true },
        { "entry-1", CutDirection::Out, "", entryToControl, true, false },
        { "entry-1", CutDirection::In, "", entryToControl, false, true },
        { "control-2", CutDirection::Out, "", entryToControl, false, true },
        { "control-2", CutDirection::In, "", entryToControl, true, false },
        { "control-2", CutDirection::Out, "", betweenControls, true, false },
        { "control-1", CutDirection::In, "", betweenControls, true, false },
        { "entry-2", CutDirection::Both, "", entryToControl, false, false },
        { "entry-1", CutDirection::Both, "", fabricToEntry, false, false },
        { "", CutDirection::Both, "dc-1", fabricToEntry, true, true },
        { "", CutDirection::Both, "dc-2", fabricToEntry, false, false },
        { "", CutDirection::Both, "dc-2", entryToControl, true, true },
        { "", CutDirection::Both, "dc-1", agentToTarget, false, false },
    };
    for (const Case& each : cases) {
        CAPTURE(each.process, each.dataCentre, each.link.from, each.link.to);
        FaultProxy proxy(1, {});
        proxy.start();
        if (!each.process.empty())
            proxy.cut(each.process, each.direction);
        if (!each.dataCentre.empty())
            proxy.cutDataCentre(each.dataCentre);
        FaultSettings settings = proxy.settingsOf(each.link);
        CHECK(settings.cutForward == each.forward);
        CHECK(settings.cutBackward == each.backward);
        proxy.heal(each.process);
        proxy.healDataCentre(each.dataCentre);
        settings = proxy.settingsOf(each.link);
        CHECK_FALSE(settings.cutForward);
        CHECK_FALSE(settings.cutBackward);
    }
}

TEST_CASE("delays and packet faults apply to the links they belong to", "[proxy]")
{
    FaultProxy proxy(1, { std::chrono::milliseconds(1), std::chrono::milliseconds(3) });
    proxy.start();
    proxy.setPacketFaults({ 0.02, 0.01, 0.03 });
    proxy.setExtraDelay(std::chrono::milliseconds(10));
    struct Case {
        Link link;
        int milliseconds;
        double loss;
    };
    const std::vector<Case> cases = {
        { { LinkKind::Control, "entry-1", "dc-1", "control-2", "dc-2" }, 11, 0 },
        { { LinkKind::Control, "entry-1", "dc-1", "control-1", "dc-1" }, 0, 0 },
        { { LinkKind::Packets, "fabric", "", "entry-1", "dc-1" }, 13, 0.02 },
        { { LinkKind::Packets, "hub-1-agent", "dc-2", "fabric", "" }, 13, 0.02 },
        { { LinkKind::TargetHttp, "hub-1-agent", "dc-1", "hub-1", "dc-1" }, 0, 0 },
    };
    for (const Case& each : cases) {
        CAPTURE(each.link.from, each.link.to);
        FaultSettings settings = proxy.settingsOf(each.link);
        CHECK(settings.delay == std::chrono::milliseconds(each.milliseconds));
        CHECK(settings.loss == each.loss);
    }
}
