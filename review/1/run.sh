#!/bin/sh
# RECOVER: keepers are killed and come back, one of them with an empty disk; the fleet must serve again.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/haremount ] && [ -x target/review/release/review-case ] || exit 2
exec target/review/release/review-case standstill review/1/record.txt
