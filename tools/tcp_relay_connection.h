// One TCP connection through a TcpRelay: two sockets, and for each direction a bounded queue of bytes with the time at
// which they may pass. A full queue stops reading, so the sender's window closes as on a slow link.
#pragma once

#include "tcp_relay.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace cicadaward {

class TcpRelayConnection : public std::enable_shared_from_this<TcpRelayConnection> {
public:
    // `relay` must live until the connection is closed.
    TcpRelayConnection(TcpRelay& relay, boost::asio::ip::tcp::socket caller);

    // Connects to the target once the link is whole, and moves whatever may pass.
    void advance();
    void reset();
    void close();
    bool isClosed() const { return !m_relay; }

private:
    enum class PieceKind { Bytes, End, Reset };
    struct Piece {
        PieceKind kind = PieceKind::Bytes;
        Time release;
        std::vector<uint8_t> bytes;
    };
    struct Pipe {
        Pipe(Direction way, boost::asio::ip::tcp::socket& in, boost::asio::ip::tcp::socket& out,
            boost::asio::io_context& context)
            : direction(way)
            , from(in)
            , to(out)
            , timer(context)
        {
        }

        Direction direction;
        boost::asio::ip::tcp::socket& from;
        boost::asio::ip::tcp::socket& to;
        boost::asio::steady_timer timer;
        std::array<uint8_t, 16384> buffer {};
        std::deque<Piece> pieces;
        size_t waitingBytes = 0;
        bool reading = false;
        bool writing = false;
        bool inputEnded = false;
        bool outputEnded = false;
    };

    void connect();
    void read(Pipe&);
    void append(Pipe&, Piece);
    void move(Pipe&);
    void write(Pipe&);
    bool isHeld(Direction) const;

    TcpRelay* m_relay;
    boost::asio::ip::tcp::socket m_caller;
    boost::asio::ip::tcp::socket m_target;
    Pipe m_forward;
    Pipe m_backward;
    bool m_connecting = false;
    bool m_connected = false;
};

} // namespace cicadaward
