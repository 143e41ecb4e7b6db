#include "cluster/state_transfer.h"

#include "cluster/codec.h"
#include "cluster/fragments.h"

#include <algorithm>
#include <limits>

namespace cicadaward::cluster {

namespace {

    // How long a transfer can go on after newer states have replaced the one that it carries, within the memory bound.
    constexpr Duration transferLifetime = std::chrono::seconds(2);
    constexpr size_t maxTransferredBytes = 4 << 20;
    constexpr Duration partTimeout = std::chrono::milliseconds(500);

} // namespace

void StateSource::update(const ForwardingState& state)
{
    m_index = state.index;
    m_encoded = encodeMessage(state);
    m_history.add(state);
    m_history.trim(m_encoded.size());
}

void StateSource::fillReply(const Poll& poll, PollReply& reply)
{
    if (poll.stateIndex >= m_index)
        return;
    const CompressedState* transfer = poll.partIndex > poll.stateIndex ? transferred(poll.partIndex) : nullptr;
    size_t limit = poll.continues ? maxReplyStateBytes : std::numeric_limits<size_t>::max();
    if (!transfer) {
        reply.deltas = m_history.since(poll.stateIndex, limit);
        if (!reply.deltas.empty())
            return;
        if (m_encoded.size() <= limit) {
            reply.state = m_encoded;
            return;
        }
    }
    const CompressedState& sent = transfer ? *transfer : newestTransferred();
    uint64_t offset = transfer ? std::min<uint64_t>(poll.partOffset, sent.bytes.size()) : 0;
    reply.part = { sent.index, offset, sent.bytes.size(), sent.bytes.substr(offset, statePartBytes) };
}

const StateSource::CompressedState* StateSource::transferred(LogIndex index) const
{
    auto found = std::find_if(m_transferred.begin(), m_transferred.end(),
        [index](const CompressedState& state) { return state.index == index; });
    return found == m_transferred.end() ? nullptr : &*found;
}

const StateSource::CompressedState& StateSource::newestTransferred()
{
    if (m_transferred.empty() || m_transferred.back().index != m_index) {
        m_transferred.push_back({ m_index, compress(m_encoded), m_clock.now() });
        m_transferredBytes += m_transferred.back().bytes.size();
    }
    while (m_transferred.size() > 1
        && (m_transferredBytes > maxTransferredBytes || m_clock.now() - m_transferred[1].made > transferLifetime)) {
        m_transferredBytes -= m_transferred.front().bytes.size();
        m_transferred.pop_front();
    }
    return m_transferred.back();
}

bool StateDownload::add(Endpoint source, const StatePart& part)
{
    bool isNext = part.index == m_index && source == m_source && part.size == m_size && part.offset == m_bytes.size();
    bool isFirst = part.offset == 0 && (!isActive() || (source == m_source && part.index > m_index));
    bool isSound = !part.bytes.empty() && part.size <= maxStateBytes && part.offset <= part.size
        && part.bytes.size() <= part.size - part.offset;
    if (!isSound || !(isNext || isFirst))
        return false;
    if (!isNext) {
        abandon();
        m_source = source;
        m_index = part.index;
        m_size = part.size;
    }
    m_bytes += part.bytes;
    m_lastPart = m_clock.now();
    return true;
}

bool StateDownload::isActive() const { return m_index != 0 && m_clock.now() - m_lastPart < partTimeout; }

std::optional<ForwardingState> StateDownload::take()
{
    std::optional<std::string> encoded = decompress(m_bytes, maxStateBytes);
    ForwardingState state;
    bool isState = encoded && decodeMessage(*encoded, state) && state.index == m_index;
    abandon();
    return isState ? std::optional<ForwardingState>(std::move(state)) : std::nullopt;
}

void StateDownload::abandon()
{
    m_source = {};
    m_index = 0;
    m_size = 0;
    m_bytes.clear();
}

} // namespace cicadaward::cluster
