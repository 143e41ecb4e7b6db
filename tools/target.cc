#include "target.h"

#include <nlohmann/json.hpp>

namespace cicadaward {

Target::Target(boost::asio::io_context& context, const Clock& clock, TargetOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_warmAt(clock.now() + m_options.coldTime)
    , m_packetPort(context, m_options.packets, maxIpPacketBytes,
          [this](Endpoint, uint8_t* data, size_t size) { handlePacket(data, size); })
    , m_http(context, m_options.http,
          [this](const HttpRequest& request, HttpReplyCallback reply) { handleHttp(request, std::move(reply)); })
{
    if (!m_options.runLog.empty())
        m_runLog.open(m_options.runLog, std::ios::app);
}

absl::Status Target::status() const
{
    if (!m_packetPort.status().ok())
        return m_packetPort.status();
    return m_http.status();
}

bool Target::isCold() const { return m_clock.now() < m_warmAt; }

void Target::handlePacket(const uint8_t* data, size_t size)
{
    auto parsed = parseIpPacket(data, size);
    if (std::holds_alternative<PacketError>(parsed))
        return;
    const IpPacket& packet = std::get<IpPacket>(parsed);
    ++m_counts.packets;
    m_counts.lastPacketAt = static_cast<uint64_t>(m_clock.wallTime().count());
    if (packet.key.destinationAddress != m_options.serviceAddress) {
        ++m_counts.misdelivered;
        return;
    }
    if (packet.flags.rst) {
        m_flows.erase(packet.key);
        return;
    }
    if (packet.flags.isInitialSyn()) {
        openFlow(packet);
        return;
    }
    auto flow = m_flows.find(packet.key);
    if (flow == m_flows.end()) {
        ++m_counts.unknownFlowPackets;
        auto reset = buildTcpReset(packet);
        m_packetPort.send(m_options.agent, reset.data(), reset.size());
        return;
    }
    TcpFlags flags;
    flags.ack = true;
    if (packet.flags.fin) {
        flags.fin = true;
        m_flows.erase(flow);
        answer(packet, flags, "");
    } else if (packet.payloadSize > 0)
        answer(packet, flags, m_options.name);
}

void Target::openFlow(const IpPacket& packet)
{
    if (m_flows.emplace(packet.key, packet.tcpSequence + 1).second) {
        ++m_counts.flowsOpened;
        if (m_state == "draining")
            ++m_counts.opensWhileDraining;
        if (static_cast<double>(m_flows.size()) > m_options.flows * share())
            countOverAdmitted(m_counts.overAdmittedFlows);
    }
    TcpFlags flags;
    flags.syn = true;
    flags.ack = true;
    answer(packet, flags, "");
}

void Target::answer(const IpPacket& packet, TcpFlags flags, const std::string& payload)
{
    FlowKey key;
    key.sourceAddress = packet.key.destinationAddress;
    key.destinationAddress = packet.key.sourceAddress;
    key.sourcePort = packet.key.destinationPort;
    key.destinationPort = packet.key.sourcePort;
    uint32_t consumed = packet.payloadSize + (packet.flags.syn ? 1U : 0U) + (packet.flags.fin ? 1U : 0U);
    auto bytes = buildTcpPacket(key, flags, packet.tcpAcknowledgement, packet.tcpSequence + consumed, payload);
    m_packetPort.send(m_options.agent, bytes.data(), bytes.size());
}

void Target::handleHttp(const HttpRequest& request, HttpReplyCallback reply)
{
    std::string path(request.target().data(), request.target().size());
    if (path == "/health") {
        nlohmann::json json { { "incarnation", m_options.incarnation }, { "state", m_state } };
        reply(200, "application/json", json.dump());
    } else if (path == "/stats")
        reply(200, "application/json", stats());
    else if (path.rfind("/control?", 0) == 0) {
        handleControl(path.substr(9));
        reply(200, "text/plain", "ok\n");
    } else
        run(request, std::move(reply));
}

void Target::handleControl(const std::string& query)
{
    if (query == "state=draining" || query == "state=ok")
        m_state = query.substr(6);
    else if (query == "cold=1") {
        m_warmAt = m_clock.now() + m_options.coldTime;
        m_turnedCold = true;
    }
}

void Target::countOverAdmitted(uint64_t& count)
{
    if (isCold() && m_turnedCold)
        ++m_counts.overAdmittedAfterTurn;
    else
        ++count;
}

void Target::run(const HttpRequest& request, HttpReplyCallback reply)
{
    auto header = request.find("Idempotency-Key");
    std::string id = header == request.end() ? "-" : std::string(header->value().data(), header->value().size());
    if (m_runLog.is_open())
        m_runLog << id << '\n' << std::flush;
    ++m_counts.requestsRun;
    ++m_running;
    double bearable = std::max(1.0, m_options.slots * share());
    auto work = m_options.workTime;
    if (m_running > bearable) {
        countOverAdmitted(m_counts.overAdmittedRequests);
        work *= 10; // an overloaded target slows down for everybody
    }
    auto deadline = request.find("Request-Timeout-Ms");
    bool late = false;
    if (deadline != request.end()) {
        std::chrono::milliseconds remaining(std::strtol(std::string(deadline->value()).c_str(), nullptr, 10));
        late = work > remaining;
        work = std::min(work, remaining);
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, work);
    timer->async_wait(
        [this, timer, id, late, body = request.body(), reply = std::move(reply)](boost::system::error_code) {
            --m_running;
            if (late) {
                reply(504, "text/plain", m_options.name + " " + id + " " + body);
                return;
            }
            reply(200, "text/plain", m_options.name + " " + id + " " + body);
        });
}

std::string Target::stats() const
{
    nlohmann::json json { { "name", m_options.name }, { "open_flows", m_flows.size() },
        { "flows_opened", m_counts.flowsOpened }, { "packets", m_counts.packets },
        { "misdelivered", m_counts.misdelivered }, { "unknown_flow_packets", m_counts.unknownFlowPackets },
        { "over_admitted_flows", m_counts.overAdmittedFlows },
        { "over_admitted_requests", m_counts.overAdmittedRequests },
        { "over_admitted_after_turn", m_counts.overAdmittedAfterTurn }, { "requests_run", m_counts.requestsRun },
        { "opens_while_draining", m_counts.opensWhileDraining }, { "last_packet_ms", m_counts.lastPacketAt },
        { "cold", isCold() } };
    return json.dump();
}

} // namespace cicadaward
