// An agent, its target, its callers and three control instances that keep records of the agent's flows, without a
// network. A test plays the target and its flows.
#pragma once

#include "cluster/codec.h"
#include "cluster/flow_records.h"
#include "steering/agent_records.h"
#include "steering/test_fabric.h"

#include <functional>
#include <map>
#include <memory>

namespace cicadaward::cluster {

using namespace cicadaward::steering;

constexpr Duration tick = std::chrono::milliseconds(25);
inline const Endpoint near { 0x0A030001, 7720 };
inline const Endpoint far { 0x0A030002, 7720 };
inline const Endpoint other { 0x0A030003, 7720 };

// A control instance; its file survives a loss of power.
struct Control {
    std::string dataCentre;
    std::unique_ptr<FlowRecords> records;
    std::string file;
    size_t writes = 0;
    FlowRecordOptions options;
};

// The process of the agent.
struct AgentProcess {
    CountingObserver observer;
    RecordingOutput output;
    AgentSteering steering;
    AgentRecords records;

    AgentProcess(const FlowReporterOptions& options, const PacketFormat& format, const Clock& clock,
        AgentRecordsOutput& recordsOutput)
        : steering(steeringOptions(options), format, clock, observer, output)
        , records(options, clock, steering, recordsOutput)
    {
    }
    static AgentOptions steeringOptions(const FlowReporterOptions& options)
    {
        AgentOptions result;
        result.self = options.self;
        result.dataCentre = options.dataCentre;
        result.incarnation = options.incarnation;
        return result;
    }
};

struct Site final : AgentRecordsOutput {
    ManualClock clock;
    FakePacketFormat format;
    std::map<Endpoint, Control> controls;
    FlowReporterOptions options;
    std::unique_ptr<AgentProcess> agent;
    Heartbeat target;
    bool targetRuns = false;
    Time nextHeartbeat;
    std::function<bool(Endpoint, const Envelope&)> loses = [](Endpoint, const Envelope&) { return false; };
    size_t reports = 0;
    size_t reportBytes = 0;
    size_t ended = 0; // of flowsEnded()

    explicit Site(Duration interval = std::chrono::seconds(1))
    {
        options.self = testMember(1).agent;
        options.dataCentre = "east";
        options.interval = interval;
        for (auto [control, dataCentre] : { std::pair(near, "east"), std::pair(far, "west"), std::pair(other, "west") })
            controls[control].dataCentre = dataCentre;
        startControls();
        startAgent();
        startTarget();
    }
    void startControl(Endpoint control)
    {
        Control& instance = controls[control];
        instance.options.dataCentre = instance.dataCentre;
        instance.records = std::make_unique<FlowRecords>(instance.options, clock);
        if (!instance.file.empty())
            CHECK(instance.records->load(instance.file).ok());
    }
    void startAgent(bool hasState = true)
    {
        ++options.incarnation;
        agent = std::make_unique<AgentProcess>(options, format, clock, *this);
        if (hasState)
            agent->steering.setState(StateIndex(1), makeHubRouteTable(), {});
    }
    void startTarget()
    {
        target = Heartbeat();
        target.id = "t";
        target.service = hub;
        target.startTimeMs = uint64_t(clock.wallTime().count());
        target.slots = 8;
        targetRuns = true;
        nextHeartbeat = clock.now();
    }
    void heartbeat(const Heartbeat& heartbeat)
    {
        if (!agent)
            return;
        agent->steering.onHeartbeat(heartbeat);
        agent->steering.onRegistered(
            agent->steering.record().incarnation, agent->steering.record().targetStartSequence);
        agent->records.onTick(endpoints());
    }
    std::vector<Endpoint> endpoints() const
    {
        std::vector<Endpoint> result;
        for (const auto& [control, instance] : controls)
            result.push_back(control);
        return result;
    }
    void run(Duration duration)
    {
        for (; duration > Duration::zero(); duration -= tick) {
            clock.advance(tick);
            if (targetRuns && clock.now() >= nextHeartbeat) {
                ++target.sequence;
                heartbeat(target);
                nextHeartbeat = clock.now() + std::chrono::milliseconds(1200);
            }
            if (agent) {
                agent->steering.onTick();
                agent->records.onTick(endpoints());
            }
            for (auto& [control, instance] : controls) {
                if (!instance.records || !instance.records->isWriteDue())
                    continue;
                instance.file = instance.records->takeFile();
                ++instance.writes;
            }
        }
    }
    void stopControls()
    {
        for (auto& [control, instance] : controls)
            instance.records.reset();
    }
    void startControls()
    {
        for (auto& [control, instance] : controls)
            startControl(control);
    }
    // All processes end; files stay.
    void losePower()
    {
        agent.reset();
        targetRuns = false;
        stopControls();
        clock.advance(std::chrono::milliseconds(920));
    }
    void restorePower(bool hasState = false)
    {
        startControls();
        startAgent(hasState);
        startTarget();
    }
    // A flow whose target has sent data up to `answerEnd`.
    void open(uint16_t number, uint32_t answerEnd, uint32_t callerIsn = 0)
    {
        offer(number, callerIsn);
        answer(number, answerEnd, callerIsn);
    }
    void offer(uint16_t number, uint32_t callerIsn = 0)
    {
        FlowPacket syn = synPacket(testFlow(number));
        syn.sequence = callerIsn;
        Frame frame;
        frame.kind = FrameKind::Offer;
        frame.nextPosition = 1;
        frame.service = hub;
        frame.entry = entryEndpoint;
        frame.members.assign(1, options.self);
        std::vector<uint8_t> bytes = frameBytes(frame, syn);
        agent->steering.onFrame(entryEndpoint, bytes.data(), bytes.size());
    }
    void answer(uint16_t number, uint32_t answerEnd, uint32_t callerIsn = 0, bool fin = false)
    {
        FlowPacket packet = dataPacket(testFlow(number), 1);
        packet.sequence = answerEnd - 1;
        packet.acknowledged = callerIsn + 1;
        packet.fin = fin;
        std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
        agent->steering.onTargetPacket(bytes.data(), bytes.size());
    }
    // A request of one byte that follows `sentBytes` of the caller, and its answer.
    void request(uint16_t number, uint32_t answerEnd, uint32_t sentBytes)
    {
        FlowPacket packet = dataPacket(testFlow(number), 1);
        packet.sequence = sentBytes;
        packet.acknowledged = answerEnd;
        Frame frame;
        frame.nextPosition = 1;
        frame.service = hub;
        frame.entry = entryEndpoint;
        frame.members.assign(1, options.self);
        std::vector<uint8_t> bytes = frameBytes(frame, packet);
        agent->steering.onFrame(entryEndpoint, bytes.data(), bytes.size());
        answer(number, answerEnd + 1);
    }
    // Sequence numbers of the resets that the agent has sent, by the caller's port.
    std::map<uint16_t, uint32_t> resets() const
    {
        std::map<uint16_t, uint32_t> result;
        for (const RecordingOutput::Sent& sent : agent->output.toCaller) {
            std::optional<FlowPacket> packet
                = format.decode(sent.bytes.data(), sent.bytes.size(), Direction::FromTarget);
            if (packet && packet->reset) {
                CHECK(result.count(packet->flow.caller.port) == 0); // each flow is reset once
                result[packet->flow.caller.port] = packet->sequence;
            }
        }
        return result;
    }
    size_t recordedAt(Endpoint control) const { return controls.at(control).records->flowCount(); }

    void sendFlowReport(Endpoint to, const FlowReport& report) override
    {
        ++reports;
        reportBytes += encodeMessage(report).size();
        deliver(to, { MessageKind::FlowReport, encodeMessage(report) });
    }
    void sendFlowsRequest(Endpoint to, const FlowsRequest& request) override
    {
        deliver(to, { MessageKind::FlowsRequest, encodeMessage(request) });
    }
    void flowsEnded(size_t count, const TargetStart&) override { ended += count; }
    void deliver(Endpoint to, const Envelope& envelope)
    {
        Control& control = controls[to];
        if (!control.records || loses(to, envelope))
            return;
        std::optional<Envelope> answer = control.records->onMessage(options.self, envelope);
        FlowReportAck ack;
        FlowsReply reply;
        if (!answer || loses(to, *answer))
            return;
        if (answer->kind == MessageKind::FlowReportAck && decodeMessage(answer->body, ack))
            agent->records.onMessage(to, ack);
        else if (decodeMessage(answer->body, reply))
            agent->records.onMessage(to, reply);
    }
};

} // namespace cicadaward::cluster
