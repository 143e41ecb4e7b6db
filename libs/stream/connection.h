// One HTTP/2 connection, of a server or a client: nghttp2's session, the socket, keep-alive and the memory bounds.
// Internal to the library.
//
// nghttp2 reports through C callbacks, in which its session must not be written or ended. The callbacks therefore only
// collect events; the handler gets them after nghttp2 has returned and may do anything, including abandon(). No event
// is delivered inside a call of the public functions, except start().
#pragma once

#include "stream/stream_types.h"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cicadaward::detail {

using Tcp = boost::asio::ip::tcp;

// Bytes of bodies held by all connections of one server or client.
struct ByteBudget {
    size_t limit = 0;
    size_t used = 0;

    bool tryReserve(size_t bytes)
    {
        if (bytes > limit - used)
            return false;
        used += bytes;
        return true;
    }
    void release(size_t bytes) { used -= bytes; }
};

// State that the connections of one server or client share. It lives as long as the last of them.
struct ConnectionShared {
    StreamLimits limits;
    StreamCounters counters;
    ByteBudget budget;
};

struct MessageReceived {
    int32_t stream;
    std::string method; // of a request
    std::string path; // of a request
    int status; // of a reply
    std::string body;
};

struct StreamFailed {
    int32_t stream;
    absl::Status status;
};

// The last event of a connection.
struct ConnectionClosed {
    absl::Status status;
};

using ConnectionEvent = std::variant<MessageReceived, StreamFailed, ConnectionClosed>;

enum class ConnectionRole {
    Server,
    Client,
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    using Handler = std::function<void(const std::shared_ptr<Connection>&, ConnectionEvent)>;

    Connection(Tcp::socket socket, ConnectionRole role, std::shared_ptr<ConnectionShared> shared, Handler handler);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void start();

    // Closes without further events.
    void closeWithoutEvents();

    // Moves from `body` and returns the stream id. When the connection accepts no more requests, returns a negative
    // number, leaves `body` unchanged and closes soon.
    int32_t sendRequest(const std::string& path, std::string& body);

    // Ignored when the stream has ended or already has a reply.
    void sendReply(int32_t stream, int status, std::string body);

    // Resets a stream; no further event of it follows.
    void cancel(int32_t stream);

    const Tcp::endpoint& peer() const { return m_peer; }

private:
    struct Stream {
        MessageReceived incoming;
        bool isComplete = false; // the incoming message
        bool isSending = false;
        size_t reservedBytes = 0; // bytes taken from the budget
        std::string outgoing;
        size_t sentBytes = 0; // bytes of `outgoing`
        std::chrono::steady_clock::time_point transferStart; // of the body that is being received or sent
    };
    struct Callbacks;

    void waitForData();
    void receive();
    void flush();
    void scheduleFlush();
    void scheduleTimeoutCheck();
    void checkTimeouts();
    void fail(absl::Status status);
    void closeSocket();
    void dispatch();
    void releaseStream(int32_t stream);
    bool hasUnreadData() const;
    bool hasStalledBody(std::chrono::steady_clock::time_point now) const;

    Tcp::socket m_socket;
    Tcp::endpoint m_peer;
    const ConnectionRole m_role;
    const std::shared_ptr<ConnectionShared> m_shared;
    const Handler m_handler;
    boost::asio::steady_timer m_timer;
    nghttp2_session* m_session = nullptr;
    std::unordered_map<int32_t, Stream> m_streams;
    std::vector<ConnectionEvent> m_events;
    std::string m_writeBuffer;
    std::string m_peerError; // set when the session ends because of an error of the peer
    std::chrono::steady_clock::time_point m_lastReceived;
    bool m_isWriting = false;
    bool m_isFlushPosted = false;
    bool m_isClosed = false;
    bool m_shouldDiscardEvents = false;
    bool m_isDispatching = false;
    bool m_hasReceivedGoaway = false;
};

} // namespace cicadaward::detail
