#!/usr/bin/env bash
# Fuzzes rules, settings, peer frames, backend answers, connections, what the
# platform's store holds, and the text that operators read, from the kept corpus.
# Usage: tools/fuzz.sh [SECONDS_EACH]   (--keep as the second word adds what was
# found to the corpus)
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
seconds=${1:-15}
build="$root/build-fuzz"
work=$(mktemp -d)
targets=(rules settings peer backend http platform text)
trap 'rm -rf "$work"' EXIT
cmake -S "$root" -B "$build" -G Ninja -DSISKINDRUM_FUZZ=ON \
  -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build "$build" --target "${targets[@]/#/fuzz_}" >"$work/build.log" || { cat "$work/build.log"; exit 1; }
pids=()
for target in "${targets[@]}"; do
  mkdir -p "$work/$target"
  ("$build/fuzz_$target" -max_total_time="$seconds" -seed=1 \
    -artifact_prefix="$work/$target-" -max_len=65536 -rss_limit_mb=2048 \
    -timeout=10 "$work/$target" \
    "$root/fuzz/corpus/$target" >"$work/$target.log" 2>&1) &
  pids+=($!)
done
status=0
for i in "${!targets[@]}"; do
  target=${targets[$i]}
  wait "${pids[$i]}" || {
    status=1
    echo "$target failed:"
    tail -40 "$work/$target.log"
    for input in "$work/$target"-*; do
      if [ -f "$input" ]; then
        echo "the input, as gzip in base64: $(gzip -c "$input" | base64 -w0)"
      fi
    done
  }
done
for target in "${targets[@]}"; do
  grep -E '^(Done|SUMMARY|==)' "$work/$target.log" | sed "s/^/$target: /" || true
  if [ "${2:-}" = --keep ]; then
    "$build/fuzz_$target" -merge=1 "$root/fuzz/corpus/$target" \
      "$work/$target" >/dev/null 2>&1
  fi
done
exit "$status"
