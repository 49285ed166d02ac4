#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standins-2/platform"
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../../../target/review-standins-2 .
