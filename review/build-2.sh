#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into target/.
set -eu
cd "$(dirname "$0")/standin-2"
exec go build -o ../../target/review-2/drive .
