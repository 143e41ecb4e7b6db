#include "flow/messages.h"

namespace cicadaward::flow {

namespace detail {

    // The first byte of a MessagePack array of two elements.
    constexpr uint8_t twoElementArrayMarker = 0x92;

    template <size_t Index = 0> bool convertBody(uint32_t type, const msgpack::object& body, PeerMessage& message)
    {
        if constexpr (Index == std::variant_size_v<PeerMessage>) {
            return false;
        } else {
            if (type != Index)
                return convertBody<Index + 1>(type, body, message);
            body.convert(message.emplace<Index>());
            return true;
        }
    }

    // Checks the sizes that senders of this library never exceed.
    bool isWithinBounds(const PeerMessage& message)
    {
        if (const auto* opened = std::get_if<FlowOpened>(&message))
            return opened->flows.size() <= maxFlowsPerMessage;
        if (const auto* reply = std::get_if<BucketSyncReply>(&message))
            return reply->parts > 0 && reply->part < reply->parts && reply->parts <= maxParts
                && reply->buckets.size() <= maxBucketsPerReply;
        if (const auto* reply = std::get_if<HolderSyncReply>(&message))
            return reply->parts > 0 && reply->part < reply->parts && reply->parts <= maxParts;
        return true;
    }

} // namespace detail

std::string encodePeerMessage(const PeerMessage& message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<uint32_t>(message.index()));
    std::visit([&](const auto& body) { packer.pack(body); }, message);
    return std::string(buffer.data(), buffer.size());
}

bool peerMessageType(Bytes bytes, uint32_t& type)
{
    if (bytes.size() < 3 || bytes[0] != detail::twoElementArrayMarker || bytes[1] > 0x7f)
        return false;
    type = bytes[1];
    return true;
}

bool decodePeerMessage(Bytes bytes, PeerMessage& message)
{
    uint32_t type = 0;
    if (!peerMessageType(bytes, type))
        return false;
    try {
        size_t offset = 0;
        msgpack::object_handle handle = msgpack::unpack(reinterpret_cast<const char*>(bytes.data()), bytes.size(),
            offset, nullptr, nullptr, cicadaward::detail::unpackLimits());
        if (offset != bytes.size())
            return false;
        return detail::convertBody(type, handle.get().via.array.ptr[1], message) && detail::isWithinBounds(message);
    } catch (const std::exception&) {
        return false; // msgpack throws on damaged input
    }
}

} // namespace cicadaward::flow
