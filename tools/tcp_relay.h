// Carries TCP connections between callers and one target over a faulty link. A cut link holds bytes, ends and resets
// back until it is healed, so both sides see a connection that looks alive. Runs on the event loop's thread.
#pragma once

#include "directory/directory.h"
#include "fault_policy.h"

#include <absl/status/status.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

namespace cicadaward {

class TcpRelayConnection;

class TcpRelay {
public:
    TcpRelay(boost::asio::io_context&, Endpoint listen, Endpoint target, uint64_t seed);
    ~TcpRelay();

    const absl::Status& status() const { return m_status; }
    Endpoint localEndpoint() const;
    void change(const FaultSettings&);
    // Ends every connection with a reset on both sides.
    void resetConnections();

    // Bytes read so far, from any thread.
    uint64_t received(Direction direction) const { return m_received[static_cast<size_t>(direction)]; }

private:
    friend class TcpRelayConnection;

    void accept();

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::endpoint m_target;
    FaultPolicy m_policy;
    boost::asio::ip::tcp::acceptor m_acceptor;
    absl::Status m_status;
    std::list<std::shared_ptr<TcpRelayConnection>> m_connections; // closed ones are removed at the next accept
    std::atomic<uint64_t> m_received[2] = { { 0 }, { 0 } };
};

} // namespace cicadaward
