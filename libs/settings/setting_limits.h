// Limits that the tables of all daemons share.
#pragma once

#include <cstdint>

namespace cicadaward::detail {

constexpr int64_t maxPathBytes = 4096;
constexpr int64_t maxNameBytes = 64;
constexpr int64_t maxMs = 3'600'000;
// The page allows at most 7 control instances; 16 leaves room for a list that names an old and a new set.
constexpr int64_t maxControlPeers = 16;

} // namespace cicadaward::detail
