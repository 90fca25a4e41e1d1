#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
export FRONT="$PWD/target/release/guavausher-front" RECORD="$PWD/review/5/record.txt"
[ -x "$FRONT" ] && [ -x target/review/cases ] || exit 2
exec timeout -k 1 115 target/review/cases crasher
