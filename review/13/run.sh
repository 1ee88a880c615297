#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/figtrack ] && [ -x target/review-3/standin-3 ] || {
	echo "build first: the build of the deploy file, then review/build-3.sh" >&2
	exit 2
}
exec target/review-3/standin-3 13 target/figtrack review/13/record.txt
