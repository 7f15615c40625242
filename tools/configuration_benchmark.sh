#!/usr/bin/env bash
# Measures the time to apply a change of the configuration and the longest pause
# of the network thread. Prints the rows of the table in docs/CAPACITY.md.
# Usage: tools/configuration_benchmark.sh [ROUTES...]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build="$root/build"
cmake -S "$root" -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target configuration_benchmark >/dev/null
exec "$build/configuration_benchmark" "$@"
