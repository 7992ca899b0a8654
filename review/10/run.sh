#!/bin/bash
# Plays the case "little". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
program=../standin-2/bin/standin2
[ -x "$program" ] && [ -x ../../bin/flaxshelf ] || { echo "build first: deploy/balancer.toml, review/build-2.sh"; exit 2; }
timeout -k 2 115 "$program" -case little -root "$(cd ../.. && pwd)" -record record.txt
code=$?
[ $code -le 1 ] || exit 2
exit $code
