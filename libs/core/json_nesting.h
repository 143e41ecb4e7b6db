// Bounds the nesting of a JSON text before it is parsed: each level of a parsed value takes many times the bytes of its
// bracket, and copying a value recurses once for each level.
//
//     if (isNestedDeeperThan(text, maxJsonNesting))
//         return absl::InvalidArgumentError("is nested too deeply");
//
// Cost: one pass over the text, no memory.
#pragma once

#include <cstddef>
#include <string>

namespace cicadaward {

constexpr size_t maxJsonNesting = 64; // levels, far more than any document of the system has

// True when lists and objects are nested in more than `limit` levels. Of a text that is no JSON, the result means
// nothing.
bool isNestedDeeperThan(const std::string& json, size_t limit);

} // namespace cicadaward
