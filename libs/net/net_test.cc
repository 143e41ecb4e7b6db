#include "net/http_client.h"
#include "net/http_server.h"
#include "net/tcp_endpoint.h"
#include "net/udp_port.h"
#include "net/waking_ring.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

using namespace cicadaward;

namespace {

// Collects the events of one end point and lets a test wait for a condition on them.
class TcpEventRecorder {
public:
    void add(TcpEvent&& event)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_received[event.connection.value()] += event.data;
        m_events.push_back(std::move(event));
        m_changed.notify_all();
    }

    // The guard only ends a run that hangs; no result depends on the time.
    template <typename Condition> bool wait(Condition condition)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(30), [&] { return condition(m_events, m_received); });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<TcpEvent> m_events;
    std::map<uint64_t, std::string> m_received;
};

} // namespace

TEST_CASE("two addresses exchange a large message although packets are lost", "[net]")
{
    const uint32_t serviceAddress = 0x0a640001;
    const uint32_t callerAddress = 0x0a000001;
    TcpEventRecorder log;
    TcpEndpoint* loop = nullptr;
    // Output runs on lwIP's thread, where input() must not be called; another thread carries the packets back.
    boost::asio::io_context network;
    auto workGuard = boost::asio::make_work_guard(network);
    int count = 0;
    TcpEndpoint endpoint(
        { callerAddress, serviceAddress },
        [&](const uint8_t* data, size_t size) {
            if (++count % 13 == 0)
                return; // lost
            boost::asio::post(network,
                [&, bytes = std::vector<uint8_t>(data, data + size)] { loop->input(bytes.data(), bytes.size()); });
        },
        [&](TcpEvent&& event) { log.add(std::move(event)); });
    loop = &endpoint;
    std::thread networkThread([&] { network.run(); });

    REQUIRE(endpoint.listen(8080).ok());
    auto connection = endpoint.connect(callerAddress, { serviceAddress, 8080 });
    REQUIRE(connection.ok());
    uint64_t accepted = 0;
    REQUIRE(log.wait([&](const auto& events, const auto&) {
        for (const TcpEvent& event : events) {
            if (event.kind == TcpEventKind::Opened && event.connection != *connection)
                accepted = event.connection.value();
        }
        return accepted != 0;
    }));
    std::string message(300'000, 'x');
    message += "end";
    REQUIRE(endpoint.send(*connection, message));
    REQUIRE(log.wait([&](const auto&, const auto& received) {
        auto found = received.find(accepted);
        return found != received.end() && found->second == message;
    }));
    endpoint.close(*connection);
    REQUIRE(log.wait([&](const auto& events, const auto&) {
        return events.back().kind == TcpEventKind::PeerClosed || events.back().kind == TcpEventKind::Closed;
    }));
    endpoint.abort(ConnectionId(accepted));
    CHECK_FALSE(endpoint.send(ConnectionId(accepted), "late"));
    workGuard.reset();
    network.stop();
    networkThread.join();
}

TEST_CASE("a ring wakes its event loop and keeps the order", "[net]")
{
    boost::asio::io_context context;
    auto workGuard = boost::asio::make_work_guard(context);
    int next = 0;
    bool ordered = true;
    WakingRing<int> ring(16, context, [&](int&& value) {
        ordered = ordered && value == next;
        if (++next == 10000)
            context.stop();
    });
    std::thread consumer([&] { context.run(); });
    for (int i = 0; i < 10000;) {
        if (ring.push(int(i)))
            ++i;
        else
            std::this_thread::yield();
    }
    consumer.join();
    CHECK(ordered);
}

TEST_CASE("a UDP port that is in use is an error value", "[net]")
{
    boost::asio::io_context context;
    int received = 0;
    UdpPort first(
        context, { 0x7f000001, 0 }, 100, [&](Endpoint, uint8_t*, size_t size) { received = static_cast<int>(size); });
    REQUIRE(first.status().ok());
    UdpPort second(context, first.localEndpoint(), 100, [](Endpoint, uint8_t*, size_t) {});
    CHECK_FALSE(second.status().ok());
    UdpPort sender(context, { 0x7f000001, 0 }, 100, [](Endpoint, uint8_t*, size_t) {});
    const uint8_t data[] = { 1, 2, 3 };
    REQUIRE(sender.send(first.localEndpoint(), data, sizeof(data)));
    while (received == 0)
        context.run_one();
    CHECK(received == 3);
}

// Guards against losses that no process shows: a receiver that was busy for a while lost whole messages.
TEST_CASE("a UDP port counts the datagrams that its full receive buffer dropped", "[net]")
{
    boost::asio::io_context context;
    uint64_t received = 0;
    UdpPort receiver(context, { 0x7f000001, 0 }, 1400, [&](Endpoint, uint8_t*, size_t) { ++received; });
    UdpPort sender(context, { 0x7f000001, 0 }, 100, [](Endpoint, uint8_t*, size_t) {});
    CHECK(receiver.receiveDrops() == 0);
    constexpr uint64_t sent = 20000; // more than the largest buffer takes
    const std::vector<uint8_t> data(1300);
    for (uint64_t i = 0; i < sent; ++i)
        sender.send(receiver.localEndpoint(), data.data(), data.size());
    while (context.poll() > 0) { }
    CHECK(received + receiver.receiveDrops() + sender.sendFailures() == sent);
    CHECK(receiver.receiveDrops() > 0);
}

TEST_CASE("HTTP calls reach the handler whole, and a body beyond the limit is refused", "[net]")
{
    boost::asio::io_context context;
    const Endpoint endpoint { 0x7f000001, 20991 };
    HttpServer server(context, endpoint, [](const HttpRequest& request, const HttpReplyCallback& reply) {
        reply(200, "text/plain", std::string(request["X-Test"]) + ":" + std::to_string(request.body().size()));
    });
    REQUIRE(server.status().ok());
    HttpClient client(context, endpoint, 1);
    struct Case {
        size_t bodySize;
        unsigned status;
        std::string body;
    };
    const Case cases[]
        = { { 5, 200, "value:5" }, { maxHttpBodyBytes, 200, "value:" + std::to_string(maxHttpBodyBytes) },
              { maxHttpBodyBytes + 1, 413, "the body is larger than the limit\n" }, { 0, 200, "value:0" } };
    uint64_t call = 0;
    for (const Case& c : cases) {
        HttpClientRequest request(boost::beast::http::verb::post, "/", 11);
        request.set("X-Test", "value");
        request.body() = std::string(c.bodySize, 'b');
        request.prepare_payload();
        bool done = false;
        client.send(++call, request, std::chrono::seconds(30), [&](uint64_t, HttpResult result) {
            done = true;
            // The server closes early on an oversized body, so the client may see a reset instead of the answer.
            if (auto* response = std::get_if<HttpClientResponse>(&result)) {
                CHECK(response->result_int() == c.status);
                CHECK(response->body() == c.body);
            } else
                CHECK(c.status == 413);
        });
        while (!done)
            context.run_one();
    }
}

TEST_CASE("a call to a port where nothing listens was not sent", "[net]")
{
    boost::asio::io_context context;
    HttpClient client(context, { 0x7f000001, 1 }, 1);
    bool done = false;
    client.send(1, HttpClientRequest(boost::beast::http::verb::get, "/", 11), std::chrono::seconds(30),
        [&](uint64_t, HttpResult result) {
            done = true;
            REQUIRE(std::holds_alternative<HttpFailure>(result));
            CHECK(std::get<HttpFailure>(result) == HttpFailure::ConnectionRefused);
        });
    while (!done)
        context.run_one();
}
