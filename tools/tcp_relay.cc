#include "tcp_relay.h"

#include "tcp_relay_connection.h"

namespace cicadaward {

namespace detail {

    constexpr size_t maxConnections = 1024; // further ones are closed at once

    boost::asio::ip::tcp::endpoint tcpEndpoint(Endpoint endpoint)
    {
        return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
    }

} // namespace detail

TcpRelay::TcpRelay(boost::asio::io_context& context, Endpoint listen, Endpoint target, uint64_t seed)
    : m_context(context)
    , m_target(detail::tcpEndpoint(target))
    , m_policy(seed)
    , m_acceptor(context)
{
    boost::system::error_code error;
    m_acceptor.open(boost::asio::ip::tcp::v4(), error);
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(detail::tcpEndpoint(listen), error);
    if (!error)
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        m_status = absl::UnavailableError(
            "cannot listen on TCP port " + std::to_string(listen.port) + ": " + error.message());
        return;
    }
    accept();
}

TcpRelay::~TcpRelay()
{
    for (const auto& connection : m_connections)
        connection->close();
}

Endpoint TcpRelay::localEndpoint() const
{
    boost::system::error_code error;
    auto endpoint = m_acceptor.local_endpoint(error);
    return error ? Endpoint {} : Endpoint { endpoint.address().to_v4().to_uint(), endpoint.port() };
}

void TcpRelay::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        m_connections.remove_if([](const auto& each) { return each->isClosed(); });
        if (!error && m_connections.size() < detail::maxConnections) {
            auto connection = std::make_shared<TcpRelayConnection>(*this, std::move(socket));
            m_connections.push_back(connection);
            connection->advance();
        }
        accept();
    });
}

void TcpRelay::change(const FaultSettings& settings)
{
    m_policy.change(settings);
    for (const auto& connection : m_connections)
        connection->advance();
}

void TcpRelay::resetConnections()
{
    for (const auto& connection : m_connections)
        connection->reset();
}

} // namespace cicadaward
