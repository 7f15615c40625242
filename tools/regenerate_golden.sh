#!/usr/bin/env bash
# Writes the golden transcripts anew; look at the difference before a commit.
# Usage: tools/regenerate_golden.sh [BUILD_DIRECTORY]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
SISKINDRUM_REGENERATE=1 "$build/entry_test" --run_test=Golden
git -C "$root" diff --stat -- packages/entry/test/golden
