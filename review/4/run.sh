#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
directory=$(cd "$(dirname "$0")" && pwd)
cd "$directory/../.." || exit 2
[ -x target/siskindrum ] && [ -x target/review/case4 ] || exit 2
exec timeout -k 2 110 target/review/case4 "$directory"
