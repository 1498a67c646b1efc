#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig2 ./review/platform/rig2
