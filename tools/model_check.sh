#!/usr/bin/env bash
# Checks the specifications exhaustively, and checks that each guard is needed:
# without it there must be a counter-example.
# Usage: tools/model_check.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
passed=0
failed=0

check() { # SPECIFICATION EXPECTED [DEFINE]
  local name="$1 ${3:-}" errors
  rm -f pan* ./*.trail
  # spin hands its file to a shell, so the name must have no spaces.
  cp "$root/spec/$1.pml" .
  spin ${3:+-D$3} -a "$1.pml" >spin.log
  gcc -O2 -DSAFETY -DNOCLAIM -w ${3:+-D$3} -o pan pan.c
  ./pan -m200000 >pan.log
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  if grep -q 'max search depth too small' pan.log; then errors="incomplete"; fi
  if { [ "$2" = good ] && [ "$errors" = 0 ]; } ||
    { [ "$2" = bad ] && [ "$errors" = 1 ]; }; then
    passed=$((passed + 1))
    echo "ok: $name ($2, $(sed -n 's/ *\([0-9]*\) states, stored.*/\1/p' pan.log) states)"
  else
    failed=$((failed + 1))
    echo "FAILED: $name: expected $2, errors: $errors"
    tail -20 pan.log
  fi
}

check calls good
check calls good NO_AGE
for guard in NO_FLOOR NO_LEDGER NO_REPLACED RETRY; do
  check calls bad "$guard"
done
check closing good
for guard in SENDS OPEN_LISTED_UNUSED; do check closing bad "$guard"; done
check configuration good
for guard in NO_COMPARE NO_PEERS; do check configuration bad "$guard"; done
check store good
for guard in NO_ERA NO_LISTING TAKE_COPY PEERS_BY_REVISION; do
  check store bad "$guard"
done
check stream good
for guard in NO_PROOF RESUME_ALWAYS NO_ATTEMPT NO_PLACE HANDLE_AGAIN NO_AGE; do
  check stream bad "$guard"
done
check orders good
for guard in OWN_LIST VOTE_AGAIN ANY_START NO_REPORT; do check orders bad "$guard"; done
check quota good
for guard in NO_WAIT FROM_LOAN NO_NUMBER NO_INCARNATION GIVE_LATE ABSOLUTE \
  KEEP_EARLIER TAKE_EARLIER; do
  check quota bad "$guard"
done
echo "model checks: $passed passed, $failed failed"
[ "$failed" = 0 ]
