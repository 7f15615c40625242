#!/usr/bin/env bash
# Measures peak memory of an entry against the number of callers that send bodies
# at once, with the share of their requests that was served and the time of small
# requests beside them. Prints a table.
# Usage: tools/memory_benchmark.sh [MEMORY_MB [DIRECTORY]]; DIRECTORY holds
# target/siskindrum, the deploy file's build. Default: 165 and the repository.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
memory=${1:-165}
directory=${2:-"$root"}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
g++ -std=c++20 -O2 -pthread "$root/review/standins/harness.cc" \
  "$root/platform/benchmark/memory_benchmark.cc" -o "$work/benchmark"
cd "$directory"
printf 'limit_mb\tbytes\tcallers\tidle_mb\tpeak_mb\tserved\tshare\trefused\tfailed\tlost\tsmall_share\tsmall_p50_ms\tsmall_p99_ms\n'
"$work/benchmark" "$memory" 0 0
for bytes in 5000 1000000 4194304; do
  for callers in 1 14 50 200; do
    "$work/benchmark" "$memory" "$bytes" "$callers"
  done
done
