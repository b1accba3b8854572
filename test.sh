#!/usr/bin/env bash
# Runs the tests, the known failures of KNOWN-RED.txt left out.
set -euo pipefail
cd "$(dirname "$0")"
skip=$(awk -F'|' '!/^#/ && NF { gsub(/ /, "", $1); printf "%s%s", sep, $1; sep = "|" }' KNOWN-RED.txt)
if [ -n "$skip" ]; then
  go test -race -count=1 -skip "$skip" ./...
else
  go test -race -count=1 ./...
fi
