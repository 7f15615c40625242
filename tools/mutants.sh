#!/usr/bin/env bash
# Proves that the tests of the eight points can fail: applies each small change
# of tools/mutants.txt to a copy of the tree and expects its test to turn red. A
# file is one of packages/core/src, or PACKAGE:FILE.
# Usage: tools/mutants.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r "$root/CMakeLists.txt" "$root/packages" "$root/platform" "$work/"
cmake -S "$work" -B "$work/build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS=-O1 >/dev/null
cmake --build "$work/build" --target core_test dispatch_test \
  election_test hedge_test http_test quota_test >/dev/null
export RC_PARAMS="seed=1 max_success=100"
for program in core_test dispatch_test election_test hedge_test http_test \
  quota_test; do
  "$work/build/$program" >/dev/null || {
    echo "the unchanged $program fails"
    exit 1
  }
done
red=0
green=0
while IFS=$'\t' read -r point file from to test; do
  case "$point" in '' | '#'*) continue ;; esac
  package=core
  case "$file" in *:*) package=${file%%:*} file=${file#*:} ;; esac
  source="$work/packages/$package/src/$file"
  cp "$source" "$work/kept"
  FROM="$from" TO="$to" perl -0pi -e \
    's/\Q$ENV{FROM}\E/$ENV{TO}/ or die "not found: $ENV{FROM}\n"' "$source"
  cmake --build "$work/build" --target "${package}_test" >"$work/log" 2>&1 || {
    cat "$work/log"
    exit 1
  }
  if timeout 120 "$work/build/${package}_test" --run_test="$test" >/dev/null 2>&1; then
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
