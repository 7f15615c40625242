#!/usr/bin/env bash
# The main job, end to end, with stand-ins: two entries in two failure domains,
# a streamed completion, a booking, a status look-up. Stops all that it started.
# Usage: tools/demo.sh BUILD_DIRECTORY
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
site="$root/examples/narragansett"
logs=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$logs"
}
trap stop_all EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

await() { # URL
  for _ in $(seq 300); do
    if curl -fs -o /dev/null "$1"; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  cat "$logs"/*.log >&2
  exit 1
}

start platform "$build/standin_platform" --port 7001 \
  --rules "$site/rules.txt" --instances "$site/instances.json"
for port in 7501 7502 7503 7504; do
  start "engine-$port" "$build/standin_engine" --port "$port" --threads 64
done
start desk-p1 "$build/standin_plain" --port 7601 --name desk-p1
start desk-w1 "$build/standin_plain" --port 7602 --name desk-w1
await http://127.0.0.1:7001/instances
start providence-1 "$build/siskindrum" --settings "$site/providence-1.json"
start worcester-1 "$build/siskindrum" --settings "$site/worcester-1.json"
await http://127.0.0.1:7401/readyz
await http://127.0.0.1:7402/readyz
await "http://127.0.0.1:7301/order-desk/status/0"
sleep 1 # until the seats may vouch for keys born from now on

headers="$logs/headers"
show() { # TITLE
  echo "--- $1"
  grep -iE '^(HTTP|X-Siskindrum)' "$headers" | tr -d '\r'
}

explain() { # OPERATORS_PORT: why the last request went where it went
  local id
  id=$(grep -i '^X-Siskindrum-Request' "$headers" | tr -d '\r' | cut -d' ' -f2)
  "$build/siskindrumctl" explain --entry "127.0.0.1:$1" --request "$id"
}

curl -fsSN -D "$headers" http://127.0.0.1:7301/v1/completions \
  -H 'Siskindrum-Organisation: shop-042' -H 'Content-Type: application/json' \
  -d '{"model":"order-reader","prompt":"Draft a job ticket for 200 C-60 cassettes, chrome, label proof attached.","max_tokens":12,"stream":true,"temperature":0.2}' \
  >"$logs/stream"
show "streamed completion"
cat "$logs/stream"
explain 7401

key=$("$build/siskindrumctl" key)
for entry in 7301 7302; do
  curl -fsS -D "$headers" -X POST "http://127.0.0.1:$entry/order-desk/bookings" \
    -H "Idempotency-Key: $key" -H 'Siskindrum-Organisation: shop-042' \
    -H 'Content-Type: application/json' -d '{"tapes":200}' >"$logs/answer"
  show "booking with key $key through port $entry"
  cat "$logs/answer"
  echo
done

curl -fsS -D "$headers" http://127.0.0.1:7302/order-desk/status/17 >"$logs/answer"
show "status look-up"
cat "$logs/answer"
echo
explain 7402
"$build/siskindrumctl" status --entries 127.0.0.1:7401,127.0.0.1:7402
echo "demo: done"
