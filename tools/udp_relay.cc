#include "udp_relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace cicadaward {

namespace detail {

    constexpr size_t maxDatagram = 65535;
    constexpr size_t maxSessions = 256; // the least recently used sender is forgotten beyond that
    constexpr size_t maxWaiting = 16384; // datagrams; further ones are dropped, as a full router does
    constexpr uint32_t loopbackAddress = 0x7f000001;

} // namespace detail

UdpRelay::UdpRelay(boost::asio::io_context& context, Endpoint listen, Endpoint target, uint64_t seed)
    : m_context(context)
    , m_target(target)
    , m_policy(seed)
    , m_port(context, listen, detail::maxDatagram,
          [this](Endpoint sender, uint8_t* data, size_t size) { receive(Direction::Forward, sender, data, size); })
    , m_timer(context)
{
}

void UdpRelay::change(const FaultSettings& settings)
{
    m_policy.change(settings);
    deliverDue();
}

uint64_t UdpRelay::received(Direction direction) const { return m_received[static_cast<size_t>(direction)]; }

UdpRelay::Session& UdpRelay::session(Endpoint sender)
{
    auto found = std::find_if(
        m_sessions.begin(), m_sessions.end(), [&](const Session& each) { return each.sender == sender; });
    if (found != m_sessions.end()) {
        m_sessions.splice(m_sessions.begin(), m_sessions, found);
        return m_sessions.front();
    }
    if (m_sessions.size() >= detail::maxSessions) {
        // The port may have a handler queued on the loop, so it is closed now and destroyed after that handler.
        m_sessions.back().port->close();
        boost::asio::post(m_context, [retired = std::shared_ptr<UdpPort>(std::move(m_sessions.back().port))] {});
        m_sessions.pop_back();
    }
    m_sessions.push_front({ sender,
        std::make_unique<UdpPort>(m_context, Endpoint { detail::loopbackAddress, 0 }, detail::maxDatagram,
            [this, sender](
                Endpoint, uint8_t* data, size_t size) { receive(Direction::Backward, sender, data, size); }) });
    return m_sessions.front();
}

void UdpRelay::receive(Direction direction, Endpoint sender, const uint8_t* data, size_t size)
{
    for (Time release : m_policy.datagramReleases(direction, SystemClock().now())) {
        if (m_waiting.size() < detail::maxWaiting)
            m_waiting.emplace(release, Waiting { direction, sender, std::vector<uint8_t>(data, data + size) });
    }
    deliverDue();
    ++m_received[static_cast<size_t>(direction)];
}

void UdpRelay::deliverDue()
{
    if (m_policy.isStalled())
        return;
    Time now = SystemClock().now();
    while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
        Waiting waiting = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        deliver(waiting);
    }
    if (m_waiting.empty())
        return;
    m_timer.expires_at(m_waiting.begin()->first);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            deliverDue();
    });
}

void UdpRelay::deliver(const Waiting& waiting)
{
    if (m_policy.isCut(waiting.direction))
        return;
    if (waiting.direction == Direction::Forward)
        session(waiting.sender).port->send(m_target, waiting.data.data(), waiting.data.size());
    else
        m_port.send(waiting.sender, waiting.data.data(), waiting.data.size());
}

} // namespace cicadaward
