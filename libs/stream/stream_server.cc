#include "stream/stream_server.h"
#include "stream/connection.h"
#include "stream/status_codes.h"

#include <boost/asio/steady_timer.hpp>
#include <unordered_set>

namespace cicadaward {

using detail::Connection;
using detail::Tcp;

class StreamServer::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(boost::asio::io_context& context, const Tcp::endpoint& endpoint, StreamHandler handler,
        StreamServerOptions options)
        : m_endpoint(endpoint)
        , m_handler(std::move(handler))
        , m_options(std::move(options))
        , m_shared(std::make_shared<detail::ConnectionShared>())
        , m_acceptor(context)
        , m_retryTimer(context)
    {
        m_shared->limits = m_options.limits;
        m_shared->budget.limit = m_options.limits.maxOpenBytes;
    }

    absl::Status listen()
    {
        boost::system::error_code error;
        m_acceptor.open(m_endpoint.protocol(), error);
        if (!error)
            m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(m_endpoint, error);
        if (!error)
            m_acceptor.listen(Tcp::acceptor::max_listen_connections, error);
        if (error) {
            return absl::UnavailableError("cannot listen on " + m_endpoint.address().to_string() + ":"
                + std::to_string(m_endpoint.port()) + ": " + error.message());
        }
        m_endpoint = m_acceptor.local_endpoint(error);
        accept();
        return absl::OkStatus();
    }

    void stop()
    {
        m_isStopped = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel(ignored);
        const auto connections = std::move(m_connections);
        m_connections.clear();
        for (const std::shared_ptr<Connection>& connection : connections)
            connection->closeWithoutEvents();
    }

    const Tcp::endpoint& endpoint() const { return m_endpoint; }
    size_t connectionCount() const { return m_connections.size(); }
    const detail::ConnectionShared& shared() const { return *m_shared; }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, Tcp::socket socket) {
            if (self->m_isStopped)
                return;
            // Accepting fails, for example, when no file descriptor is left; connections that end will free some.
            if (error)
                return self->scheduleAccept();
            self->addConnection(std::move(socket));
            self->accept();
        });
    }

    void scheduleAccept()
    {
        m_retryTimer.expires_after(std::chrono::milliseconds(100));
        m_retryTimer.async_wait([self = shared_from_this()](boost::system::error_code) {
            if (!self->m_isStopped)
                self->accept();
        });
    }

    void addConnection(Tcp::socket socket)
    {
        if (m_connections.size() >= m_options.maxConnections) {
            ++m_shared->counters.refused;
            return;
        }
        const auto connection
            = std::make_shared<Connection>(std::move(socket), detail::ConnectionRole::Server, m_shared,
                [weak = weak_from_this()](const std::shared_ptr<Connection>& from, detail::ConnectionEvent event) {
                    if (const auto self = weak.lock(); self && !self->m_isStopped)
                        std::visit([&](auto& kind) { self->handleEvent(from, kind); }, event);
                });
        m_connections.insert(connection);
        connection->start();
    }

    void handleEvent(const std::shared_ptr<Connection>& connection, detail::MessageReceived& message)
    {
        ++m_shared->counters.requests;
        if (message.method != "POST")
            return connection->sendReply(message.stream, 405, "only POST is supported");
        StreamReplyCallback reply
            = [weak = std::weak_ptr<Connection>(connection), stream = message.stream,
                  maxReplyBytes = m_options.limits.maxBodyBytes](absl::StatusOr<std::string> result) {
                  const auto target = weak.lock();
                  if (!target)
                      return;
                  if (result.ok() && result->size() > maxReplyBytes)
                      result = absl::InternalError("the reply exceeds the limit of a body");
                  if (result.ok())
                      target->sendReply(stream, 200, *std::move(result));
                  else
                      target->sendReply(
                          stream, detail::toHttpStatus(result.status().code()), std::string(result.status().message()));
              };
        m_handler(std::move(message.path), std::move(message.body), std::move(reply));
    }

    void handleEvent(const std::shared_ptr<Connection>&, detail::StreamFailed&) { }

    void handleEvent(const std::shared_ptr<Connection>& connection, detail::ConnectionClosed& closed)
    {
        m_connections.erase(connection);
        if (closed.status.code() == absl::StatusCode::kInvalidArgument && m_options.onPeerError)
            m_options.onPeerError(connection->peer(), closed.status);
    }

    Tcp::endpoint m_endpoint;
    const StreamHandler m_handler;
    const StreamServerOptions m_options;
    const std::shared_ptr<detail::ConnectionShared> m_shared;
    Tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    std::unordered_set<std::shared_ptr<Connection>> m_connections;
    bool m_isStopped = false;
};

StreamServer::StreamServer(
    boost::asio::io_context& context, const Tcp::endpoint& endpoint, StreamHandler handler, StreamServerOptions options)
    : m_implementation(std::make_shared<Implementation>(context, endpoint, std::move(handler), std::move(options)))
{
}

StreamServer::~StreamServer() { stop(); }

absl::Status StreamServer::listen() { return m_implementation->listen(); }

boost::asio::ip::tcp::endpoint StreamServer::endpoint() const { return m_implementation->endpoint(); }

void StreamServer::stop() { m_implementation->stop(); }

size_t StreamServer::connectionCount() const { return m_implementation->connectionCount(); }

size_t StreamServer::openBytes() const { return m_implementation->shared().budget.used; }

const StreamCounters& StreamServer::counters() const { return m_implementation->shared().counters; }

} // namespace cicadaward
