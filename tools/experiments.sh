#!/usr/bin/env bash
# Runs every scenario with every policy and prints the tables.
# Usage: tools/experiments.sh [BUILD_DIRECTORY [SEEDS [POLICIES]]]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-"$root/build"}
seeds=${2:-20}
policies=${3:-cell_home,round_robin,least_load,two_choices,oracle}
for scenario in "$root"/scenarios/*-*.json; do
  case "$scenario" in *-base.json) continue ;; esac
  "$build/siskindrumctl" experiment --scenario "$scenario" \
    --policy "$policies" --seeds "$seeds" --jobs "${JOBS:-6}"
done
