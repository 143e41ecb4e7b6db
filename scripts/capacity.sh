#!/usr/bin/env bash
# Measures memory, processor time and control traffic of each role with real processes at several sizes.
# Usage: scripts/capacity.sh [SERVERS ...]. Prints one line for each size and role: servers, role, resident KiB,
# milliseconds of processor time a second, control bytes sent and received a second (process totals over 10 s).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh > /dev/null
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8 16 32 64)
port=26000

counter() { # FILE.ini NAME: a gauge of the daemon that the settings file belongs to
    local listen
    listen=$(sed -n '/^\[admin\]/,/^\[/s/^listen=//p' "$1")
    if [[ $1 == *control-* ]]; then
        curl -s -H "Authorization: Bearer experiment-token" "http://$listen/v1/metrics"
    else
        curl -s "http://$listen/"
    fi | grep -o "\"$2\":[0-9]*" | head -1 | cut -d: -f2
}

sample() { # FILE.ini: "cpu ticks, resident KiB, sent, received"
    local pid
    pid=$(pgrep -f -- "--config $1" | head -1)
    echo "$(awk '{print $14+$15}' "/proc/$pid/stat") $(awk '/VmRSS/{print $2}' "/proc/$pid/status") \
$(counter "$1" control.bytes_sent) $(counter "$1" control.bytes_received)"
}

for servers in "${sizes[@]}"; do
    folder=run/capacity-$servers
    plan=$(mktemp --suffix=.ini)
    printf '[experiment]\nseconds=30\n[topology]\ndata-centres=dc-1,dc-2\nentries=2\ncontrols=3\n' > "$plan"
    printf '[service.sequencer]\naddress=10.100.0.1\nservers=%d\nfeeds=%d\n' "$servers" $((servers * 100)) >> "$plan"
    build/bin/cicadaward-bench --plan "$plan" --programs build/bin --run-folder "$folder" --base-port $port --json > /dev/null &
    bench=$!
    sleep 16
    declare -A before=()
    files=("$folder/entry-1.ini" "$folder/sequencer-1-agent.ini" "$folder/control-1.ini" "$folder/control-2.ini" "$folder/control-3.ini")
    for file in "${files[@]}"; do before[$file]=$(sample "$file"); done
    sleep 10
    for file in "${files[@]}"; do
        read -r cpu0 _ sent0 received0 <<< "${before[$file]}"
        read -r cpu1 memory sent1 received1 <<< "$(sample "$file")"
        echo "$servers $(basename "$file" .ini) $memory $(((cpu1 - cpu0) * 10 / 10)) $(((sent1 - sent0) / 10)) $(((received1 - received0) / 10))"
    done
    wait $bench || true
    rm -f "$plan"
    port=$((port + 400))
done
