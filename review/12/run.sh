#!/bin/bash
# Plays the case with the programs that the deploy file and review/build-3.sh have built.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dandeliontrack ] && [ -x target/review-3/trial ] || { echo "build first: the build of deploy/system.toml, then review/build-3.sh"; exit 2; }
exec timeout -k 5 115 target/review-3/trial late target/dandeliontrack review/12/record.txt
