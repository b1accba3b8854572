#!/usr/bin/env bash
# Runs the tests, the known failures of KNOWN-RED.txt left out.
set -euo pipefail
cd "$(dirname "$0")"
skip=$(awk -F'|' '!/^#/ && NF { gsub(/ /, "", $1); printf "%s%s", sep, $1; sep = "|" }' KNOWN-RED.txt)
flags=(-count=1)
if [ -n "$skip" ]; then
  flags+=(-skip "$skip")
fi
echo "all packages but the fault matrix, with the race detector"
go list ./... | grep -v /internal/proof/ | xargs go test "${flags[@]}" -race
echo "the fault matrix, which has no goroutine of its own"
go test "${flags[@]}" ./internal/proof/...
