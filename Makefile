GO ?= go
BINARY := bin/poplarwheel

.PHONY: build demo test lint race

build:
	CGO_ENABLED=1 $(GO) build -o $(BINARY) ./cmd/poplarwheel

demo: build
	$(BINARY) demo $(DEMO_FLAGS)

test: build
	$(GO) test ./...

race:
	$(GO) test -race ./client/... ./internal/...

lint:
	test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

SEED ?= 1
DURATION ?= 60s

.PHONY: soak bench bench-capacity bench-policy bench-policy-full

# Random failures against separate processes; SEED and DURATION choose the run.
soak: build
	$(GO) run ./test/soak -seed $(SEED) -duration $(DURATION)

bench: build
	$(GO) run ./bench/latency

bench-capacity: build
	$(GO) run ./bench/capacity

bench-policy:
	$(GO) run ./bench/policy

bench-policy-full:
	$(GO) run ./bench/policy --full
