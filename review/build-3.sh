#!/bin/sh
# Builds the stand-ins of the cases of the third review into target/review-3. Needs no network.
set -e
cd "$(dirname "$0")/.."
root=$(pwd)
mkdir -p target/review-3
overlay=target/review-3/overlay.json
{
	printf '{"Replace":{'
	separator=
	for source in review/standin-3/*.go.txt; do
		printf '%s"%s/%s":"%s/%s"' "$separator" "$root" "${source%.txt}" "$root" "$source"
		separator=,
	done
	printf '}}\n'
} >"$overlay"
go build -overlay "$overlay" -o target/review-3/standin-3 ./review/standin-3
