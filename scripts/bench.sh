#!/usr/bin/env bash
# Measures the decisions against their baselines; exit status 1 if a measure is short.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet -p guavausher-bench
echo "commit $(git rev-parse --short HEAD), command scripts/bench.sh $*"
status=0
target/release/guavausher-bench "$@" || status=1
target/release/rollout_runs || status=1
exit $status
