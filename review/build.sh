#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target
