#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2/.
# Usage: review/build-2.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
flags=(-std=c++20 -O2 -pthread)
"${CXX:-g++}" "${flags[@]}" -c "$root/review/standins-2/scene.cc" \
  -o "$out/scene.o"
for case in "$root"/review/*/case.cc; do
  grep -q standins-2 "$case" || continue
  name=$(basename "$(dirname "$case")")
  "${CXX:-g++}" "${flags[@]}" "$case" "$out/scene.o" -o "$out/case-$name"
done
