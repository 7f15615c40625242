#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over them.
# Usage: tools/lint.sh BUILD_DIRECTORY
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
cd "$root"
git ls-files -z -- '*.cc' '*.h' | xargs -0 clang-format --dry-run --Werror
echo "format: clean"
git ls-files -z -- 'packages/*/src/*.cc' 'platform/src/*.cc' |
  xargs -0 -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "clang-tidy: clean"
