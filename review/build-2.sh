#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to 10. Needs only the compiler; run it in the
# repository's root after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 review/standins-2/main.rs -o target/review-2/stand-in
