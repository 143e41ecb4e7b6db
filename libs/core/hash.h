// 64-bit hashes that are the same in every process and build: they decide bucket owners, so all must agree.
#pragma once

#include <cstdint>
#include <string>

namespace cicadaward {

uint64_t hashBytes(const void* data, size_t size, uint64_t seed);
uint64_t hashString(const std::string& text);

// Mixes two numbers; used where the input is already a hash or an id.
inline uint64_t mixHash(uint64_t a, uint64_t b)
{
    uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace cicadaward
