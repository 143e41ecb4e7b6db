// Shared by the tests of this library: waiting for a condition, hand-written HTTP/2 frames and a peer that sends them.
#pragma once

#include "stream/stream_client.h"
#include "stream/stream_server.h"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

namespace cicadaward::streamtest {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

inline const Tcp::endpoint anyPort { boost::asio::ip::address_v4::loopback(), 0 };

// Runs until the condition holds. The guard only ends a test that hangs.
template <typename Condition> bool runUntil(boost::asio::io_context& context, Condition condition)
{
    const auto guard = std::chrono::steady_clock::now() + 60s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > guard)
            return false;
        context.restart();
        context.run_one_for(10ms);
    }
    return true;
}

struct Answer {
    std::optional<absl::StatusOr<std::string>> result;

    StreamCallback callback()
    {
        return [this](absl::StatusOr<std::string> value) {
            REQUIRE_FALSE(result);
            result = std::move(value);
        };
    }
    absl::StatusCode code() const { return result->status().code(); }
};

// Replies with path and body, after the error that the path names.
inline void echo(const std::string& path, const std::string& body, const StreamReplyCallback& reply)
{
    if (path == "/missing")
        reply(absl::NotFoundError("no such path"));
    else if (path == "/broken")
        reply(absl::DataLossError("broken"));
    else
        reply(path + body);
}

inline std::string frame(uint8_t type, uint8_t flags, uint32_t stream, const std::string& payload)
{
    const size_t size = payload.size();
    std::string bytes { static_cast<char>(size >> 16), static_cast<char>(size >> 8), static_cast<char>(size),
        static_cast<char>(type), static_cast<char>(flags), static_cast<char>(stream >> 24),
        static_cast<char>(stream >> 16), static_cast<char>(stream >> 8), static_cast<char>(stream) };
    return bytes + payload;
}

inline const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "");

// HEADERS of "POST / http", indexed, with the authority "h", without END_STREAM.
inline std::string requestHeaders(uint32_t stream) { return frame(1, 4, stream, "\x83\x84\x86\x41\x01h"); }

// A peer that sends given bytes and records what it receives until the connection ends.
struct RawPeer {
    explicit RawPeer(Tcp::socket raw)
        : socket(std::move(raw))
    {
    }

    void send(std::string bytes)
    {
        buffer = std::move(bytes);
        boost::asio::async_write(socket, boost::asio::buffer(buffer), [](boost::system::error_code, size_t) {});
        read();
    }

    void read()
    {
        socket.async_read_some(boost::asio::buffer(input), [this](boost::system::error_code error, size_t size) {
            received.append(input.data(), size);
            if (error)
                ended = true;
            else
                read();
        });
    }

    Tcp::socket socket;
    std::string buffer;
    std::array<char, 4096> input {};
    std::string received;
    bool ended = false;
};

} // namespace cicadaward::streamtest
