#!/bin/bash
# Builds the stand-ins of the scripts. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/rig ./review/_standin/rig 2>target/review/build.log || { cat target/review/build.log; exit 1; }
