// Small asynchronous HTTP/1.1 server for the stand-ins, on Boost.Beast. The handler may answer later.
//
//     HttpServer server(context, { address, 9000 }, [](const HttpRequest& request, HttpReply reply) {
//         reply(200, "text/plain", "hello\n");
//     });
#pragma once

#include "directory/directory.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>

namespace cicadaward {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpReply = std::function<void(unsigned status, std::string contentType, std::string body)>;
using HttpHandler = std::function<void(const HttpRequest&, HttpReply)>;

class HttpServer {
public:
    HttpServer(boost::asio::io_context&, Endpoint listen, HttpHandler);

    const absl::Status& status() const { return m_status; }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    absl::Status m_status;
};

} // namespace cicadaward
