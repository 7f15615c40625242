#!/usr/bin/env bash
# One entry with the share of one node at the size to design for: 80 requests
# and 16,400 tokens a second, about 1,000 open streams. Runs the same load
# against the stand-in engines directly, then through the entry, and prints the
# time to first token of both and what the entry used.
# Usage: tools/benchmark.sh [BUILD_DIRECTORY [SECONDS]]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
seconds=${2:-40}
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

base=7800
prefill=("127.0.0.1:$((base + 1))" "127.0.0.1:$((base + 2))")
decode=("127.0.0.1:$((base + 3))" "127.0.0.1:$((base + 4))" \
  "127.0.0.1:$((base + 5))" "127.0.0.1:$((base + 6))")
rows='{"name":"bench","kind":"entry","address":"127.0.0.1:7891","domain":"d","state":"live"}'
add() { # NAME ROLE ADDRESS
  rows="$rows,{\"name\":\"$1\",\"kind\":\"engine\",\"role\":\"$2\",\"service\":\"order-reader\",\"address\":\"$3\",\"domain\":\"d\",\"state\":\"live\"}"
}
for i in 0 1; do add "p$i" prefill "${prefill[$i]}"; done
for i in 0 1 2 3; do add "x$i" decode "${decode[$i]}"; done
echo "{\"version\":1,\"instances\":[$rows]}" >"$work/instances.json"
cat >"$work/rules.txt" <<'R'
when model=order-reader then pool=order-reader first_token=2s  # asked by the benchmark
default then refuse  # asked by the benchmark
R
cat >"$work/entry.json" <<'S'
{"name": "bench", "domain": "d",
 "callers": {"address": "127.0.0.1:7890", "max_requests": 2000},
 "operators": {"address": "127.0.0.1:7892"},
 "peers": {"address": "127.0.0.1:7891", "fleet": "bench"},
 "platform": {"configuration": "127.0.0.1:7800", "instances": "127.0.0.1:7800"}}
S
"$build/standin_platform" --port "$base" --rules "$work/rules.txt" \
  --instances "$work/instances.json" &
pids+=($!)
for address in "${prefill[@]}" "${decode[@]}"; do
  # 61 ms a step for any batch: 16.4 tokens a second for each stream.
  "$build/standin_engine" --port "${address##*:}" --slots 400 --pieces 100000 \
    --threads 450 --step-base-us 61000 --step-stream-us 0 \
    --prefill-rate 1000000 --link-rate 100000000 &
  pids+=($!)
done
sleep 1
"$build/siskindrum" --settings "$work/entry.json" >"$work/entry.log" &
entry=$!
pids+=("$entry")
until curl -fs -o /dev/null http://127.0.0.1:7892/readyz; do sleep 0.2; done
sleep 2

load() { # WORDS...
  "$build/siskindrumctl" load --rate 80 --seconds "$seconds" --prompt 200 \
    --answer 205 --first-target-ms 370 --between-target-ms 70 "$@"
}
ticks() { awk '{ print $14 + $15 }' "/proc/$entry/stat"; }
join() { local IFS=,; echo "$*"; }

echo "--- directly"
load --to "$(join "${decode[@]}")" --direct --prefill "$(join "${prefill[@]}")"
echo "--- through the entry"
before=$(ticks)
begun=$(date +%s.%N)
load --to 127.0.0.1:7890 &
loader=$!
peak_streams=0
peak_kb=0
while kill -0 "$loader" 2>/dev/null; do
  streams=$(curl -s http://127.0.0.1:7892/metrics |
    awk '$1 == "siskindrum_requests_in_progress" { print $2 }')
  kb=$(awk '/VmRSS/ { print $2 }' "/proc/$entry/status")
  [ "${streams:-0}" -gt "$peak_streams" ] && peak_streams=$streams
  [ "$kb" -gt "$peak_kb" ] && peak_kb=$kb
  sleep 1
done
wait "$loader" || true
after=$(ticks)
ended=$(date +%s.%N)
awk -v b="$before" -v a="$after" -v s="$begun" -v e="$ended" \
  -v hz="$(getconf CLK_TCK)" -v n="$peak_streams" -v kb="$peak_kb" 'BEGIN {
    printf "entry: %.2f cores, %.0f MB resident, %d open streams at the peak\n",
      (a - b) / hz / (e - s), kb / 1024, n }'
curl -s http://127.0.0.1:7892/metrics |
  awk '$1 == "siskindrum_decision_seconds_sum" { sum = $2 }
       $1 == "siskindrum_decision_seconds_count" { count = $2 }
       END { printf "core: %.1f us a decision, %d decisions\n",
             1e6 * sum / count, count }'
