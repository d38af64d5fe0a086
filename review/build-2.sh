#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins-2"
GOWORK=off go build -o "$root/target/standins2" .
