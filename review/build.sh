#!/usr/bin/env bash
# Builds the program with the stand-ins of the cases. It needs the modules of go.mod only.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
mkdir -p target/review
go build -o target/review/rig ./review/platform/rig
