// Small asynchronous HTTP/1.1 server on Boost.Beast. The handler may reply later, on the event loop's thread.
//
//     HttpServer server(context, { address, 9000 }, [](const HttpRequest& request, HttpReplyCallback reply) {
//         reply(200, "text/plain", "hello\n");
//     });
//
// Limits: 8 KiB of header, maxHttpBodyBytes of body, 10 s for a whole request and for writing an answer,
// maxHttpSessions connections; beyond them the connection is closed. A slow client costs a connection and never a
// thread.
#pragma once

#include "directory/directory.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cicadaward {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
// With a status of 3xx, `body` is the value of the Location header.
using HttpReplyCallback = std::function<void(unsigned status, std::string contentType, std::string body)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpReplyCallback)>;

constexpr size_t maxHttpBodyBytes = 2 << 20; // bytes; a manifest has at most 1 MiB
constexpr size_t maxHttpSessions = 256;

class HttpServer {
public:
    HttpServer(boost::asio::io_context&, Endpoint listen, HttpHandler);

    const absl::Status& status() const { return m_status; }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    absl::Status m_status;
    std::shared_ptr<size_t> m_sessionCount = std::make_shared<size_t>(0);
};

} // namespace cicadaward
