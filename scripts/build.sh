#!/usr/bin/env bash
# Builds everything. Usage: scripts/build.sh [--sanitize]. The build directory is build/ or build-sanitize/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
directory=build
options=()
if [ "${1:-}" = "--sanitize" ]; then
    directory=build-sanitize
    options+=(-DCICADAWARD_SANITIZE=ON)
fi
cmake -S . -B "$directory" -G Ninja "${options[@]}" > "/tmp/cicadaward-cmake-$$.log" || { cat "/tmp/cicadaward-cmake-$$.log"; exit 1; }
rm -f "/tmp/cicadaward-cmake-$$.log"
cmake --build "$directory"
