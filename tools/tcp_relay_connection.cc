#include "tcp_relay_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace cicadaward {

namespace detail {

    constexpr size_t maxWaitingBytes = 256 * 1024; // for each direction

} // namespace detail

TcpRelayConnection::TcpRelayConnection(TcpRelay& relay, boost::asio::ip::tcp::socket caller)
    : m_relay(&relay)
    , m_caller(std::move(caller))
    , m_target(relay.m_context)
    , m_forward(Direction::Forward, m_caller, m_target, relay.m_context)
    , m_backward(Direction::Backward, m_target, m_caller, relay.m_context)
{
}

bool TcpRelayConnection::isHeld(Direction direction) const
{
    return m_relay->m_policy.isCut(direction) || m_relay->m_policy.isStalled();
}

void TcpRelayConnection::advance()
{
    if (!m_relay)
        return;
    read(m_forward);
    if (!m_connected) {
        connect();
        return;
    }
    read(m_backward);
    move(m_forward);
    if (m_relay)
        move(m_backward);
}

// A connection needs both directions for its handshake.
void TcpRelayConnection::connect()
{
    if (m_connecting || isHeld(Direction::Forward) || isHeld(Direction::Backward))
        return;
    m_connecting = true;
    m_target.async_connect(
        m_relay->m_target, [this, self = shared_from_this()](const boost::system::error_code& error) {
            if (!m_relay)
                return;
            if (error) {
                reset();
                return;
            }
            m_connected = true;
            boost::system::error_code ignored;
            m_caller.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            m_target.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            advance();
        });
}

void TcpRelayConnection::read(Pipe& pipe)
{
    if (!m_relay || pipe.reading || pipe.inputEnded || pipe.waitingBytes >= detail::maxWaitingBytes)
        return;
    pipe.reading = true;
    pipe.from.async_read_some(boost::asio::buffer(pipe.buffer),
        [this, &pipe, self = shared_from_this()](const boost::system::error_code& error, size_t size) {
            pipe.reading = false;
            if (!m_relay)
                return;
            Piece piece;
            if (!error)
                piece.bytes.assign(pipe.buffer.data(), pipe.buffer.data() + size);
            else
                piece.kind = error == boost::asio::error::eof ? PieceKind::End : PieceKind::Reset;
            append(pipe, std::move(piece));
            m_relay->m_received[static_cast<size_t>(pipe.direction)] += size;
            advance();
        });
}

void TcpRelayConnection::append(Pipe& pipe, Piece piece)
{
    pipe.inputEnded = piece.kind != PieceKind::Bytes;
    pipe.waitingBytes += piece.bytes.size();
    piece.release = m_relay->m_policy.streamRelease(pipe.direction, SystemClock().now());
    if (!pipe.pieces.empty())
        piece.release = std::max(piece.release, pipe.pieces.back().release);
    pipe.pieces.push_back(std::move(piece));
}

void TcpRelayConnection::move(Pipe& pipe)
{
    if (pipe.writing || pipe.outputEnded || pipe.pieces.empty() || isHeld(pipe.direction))
        return;
    if (pipe.pieces.front().release > SystemClock().now()) {
        pipe.timer.expires_at(pipe.pieces.front().release);
        pipe.timer.async_wait([this, self = shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                advance();
        });
        return;
    }
    PieceKind kind = pipe.pieces.front().kind;
    if (kind == PieceKind::Bytes) {
        write(pipe);
        return;
    }
    if (kind == PieceKind::Reset) {
        reset();
        return;
    }
    boost::system::error_code ignored;
    pipe.to.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    pipe.outputEnded = true;
    if (m_forward.outputEnded && m_backward.outputEnded)
        close();
}

void TcpRelayConnection::write(Pipe& pipe)
{
    pipe.writing = true;
    boost::asio::async_write(pipe.to, boost::asio::buffer(pipe.pieces.front().bytes),
        [this, &pipe, self = shared_from_this()](const boost::system::error_code& error, size_t) {
            pipe.writing = false;
            if (!m_relay)
                return;
            if (error) {
                reset();
                return;
            }
            pipe.waitingBytes -= pipe.pieces.front().bytes.size();
            pipe.pieces.pop_front();
            advance();
        });
}

void TcpRelayConnection::reset()
{
    boost::system::error_code ignored;
    for (boost::asio::ip::tcp::socket* socket : { &m_caller, &m_target })
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void TcpRelayConnection::close()
{
    m_relay = nullptr;
    boost::system::error_code ignored;
    m_caller.close(ignored);
    m_target.close(ignored);
    m_forward.timer.cancel();
    m_backward.timer.cancel();
}

} // namespace cicadaward
