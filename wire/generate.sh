#!/usr/bin/env bash
# Generates the Go code of the schema into the folder named by the first
# argument, or beside the schema.
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-.}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -modfile=../tools.mod -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$bin:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative ./*.proto
