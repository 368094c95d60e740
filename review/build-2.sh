#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand_ins_2/main.rs
