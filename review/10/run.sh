#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption. review/build-2.sh has to have been run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=review/bin/case-10
[ -x "$program" ] && [ -x bin/cache-router ] || { echo "build first: deploy/balancer.toml and review/build-2.sh"; exit 2; }
"$program" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
