#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
timeout --kill-after=2 112 ../../target/review/harness restarted "$PWD"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
