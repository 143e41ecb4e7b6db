// MessagePack adaptors for the Raft messages; see directory/codec.h for encodeMessage() and decodeMessage().
#pragma once

#include "raft/configuration.h"
#include "raft/messages.h"
#include "store/codec.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        CICADAWARD_CODEC(cicadaward::raft::Configuration, 2, v.voters, v.learners)
        CICADAWARD_CODEC(
            cicadaward::raft::VoteRequest, 4, v.preVote, v.leadershipTransfer, v.lastLogIndex, v.lastLogTerm)
        CICADAWARD_CODEC(cicadaward::raft::VoteReply, 2, v.preVote, v.granted)
        CICADAWARD_CODEC(
            cicadaward::raft::AppendRequest, 5, v.prevLogIndex, v.prevLogTerm, v.commitIndex, v.sentAt, v.entries)
        CICADAWARD_CODEC(cicadaward::raft::AppendReply, 5, v.accepted, v.index, v.indexTerm, v.prevLogIndex, v.sentAt)
        CICADAWARD_CODEC(cicadaward::raft::SnapshotChunk, 7, v.index, v.term, v.configuration, v.offset, v.totalBytes,
            v.sentAt, v.data)
        CICADAWARD_CODEC(cicadaward::raft::SnapshotReply, 3, v.index, v.receivedBytes, v.sentAt)
        CICADAWARD_CODEC(cicadaward::raft::TimeoutNow, 1, v.lastLogIndex)

        // Encoded as [from, to, term, position of the body's type in the variant, body].
        template <> struct convert<cicadaward::raft::RaftMessage> {
            const msgpack::object& operator()(const msgpack::object& o, cicadaward::raft::RaftMessage& v) const
            {
                if (o.type != msgpack::type::ARRAY || o.via.array.size < 5)
                    throw msgpack::type_error();
                const msgpack::object* fields = o.via.array.ptr;
                v.from = fields[0].as<cicadaward::InstanceId>();
                v.to = fields[1].as<cicadaward::InstanceId>();
                v.term = fields[2].as<cicadaward::Term>();
                convertBody<0>(fields[3].as<size_t>(), fields[4], v.body);
                return o;
            }
            template <size_t Number, typename Body>
            static void convertBody(size_t number, const msgpack::object& o, Body& body)
            {
                if constexpr (Number == std::variant_size_v<Body>) {
                    throw msgpack::type_error();
                } else {
                    if (number != Number)
                        return convertBody<Number + 1>(number, o, body);
                    body = o.as<std::variant_alternative_t<Number, Body>>();
                }
            }
        };
        template <> struct pack<cicadaward::raft::RaftMessage> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(
                msgpack::packer<Stream>& out, const cicadaward::raft::RaftMessage& v) const
            {
                out.pack_array(5);
                out.pack(v.from).pack(v.to).pack(v.term).pack(v.body.index());
                std::visit([&](const auto& body) { out.pack(body); }, v.body);
                return out;
            }
        };

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
