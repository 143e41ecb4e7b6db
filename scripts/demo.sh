#!/usr/bin/env bash
# The main job: installs what is missing, builds, and runs experiments/demo.ini with real processes on the loopback
# address. The last line is one JSON object. Usage: scripts/demo.sh [--json].
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = "--json" ]; then
    scripts/build.sh > /dev/null
    exec build/bin/cicadaward-bench --plan experiments/demo.ini --programs build/bin --run-folder run/demo --json 2> /dev/null
fi
scripts/build.sh
exec build/bin/cicadaward-bench --plan experiments/demo.ini --programs build/bin --run-folder run/demo
