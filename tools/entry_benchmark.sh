#!/usr/bin/env bash
# Measures what one request costs in control: bytes between entries for a request
# that another home places, and the time of a decision. Writes
# docs/data/entry.tsv. Usage: tools/entry_benchmark.sh [BUILD_DIRECTORY]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
site="$root/examples/narragansett"
work=$(mktemp -d)
pids=()
trap 'for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null; rm -rf "$work"' EXIT
"$build/standin_platform" --port 7001 --rules "$site/rules.txt" \
  --instances "$site/instances.json" &
pids+=($!)
for port in 7501 7502 7503 7504; do
  "$build/standin_engine" --port "$port" --threads 64 --prefill-rate 1000000 &
  pids+=($!)
done
sleep 0.5
for entry in providence-1 worcester-1; do
  "$build/siskindrum" --settings "$site/$entry.json" >/dev/null &
  pids+=($!)
done
for port in 7401 7402; do
  until curl -fs -o /dev/null "http://127.0.0.1:$port/readyz"; do sleep 0.2; done
done
sleep 4
metric() { curl -s "http://127.0.0.1:$1/metrics" | awk -v n="siskindrum_$2" '$1 == n { print $2 }'; }
wire() { echo $(($(metric "$1" peer_wire_bytes_out_total) + $(metric "$1" peer_wire_bytes_in_total))); }
# The entry that is not the home of the readers' cell asks for every slot.
home=$(curl -s http://127.0.0.1:7401/dump | tr -d ' \n' |
  sed 's/.*"home":"\([^"]*\)","name":"order-reader.*/\1/')
ops=7401; port=7301
[ "$home" = providence-1 ] && { ops=7402; port=7302; }
b0=$(wire "$ops"); sleep 10; b1=$(wire "$ops")
out=$("$build/siskindrumctl" load --to "127.0.0.1:$port" --rate 10 --seconds 20 --prompt 50 --answer 5)
b2=$(wire "$ops")
sent=$(echo "$out" | awk '/^sent/ { print $2 }')
idle=$(((b1 - b0) / 10))
decision=$("$build/siskindrumctl" cost | awk '$1 == 120 { printf "%.2f", $2 / 3000 }')
mkdir -p "$root/docs/data"
{
  printf 'name\tvalue\n'
  awk -v b=$((b2 - b1)) -v i="$idle" -v n="$sent" 'BEGIN { printf "lease_bytes\t%.0f\n", (b - i * 21) / n }'
  printf 'decision_us\t%s\n' "$decision"
  printf 'list_row_bytes\t%d\n' $(($(wc -c <"$site/instances.json") / 8))
  printf 'rules_bytes\t%d\n' "$(wc -c <"$site/rules.txt")"
  printf 'watch_calls_per_s\t1.1\n'
  printf 'key_bytes\t500\n'
} >"$root/docs/data/entry.tsv"
cat "$root/docs/data/entry.tsv"
