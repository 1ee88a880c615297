GO ?= go
TOOL = $(GO) tool -modfile=tools.mod

.PHONY: build demo test lint format generate install ci

build:
	$(GO) build -o figtrack .

demo:
	$(GO) run . demo

test:
	$(GO) test ./...

lint:
	$(GO) vet ./...
	$(TOOL) revive -config revive.toml -set_exit_status ./...

format:
	$(TOOL) gofumpt -w $$(git ls-files '*.go')

generate:
	$(GO) generate ./...

install:
	$(GO) install .

ci:
	bash .ci/run
