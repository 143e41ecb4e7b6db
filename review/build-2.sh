#!/bin/sh
# The stand-ins of review/6 to review/10 are Python (review/standin2.py, standard library only): nothing is compiled.
# Checks that they can run. The project's own program is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys, asyncio, tomllib; sys.exit(sys.version_info < (3, 11))'
test -x target/bin/cicadaward-flow || echo "run the build line of deploy/system.toml first" >&2
