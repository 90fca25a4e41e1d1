#!/usr/bin/env bash
# A request that crashes engines, and kills of all fronts between its copies; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no kills.
cd "$(dirname "$0")/../.." || exit 2
export FRONT="$PWD/target/release/guavausher-front" RECORD="$PWD/review/13/record.txt"
[ -x "$FRONT" ] && [ -x target/review-3/crash_again ] || exit 2
exec timeout -k 1 115 target/review-3/crash_again
