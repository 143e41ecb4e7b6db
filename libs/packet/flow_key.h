// The 5-tuple of a flow and its hash.
#pragma once

#include "core/hash.h"
#include "core/ids.h"

#include <cstdint>
#include <cstring>
#include <utility>

namespace cicadaward {

enum class Protocol : uint8_t {
    Tcp = 6,
    Udp = 17,
};

// Addresses and ports are in host byte order; the source is the caller. 16 bytes without padding, so that the object's
// bytes can be hashed and compared.
struct FlowKey {
    uint32_t sourceAddress = 0;
    uint32_t destinationAddress = 0;
    uint16_t sourcePort = 0;
    uint16_t destinationPort = 0;
    Protocol protocol = Protocol::Tcp;
    uint8_t reserved[3] = { 0, 0, 0 };

    friend bool operator==(const FlowKey& a, const FlowKey& b) { return std::memcmp(&a, &b, sizeof(a)) == 0; }
    friend bool operator!=(const FlowKey& a, const FlowKey& b) { return !(a == b); }
    friend bool operator<(const FlowKey& a, const FlowKey& b) { return std::memcmp(&a, &b, sizeof(a)) < 0; }
    template <typename H> friend H AbslHashValue(H state, const FlowKey& key)
    {
        return H::combine(std::move(state), key.hash());
    }

    uint64_t hash() const { return hashBytes(this, sizeof(*this), 0); }
};
static_assert(sizeof(FlowKey) == 16, "the key is hashed as bytes");

// `bucketCount` is a power of two, at most 65,536.
inline BucketId bucketOf(uint64_t flowHash, uint32_t bucketCount)
{
    return BucketId(static_cast<uint16_t>(flowHash & (bucketCount - 1)));
}

} // namespace cicadaward
