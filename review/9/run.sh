#!/bin/sh
# Case 9. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't
# run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] || exit 2
timeout -k 5 110 target/review-2/case-9 review/9
Status=$?
[ "$Status" -le 1 ] || Status=2
exit "$Status"
