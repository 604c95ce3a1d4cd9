#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They use the standard library only, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -C opt-level=3 -D warnings -o target/review-2/review-stands-2 review/stands_2.rs
