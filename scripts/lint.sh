#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy. Usage: scripts/lint.sh [--format-only] [FILE.cc ...].
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.h' '*.cc' | xargs clang-format --dry-run --Werror
[ "${1:-}" = "--format-only" ] && exit 0
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja > /dev/null
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' | grep -v '^cmake/'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
