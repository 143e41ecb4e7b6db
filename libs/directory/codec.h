// MessagePack adaptors for ids and directory types, and the functions that encode and decode every message:
//
//     std::string bytes = encodeMessage(announcement);
//     Announcement announcement;
//     if (!decodeMessage(bytes, announcement))
//         count(EventId::MessageDamaged);
//
// A message struct lists its fields with MSGPACK_DEFINE_ARRAY. Fields are only ever added at the end.
#pragma once

#include "directory/directory.h"

#include <msgpack.hpp>
#include <string>

MSGPACK_ADD_ENUM(cicadaward::MemberRole)
MSGPACK_ADD_ENUM(cicadaward::MemberState)
MSGPACK_ADD_ENUM(cicadaward::PortMode)
MSGPACK_ADD_ENUM(cicadaward::Protocol)

namespace cicadaward::detail {

// Limits on what msgpack allocates for untrusted input.
inline msgpack::unpack_limit unpackLimits()
{
    constexpr size_t maxItems = 1 << 22;
    return msgpack::unpack_limit(maxItems, maxItems, maxItems, maxItems, maxItems, 32);
}

} // namespace cicadaward::detail

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <typename Tag, typename Value> struct convert<cicadaward::Id<Tag, Value>> {
            const msgpack::object& operator()(const msgpack::object& o, cicadaward::Id<Tag, Value>& id) const
            {
                id = cicadaward::Id<Tag, Value>(o.as<Value>());
                return o;
            }
        };
        template <typename Tag, typename Value> struct pack<cicadaward::Id<Tag, Value>> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(
                msgpack::packer<Stream>& out, const cicadaward::Id<Tag, Value>& id) const
            {
                return out.pack(id.value());
            }
        };

// Packs the named fields of a struct as an array, in this order.
#define CICADAWARD_CODEC(TYPE, COUNT, ...) CICADAWARD_EXTENDED_CODEC(TYPE, COUNT, COUNT, __VA_ARGS__)

// The same for a struct that had only its first MINIMUM fields in an earlier version: fields that are missing at the
// end keep their defaults, so logs and messages of that version stay readable.
#define CICADAWARD_EXTENDED_CODEC(TYPE, MINIMUM, COUNT, ...)                                                           \
    template <> struct convert<TYPE> {                                                                                 \
        const msgpack::object& operator()(const msgpack::object& o, TYPE& v) const                                     \
        {                                                                                                              \
            if (o.type != msgpack::type::ARRAY || o.via.array.size < (MINIMUM))                                        \
                throw msgpack::type_error();                                                                           \
            unpackFields(o, __VA_ARGS__);                                                                              \
            return o;                                                                                                  \
        }                                                                                                              \
        template <typename... Fields> static void unpackFields(const msgpack::object& o, Fields&... fields)            \
        {                                                                                                              \
            size_t i = 0;                                                                                              \
            ((i < o.via.array.size ? void(fields = o.via.array.ptr[i++].as<Fields>()) : void()), ...);                 \
        }                                                                                                              \
    };                                                                                                                 \
    template <> struct pack<TYPE> {                                                                                    \
        template <typename Stream>                                                                                     \
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& out, const TYPE& v) const                         \
        {                                                                                                              \
            out.pack_array(COUNT);                                                                                     \
            packFields(out, __VA_ARGS__);                                                                              \
            return out;                                                                                                \
        }                                                                                                              \
        template <typename Stream, typename... Fields>                                                                 \
        static void packFields(msgpack::packer<Stream>& out, const Fields&... fields)                                  \
        {                                                                                                              \
            (out.pack(fields), ...);                                                                                   \
        }                                                                                                              \
    };

        CICADAWARD_CODEC(cicadaward::DirectoryVersion, 2, v.term, v.sequence)
        CICADAWARD_CODEC(cicadaward::Endpoint, 2, v.address, v.port)
        CICADAWARD_CODEC(
            cicadaward::FlowKey, 5, v.sourceAddress, v.destinationAddress, v.sourcePort, v.destinationPort, v.protocol)
        CICADAWARD_CODEC(cicadaward::PortSpec, 3, v.port, v.protocol, v.mode)
        CICADAWARD_CODEC(cicadaward::ServiceSpec, 8, v.name, v.address, v.ports, v.buckets, v.slotsPerTarget,
            v.flowsPerTarget, v.coldShare, v.coldSeconds)
        CICADAWARD_CODEC(cicadaward::Service, 2, v.id, v.spec)
        CICADAWARD_CODEC(cicadaward::DataCentre, 3, v.id, v.name, v.isTakenOut)
        CICADAWARD_CODEC(cicadaward::Member, 10, v.id, v.name, v.role, v.state, v.service, v.dataCentre, v.tunnel,
            v.capacity, v.process, v.target)
        CICADAWARD_CODEC(cicadaward::Directory, 6, v.version, v.manifestEpoch, v.manifestVersion, v.dataCentres,
            v.services, v.members)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace cicadaward {

template <typename T> std::string encodeMessage(const T& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return std::string(buffer.data(), buffer.size());
}

// Returns false when the bytes are not exactly one message of this type. msgpack reports errors by exceptions, which
// are caught here.
template <typename T> bool decodeMessage(const std::string& bytes, T& message)
{
    try {
        size_t offset = 0;
        msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, detail::unpackLimits());
        if (offset != bytes.size())
            return false;
        handle.get().convert(message);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

} // namespace cicadaward
