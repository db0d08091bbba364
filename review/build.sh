#!/bin/sh
# Builds every stand-in that the scripts of the review start. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
