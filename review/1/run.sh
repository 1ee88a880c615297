#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figtrack ] && [ -x target/review/standin ] || {
	echo "build target/figtrack by the deploy file and run review/build.sh first"
	exit 2
}
exec target/review/standin -record review/1/record.txt -trouble="${TROUBLE:-1}" extras
