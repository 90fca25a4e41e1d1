#!/usr/bin/env bash
# A new version that fails a third of the requests of a quiet route; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: a sound version.
cd "$(dirname "$0")/../.." || exit 2
export FRONT="$PWD/target/release/guavausher-front" RECORD="$PWD/review/14/record.txt"
[ -x "$FRONT" ] && [ -x target/review-3/half_bad ] || exit 2
exec timeout -k 1 115 target/review-3/half_bad
