#!/usr/bin/env bash
# Generates the Go code of the schema into the folder named by the first
# argument, or beside the schema. Uses protoc or, without it, buf.
set -euo pipefail
cd "$(dirname "$0")"
out=$(realpath "${1:-.}")
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -modfile=../tools.mod -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
if command -v protoc >/dev/null; then
	PATH="$bin:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative ./*.proto
	exit
fi
mkdir "$bin/schema"
cp ./*.proto "$bin/schema"
cd "$bin/schema"
echo 'version: v2' >buf.yaml
printf 'version: v2\nplugins:\n  - local: %s\n    out: %s\n    opt: paths=source_relative\n' "$bin/protoc-gen-go" "$out" >buf.gen.yaml
buf generate
