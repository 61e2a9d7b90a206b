#!/bin/bash
# Builds the programs that the scripts of review/11 to review/15 start, besides the build of
# deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -o target/review-3/ ./review/_standin-3/trial
