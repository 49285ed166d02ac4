#!/bin/sh
# Builds the stand-ins of the third review. Run after the build of the deploy file; needs no network.
set -e
cd "$(dirname "$0")/standins-3/platform"
mkdir -p ../../../target/review-3
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../../target/review-3/standins .
