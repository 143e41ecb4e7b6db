#!/usr/bin/env bash
# Runs one experiment. Usage: scripts/experiment.sh NAME [--seed N] [--plot FILE.svg] [--json].
# NAME is a file experiments/NAME.ini. Exit code 1 means that a goal was missed; the goal is named.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?"usage: scripts/experiment.sh NAME [--seed N] [--plot FILE.svg] [--json]"}
shift
plot=""
options=()
while [ $# -gt 0 ]; do
    case "$1" in
    --plot) plot=${2:?"--plot needs a file"}; shift 2 ;;
    --seed) options+=(--seed "${2:?"--seed needs a number"}"); shift 2 ;;
    --json) options+=(--json); shift ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
done
scripts/build.sh > /dev/null
code=0
build/bin/cicadaward-bench --plan "experiments/$name.ini" --programs build/bin --run-folder "run/$name" "${options[@]}" || code=$?
if [ -n "$plot" ]; then
    gnuplot -e "set terminal svg size 900,500; set output '$plot'; set datafile separator ','; set key outside; \
        set xlabel 'seconds'; set ylabel 'requests per second'; set y2label 'share of feeds open'; set y2range [0:1.05]; \
        set y2tics; set title '$name'; csv='run/$name/timeline.csv'; \
        plot csv using 1:2 every ::1 with lines title 'answered', csv using 1:3 every ::1 with lines title 'not run', \
        csv using 1:4 every ::1 with lines title 'unknown', csv using 1:6 every ::1 axes x1y2 with lines title 'feeds open'"
fi
exit $code
