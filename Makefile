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

.PHONY: soak soak-race gateway-soak bench bench-capacity bench-policy bench-policy-full

# Random failures against separate processes; SEED and DURATION choose the run.
soak: build
	$(GO) run ./test/soak -seed $(SEED) -duration $(DURATION)

# The same with daemons built for the race detector; their logs stay in RACE_DIR.
RACE_DIR ?= bin/soak-race
soak-race:
	CGO_ENABLED=1 $(GO) build -race -o $(BINARY)-race ./cmd/poplarwheel
	rm -rf $(RACE_DIR) && mkdir -p $(RACE_DIR)
	$(GO) run ./test/soak -binary $(BINARY)-race -seed $(SEED) -duration $(DURATION) -dir $(RACE_DIR)
	! grep -l "DATA RACE" $(RACE_DIR)/*.log

# The same for gateway daemons, at stand-ins of the users' platform.
gateway-soak: build
	$(GO) run ./platform/soak -seed $(SEED) -duration $(DURATION)

bench: build
	$(GO) run ./bench/latency

bench-capacity: build
	$(GO) run ./bench/capacity

bench-policy:
	$(GO) run ./bench/policy

bench-policy-full:
	$(GO) run ./bench/policy --full

# The regular set of deployments on the users' bench: BENCH is its path, SITES are the files of
# the deployments. Prints the gate, the worth and its change since the entry before.
.PHONY: regression
WHY ?= regular set
regression: build
	$(GO) run ./platform/regression -bench "$(BENCH)" -why "$(WHY)" $(SITES)
