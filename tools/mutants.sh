#!/usr/bin/env bash
# Proves that the tests of the eight points can fail: applies each small change
# of tools/mutants.txt to a copy of the tree and expects its test to turn red.
# Usage: tools/mutants.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$root/CMakeLists.txt" "$root/packages" "$work/"
cmake -S "$work" -B "$work/build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS=-O1 >/dev/null
cmake --build "$work/build" --target core_test >/dev/null
export RC_PARAMS="seed=1 max_success=100"
"$work/build/core_test" >/dev/null || {
  echo "the unchanged core fails its own tests"
  exit 1
}
red=0
green=0
while IFS=$'\t' read -r point file from to test; do
  case "$point" in '' | '#'*) continue ;; esac
  source="$work/packages/core/src/$file"
  cp "$source" "$work/kept"
  FROM="$from" TO="$to" perl -0pi -e \
    's/\Q$ENV{FROM}\E/$ENV{TO}/ or die "not found: $ENV{FROM}\n"' "$source"
  cmake --build "$work/build" --target core_test >"$work/log" 2>&1 || {
    cat "$work/log"
    exit 1
  }
  if timeout 120 "$work/build/core_test" --run_test="$test" >/dev/null 2>&1; then
    green=$((green + 1))
    echo "STILL GREEN: point $point, $file: '$from' -> '$to' ($test)"
  else
    red=$((red + 1))
    echo "red as it should be: point $point, $file ($test)"
  fi
  cp "$work/kept" "$source"
done <"$root/tools/mutants.txt"
echo "mutants: $red passed, $green failed"
[ "$green" = 0 ]
