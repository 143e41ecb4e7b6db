// Cost of requests, bytes of an announcement on the wire and memory of idle connections, over loopback in one thread.
// Usage: build/libs/stream/stream_benchmark
#include "stream/stream_client.h"
#include "stream/stream_server.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace {

using namespace cicadaward;
using Tcp = boost::asio::ip::tcp;

const Tcp::endpoint anyPort { boost::asio::ip::address_v4::loopback(), 0 };

long residentBytes()
{
    std::ifstream file("/proc/self/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

struct EchoServer {
    EchoServer()
        : server(context, anyPort,
            [](const auto&, const std::string& body, const StreamReplyCallback& reply) { reply(body); })
    {
        if (!server.listen().ok())
            std::abort();
    }

    // Posts `count` requests, at most `depth` at a time, and returns the seconds taken.
    double run(StreamClient& client, size_t count, size_t depth, size_t bytes)
    {
        const auto start = std::chrono::steady_clock::now();
        size_t sent = 0;
        size_t done = 0;
        const std::string body(bytes, 'x');
        while (done < count) {
            for (; sent < count && sent - done < depth; ++sent)
                client.post("/announce", body, std::chrono::minutes(1), [&](const auto& result) {
                    done += 1;
                    if (!result.ok())
                        std::abort();
                });
            context.run_one();
        }
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

    boost::asio::io_context context;
    StreamServer server;
};

} // namespace

int main()
{
    for (const size_t bytes : { size_t { 200 }, size_t { 65536 } }) {
        for (const size_t depth : { size_t { 1 }, size_t { 32 } }) {
            EchoServer setup;
            StreamClient client(setup.context, setup.server.endpoint(), Random(1));
            const size_t count = bytes > 1000 ? 3000 : 30000;
            const double seconds = setup.run(client, count, depth, bytes);
            std::printf("%zu bytes each way, %zu at a time: %.1f us per request (client and server)\n", bytes, depth,
                seconds * 1e6 / static_cast<double>(count));
        }
    }
    {
        EchoServer setup;
        StreamClient client(setup.context, setup.server.endpoint(), Random(1));
        setup.run(client, 1, 1, 200);
        const uint64_t before = client.counters().bytesSent + client.counters().bytesReceived;
        setup.run(client, 100, 1, 200);
        const uint64_t after = client.counters().bytesSent + client.counters().bytesReceived;
        std::printf("one request and reply of 200 bytes: %.1f bytes of TCP payload in both directions\n",
            static_cast<double>(after - before) / 100);
    }
    {
        EchoServer setup;
        std::vector<std::unique_ptr<StreamClient>> clients;
        setup.context.poll();
        const long before = residentBytes();
        constexpr size_t count = 431;
        for (size_t i = 0; i < count; ++i) {
            clients.push_back(std::make_unique<StreamClient>(setup.context, setup.server.endpoint(), Random(i)));
            setup.run(*clients.back(), 1, 1, 200);
        }
        std::printf("%zu idle connections: %.1f KB each, client and server end together\n", count,
            static_cast<double>(residentBytes() - before) / 1024 / count);
    }
    return 0;
}
