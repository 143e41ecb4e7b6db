// HTTP/1.1 client for one server (the local target), on Boost.Beast. Each call has a number; its result names it.
//
//     HttpClient client(context, { address, 9000 }, 64);
//     client.send(7, request, std::chrono::seconds(2), [](uint64_t call, HttpResult result) { ... });
//     client.cancel(7); // closes the connection of call 7; its handler is not called
//
// A connection is reused only after a complete response. After a timeout, a cancellation or a malformed response it is
// closed, so that a late response cannot be taken for that of the next call. Not thread-safe; use it on the event
// loop's thread.
#pragma once

#include "core/clock.h"
#include "directory/directory.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace cicadaward {

enum class HttpFailure : uint8_t {
    ConnectionRefused, // no process listens on the port; no byte was sent
    FailedBeforeSend, // any other failure before the first byte was written
    FailedAfterSend, // failure after the first byte was written; the server may have processed the request
    TimedOut, // no complete response in time; the server may have processed the request
};

using HttpClientRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpClientResponse = boost::beast::http::response<boost::beast::http::string_body>;
using HttpResult = std::variant<HttpClientResponse, HttpFailure>;

class HttpClient {
public:
    using Handler = std::function<void(uint64_t call, HttpResult)>;

    // `maxIdleConnections`: connections kept open between calls. A response body above `maxBodyBytes` counts as
    // FailedAfterSend.
    HttpClient(boost::asio::io_context&, Endpoint server, size_t maxIdleConnections, size_t maxBodyBytes = 8 << 20);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    void send(uint64_t call, HttpClientRequest request, Duration timeout, Handler handler);
    void cancel(uint64_t call);
    size_t pendingCallCount() const { return m_calls.size(); }

private:
    class Connection;
    friend class Connection;

    void handleCallFinished(uint64_t call, const std::shared_ptr<Connection>&, bool reusable);

    boost::asio::io_context& m_context;
    Endpoint m_server;
    size_t m_maxIdleConnections;
    size_t m_maxBodyBytes;
    std::vector<std::shared_ptr<Connection>> m_idleConnections;
    std::map<uint64_t, std::shared_ptr<Connection>> m_calls;
};

} // namespace cicadaward
