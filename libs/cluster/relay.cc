#include "cluster/relay.h"

#include "cluster/codec.h"

#include <algorithm>

namespace cicadaward::cluster {

namespace {

    // A leader that no reply has named for this long may have lost its leadership.
    constexpr Duration leaderLifetime = std::chrono::seconds(2);
    constexpr size_t maxHelloSenders = 64;

    PollerOptions relayOptions(PollerOptions options)
    {
        options.wantsMembers = false;
        options.initialWaitInterval = options.maxWaitInterval = options.minInterval; // a relay never has a state
        return options;
    }

} // namespace

Relay::Relay(PollerOptions options, const Clock& clock, Random& random, RelayOutput& output)
    : m_clock(clock)
    , m_output(output)
    , m_poller(relayOptions(std::move(options)), clock, random, *this)
{
}

void Relay::onMessage(Endpoint sender, const Envelope& envelope)
{
    if (m_poller.onMessage(sender, envelope))
        return;
    Hello hello;
    if (envelope.kind == MessageKind::Poll) {
        PollReply reply;
        reply.controls = controls();
        m_output.sendMessage(sender, { MessageKind::PollReply, encodeMessage(reply) });
    } else if (envelope.kind == MessageKind::Hello && decodeMessage(envelope.body, hello)) {
        onHello(sender, hello);
    }
}

void Relay::onHello(Endpoint sender, Hello hello)
{
    if (m_helloSenders.size() >= maxHelloSenders)
        m_helloSenders.clear();
    m_helloSenders[hello.instance] = hello.address;
    m_poller.updateControls(controls());
    if (hello.forwarded)
        return;
    hello.forwarded = true;
    for (Endpoint control : controls()) {
        if (control != sender)
            m_output.sendMessage(control, { MessageKind::Hello, encodeMessage(hello) });
    }
}

std::vector<Endpoint> Relay::controls() const
{
    std::vector<Endpoint> controls = m_poller.controls();
    for (const auto& [id, address] : m_helloSenders) {
        if (std::find(controls.begin(), controls.end(), address.peer) == controls.end())
            controls.push_back(address.peer);
    }
    controls.resize(std::min(controls.size(), maxControls));
    return controls;
}

void Relay::onLeader(Endpoint operators, uint64_t term)
{
    if (term < m_term)
        return; // the reply is from an instance that lags
    m_term = term;
    m_leader = operators;
    m_leaderReported = m_clock.now();
}

std::optional<Endpoint> Relay::leader() const
{
    if (m_leader.port == 0 || m_clock.now() - m_leaderReported > leaderLifetime)
        return std::nullopt;
    return m_leader;
}

} // namespace cicadaward::cluster
