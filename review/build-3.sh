#!/bin/sh
# Builds the stand-ins and cases of the third review. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/standins-3/main.rs
