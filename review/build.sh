#!/bin/sh
# Builds the stand-ins of all cases, below the project's own build output. Needs no network: there are no dependencies.
set -e
cd "$(dirname "$0")"
exec cargo build --release --locked --offline --target-dir ../target/review
