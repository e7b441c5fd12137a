#!/bin/sh
# Plays the case on loopback addresses; see claim.txt. Needs the build of deploy/system.toml and
# review/build-3.sh. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lycheelock ] && [ -x target/review-3/cases ] || exit 2
exec target/review-3/cases lost review/14/record.txt
