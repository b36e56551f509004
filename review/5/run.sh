#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case5 ] || exit 2
timeout -k 5 110 target/review/case5
status=$?
[ $status -le 1 ] || exit 2
exit $status
