#!/bin/sh
# CONFIG: the last tenant is removed; its key must run nothing later than revoke_ms after that.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/haremount ] && [ -x target/review/release/review-case ] || exit 2
exec target/review/release/review-case revoked-keys review/3/record.txt
