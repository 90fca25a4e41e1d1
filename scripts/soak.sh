#!/usr/bin/env bash
# Runs the invariant check and the ledger's property test over about N seeded events each.
#
# Usage: scripts/soak.sh [--seed S] [--steps N]     (default: seed 1, 200000 events of each test)
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=1
STEPS=200000
# A sequence has about 100 events on average.
EVENTS_IN_SEQUENCE=100
usage() {
  echo "$1; usage: scripts/soak.sh [--seed S] [--steps N]" >&2
  exit 2
}
while [ $# -gt 0 ]; do
  case $1 in
    --seed) SEED=${2:-} ;;
    --steps) STEPS=${2:-} ;;
    *) usage "unknown argument $1" ;;
  esac
  shift 2 || usage "$1 lacks its value"
done
[[ $SEED =~ ^[0-9]+$ ]] || usage "--seed must be a whole number, not '$SEED'"
[[ $STEPS =~ ^[1-9][0-9]*$ ]] || usage "--steps must be a whole number above 0, not '$STEPS'"

cargo test --release --locked --quiet -p guavausher-core --test invariants --test ledger --no-run
COUNT=$(((STEPS + EVENTS_IN_SEQUENCE - 1) / EVENTS_IN_SEQUENCE))
export SOAK_SEED=$SEED SOAK_CASES=$COUNT
FAILED=0
run() { # test binary, test
  echo "$1 $2: seed $SEED, $COUNT sequences, about $STEPS events"
  local began=$SECONDS
  cargo test --release --locked --quiet -p guavausher-core --test "$1" "$2" || FAILED=1
  echo "$1 $2: $((SECONDS - began)) s"
}
run invariants reduce_holds_all_invariants
run ledger reduce_grants_each_key_at_most_once
echo "seed $SEED, $COUNT sequences, about $STEPS events of each test: $([ $FAILED -eq 0 ] && echo passed || echo FAILED)"
exit $FAILED
