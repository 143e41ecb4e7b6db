#include "stream/stream_test_peers.h"

#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <unistd.h>

using namespace cicadaward;
using namespace cicadaward::streamtest;

TEST_CASE("requests are answered with their own replies, at once or later", "[stream]")
{
    const uint64_t seed = 5;
    INFO("seed " << seed);
    Random random(seed);
    boost::asio::io_context context;
    std::vector<std::pair<std::string, StreamReplyCallback>> waiting;
    StreamServer server(
        context, anyPort, [&](const std::string& path, const std::string& body, StreamReplyCallback reply) {
            if (path == "/later")
                waiting.emplace_back(path + body, std::move(reply));
            else
                echo(path, body, reply);
        });
    REQUIRE(server.listen().ok());
    StreamClient client(context, server.endpoint(), Random(1));
    size_t answered = 0;
    const size_t count = 500;
    for (size_t i = 0; i < count; ++i) {
        const std::string path = random.below(3) == 0 ? "/later" : "/now";
        const std::string body = std::to_string(i) + std::string(random.below(5000), 'x');
        client.post(path, body, 1h, [&, expected = path + body](absl::StatusOr<std::string> result) {
            REQUIRE(result.ok());
            CHECK(*result == expected);
            ++answered;
        });
    }
    REQUIRE(runUntil(context, [&] {
        if (!waiting.empty() && random.below(2) == 0) {
            const size_t pick = random.below(waiting.size());
            waiting[pick].second(waiting[pick].first);
            waiting[pick].second(std::string("a second reply is ignored"));
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(pick));
        }
        return answered == count;
    }));
    CHECK(client.openRequests() == 0);
    CHECK(client.openBytes() == 0);
    CHECK(runUntil(context, [&] { return server.openBytes() == 0; }));
    CHECK(server.counters().requests == count);
    CHECK(client.counters().bytesSent == server.counters().bytesReceived);
    CHECK(client.counters().connections == 1);
}

TEST_CASE("bodies up to the limit pass, larger ones are refused before sending", "[stream]")
{
    boost::asio::io_context context;
    StreamServer server(
        context, anyPort, [](auto, const std::string& body, const StreamReplyCallback& reply) { reply(body); });
    REQUIRE(server.listen().ok());
    StreamClient client(context, server.endpoint(), Random(1));
    const std::string largest(8 << 20, 'b');
    Answer empty;
    Answer large;
    Answer tooLarge;
    client.post("/", "", 1h, empty.callback());
    client.post("/", largest, 1h, large.callback());
    client.post("/", largest + "b", 1h, tooLarge.callback());
    CHECK_FALSE(tooLarge.result); // never inside post()
    REQUIRE(runUntil(context, [&] { return empty.result && large.result && tooLarge.result; }));
    CHECK((*empty.result)->empty());
    CHECK(**large.result == largest);
    CHECK(tooLarge.code() == absl::StatusCode::kResourceExhausted);
}

TEST_CASE("errors of the handler reach the client", "[stream]")
{
    boost::asio::io_context context;
    StreamServer server(context, anyPort, echo);
    REQUIRE(server.listen().ok());
    StreamServer second(context, server.endpoint(), echo);
    CHECK(second.listen().code() == absl::StatusCode::kUnavailable);
    StreamClient client(context, server.endpoint(), Random(1));
    Answer missing;
    Answer broken;
    client.post("/missing", "", 1h, missing.callback());
    client.post("/broken", "", 1h, broken.callback());
    REQUIRE(runUntil(context, [&] { return missing.result && broken.result; }));
    CHECK(missing.code() == absl::StatusCode::kNotFound);
    CHECK(missing.result->status().message() == "no such path");
    CHECK(broken.code() == absl::StatusCode::kInternal);
}

TEST_CASE("open requests and bytes are bounded on both sides", "[stream]")
{
    boost::asio::io_context context;
    StreamServerOptions serverOptions;
    serverOptions.limits.maxStreams = 2;
    serverOptions.limits.maxOpenBytes = 1000;
    std::vector<StreamReplyCallback> waiting;
    size_t most = 0;
    StreamServer server(
        context, anyPort,
        [&](auto, auto, StreamReplyCallback reply) {
            waiting.push_back(std::move(reply));
            most = std::max(most, waiting.size());
        },
        serverOptions);
    REQUIRE(server.listen().ok());
    StreamClientOptions options;
    options.maxOpenRequests = 5;
    options.limits.maxOpenBytes = 5000;
    StreamClient client(context, server.endpoint(), Random(1), options);
    Answer tooManyBytes;
    client.post("/", std::string(5001, 'x'), 1h, tooManyBytes.callback());
    Answer refusedByServer;
    client.post("/", std::string(2000, 'x'), 1h, refusedByServer.callback());
    REQUIRE(runUntil(context, [&] { return tooManyBytes.result && refusedByServer.result; }));
    CHECK(tooManyBytes.code() == absl::StatusCode::kResourceExhausted);
    CHECK(refusedByServer.code() == absl::StatusCode::kResourceExhausted);

    std::array<Answer, 6> answers;
    for (Answer& answer : answers)
        client.post("/", "x", 1h, answer.callback());
    REQUIRE(runUntil(context, [&] { return answers[5].result.has_value(); }));
    CHECK(answers[5].code() == absl::StatusCode::kResourceExhausted);
    REQUIRE(runUntil(context, [&] {
        while (!waiting.empty() && most >= 1) {
            waiting.back()(std::string("ok"));
            waiting.pop_back();
        }
        return answers[0].result && answers[1].result && answers[2].result && answers[3].result && answers[4].result;
    }));
    CHECK(answers[4].result->ok());
    CHECK(most <= 2);
    CHECK(client.openBytes() == 0);
    CHECK(server.openBytes() == 0);
}

TEST_CASE("a request that is not answered in time ends, on both sides", "[stream]")
{
    boost::asio::io_context context;
    std::vector<StreamReplyCallback> waiting;
    StreamServer server(
        context, anyPort, [&](auto, auto, StreamReplyCallback reply) { waiting.push_back(std::move(reply)); });
    REQUIRE(server.listen().ok());
    StreamClient client(context, server.endpoint(), Random(1));
    Answer late;
    client.post("/", "body", 50ms, late.callback());
    REQUIRE(runUntil(context, [&] { return late.result && !waiting.empty() && server.openBytes() == 0; }));
    CHECK(late.code() == absl::StatusCode::kDeadlineExceeded);
    waiting[0](std::string("ignored"));

    // Nobody listens: the request waits for a connection until its timeout.
    const Tcp::endpoint endpoint = server.endpoint();
    server.stop();
    StreamClient alone(context, endpoint, Random(1));
    Answer never;
    alone.post("/", "", 100ms, never.callback());
    REQUIRE(runUntil(context, [&] { return never.result.has_value(); }));
    CHECK(never.code() == absl::StatusCode::kDeadlineExceeded);
    waiting[0](std::string("the server is gone"));
}

TEST_CASE("the client connects again after the server has restarted", "[stream]")
{
    // An address of its own, so that no other process takes the port while the server is away.
    const auto processId = static_cast<uint32_t>(::getpid());
    const boost::asio::ip::address_v4 address(0x7f580000 | (processId & 0xffff));
    boost::asio::io_context context;
    std::vector<StreamReplyCallback> waiting;
    auto server = std::make_unique<StreamServer>(context, Tcp::endpoint(address, 0),
        [&](auto, auto, StreamReplyCallback reply) { waiting.push_back(std::move(reply)); });
    REQUIRE(server->listen().ok());
    const Tcp::endpoint endpoint = server->endpoint();
    StreamClient client(context, endpoint, Random(1), { {}, { 1ms, 20ms } });
    Answer lost;
    client.post("/", "", 1h, lost.callback());
    REQUIRE(runUntil(context, [&] { return !waiting.empty(); }));
    CHECK(client.isConnected());
    server.reset();
    REQUIRE(runUntil(context, [&] { return lost.result.has_value(); }));
    CHECK(lost.code() == absl::StatusCode::kUnavailable);
    Answer queued;
    client.post("/a", "b", 1h, queued.callback());
    server = std::make_unique<StreamServer>(context, endpoint, echo);
    REQUIRE(server->listen().ok());
    REQUIRE(runUntil(context, [&] { return queued.result.has_value(); }));
    CHECK(**queued.result == "/ab");
    CHECK(client.counters().connections == 2);
}

TEST_CASE("a peer that falls silent is detected by both sides", "[stream]")
{
    boost::asio::io_context context;
    StreamLimits limits;
    limits.pingInterval = 10ms;
    limits.receiveTimeout = 30ms;
    Tcp::acceptor acceptor(context, anyPort); // the kernel accepts, nobody answers
    StreamClient client(context, acceptor.local_endpoint(), Random(1), { limits, {}, 1000ms, 10 });
    Answer answer;
    client.post("/", "", 1h, answer.callback());
    REQUIRE(runUntil(context, [&] { return answer.result.has_value(); }));
    CHECK(answer.code() == absl::StatusCode::kUnavailable);
    CHECK(client.counters().receiveTimeouts == 1);

    StreamServer server(context, anyPort, echo, { limits, 10, {} });
    REQUIRE(server.listen().ok());
    Tcp::socket silent(context);
    silent.connect(server.endpoint());
    REQUIRE(runUntil(context, [&] { return server.counters().receiveTimeouts == 1; }));
    CHECK(server.connectionCount() == 0);

    // A long poll outlives many silence limits as long as the peers answer each other's PINGs.
    limits.receiveTimeout = 10s;
    std::vector<StreamReplyCallback> waiting;
    StreamServer slow(context, anyPort,
        [&](auto, auto, StreamReplyCallback reply) { waiting.push_back(std::move(reply)); }, { limits, 10, {} });
    REQUIRE(slow.listen().ok());
    StreamClient patient(context, slow.endpoint(), Random(1), { limits, {}, 1000ms, 10 });
    Answer polled;
    patient.post("/", "", 1h, polled.callback());
    REQUIRE(runUntil(context, [&] { return slow.counters().bytesReceived > 500; }));
    waiting.at(0)(std::string("ok"));
    REQUIRE(runUntil(context, [&] { return polled.result.has_value(); }));
    CHECK(polled.result->ok());
}

TEST_CASE("a process that was halted itself does not take its peers for silent", "[stream]")
{
    StreamLimits limits;
    limits.pingInterval = 1ms;
    limits.receiveTimeout = 5ms;
    boost::asio::io_context context;
    StreamServer server(context, anyPort, echo, { limits, 10, {} });
    REQUIRE(server.listen().ok());
    Tcp::socket peer(context);
    peer.connect(server.endpoint());
    REQUIRE(runUntil(context, [&] { return server.connectionCount() == 1; }));
    // Both timers have expired when the context runs again. The earlier one writes, so that the bytes arrive after the
    // context has looked for data and before the server looks for silence.
    boost::asio::steady_timer earlier(context, std::chrono::steady_clock::now() - 1h);
    earlier.async_wait([&](boost::system::error_code) { boost::asio::write(peer, boost::asio::buffer(preface)); });
    std::this_thread::sleep_for(20ms);
    REQUIRE(runUntil(
        context, [&] { return server.counters().bytesReceived > 0 || server.counters().receiveTimeouts > 0; }));
    CHECK(server.counters().receiveTimeouts == 0);
}

TEST_CASE("client and server may end inside their own callbacks", "[stream]")
{
    boost::asio::io_context context;
    std::unique_ptr<StreamServer> server;
    server = std::make_unique<StreamServer>(context, anyPort, [&](auto path, auto, const StreamReplyCallback& reply) {
        if (path == "/end")
            server.reset();
        reply(std::string("ok"));
    });
    REQUIRE(server->listen().ok());
    auto first = std::make_unique<StreamClient>(context, server->endpoint(), Random(1));
    auto second = std::make_unique<StreamClient>(context, server->endpoint(), Random(2));
    auto third = std::make_unique<StreamClient>(context, server->endpoint(), Random(3));
    first->post("/", "", 1h, [&](auto) { first.reset(); });
    first->post("/", "", 1h, [](auto) {});
    REQUIRE(runUntil(context, [&] { return !first; }));
    Answer cancelled;
    Answer after;
    third->post("/", "", 1h, cancelled.callback());
    third->stop();
    third->post("/", "", 1h, after.callback());
    second->post("/end", "", 1h, [&](const absl::StatusOr<std::string>& result) {
        CHECK(result.status().code() == absl::StatusCode::kUnavailable);
        second.reset();
    });
    REQUIRE(runUntil(context, [&] { return !second && !server && cancelled.result && after.result; }));
    CHECK(cancelled.code() == absl::StatusCode::kCancelled);
    CHECK(after.code() == absl::StatusCode::kCancelled);
}

TEST_CASE("bad peers are closed and counted, others are still served", "[stream]")
{
    StreamServerOptions options;
    options.limits.maxBodyBytes = 100;
    options.limits.maxStreams = 4;
    options.limits.pingInterval = 10ms;
    options.limits.bodyTimeout = 1s;
    std::string manyStreams = preface + frame(4, 1, 0, "");
    for (uint32_t i = 0; i < 2000; ++i)
        manyStreams += requestHeaders(2 * i + 1);
    const std::vector<std::pair<std::string, std::string>> cases {
        { "garbage", "GET / HTTP/1.1\r\n\r\n" },
        { "oversized body", preface + requestHeaders(1) + frame(0, 0, 1, std::string(101, 'x')) },
        { "oversized frame", preface + frame(0, 0, 1, std::string(20000, 'x')) },
        { "too many streams", manyStreams },
        { "body that never ends", preface + requestHeaders(1) + frame(0, 0, 1, "x") },
        { "data on a stream that was not opened", preface + frame(0, 0, 1, "x") },
    };
    boost::asio::io_context context;
    size_t faults = 0;
    options.onPeerError = [&](const Tcp::endpoint&, const absl::Status& status) {
        CHECK_FALSE(status.ok());
        ++faults;
    };
    StreamServer server(context, anyPort, echo, options);
    REQUIRE(server.listen().ok());
    for (const auto& [name, bytes] : cases) {
        INFO(name);
        Tcp::socket socket(context);
        socket.connect(server.endpoint());
        RawPeer peer(std::move(socket));
        const size_t before = faults;
        peer.send(bytes);
        REQUIRE(runUntil(context, [&] { return peer.ended; }));
        CHECK(faults == before + 1);
        CHECK(server.counters().peerErrors == faults);
        CHECK(server.openBytes() == 0);
        StreamClient client(context, server.endpoint(), Random(1));
        Answer answer;
        client.post("/p", "q", 1h, answer.callback());
        REQUIRE(runUntil(context, [&] { return answer.result.has_value(); }));
        CHECK(**answer.result == "/pq");
    }
}

TEST_CASE("connections beyond the bound are closed at once", "[stream]")
{
    boost::asio::io_context context;
    StreamServer server(context, anyPort, echo, { {}, 1, {} });
    REQUIRE(server.listen().ok());
    Tcp::socket first(context);
    first.connect(server.endpoint());
    REQUIRE(runUntil(context, [&] { return server.connectionCount() == 1; }));
    Tcp::socket second(context);
    second.connect(server.endpoint());
    RawPeer peer(std::move(second));
    peer.read();
    REQUIRE(runUntil(context, [&] { return peer.ended; }));
    CHECK(server.counters().refused == 1);
    CHECK(server.connectionCount() == 1);
}

TEST_CASE("the delay before connecting grows, is bounded and varies", "[stream]")
{
    Backoff backoff(Random(9), { 100ms, 1000ms });
    CHECK(backoff.next() <= 100ms);
    for (const auto& longest : { 200ms, 400ms, 800ms, 1000ms, 1000ms, 1000ms }) {
        const auto delay = backoff.next();
        CHECK(delay <= longest);
        CHECK(delay >= longest / 2);
    }
    backoff.reset();
    CHECK(backoff.next() <= 100ms);
}
