#!/usr/bin/env bash
# Runs case 13 after the build of the deploy file and review/build-3.sh. TROUBLE=0 takes the keys away
# and leaves the tenant. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/snipepond-gateway target/review-3/cases; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/cases 13 review/13/record.txt
