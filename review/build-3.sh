#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package guavausher-standins --bins
mkdir -p target/review-3
for name in put flood crash_again half_bad; do
  rustc --edition 2024 -O -o "target/review-3/$name" "review/standins-3/$name.rs"
done
