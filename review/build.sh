#!/usr/bin/env bash
# The stand-ins of the scripts are Python 3 (3.9 or later, standard library only), so there is nothing to compile: this checks
# that the interpreter runs and that each file is well formed. The programs are those of the build line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast, glob, sys
assert sys.version_info >= (3, 9), sys.version
for path in ["standin.py"] + sorted(glob.glob("*/case.py")):
    ast.parse(open(path).read(), path)
    print("ok", path)
EOF
test -x ../target/bin/cicadaward-flow || { echo "target/bin/cicadaward-flow is missing: build by deploy/system.toml first"; exit 1; }
