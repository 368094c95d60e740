#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 to target/review-3/. Needs the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -D warnings review/stand_ins_3/main.rs -o target/review-3/stand-ins
