#!/bin/sh
# Seen beside the cases: a 204 on a streaming route. Exits like a case.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/no_content ] || exit 2
timeout -k 5 110 target/review-2/no_content review/observed_2
Status=$?
[ "$Status" -le 1 ] || Status=2
exit "$Status"
