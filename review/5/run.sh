#!/usr/bin/env bash
# Plays the case in about 45 s. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/hawthornspard ] && [ -x target/review-standin ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review-standin many "$here/record.txt"
