// Carries messages of any size between processes in datagrams, and repairs the loss of datagrams of a large message:
// the receiver asks for the missing fragments, and the sender keeps large messages for a while to answer that.
//
//     MessageTransport transport(clock, firstNumber, [&](Endpoint to, const std::string& d) { socket.send(to, d); });
//     absl::Status status = transport.send(peer, message);
//     ...
//     if (std::optional<std::string> message = transport.onDatagram(sender, data, size))
//         handle(*message);
//     ...
//     if (transport.nextTick() && clock.now() >= *transport.nextTick())
//         transport.onTick();
//
// Without the repair, a message of n datagrams arrives with probability (1 - p)^n where the share p is lost, so that a
// configuration of 100 datagrams practically never arrives over a link that loses a few percent. A message of which no
// datagram arrives, or whose repair takes longer than partialMessageTimeout, is lost. A message may arrive twice.
#pragma once

#include "cluster/fragments.h"

#include <deque>
#include <functional>

namespace cicadaward::cluster {

struct TransportCounters {
    uint64_t fragmentsRequested = 0; // of other processes
    uint64_t fragmentsResent = 0;
};

// Memory: the Assembler's, and the newest large messages that were sent, at most 4 MiB and the last one.
class MessageTransport {
public:
    using SendDatagram = std::function<void(Endpoint to, const std::string& datagram)>;

    // `firstNumber`: see Fragmenter.
    MessageTransport(const Clock&, uint32_t firstNumber, SendDatagram);

    // ResourceExhausted for a message that is too large; see Fragmenter::split().
    absl::Status send(Endpoint to, const std::string& message);
    // Returns the message that this datagram completes, if any. Assembler::isFragment() must be true for it.
    std::optional<std::string> onDatagram(Endpoint sender, const uint8_t* data, size_t size);
    // Asks for fragments that are due.
    void onTick() { requestFragments(); }
    // When onTick() has something to do; nothing while no fragment is missing.
    std::optional<Time> nextTick() const { return m_assembler.nextRequest(); }

    const AssemblerFailures& failures() const { return m_assembler.failures(); }
    const TransportCounters& counters() const { return m_counters; }

private:
    struct SentMessage {
        Endpoint to;
        uint32_t number = 0;
        Time sent;
        std::vector<std::string> datagrams;
        size_t bytes = 0;
    };
    void keep(Endpoint to, std::vector<std::string> datagrams);
    void dropKept();
    void requestFragments();
    void resend(Endpoint to, const FragmentRequest&);

    const Clock& m_clock;
    SendDatagram m_sendDatagram;
    Fragmenter m_fragmenter;
    Assembler m_assembler;
    std::deque<SentMessage> m_kept; // oldest first
    size_t m_keptBytes = 0;
    TransportCounters m_counters;
};

} // namespace cicadaward::cluster
