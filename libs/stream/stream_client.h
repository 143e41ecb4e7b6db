// Sends requests to one other process over one HTTP/2 connection. The connection is opened for the first request and,
// after it was lost, reopened with a jittered exponential delay.
//
//     StreamClient client(context, endpoint, Random(seed));
//     client.post("/announce", bytes, std::chrono::seconds(2), [&](absl::StatusOr<std::string> answer) {
//         if (answer.ok())
//             lease.renew(*answer);
//     });
//
// Use the client only on the thread that runs the io_context. Callbacks run there too, never inside post().
#pragma once

#include "core/random.h"
#include "stream/backoff.h"
#include "stream/stream_types.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cicadaward {

using StreamCallback = std::function<void(absl::StatusOr<std::string>)>;

struct StreamClientOptions {
    StreamLimits limits;
    BackoffLimits backoff;
    std::chrono::milliseconds connectTimeout { 1000 }; // for one attempt
    size_t maxOpenRequests = 1024; // waiting for a connection or for an answer
};

class StreamClient {
public:
    StreamClient(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& endpoint, Random random,
        StreamClientOptions options = {});
    // Drops open requests without calling their callbacks.
    ~StreamClient();
    StreamClient(const StreamClient&) = delete;
    StreamClient& operator=(const StreamClient&) = delete;

    // `path` starts with "/" and has at most 1,024 bytes. Calls `callback` once, with the reply or with
    // - ResourceExhausted: too many requests or bytes are open here, or the body is too large; nothing was sent
    // - DeadlineExceeded: no answer within `timeout`; the peer may have handled the request
    // - Unavailable: the connection was lost after sending; the peer may have handled the request
    // - any other error: the handler of the peer replied with it (and it may reply with those above)
    // A request that waits for a connection stays in the queue until its timeout.
    void post(std::string path, std::string body, std::chrono::milliseconds timeout, StreamCallback callback);

    // Closes the connection and calls the callbacks of all open requests with Cancelled; later requests fail likewise.
    void stop();

    bool isConnected() const;
    size_t openRequests() const;
    size_t openBytes() const; // of all bodies held
    const StreamCounters& counters() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadaward
