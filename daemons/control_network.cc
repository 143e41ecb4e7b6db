#include "control_network.h"

#include "control/messages.h"
#include "control_link.h"

namespace cicadaward {

namespace detail {

    constexpr size_t networkRingSize = 8192;
    constexpr size_t maxOpenCalls = 8192; // about 431 subscribers with two calls each at the target size
    constexpr size_t maxReplaySenders = 8192;
    // Longer than a watch, which waits for at most 10 s; afterwards the caller has given up.
    constexpr auto peerTimeout = std::chrono::milliseconds(1000);

} // namespace detail

ControlNetworkThread::ControlNetworkThread(
    DaemonBase& base, const Settings& settings, std::function<bool(ConsensusInput&&)> toConsensus)
    : m_base(base)
    , m_self(control::memberIdOf(settings.text("instance.name")))
    , m_toConsensus(std::move(toConsensus))
    , m_loop("network")
    , m_authenticator(base.keys)
    , m_sequence(base.process)
    , m_replays(detail::maxReplaySenders)
    , m_input(detail::networkRingSize, m_loop.context(),
          [this](NetworkInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
{
    Endpoint listen = toEndpoint(settings.endpoint("listen.peers"));
    m_server = std::make_unique<StreamServer>(m_loop.context(),
        boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(listen.address), listen.port),
        [this](const std::string& path, std::string body, const StreamReplyCallback& reply) {
            handleRequest(path, std::move(body), reply);
        });
    for (const ConfiguredEndpoint& peer : settings.endpoints("control.peers")) {
        m_peers.emplace_back();
        if (peer.name == settings.text("instance.name"))
            continue;
        boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4(peer.address), peer.port);
        m_peers.back() = std::make_unique<StreamClient>(m_loop.context(), endpoint, Random(base.seed + m_peers.size()));
    }
    m_loop.runEvery(std::chrono::seconds(1), [this] { reportMetrics(); });
}

absl::Status ControlNetworkThread::start()
{
    absl::Status status = m_server->listen();
    if (status.ok())
        m_loop.start();
    return status;
}

void ControlNetworkThread::handleRequest(const std::string& path, std::string body, const StreamReplyCallback& reply)
{
    CallReceived call;
    uint64_t sequence = 0;
    if (!openStreamMessage(m_authenticator, MessagePurpose::ControlRequest, body, call.sender, sequence)
        || !m_replays.accept(call.sender, sequence)) {
        m_base.metrics.counter("control.not_authenticated").add();
        reply(absl::PermissionDeniedError("the message is not authentic"));
        return;
    }
    if (m_calls.size() >= detail::maxOpenCalls) {
        m_base.metrics.counter("control.refused_calls").add();
        reply(absl::ResourceExhaustedError("too many open calls"));
        return;
    }
    call.call = ++m_lastCall;
    call.path = path;
    call.payload = std::move(body);
    uint64_t id = call.call;
    m_calls[id] = reply;
    if (!m_toConsensus(std::move(call))) {
        m_calls.erase(id);
        reply(absl::ResourceExhaustedError("too many waiting calls"));
    }
}

void ControlNetworkThread::handleInput(const ReplyToCall& input)
{
    auto found = m_calls.find(input.call);
    if (found == m_calls.end())
        return;
    StreamReplyCallback reply = std::move(found->second);
    m_calls.erase(found);
    reply(sealStreamMessage(m_authenticator, MessagePurpose::ControlReply, m_sequence.next(), m_self, input.payload));
}

void ControlNetworkThread::handleInput(const PostToPeer& input)
{
    StreamClient* peer = input.peer < m_peers.size() ? m_peers[input.peer].get() : nullptr;
    if (!peer)
        return;
    std::string message
        = sealStreamMessage(m_authenticator, MessagePurpose::ControlRequest, m_sequence.next(), m_self, input.payload);
    peer->post(input.path, std::move(message), detail::peerTimeout,
        [this, index = input.peer, path = input.path](absl::StatusOr<std::string> reply) {
            MemberId sender;
            uint64_t sequence = 0;
            if (reply.ok()
                && openStreamMessage(m_authenticator, MessagePurpose::ControlReply, *reply, sender, sequence))
                m_toConsensus(PeerReplied { index, path, std::move(*reply) });
        });
}

void ControlNetworkThread::reportMetrics()
{
    uint64_t sent = m_server->counters().bytesSent;
    uint64_t received = m_server->counters().bytesReceived;
    for (const auto& peer : m_peers) {
        if (!peer)
            continue;
        sent += peer->counters().bytesSent;
        received += peer->counters().bytesReceived;
    }
    m_base.metrics.gauge("control.bytes_sent").set(static_cast<int64_t>(sent));
    m_base.metrics.gauge("control.bytes_received").set(static_cast<int64_t>(received));
    m_base.metrics.gauge("control.open_calls").set(static_cast<int64_t>(m_calls.size()));
    m_base.metrics.gauge("control.connections").set(static_cast<int64_t>(m_server->connectionCount()));
}

} // namespace cicadaward
