#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need the standard library only, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standins .
