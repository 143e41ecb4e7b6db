// For tests that give changed bytes to a reader.
#pragma once

#include "core/random.h"

#include <cstdint>
#include <cstdlib>
#include <string>

namespace cicadaward {

// CICADAWARD_FUZZ_SEEDS of the environment, or 300.
inline uint64_t fuzzSeedCount()
{
    const char* text = std::getenv("CICADAWARD_FUZZ_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 300;
}

// Changes, cuts, repeats or inserts bytes, less than `changeLimit` times.
inline std::string mutateBytes(std::string bytes, Random& random, uint64_t changeLimit)
{
    for (uint64_t i = random.below(changeLimit); i > 0 && !bytes.empty(); --i) {
        size_t at = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[at] = static_cast<char>(random.next());
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes += bytes.substr(at);
            break;
        default:
            bytes.insert(at, 1, static_cast<char>(random.next()));
            break;
        }
    }
    return bytes;
}

} // namespace cicadaward
