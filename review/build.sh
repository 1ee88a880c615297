#!/usr/bin/env bash
# Builds the stand-ins of the cases. Their sources have another suffix, so that they are
# no part of the project's build; the build sees them through an overlay.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
overlay=target/review/overlay.json
{
  printf '{"Replace":{'
  comma=
  for f in review/standin/*.go.txt; do
    printf '%s"%s/%s":"%s/%s"' "$comma" "$PWD" "${f%.txt}" "$PWD" "$f"
    comma=,
  done
  printf '}}\n'
} >"$overlay"
go build -overlay "$overlay" -o target/review/standin ./review/standin
