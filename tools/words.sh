#!/usr/bin/env bash
# Checks that nothing outside platform/ knows the platform's names.
# Usage: tools/words.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
names='[^-]Request-Id|Deadline-Ms|Server-(Stamp|Leaving)|Not-Executed|Expect-Instance|Kv-[A-Z]|Token-Count|Prompt-Prefix|Length-Hint|kv-(range|watch|key|handle)|hold-(take|drop)|pathPrefix|targetLatencyMs|maxAttempts|kvHandle|kvCapacityTokens|SISKINDRUM_SETTINGS[^_]|coldRemainingMs'
if grep -rnE "$names" packages fuzz/*.cc spec tools --include='*' |
  grep -v '^tools/words.sh:'; then
  echo "names of the platform stand outside platform/"
  exit 1
fi
echo "no name of the platform outside platform/"
