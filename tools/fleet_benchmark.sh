#!/usr/bin/env bash
# Many entries on this machine: control traffic, processor share, memory, calls
# to the platform, time until a configuration is in force everywhere, and homes
# moved by a loss and a join. Writes one line for each size to
# docs/data/fleet.tsv.
# Usage: tools/fleet_benchmark.sh [BUILD_DIRECTORY [SIZES...]]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
shift || true
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(5 20 60 120)
per_domain=15       # Entries in a failure domain.
servers_per_entry=9 # As 10,000 runners before 1,100 nodes.
settle=15
window=20
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

rules() { echo "when model=m then pool=svc-0 first_token=2s  # asked by the benchmark"; echo "default then refuse  # asked by the benchmark"; }

write_site() { # SIZE
  local i j domain
  {
    printf '{"version":1,"instances":['
    for ((i = 0; i < $1; i++)); do
      domain="d$((i / per_domain))"
      [ "$i" = 0 ] || printf ','
      printf '{"name":"e%d","kind":"entry","address":"127.0.0.1:%d","domain":"%s","state":"live"}' \
        "$i" $((21000 + i)) "$domain"
      for ((j = 0; j < servers_per_entry; j++)); do
        printf ',{"name":"s%d-%d","kind":"engine","role":"%s","service":"svc-%d","address":"127.0.0.1:%d","domain":"%s","state":"live"}' \
          "$i" "$j" "$([ $((j % 3)) = 0 ] && echo prefill || echo decode)" \
          $((i % 9)) $((20010 + i % 4)) "$domain"
      done
      cat >"$work/e$i.json" <<S
{"name": "e$i", "domain": "$domain",
 "callers": {"address": "127.0.0.1:$((22000 + i))"},
 "operators": {"address": "127.0.0.1:$((23000 + i))"},
 "peers": {"address": "127.0.0.1:$((21000 + i))", "fleet": "bench"},
 "platform": {"configuration": "127.0.0.1:20000", "instances": "127.0.0.1:20000"},
 "load_poll_ms": 2000, "log_level": "error"}
S
    done
    printf ']}'
  } >"$work/instances.json"
  rules >"$work/rules.txt"
}

metric() { # ENTRY NAME
  curl -s "http://127.0.0.1:$((23000 + $1))/metrics" |
    awk -v n="siskindrum_$2" '$1 == n { print $2 }'
}
sum_metric() { # SIZE NAME
  local i total=0
  for ((i = 0; i < $1; i++)); do total=$((total + $(metric "$i" "$2"))); done
  echo "$total"
}
ticks_of_entries() {
  local pid total=0
  for pid in "${entry_pids[@]}"; do
    total=$((total + $(awk '{ print $14 + $15 }' "/proc/$pid/stat")))
  done
  echo "$total"
}
platform_calls() {
  curl -s http://127.0.0.1:20000/record | tr -c '0-9\n' ' ' |
    awk '{ print $1 + $2 }'
}
await_revision() { # SIZE REVISION: milliseconds until it is in force everywhere
  local begun now i
  begun=$(date +%s%3N)
  for ((i = 0; i < $1; i++)); do
    until [ "$(metric "$i" configuration_revision)" = "$2" ]; do sleep 0.02; done
  done
  now=$(date +%s%3N)
  echo $((now - begun))
}

mkdir -p "$root/docs/data"
out="$root/docs/data/fleet.tsv"
printf 'entries\tdomain_entries\tbytes_out_per_s\tbytes_in_per_s\tcpu_percent\trss_mb\tplatform_calls_per_s\tin_force_ms\tmoved_by_loss\tmoved_by_join\tcells\n' >"$out.new"
for size in "${sizes[@]}"; do
  write_site "$size"
  "$build/standin_platform" --port 20000 --rules "$work/rules.txt" \
    --instances "$work/instances.json" &
  pids+=($!)
  for port in 20010 20011 20012 20013; do
    "$build/standin_engine" --port "$port" --threads 64 &
    pids+=($!)
  done
  sleep 0.5
  entry_pids=()
  for ((i = 0; i < size; i++)); do
    "$build/siskindrum" --settings "$work/e$i.json" >/dev/null 2>&1 &
    pids+=($!)
    entry_pids+=($!)
  done
  sleep "$settle"
  for ((i = 0; i < size; i++)); do
    until curl -fs -o /dev/null "http://127.0.0.1:$((23000 + i))/readyz"; do
      sleep 0.2
    done
  done
  t0=$(ticks_of_entries)
  o0=$(sum_metric "$size" peer_wire_bytes_out_total)
  i0=$(sum_metric "$size" peer_wire_bytes_in_total)
  p0=$(platform_calls)
  s0=$(date +%s%3N)
  sleep "$window"
  t1=$(ticks_of_entries)
  s1=$(date +%s%3N)
  o1=$(sum_metric "$size" peer_wire_bytes_out_total)
  i1=$(sum_metric "$size" peer_wire_bytes_in_total)
  p1=$(platform_calls)
  rss=0
  for pid in "${entry_pids[@]}"; do
    rss=$((rss + $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")))
  done
  { rules; echo; } | curl -s -o /dev/null -X PUT --data-binary @- \
    -H 'Content-Type: text/plain' 'http://127.0.0.1:20000/rules?revision=2'
  force=$(await_revision "$size" 2)
  cells=$(curl -s http://127.0.0.1:23000/dump | grep -c '"home"')
  m0=$(metric 0 homes_moved_total)
  kill -9 "${entry_pids[1]}"
  sleep 12 # Longer than the time of suspicion.
  m1=$(metric 0 homes_moved_total)
  "$build/siskindrum" --settings "$work/e1.json" >/dev/null 2>&1 &
  pids+=($!)
  sleep 12 # Longer than the time of suspicion.
  m2=$(metric 0 homes_moved_total)
  awk -v n="$size" -v d="$((size < per_domain ? size : per_domain))" \
    -v o=$((o1 - o0)) -v i=$((i1 - i0)) -v t=$((t1 - t0)) -v ms=$((s1 - s0)) \
    -v hz="$(getconf CLK_TCK)" -v kb="$rss" -v p=$((p1 - p0)) -v f="$force" \
    -v l=$((m1 - m0)) -v j=$((m2 - m1)) -v c="$cells" 'BEGIN {
      s = ms / 1000
      printf "%d\t%d\t%.0f\t%.0f\t%.3f\t%.1f\t%.2f\t%d\t%d\t%d\t%d\n", n, d,
        o / n / s, i / n / s, 100 * t / hz / n / s, kb / 1024 / n, p / s, f, l, j, c
    }' | tee -a "$out.new"
  stop_all
  sleep 1
done
mv "$out.new" "$out"
