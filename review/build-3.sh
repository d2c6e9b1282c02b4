#!/bin/bash
# Builds the stand-ins of the cases 11 and later, without a network. The gateway itself is built
# by the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml \
    --target-dir target/review-3
