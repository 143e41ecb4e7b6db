#include "net/http_server.h"

#include <boost/beast/core.hpp>
#include <memory>

namespace cicadaward {

namespace detail {

    namespace http = boost::beast::http;

    constexpr auto transferTimeout = std::chrono::seconds(10);
    // Long enough for clients that reuse connections between requests, such as the agent's HttpClient.
    constexpr auto idleTimeout = std::chrono::seconds(60);

    class HttpSession : public std::enable_shared_from_this<HttpSession> {
    public:
        HttpSession(boost::asio::ip::tcp::socket&& socket, HttpHandler& handler, std::shared_ptr<size_t> sessionCount)
            : m_stream(std::move(socket))
            , m_handler(handler)
            , m_sessionCount(std::move(sessionCount))
        {
            ++*m_sessionCount;
        }
        ~HttpSession() { --*m_sessionCount; }
        HttpSession(const HttpSession&) = delete;
        HttpSession& operator=(const HttpSession&) = delete;

        // Waits for the first byte with the idle limit, then for the rest with the transfer limit.
        void waitForRequest()
        {
            if (m_buffer.size() > 0) {
                read();
                return;
            }
            m_stream.expires_after(idleTimeout);
            m_stream.async_read_some(
                m_buffer.prepare(4096), [self = shared_from_this()](boost::system::error_code error, size_t size) {
                    self->m_buffer.commit(size);
                    if (!error)
                        self->read();
                });
        }

        void read()
        {
            m_parser.emplace();
            m_parser->body_limit(maxHttpBodyBytes);
            m_stream.expires_after(transferTimeout);
            http::async_read(
                m_stream, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code error, size_t) {
                    if (!error)
                        self->handleRequest();
                    else if (error == http::error::body_limit)
                        self->rejectRequest(413, "text/plain", "the body is larger than the limit\n");
                });
        }

    private:
        void handleRequest()
        {
            m_request = m_parser->release();
            m_stream.expires_never();
            m_handler(
                m_request, [self = shared_from_this()](unsigned status, const std::string& type, std::string body) {
                    self->write(status, type, std::move(body));
                });
        }

        // The rest of the request is not read, so the connection cannot be reused.
        void rejectRequest(unsigned status, const std::string& contentType, std::string body)
        {
            m_request = {};
            m_request.keep_alive(false);
            write(status, contentType, std::move(body));
        }

        void write(unsigned status, const std::string& contentType, std::string body)
        {
            m_response = {};
            m_response.version(11);
            m_response.result(status);
            if (status / 100 == 3) {
                m_response.set(http::field::location, body);
                body.clear();
            }
            m_response.set(http::field::content_type, contentType);
            m_response.body() = std::move(body);
            m_response.keep_alive(m_request.keep_alive());
            m_response.prepare_payload();
            m_stream.expires_after(transferTimeout);
            http::async_write(
                m_stream, m_response, [self = shared_from_this()](boost::system::error_code error, size_t) {
                    if (!error && self->m_response.keep_alive())
                        self->waitForRequest();
                });
        }

        boost::beast::tcp_stream m_stream;
        HttpHandler& m_handler;
        boost::beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::string_body>> m_parser;
        HttpRequest m_request;
        http::response<http::string_body> m_response;
        std::shared_ptr<size_t> m_sessionCount;
    };

} // namespace detail

HttpServer::HttpServer(boost::asio::io_context& context, Endpoint listen, HttpHandler handler)
    : m_acceptor(context)
    , m_handler(std::move(handler))
{
    boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4(listen.address), listen.port);
    boost::system::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        m_status = absl::UnavailableError(
            "cannot listen on TCP port " + std::to_string(listen.port) + ": " + error.message());
        return;
    }
    accept();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error && *m_sessionCount < maxHttpSessions)
            std::make_shared<detail::HttpSession>(std::move(socket), m_handler, m_sessionCount)->waitForRequest();
        accept();
    });
}

} // namespace cicadaward
