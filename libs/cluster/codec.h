// MessagePack adaptors for the replicated state and the messages of the cluster.
#pragma once

#include "cluster/messages.h"
#include "cluster/state.h"
#include "directory/codec.h"

MSGPACK_ADD_ENUM(cicadaward::cluster::CommandKind)
MSGPACK_ADD_ENUM(cicadaward::cluster::MessageKind)
MSGPACK_ADD_ENUM(cicadaward::steering::FlowReportResult)
MSGPACK_ADD_ENUM(cicadaward::steering::TargetState)

namespace cicadaward::cluster::detail {

// Encodes a list of flows in one string, with a fixed number of big-endian bytes for each: much shorter than an array
// of MessagePack arrays.
class FlowWriter {
public:
    void put(uint64_t value, size_t bytes)
    {
        for (size_t i = bytes; i-- > 0;)
            m_text.push_back(static_cast<char>(value >> (8 * i)));
    }
    void put(const steering::FlowId& flow)
    {
        put(flow.caller.key(), 6);
        put(flow.service.key(), 6);
    }
    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

class FlowReader {
public:
    FlowReader(const msgpack::object& text, size_t itemBytes)
        : m_text(text.as<std::string>())
    {
        if (m_text.size() % itemBytes != 0)
            throw msgpack::type_error();
    }
    bool isAtEnd() const { return m_offset == m_text.size(); }
    uint64_t take(size_t bytes)
    {
        uint64_t value = 0;
        for (size_t i = 0; i < bytes; ++i)
            value = (value << 8) | static_cast<uint8_t>(m_text[m_offset++]);
        return value;
    }
    Endpoint takeEndpoint()
    {
        uint64_t key = take(6);
        return { static_cast<uint32_t>(key >> 16), static_cast<uint16_t>(key) };
    }
    steering::FlowId takeFlow()
    {
        Endpoint caller = takeEndpoint();
        return { caller, takeEndpoint() };
    }

private:
    std::string m_text;
    size_t m_offset = 0;
};

constexpr size_t flowIdBytes = 12;

} // namespace cicadaward::cluster::detail

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <> struct convert<std::chrono::milliseconds> {
            const msgpack::object& operator()(const msgpack::object& o, std::chrono::milliseconds& v) const
            {
                v = std::chrono::milliseconds(o.as<int64_t>());
                return o;
            }
        };
        template <> struct pack<std::chrono::milliseconds> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& out, const std::chrono::milliseconds& v) const
            {
                return out.pack(static_cast<int64_t>(v.count()));
            }
        };

        CICADAWARD_CODEC(cicadaward::steering::WeightedService, 2, v.service, v.weight)
        CICADAWARD_EXTENDED_CODEC(cicadaward::steering::Route, 4, 9, v.name, v.address, v.services, v.formerServices,
            v.objective, v.timeout, v.priority, v.isIdempotent, v.hasBulkRequests)
        CICADAWARD_CODEC(cicadaward::steering::ServicePolicy, 5, v.key, v.name, v.warmUp, v.warmUpRate, v.maxFlows)
        CICADAWARD_CODEC(cicadaward::steering::Configuration, 4, v.version, v.routes, v.services, v.flowIdleLimit)
        CICADAWARD_EXTENDED_CODEC(cicadaward::steering::MemberRecord, 6, 7, v.agent, v.service, v.dataCentre, v.state,
            v.incarnation, v.sequence, v.targetStartSequence)
        CICADAWARD_CODEC(cicadaward::cluster::InstanceAddress, 2, v.peer, v.adminApi)
        CICADAWARD_EXTENDED_CODEC(cicadaward::cluster::Command, 7, 8, v.kind, v.configuration, v.compressedText,
            v.dataCentre, v.isEvacuated, v.instance, v.address, v.members)
        CICADAWARD_CODEC(cicadaward::cluster::ForwardingState, 3, v.index, v.configuration, v.evacuatedDataCentres)
        CICADAWARD_CODEC(cicadaward::cluster::ForwardingDelta, 9, v.baseIndex, v.index, v.version, v.flowIdleLimit,
            v.routes, v.removedRoutes, v.services, v.removedServices, v.evacuatedDataCentres)
        CICADAWARD_CODEC(cicadaward::cluster::StateNotice, 1, v.stateIndex)
        CICADAWARD_CODEC(cicadaward::cluster::Controls, 1, v.controls)
        CICADAWARD_CODEC(cicadaward::cluster::Envelope, 2, v.kind, v.body)
        CICADAWARD_CODEC(cicadaward::cluster::StatePart, 4, v.index, v.offset, v.size, v.bytes)
        CICADAWARD_EXTENDED_CODEC(cicadaward::cluster::Poll, 4, 10, v.stateIndex, v.table, v.wantsMembers, v.records,
            v.confirmationNumber, v.period, v.digest, v.continues, v.partIndex, v.partOffset)
        CICADAWARD_CODEC(cicadaward::cluster::TableVersion, 2, v.owner, v.number)
        CICADAWARD_EXTENDED_CODEC(cicadaward::cluster::PollReply, 9, 16, v.stateIndex, v.state, v.table, v.members,
            v.silent, v.controls, v.leader, v.term, v.newestIncarnation, v.registeredIncarnation, v.registeredStart,
            v.confirmationNumber, v.pollers, v.deltas, v.wantsDigest, v.part)
        CICADAWARD_CODEC(cicadaward::cluster::Hello, 3, v.instance, v.address, v.forwarded)

        template <> struct convert<std::vector<cicadaward::steering::RecordedFlow>> {
            const msgpack::object& operator()(
                const msgpack::object& o, std::vector<cicadaward::steering::RecordedFlow>& v) const
            {
                cicadaward::cluster::detail::FlowReader reader(o, cicadaward::steering::recordedFlowBytes);
                while (!reader.isAtEnd()) {
                    cicadaward::steering::FlowId flow = reader.takeFlow();
                    v.push_back({ flow, static_cast<uint32_t>(reader.take(4)) });
                }
                return o;
            }
        };
        template <> struct pack<std::vector<cicadaward::steering::RecordedFlow>> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(
                msgpack::packer<Stream>& out, const std::vector<cicadaward::steering::RecordedFlow>& v) const
            {
                cicadaward::cluster::detail::FlowWriter writer;
                for (const cicadaward::steering::RecordedFlow& recorded : v) {
                    writer.put(recorded.flow);
                    writer.put(recorded.acknowledged, 4);
                }
                return out.pack(writer.text());
            }
        };
        template <> struct convert<std::vector<cicadaward::steering::FlowId>> {
            const msgpack::object& operator()(
                const msgpack::object& o, std::vector<cicadaward::steering::FlowId>& v) const
            {
                cicadaward::cluster::detail::FlowReader reader(o, cicadaward::cluster::detail::flowIdBytes);
                while (!reader.isAtEnd())
                    v.push_back(reader.takeFlow());
                return o;
            }
        };
        template <> struct pack<std::vector<cicadaward::steering::FlowId>> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(
                msgpack::packer<Stream>& out, const std::vector<cicadaward::steering::FlowId>& v) const
            {
                cicadaward::cluster::detail::FlowWriter writer;
                for (const cicadaward::steering::FlowId& flow : v)
                    writer.put(flow);
                return out.pack(writer.text());
            }
        };
        CICADAWARD_CODEC(cicadaward::steering::TargetStart, 3, v.id, v.startTimeMs, v.service)
        CICADAWARD_CODEC(cicadaward::steering::FlowReport, 8, v.agent, v.incarnation, v.start, v.sequence, v.base,
            v.reportedMs, v.flows, v.closed)
        CICADAWARD_CODEC(
            cicadaward::steering::FlowReportAck, 4, v.incarnation, v.sequence, v.result, v.recordedIncarnation)
        CICADAWARD_CODEC(cicadaward::steering::FlowsRequest, 1, v.round)
        CICADAWARD_CODEC(cicadaward::steering::FlowsReply, 4, v.round, v.dataCentre, v.hasRecord, v.record)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
