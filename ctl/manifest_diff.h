// Differences between two manifests, one line each: "+" added, "-" removed, "~" changed, "!" warning.
//
//     for (const std::string& line : diffManifests(inForce, wanted))
//         std::cout << line << "\n"; // ~ service artwork: slotsPerTarget 5 -> 6
#pragma once

#include "directory/manifest.h"

#include <string>
#include <vector>

namespace cicadaward {

// Versions are not compared.
std::vector<std::string> diffManifests(const Manifest& before, const Manifest& after);

} // namespace cicadaward
