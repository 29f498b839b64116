#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start: one program, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/review-2 review/standins-2/main.rs
