GO ?= go
TOOL = $(GO) tool -modfile=tools.mod

.PHONY: build demo test soak lint format generate tools install ci

build:
	$(GO) build -o figtrack .

demo:
	$(GO) run . demo

test:
	$(GO) test ./...

SEEDS ?= 50
FIRST ?= 1
FOR ?= 10s
JOBS ?= 4

soak:
	$(GO) test ./platform -count=1 -run TestSoak -v -timeout 4h -parallel $(JOBS) -soak.seeds $(SEEDS) -soak.first $(FIRST) -soak.for $(FOR)

lint:
	$(GO) vet ./...
	$(TOOL) revive -config revive.toml -set_exit_status ./...

format:
	$(TOOL) gofumpt -w $$(git ls-files '*.go' ':!*.pb.go')

generate:
	$(GO) generate ./...

# gopls renames identifiers over the whole tree. Newer versions need a newer Go,
# and it can't share tools.mod with gofumpt.
tools:
	$(GO) install golang.org/x/tools/gopls@v0.23.0

install:
	$(GO) install .

ci:
	bash .ci/run
