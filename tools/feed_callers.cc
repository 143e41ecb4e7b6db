#include "feed_callers.h"

namespace cicadaward {

namespace detail {

    constexpr uint32_t portsPerAddress = 60000;
    constexpr uint16_t firstPort = 2000;
    constexpr size_t maxBrokenNotes = 20;
    constexpr int64_t millisecondsPerDay = 86'400'000;
    const char* const segmentBody = "feed request";

} // namespace detail

FeedCallers::FeedCallers(
    const Clock& clock, Random& random, FeedOptions options, std::function<void(const uint8_t*, size_t)> send)
    : m_clock(clock)
    , m_random(random)
    , m_options(options)
    , m_send(std::move(send))
    , m_flows(m_options.flows)
{
    for (Flow& flow : m_flows) {
        double position = m_random.unit();
        flow.nextAction = clock.now() + std::chrono::duration_cast<Duration>(m_options.openSpread * position);
    }
}

bool FeedCallers::owns(const IpPacket& packet) const
{
    return packet.key.sourceAddress == m_options.serviceAddress && packet.key.sourcePort == m_options.servicePort;
}

void FeedCallers::tick()
{
    Time now = m_clock.now();
    for (Flow& flow : m_flows) {
        if (now < flow.nextAction)
            continue;
        if (flow.state == State::Idle)
            open(flow);
        else if (flow.waiting)
            repeat(flow);
        else {
            flow.waiting = true;
            sendSegment(flow);
        }
    }
}

void FeedCallers::open(Flow& flow)
{
    m_byKey.erase(flow.key);
    uint64_t number = m_nextPort++;
    flow.key.sourceAddress = m_options.firstCallerAddress + static_cast<uint32_t>(number / detail::portsPerAddress);
    flow.key.sourcePort = static_cast<uint16_t>(detail::firstPort + number % detail::portsPerAddress);
    flow.key.destinationAddress = m_options.serviceAddress;
    flow.key.destinationPort = m_options.servicePort;
    m_byKey[flow.key] = static_cast<size_t>(&flow - m_flows.data());
    flow.state = State::Opening;
    flow.sequence = static_cast<uint32_t>(m_random.next());
    flow.target.clear();
    flow.waiting = true;
    sendSegment(flow);
}

void FeedCallers::sendSegment(Flow& flow)
{
    TcpFlags flags;
    flags.syn = flow.state == State::Opening;
    flags.ack = flow.state == State::Open;
    auto bytes = buildTcpPacket(
        flow.key, flags, flow.sequence, flow.acknowledged, flow.state == State::Open ? detail::segmentBody : "");
    m_send(bytes.data(), bytes.size());
    flow.nextAction = m_clock.now() + m_options.retransmit;
}

void FeedCallers::repeat(Flow& flow)
{
    if (++flow.repetitions > maxUnanswered) {
        end(flow, "unanswered");
        return;
    }
    ++m_counts.retransmissions;
    sendSegment(flow);
}

void FeedCallers::end(Flow& flow, const char* reason)
{
    if (flow.state == State::Opening) {
        if (std::string(reason) == "reset")
            ++m_counts.refused;
        else
            ++m_counts.openTimeouts;
    } else if (m_excused.count(flow.target) > 0)
        ++m_counts.excused;
    else {
        ++m_counts.broken;
        ++m_counts.brokenBy[std::string(reason) + " " + flow.target];
        noteBroken(flow, reason);
    }
    flow.state = State::Idle;
    flow.waiting = false;
    flow.repetitions = 0;
    auto backoff = std::chrono::milliseconds(200 + m_random.below(400));
    flow.nextAction = m_clock.now() + backoff;
}

void FeedCallers::noteBroken(const Flow& flow, const char* reason)
{
    if (m_counts.firstBroken.size() >= detail::maxBrokenNotes)
        return;
    int64_t millisecond = m_clock.wallTime().count() % detail::millisecondsPerDay;
    char text[128];
    snprintf(text, sizeof(text), "%02d:%02d:%06.3f %s:%u repetition %u %s ", static_cast<int>(millisecond / 3'600'000),
        static_cast<int>(millisecond / 60'000 % 60), static_cast<double>(millisecond % 60'000) / 1000,
        formatAddress(flow.key.sourceAddress).c_str(), flow.key.sourcePort, flow.repetitions, reason);
    m_counts.firstBroken.push_back(text + flow.target);
}

void FeedCallers::handlePacket(const IpPacket& packet, const uint8_t* data)
{
    FlowKey key;
    key.sourceAddress = packet.key.destinationAddress;
    key.destinationAddress = packet.key.sourceAddress;
    key.sourcePort = packet.key.destinationPort;
    key.destinationPort = packet.key.sourcePort;
    auto found = m_byKey.find(key);
    if (found == m_byKey.end())
        return;
    Flow& flow = m_flows[found->second];
    if (flow.state == State::Idle || flow.key != key)
        return;
    if (packet.flags.rst) {
        end(flow, "reset");
        return;
    }
    if (flow.state == State::Open) {
        handleOpen(flow, packet, data);
        return;
    }
    if (!packet.flags.syn || packet.tcpAcknowledgement != flow.sequence + 1)
        return;
    flow.state = State::Open;
    ++m_counts.opened;
    ++flow.sequence;
    flow.acknowledged = packet.tcpSequence + 1;
    flow.repetitions = 0;
    flow.waiting = true;
    sendSegment(flow);
}

void FeedCallers::handleOpen(Flow& flow, const IpPacket& packet, const uint8_t* data)
{
    uint32_t expected = flow.sequence + static_cast<uint32_t>(std::string(detail::segmentBody).size());
    if (!flow.waiting || packet.payloadSize == 0 || packet.tcpAcknowledgement != expected)
        return;
    std::string target(reinterpret_cast<const char*>(data) + packet.payloadOffset, packet.payloadSize);
    if (flow.target.empty())
        flow.target = target;
    if (flow.target != target) {
        end(flow, "other target");
        return;
    }
    ++m_counts.answers;
    flow.sequence = expected;
    flow.acknowledged = packet.tcpSequence + packet.payloadSize;
    flow.waiting = false;
    flow.repetitions = 0;
    flow.nextAction = m_clock.now() + m_options.interval;
}

std::map<std::string, uint64_t> FeedCallers::openFlowsByTarget() const
{
    std::map<std::string, uint64_t> result;
    for (const Flow& flow : m_flows) {
        if (flow.state == State::Open && !flow.target.empty())
            ++result[flow.target];
    }
    return result;
}

} // namespace cicadaward
