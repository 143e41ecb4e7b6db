// Carries datagrams between senders and one target over a faulty link. Each sender has an outgoing socket of its own,
// so that the target's answers find their way back. Runs on the event loop's thread.
#pragma once

#include "fault_policy.h"
#include "net/udp_port.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>

namespace cicadaward {

class UdpRelay {
public:
    UdpRelay(boost::asio::io_context&, Endpoint listen, Endpoint target, uint64_t seed);

    const absl::Status& status() const { return m_port.status(); }
    Endpoint localEndpoint() const { return m_port.localEndpoint(); }
    void change(const FaultSettings&);

    // From any thread.
    uint64_t received(Direction) const;

private:
    struct Session {
        Endpoint sender;
        std::unique_ptr<UdpPort> port;
    };
    struct Waiting {
        Direction direction = Direction::Forward;
        Endpoint sender;
        std::vector<uint8_t> data;
    };

    Session& session(Endpoint sender);
    void receive(Direction, Endpoint sender, const uint8_t* data, size_t size);
    void deliverDue();
    void deliver(const Waiting&);

    boost::asio::io_context& m_context;
    Endpoint m_target;
    FaultPolicy m_policy;
    UdpPort m_port;
    std::list<Session> m_sessions; // most recently used first
    std::multimap<Time, Waiting> m_waiting;
    boost::asio::steady_timer m_timer;
    std::atomic<uint64_t> m_received[2] = { { 0 }, { 0 } };
};

} // namespace cicadaward
