#include "cluster/message_transport.h"

#include <algorithm>

namespace cicadaward::cluster {

namespace {

    constexpr size_t maxKeptBytes = 4 << 20;

} // namespace

MessageTransport::MessageTransport(const Clock& clock, uint32_t firstNumber, SendDatagram sendDatagram)
    : m_clock(clock)
    , m_sendDatagram(std::move(sendDatagram))
    , m_fragmenter(firstNumber)
    , m_assembler(clock)
{
}

absl::Status MessageTransport::send(Endpoint to, const std::string& message)
{
    absl::StatusOr<std::vector<std::string>> datagrams = m_fragmenter.split(message);
    if (!datagrams.ok())
        return datagrams.status();
    for (const std::string& datagram : *datagrams)
        m_sendDatagram(to, datagram);
    dropKept();
    if (datagrams->size() > 1)
        keep(to, *std::move(datagrams));
    return absl::OkStatus();
}

void MessageTransport::keep(Endpoint to, std::vector<std::string> datagrams)
{
    size_t bytes = 0;
    for (const std::string& datagram : datagrams)
        bytes += datagram.size();
    m_kept.push_back({ to, m_fragmenter.lastNumber(), m_clock.now(), std::move(datagrams), bytes });
    m_keptBytes += bytes;
}

// Drops what no receiver asks for any more, and the oldest messages above the limit.
void MessageTransport::dropKept()
{
    while (!m_kept.empty()
        && (m_clock.now() - m_kept.front().sent > partialMessageTimeout
            || (m_keptBytes > maxKeptBytes && m_kept.size() > 1))) {
        m_keptBytes -= m_kept.front().bytes;
        m_kept.pop_front();
    }
}

std::optional<std::string> MessageTransport::onDatagram(Endpoint sender, const uint8_t* data, size_t size)
{
    if (std::optional<FragmentRequest> request = FragmentRequest::decode(data, size)) {
        resend(sender, *request);
        return std::nullopt;
    }
    return m_assembler.add(sender, data, size);
}

void MessageTransport::requestFragments()
{
    for (const auto& [sender, request] : m_assembler.dueRequests()) {
        m_counters.fragmentsRequested += request.indexes.size();
        m_sendDatagram(sender, request.encode());
    }
}

// Answers only the process to which the message was sent.
void MessageTransport::resend(Endpoint to, const FragmentRequest& request)
{
    auto message = std::find_if(m_kept.begin(), m_kept.end(),
        [&](const SentMessage& kept) { return kept.to == to && kept.number == request.number; });
    if (message == m_kept.end())
        return;
    for (uint16_t index : request.indexes) {
        if (index >= message->datagrams.size())
            continue;
        ++m_counters.fragmentsResent;
        m_sendDatagram(to, message->datagrams[index]);
    }
}

} // namespace cicadaward::cluster
