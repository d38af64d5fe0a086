#!/bin/sh
# Builds the stand-ins of the second review's scripts, which need the standard library only, into target/.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/standins2 .
