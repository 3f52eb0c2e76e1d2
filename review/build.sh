#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/review-standin .
