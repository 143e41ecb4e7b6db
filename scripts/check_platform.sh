#!/usr/bin/env bash
# Fails when a name of the platform's pages stands outside platform/, deploy/ and docs/, when platform/ grows beyond its
# limit, or when it includes a header that belongs to the inside of a decision library.
set -euo pipefail
cd "$(dirname "$0")/.."
limit=600
names='path-prefix|warmup-per-s|warmup-s|warmup-left-ms|heartbeat-addr|max-conns|/v1/(config|ready|evacuate|instances)|datagram-addr|ready-addr|deploy-mode|hash-fn|idle-timeout-ms|target-latency-ms|CICADAWARD_SETTINGS|count-loss|internal-ports'
failed=0
if git ls-files -co --exclude-standard '*.h' '*.cc' | grep -vE '^(platform|deploy|docs)/' | xargs grep -nE "$names"; then
    echo "names of the platform outside platform/, deploy/ and docs/ (above)"
    failed=1
fi
lines=$(git ls-files -co --exclude-standard 'platform/*.h' 'platform/*.cc' | grep -vE '_test\.cc$|/soak/' | xargs cat | wc -l)
if [ "$lines" -gt "$limit" ]; then
    echo "platform/ has $lines lines; at most $limit"
    failed=1
fi
if grep -nE '#include "(raft|store|cluster|flow|request|control)/' platform/*.h platform/*.cc; then
    echo "platform/ includes the inside of a decision library (above)"
    failed=1
fi
exit $failed
