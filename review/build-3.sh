#!/usr/bin/env bash
# Builds the stand-ins of the script cases 11 to 15, into target/review-3/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
GOWORK=off GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review-3/review-3 .
