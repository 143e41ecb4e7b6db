// Bytes that no correct peer sends. CICADAWARD_FUZZ_SEEDS in the environment sets the number of seeds (default 300).
#include "core/fuzz_support.h"
#include "stream/stream_test_peers.h"

#include <algorithm>
#include <map>
#include <unistd.h>

using namespace cicadaward;
using namespace cicadaward::streamtest;

namespace {

// Changes, cuts, repeats or inserts bytes.
std::string mutate(std::string bytes, Random& random) { return mutateBytes(std::move(bytes), random, 8); }

// Frames with a correct layout and arbitrary contents, half of them on few streams so that they meet.
std::string randomFrames(Random& random)
{
    std::string bytes;
    for (uint64_t i = random.below(40); i > 0; --i) {
        const auto type = static_cast<uint8_t>(random.below(2) == 0 ? random.below(2) : random.below(12));
        const auto flags = static_cast<uint8_t>(random.below(2) == 0 ? random.below(64) : 4);
        const auto stream = static_cast<uint32_t>(random.below(2) == 0 ? random.below(8) : random.next() >> 33);
        const size_t size = std::array<size_t, 6> { 0, 4, 6, 8, 100, 16384 }[random.below(6)];
        std::string payload = type == 1 ? std::string("\x83\x84\x86\x41\x01h") : std::string();
        while (payload.size() < size)
            payload += static_cast<char>(random.below(2) == 0 ? 0 : random.next());
        bytes += frame(type, flags, stream, payload);
    }
    return bytes;
}

} // namespace

TEST_CASE("changed bytes from a client never harm the server", "[stream]")
{
    const std::string valid = preface + frame(4, 1, 0, "") + requestHeaders(1) + frame(0, 1, 1, "body")
        + frame(6, 0, 0, "12345678") + requestHeaders(3) + frame(0, 1, 3, "more")
        + frame(8, 0, 0, std::string("\0\0\1\0", 4));
    StreamServerOptions options;
    options.limits.pingInterval = 5ms;
    options.limits.receiveTimeout = 20ms;
    options.limits.bodyTimeout = 20ms;
    boost::asio::io_context context;
    StreamServer server(context, anyPort, echo, options);
    REQUIRE(server.listen().ok());
    for (uint64_t seed = 1; seed <= fuzzSeedCount(); ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        Tcp::socket socket(context);
        socket.connect(server.endpoint());
        RawPeer peer(std::move(socket));
        peer.send(random.below(2) == 0 ? mutate(valid, random) : mutate(preface + randomFrames(random), random));
        REQUIRE(runUntil(context, [&] { return peer.ended; }));
    }
    REQUIRE(runUntil(context, [&] { return server.connectionCount() == 0; }));
    CHECK(server.openBytes() == 0);
}

TEST_CASE("changed bytes from a server never harm the client", "[stream]")
{
    // 0x88 is ":status: 200" in indexed form.
    const std::string valid
        = frame(4, 0, 0, "") + frame(4, 1, 0, "") + frame(1, 4, 1, "\x88") + frame(0, 1, 1, "answer");
    StreamClientOptions options;
    options.limits.pingInterval = 5ms;
    options.limits.receiveTimeout = 20ms;
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, anyPort);
    for (uint64_t seed = 1; seed <= fuzzSeedCount(); ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        // The unchanged answer of seed 1 must arrive however slow the machine is.
        StreamClient client(
            context, acceptor.local_endpoint(), Random(seed), seed == 1 ? StreamClientOptions() : options);
        Answer answer;
        client.post("/", "body", 1h, answer.callback());
        std::unique_ptr<RawPeer> peer;
        acceptor.async_accept([&](boost::system::error_code error, Tcp::socket socket) {
            REQUIRE_FALSE(error);
            peer = std::make_unique<RawPeer>(std::move(socket));
            if (seed == 1)
                peer->send(valid);
            else if (random.below(2) == 0)
                peer->send(mutate(valid, random));
            else
                peer->send(mutate(frame(4, 0, 0, "") + randomFrames(random), random));
        });
        REQUIRE(runUntil(context, [&] { return answer.result.has_value(); }));
        CHECK((seed > 1 || answer.result->ok()));
        client.stop();
        REQUIRE(runUntil(context, [&] { return !peer || peer->ended; }));
        CHECK(client.openBytes() == 0);
    }
}

TEST_CASE("every request ends exactly once with its own reply while server and clients come and go", "[stream]")
{
    const boost::asio::ip::address_v4 address(0x7f590000 | (static_cast<uint32_t>(::getpid()) & 0xffff));
    for (uint64_t seed = 1; seed <= fuzzSeedCount() / 30; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        boost::asio::io_context context;
        std::vector<std::pair<std::string, StreamReplyCallback>> waiting;
        const StreamHandler handler = [&](const std::string& path, const std::string& body, StreamReplyCallback reply) {
            if (path == "/last" || random.below(2) == 0)
                reply(path + body);
            else if (random.below(10) > 0)
                waiting.emplace_back(path + body, std::move(reply));
        };
        StreamServerOptions serverOptions;
        serverOptions.limits.maxStreams = 5;
        serverOptions.limits.maxOpenBytes = 200000;
        auto server = std::make_unique<StreamServer>(context, Tcp::endpoint(address, 0), handler, serverOptions);
        REQUIRE(server->listen().ok());
        const Tcp::endpoint endpoint = server->endpoint();
        StreamClientOptions options;
        options.backoff = { 1ms, 5ms };
        options.maxOpenRequests = 50;
        options.limits.maxOpenBytes = 500000;
        std::array<std::unique_ptr<StreamClient>, 3> clients;
        std::map<uint64_t, size_t> ends; // by request
        std::map<uint64_t, size_t> dropped; // by request, those of clients that were destroyed
        uint64_t last = 0;
        for (int step = 0; step < 2000; ++step) {
            const size_t pick = random.below(clients.size());
            if (!clients[pick])
                clients[pick] = std::make_unique<StreamClient>(context, endpoint, Random(seed + last), options);
            const uint64_t action = random.below(200);
            if (action == 0) {
                server.reset();
            } else if (action == 1) {
                for (uint64_t id = 1; id <= last; ++id) {
                    if (id % clients.size() == pick && ends.count(id) == 0)
                        dropped[id] = 1;
                }
                clients[pick].reset();
            } else if (action < 20 && !server) {
                server = std::make_unique<StreamServer>(context, endpoint, handler, serverOptions);
                REQUIRE(server->listen().ok());
            } else if (action < 100) {
                // The number of a request names its client.
                const uint64_t id = last
                    += 1 + (pick + 2 * clients.size() - (last + 1) % clients.size()) % clients.size();
                const std::string body = std::to_string(id) + std::string(random.below(30) == 0 ? 150000 : 10, 'x');
                const auto timeout = std::chrono::milliseconds(random.below(30));
                clients[pick]->post("/", body, timeout, [&, id, body](const absl::StatusOr<std::string>& result) {
                    ++ends[id];
                    CHECK(dropped.count(id) == 0);
                    if (result.ok())
                        CHECK(*result == "/" + body);
                });
            } else if (!waiting.empty()) {
                const size_t index = random.below(waiting.size());
                waiting[index].second(waiting[index].first);
                waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
            }
            context.restart();
            context.poll_one();
        }
        REQUIRE(runUntil(context, [&] {
            return std::all_of(clients.begin(), clients.end(), [](auto& c) { return !c || c->openRequests() == 0; });
        }));
        for (const auto& client : clients)
            CHECK((!client || client->openBytes() == 0));
        for (const auto& [id, count] : ends)
            CHECK(count == 1);
        if (!server) {
            server = std::make_unique<StreamServer>(context, endpoint, handler, serverOptions);
            REQUIRE(server->listen().ok());
        }
        for (auto& client : clients) {
            Answer answer;
            if (!client)
                continue;
            client->post("/last", "", 1h, answer.callback());
            REQUIRE(runUntil(context, [&] { return answer.result.has_value(); }));
            CHECK(answer.result->ok());
        }
        clients = {};
        CHECK(runUntil(context, [&] { return server->connectionCount() == 0 && server->openBytes() == 0; }));
    }
}
