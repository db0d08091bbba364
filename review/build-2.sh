#!/bin/sh
# Builds the program of the cases in review/4 to review/8 and the stand-ins that it starts, which are the project's
# own (platform/tests/whole/standins). Needs the build of the deploy file besides.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2-build cargo build --locked --offline --manifest-path review/standins-2/Cargo.toml
