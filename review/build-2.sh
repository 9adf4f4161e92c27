#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. Needs nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand review/stands-2/stand.rs
