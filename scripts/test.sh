#!/usr/bin/env bash
# Formats (check only), lints and tests the whole workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo build --workspace --bins --locked
cargo nextest run --workspace --locked --no-fail-fast "$@"
cargo test --workspace --doc --locked --quiet
platform/demo.sh
