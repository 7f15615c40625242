#!/usr/bin/env bash
# Works out the table of docs/CAPACITY.md from docs/data/fleet.tsv and
# docs/data/entry.tsv. With --check: fails when the page differs.
# Usage: tools/capacity.sh [--check]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
page="$root/docs/CAPACITY.md"
table=$(awk -F'\t' '
  FNR == 1 { next }
  FILENAME ~ /entry.tsv/ { entry[$1] = $2; next }
  $1 > 8 {                 # The sizes at which the gossip of a large fleet runs.
    n++; x = $1
    sx += x; sxx += x * x
    sy["out"] += $3; sxy["out"] += x * $3
    sy["in"] += $4; sxy["in"] += x * $4
    sy["cpu"] += $5; sxy["cpu"] += x * $5
    sy["rss"] += $6; sxy["rss"] += x * $6
    l = log($1); sl += l; sll += l * l; sf += $8; slf += l * $8
  }
  function slope(k) { return (n * sxy[k] - sx * sy[k]) / (n * sxx - sx * sx) }
  function base(k) { return (sy[k] - slope(k) * sx) / n }
  # Gossip spreads in rounds that double who knows: a line over the logarithm.
  function force(x, s) {
    s = (n * slf - sl * sf) / (n * sll - sl * sl)
    return (sf - s * sl) / n + s * log(x)
  }
  function at(k, x) { return base(k) + slope(k) * x }
  function row(what, value, unit, limit, carrier, ok) {
    printf "| %s | %.*f %s | %s | %s | %s |\n", what, value < 100 ? 2 : 0, value, unit, limit,
      value <= ok ? "fits" : "**does not fit**", carrier
  }
  END {
    nodes = 1100; domains = 16; near = nodes / domains
    rate = 88000 / nodes; watchers = 2 * domains
    print "| line | worked out | budget | verdict | mechanism |"
    print "|---|---|---|---|---|"
    row("membership and digests, sent", at("out", nodes), "bytes/s", "2,000 bytes/s", "gossip of 10 rows to 2 targets a second", 2000)
    row("membership and digests, received", at("in", nodes), "bytes/s", "2,000 bytes/s", "the same", 2000)
    row("leases, sent and received, if all requests are placed by another home", rate * entry["lease_bytes"], "bytes/s", "2,000 bytes/s", "one ask, one grant, one release a request", 2000)
    row("share of requests whose leases alone fill the budget", 100 * 2000 / (rate * entry["lease_bytes"]), "%", "", "own cells first", 1e9)
    row("processor for control, idle", at("cpu", nodes), "% of a core", "2.4 %", "tick, gossip, load reads", 2.4)
    row("processor for decisions", rate * entry["decision_us"] * 3 / 1e4, "% of a core", "2.4 %, with the line above", "the core thread", 2.4)
    row("memory without requests", at("rss", nodes), "MB", "64 MB", "tables by name", 64)
    row("instance list, one body", (nodes + 10000) * entry["list_row_bytes"] / 1e6, "MB", "1 MB a value", "relayed whole", 1)
    row("calls to the configuration service", watchers * entry["watch_calls_per_s"] + nodes / 60, "a second", "2,000 a second", "2 watchers a failure domain, slow polls by the rest", 2000)
    row("a change in force everywhere", force(nodes) / 1000, "s", "15 s", "watch, then gossip and body from a peer", 15)
    row("changes of configuration, bodies moved", 65000 / 86400 * entry["rules_bytes"] , "bytes/s", "2,000 bytes/s", "the body goes whole to each entry", 2000)
    row("idempotency keys kept, at 1 call in 100 keyed", rate / 100 * 600 * entry["key_bytes"] / 1e6, "MB", "64 MB, with the memory above", "ledger of 10 minutes", 64)
  }' "$root/docs/data/entry.tsv" "$root/docs/data/fleet.tsv")
begin='<!-- table: tools/capacity.sh -->'
end='<!-- end of table -->'
if [ "${1:-}" = --check ]; then
  kept=$(awk -v b="$begin" -v e="$end" \
    '$0 == e { on = 0 } on { print } $0 == b { on = 1 }' "$page")
  if [ "$kept" != "$table" ]; then
    diff <(echo "$kept") <(echo "$table") || true
    echo "docs/CAPACITY.md differs from its data: run tools/capacity.sh"
    exit 1
  fi
  echo "capacity: the page agrees with its data"
  exit 0
fi
awk -v b="$begin" -v e="$end" -v file=<(echo "$table") '
  $0 == b { print; while ((getline line < file) > 0) print line; skip = 1 }
  $0 == e { skip = 0 }
  !skip { if ($0 != b) print }' "$page" >"$page.new"
mv "$page.new" "$page"
