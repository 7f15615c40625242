#!/usr/bin/env bash
# Configures and builds everything. Usage: tools/build.sh [BUILD_DIRECTORY]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
cmake -S "$root" -B "$build" -G Ninja >/dev/null
cmake --build "$build"
