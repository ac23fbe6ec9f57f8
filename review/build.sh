#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
