// The server may close an idle connection at any time. A call that fails on a reused connection before the first byte
// of the response counts as FailedAfterSend, because it is unknown whether the server has received the request. To make
// this rare, the most recently used connection is taken first, and a connection that the server has closed is detected
// before it is used.

#include "net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>

namespace cicadaward {

namespace detail {

    namespace http = boost::beast::http;

    // Returns true when the peer has closed the connection or has sent bytes without a request.
    bool isStale(boost::asio::ip::tcp::socket& socket)
    {
        char byte;
        boost::system::error_code error;
        socket.non_blocking(true, error);
        socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
        return error != boost::asio::error::would_block;
    }

} // namespace detail

class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
public:
    Connection(HttpClient& owner, size_t maxBodyBytes)
        : m_owner(&owner)
        , m_stream(owner.m_context)
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

    bool isUsable() { return m_connected && !detail::isStale(m_stream.socket()); }

    void start(uint64_t call, HttpClientRequest request, Duration timeout, Handler handler)
    {
        m_call = call;
        m_handler = std::move(handler);
        m_request = std::move(request);
        m_request.keep_alive(true);
        m_parser.emplace();
        m_parser->body_limit(m_maxBodyBytes);
        m_stream.expires_after(timeout);
        if (m_connected) {
            write();
            return;
        }
        boost::asio::ip::tcp::endpoint server(
            boost::asio::ip::address_v4(m_owner->m_server.address), m_owner->m_server.port);
        m_stream.async_connect(server, [self = shared_from_this()](boost::system::error_code error) {
            if (error) {
                self->fail(error, true);
                return;
            }
            self->m_connected = true;
            self->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
            self->write();
        });
    }

    // No handler is called afterwards.
    void closeWithoutCallback()
    {
        m_owner = nullptr;
        m_handler = nullptr;
        m_stream.close();
    }

private:
    void write()
    {
        detail::http::async_write(
            m_stream, m_request, [self = shared_from_this()](boost::system::error_code error, size_t written) {
                if (error)
                    self->fail(error, written == 0);
                else
                    self->read();
            });
    }

    void read()
    {
        detail::http::async_read(
            m_stream, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code error, size_t) {
                if (error)
                    self->fail(error, false);
                else
                    self->succeed();
            });
    }

    void succeed()
    {
        if (!m_owner)
            return;
        bool reusable = m_parser->get().keep_alive();
        m_stream.expires_never();
        finish(m_parser->release(), reusable);
    }

    void fail(boost::system::error_code error, bool isNothingSent)
    {
        if (!m_owner)
            return;
        m_connected = false;
        HttpFailure failure = HttpFailure::FailedAfterSend;
        if (isNothingSent)
            failure = error == boost::asio::error::connection_refused ? HttpFailure::ConnectionRefused
                                                                      : HttpFailure::FailedBeforeSend;
        else if (error == boost::beast::error::timeout)
            failure = HttpFailure::TimedOut;
        m_stream.close();
        finish(failure, false);
    }

    void finish(HttpResult result, bool reusable)
    {
        Handler handler = std::move(m_handler);
        uint64_t call = m_call;
        m_owner->handleCallFinished(call, shared_from_this(), reusable);
        handler(call, std::move(result));
    }

    HttpClient* m_owner;
    boost::beast::tcp_stream m_stream;
    size_t m_maxBodyBytes;
    bool m_connected = false;
    uint64_t m_call = 0;
    Handler m_handler;
    HttpClientRequest m_request;
    boost::beast::flat_buffer m_buffer;
    std::optional<detail::http::response_parser<detail::http::string_body>> m_parser;
};

HttpClient::HttpClient(
    boost::asio::io_context& context, Endpoint server, size_t maxIdleConnections, size_t maxBodyBytes)
    : m_context(context)
    , m_server(server)
    , m_maxIdleConnections(maxIdleConnections)
    , m_maxBodyBytes(maxBodyBytes)
{
}

HttpClient::~HttpClient()
{
    for (auto& [call, connection] : m_calls)
        connection->closeWithoutCallback();
    for (auto& connection : m_idleConnections)
        connection->closeWithoutCallback();
}

void HttpClient::send(uint64_t call, HttpClientRequest request, Duration timeout, Handler handler)
{
    std::shared_ptr<Connection> connection;
    while (!connection && !m_idleConnections.empty()) {
        connection = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
        if (!connection->isUsable()) {
            connection->closeWithoutCallback();
            connection.reset();
        }
    }
    if (!connection)
        connection = std::make_shared<Connection>(*this, m_maxBodyBytes);
    m_calls[call] = connection;
    connection->start(call, std::move(request), timeout, std::move(handler));
}

void HttpClient::cancel(uint64_t call)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    found->second->closeWithoutCallback();
    m_calls.erase(found);
}

void HttpClient::handleCallFinished(uint64_t call, const std::shared_ptr<Connection>& connection, bool reusable)
{
    m_calls.erase(call);
    if (reusable && m_idleConnections.size() < m_maxIdleConnections)
        m_idleConnections.push_back(connection);
}

} // namespace cicadaward
