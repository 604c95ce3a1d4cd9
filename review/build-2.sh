#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. No dependencies, no network.
set -e
cd "$(dirname "$0")/stands-2"
exec cargo build --release --locked --offline
