#!/usr/bin/env bash
# Runs the tests, the known failures of KNOWN-RED.txt left out.
set -euo pipefail
cd "$(dirname "$0")"
skip=$(awk -F'|' '!/^#/ && NF { gsub(/ /, "", $1); printf "%s%s", sep, $1; sep = "|" }' KNOWN-RED.txt)
flags=(-count=1)
if [ -n "$skip" ]; then
  flags+=(-skip "$skip")
fi
echo "all packages, with the race detector and a slice of the pairs of faults"
go test "${flags[@]}" -race -short ./...
echo "the whole fault matrix"
go test "${flags[@]}" ./internal/proof/...
