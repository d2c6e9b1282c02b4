#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
