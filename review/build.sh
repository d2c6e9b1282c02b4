#!/usr/bin/env bash
# Builds the stand-ins of the scripts; needs no network and no crates.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --locked --offline
