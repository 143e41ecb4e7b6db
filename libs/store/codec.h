// MessagePack adaptors for the stored records; see directory/codec.h for encodeMessage() and decodeMessage().
#pragma once

#include "directory/codec.h"
#include "store/records.h"

namespace cicadaward::detail {

// Payload of one frame of a segment.
struct BatchFrame {
    bool reset = false; // the log starts empty with this frame; entries of earlier frames are obsolete
    bool hasState = false;
    HardState state;
    std::vector<LogEntry> entries;
};

// First frame of a snapshot file. The payload of the second frame is the snapshot's data without an encoding.
struct SnapshotFrame {
    LogIndex index = 0;
    Term term;
    std::string configuration;
};

} // namespace cicadaward::detail

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <> struct convert<cicadaward::EntryKind> {
            const msgpack::object& operator()(const msgpack::object& o, cicadaward::EntryKind& kind) const
            {
                auto value = o.as<uint8_t>();
                if (value > static_cast<uint8_t>(cicadaward::EntryKind::Configuration))
                    throw msgpack::type_error();
                kind = static_cast<cicadaward::EntryKind>(value);
                return o;
            }
        };
        template <> struct pack<cicadaward::EntryKind> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& out, const cicadaward::EntryKind& kind) const
            {
                return out.pack(static_cast<uint8_t>(kind));
            }
        };

        CICADAWARD_CODEC(cicadaward::LogEntry, 4, v.index, v.term, v.kind, v.data)
        CICADAWARD_CODEC(cicadaward::HardState, 2, v.term, v.vote)
        CICADAWARD_CODEC(cicadaward::detail::BatchFrame, 4, v.reset, v.hasState, v.state, v.entries)
        CICADAWARD_CODEC(cicadaward::detail::SnapshotFrame, 3, v.index, v.term, v.configuration)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
