#include "packet/tunnel.h"

#include <boost/endian/conversion.hpp>

namespace cicadaward {

namespace detail {

    constexpr uint8_t tunnelFormatVersion = 1;

    template <typename T> uint8_t* storeBigEndian(uint8_t* out, T value)
    {
        boost::endian::native_to_big_inplace(value);
        std::memcpy(out, &value, sizeof(value));
        return out + sizeof(value);
    }

    template <typename T> const uint8_t* loadBigEndian(const uint8_t* in, T& value)
    {
        std::memcpy(&value, in, sizeof(value));
        boost::endian::big_to_native_inplace(value);
        return in + sizeof(value);
    }

} // namespace detail

size_t encodeTunnel(const TunnelHeader& header, const uint8_t* payload, size_t payloadSize, uint8_t* out)
{
    std::memmove(out + tunnelHeaderBytes, payload, payloadSize);
    out = detail::storeBigEndian(
        out, static_cast<uint8_t>(detail::tunnelFormatVersion << 4 | static_cast<uint8_t>(header.kind)));
    out = detail::storeBigEndian(out, header.hops);
    out = detail::storeBigEndian(out, header.bucket.value());
    out = detail::storeBigEndian(out, header.service.value());
    out = detail::storeBigEndian(out, header.version.term.value());
    out = detail::storeBigEndian(out, header.version.sequence);
    out = detail::storeBigEndian(out, header.sender.value());
    out = detail::storeBigEndian(out, header.targetIncarnation.value());
    out = detail::storeBigEndian(out, header.dataCentre.value());
    detail::storeBigEndian(out, uint16_t { 0 });
    return tunnelHeaderBytes + payloadSize;
}

bool decodeTunnel(const uint8_t* data, size_t size, TunnelHeader& header)
{
    if (size < tunnelHeaderBytes || data[0] >> 4 != detail::tunnelFormatVersion)
        return false;
    uint8_t kind = data[0] & 0x0f;
    if (kind < static_cast<uint8_t>(TunnelKind::ToOwner) || kind > static_cast<uint8_t>(TunnelKind::RequestMessage))
        return false;
    header.kind = static_cast<TunnelKind>(kind);
    header.hops = data[1];
    const uint8_t* in = data + 2;
    uint16_t bucket;
    uint32_t service;
    uint64_t term;
    uint64_t sender;
    uint64_t incarnation;
    uint16_t dataCentre;
    in = detail::loadBigEndian(in, bucket);
    in = detail::loadBigEndian(in, service);
    in = detail::loadBigEndian(in, term);
    in = detail::loadBigEndian(in, header.version.sequence);
    in = detail::loadBigEndian(in, sender);
    in = detail::loadBigEndian(in, incarnation);
    detail::loadBigEndian(in, dataCentre);
    header.bucket = BucketId(bucket);
    header.service = ServiceId(service);
    header.version.term = Term(term);
    header.sender = MemberId(sender);
    header.targetIncarnation = Incarnation(incarnation);
    header.dataCentre = DataCentreId(dataCentre);
    return true;
}

} // namespace cicadaward
