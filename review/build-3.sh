#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standin-3 -o ../../target/standin-3 .
