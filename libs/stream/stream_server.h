// Answers requests from other processes over HTTP/2.
//
//     StreamServer server(context, endpoint, [&](std::string path, std::string body, StreamReplyCallback reply) {
//         if (path == "/announce")
//             reply(announce(body));
//         else if (path == "/watch")
//             watchers.push_back(reply); // answered later
//         else
//             reply(absl::NotFoundError("no such path"));
//     });
//     if (absl::Status status = server.listen(); !status.ok())
//         return fail(status);
//     context.run();
//
// Use the server, and call replies, only on the thread that runs the io_context.
#pragma once

#include "stream/stream_types.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cicadaward {

// May be called at any later time, also when the connection or the server is gone; further calls are ignored. A request
// whose reply is never called stays open until the client gives up.
using StreamReplyCallback = std::function<void(absl::StatusOr<std::string>)>;

using StreamHandler = std::function<void(std::string path, std::string body, StreamReplyCallback reply)>;

struct StreamServerOptions {
    StreamLimits limits;
    size_t maxConnections = 1024; // further ones are closed at once
    // Called when a connection is closed because of what the peer sent; may be empty.
    std::function<void(const boost::asio::ip::tcp::endpoint& peer, const absl::Status& status)> onPeerError;
};

class StreamServer {
public:
    StreamServer(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& endpoint,
        StreamHandler handler, StreamServerOptions options = {});
    // Stops the server.
    ~StreamServer();
    StreamServer(const StreamServer&) = delete;
    StreamServer& operator=(const StreamServer&) = delete;

    // Unavailable when the endpoint cannot be bound.
    absl::Status listen();

    // The bound endpoint; port 0 in the constructor selects a free port.
    boost::asio::ip::tcp::endpoint endpoint() const;

    // Closes all connections; the handler is not called again.
    void stop();

    size_t connectionCount() const;
    size_t openBytes() const; // of all bodies held
    const StreamCounters& counters() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadaward
