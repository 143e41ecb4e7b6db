// Waits for readability and then reads until the socket is empty, at most maxDatagramsPerTurn datagrams a turn so that
// timers and other sockets of the same loop are served under load.

#include "net/udp_port.h"

#include <linux/sock_diag.h>
#include <sys/socket.h>

namespace cicadaward {

namespace detail {

    constexpr int maxDatagramsPerTurn = 256;
    constexpr int socketBufferBytes = 4 << 20; // bytes; a burst of about 3,000 packets of 1,400 bytes

    boost::asio::ip::udp::endpoint toAsioEndpoint(Endpoint endpoint)
    {
        return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
    }

} // namespace detail

UdpPort::UdpPort(boost::asio::io_context& context, Endpoint listen, size_t maxDatagramSize, Handler handler)
    : m_socket(context)
    , m_buffer(maxDatagramSize + 64)
    , m_handler(std::move(handler))
{
    boost::system::error_code error;
    m_socket.open(boost::asio::ip::udp::v4(), error);
    if (!error)
        m_socket.bind(detail::toAsioEndpoint(listen), error);
    if (error) {
        m_status = absl::UnavailableError("cannot listen on UDP " + formatAddress(listen.address) + ":"
            + std::to_string(listen.port) + ": " + error.message());
        return;
    }
    m_socket.set_option(boost::asio::socket_base::receive_buffer_size(detail::socketBufferBytes), error);
    m_socket.set_option(boost::asio::socket_base::send_buffer_size(detail::socketBufferBytes), error);
    m_socket.non_blocking(true, error);
    waitForDatagrams();
}

Endpoint UdpPort::localEndpoint() const
{
    boost::system::error_code error;
    auto endpoint = m_socket.local_endpoint(error);
    if (error)
        return {};
    return { endpoint.address().to_v4().to_uint(), endpoint.port() };
}

void UdpPort::waitForDatagrams()
{
    m_socket.async_wait(boost::asio::socket_base::wait_read, [this](const boost::system::error_code& error) {
        if (error)
            return;
        readAvailable();
        if (m_socket.is_open())
            waitForDatagrams();
    });
}

void UdpPort::readAvailable()
{
    for (int i = 0; i < detail::maxDatagramsPerTurn && m_socket.is_open(); ++i) {
        boost::asio::ip::udp::endpoint sender;
        boost::system::error_code error;
        size_t size = m_socket.receive_from(boost::asio::buffer(m_buffer), sender, 0, error);
        if (error == boost::asio::error::connection_refused)
            continue; // an ICMP error for an earlier send to a port that is closed
        if (error)
            return;
        m_receivedDatagrams.fetch_add(1, std::memory_order_relaxed);
        m_handler({ sender.address().to_v4().to_uint(), sender.port() }, m_buffer.data(), size);
    }
}

bool UdpPort::send(Endpoint to, const uint8_t* data, size_t size)
{
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(data, size), detail::toAsioEndpoint(to), 0, error);
    if (!error)
        return true;
    m_sendFailures.fetch_add(1, std::memory_order_relaxed);
    return false;
}

uint64_t UdpPort::receiveDrops()
{
    uint32_t values[SK_MEMINFO_VARS] = {};
    socklen_t size = sizeof(values);
    if (getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_MEMINFO, values, &size) != 0)
        return 0;
    return values[SK_MEMINFO_DROPS];
}

void UdpPort::close()
{
    boost::system::error_code error;
    m_socket.close(error);
}

} // namespace cicadaward
