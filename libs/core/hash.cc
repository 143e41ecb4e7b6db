#include "core/hash.h"

#include <xxhash.h>

namespace cicadaward {

uint64_t hashBytes(const void* data, size_t size, uint64_t seed) { return XXH3_64bits_withSeed(data, size, seed); }

uint64_t hashString(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

} // namespace cicadaward
