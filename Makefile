SHELL := /bin/bash
BIN := bin
PROGRAMS := chestnut-gateway chestnut-edge chestnutctl chestnut-standin chestnut-load
EXPERIMENTS ?= $(wildcard experiments/kite-*.yaml experiments/co-operative-*.yaml)
DEPLOYMENT ?= kite-consortium

.PHONY: all build demo test check clean soak faults experiments slopes

all: build

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/chestnut-load demo --deployment $(DEPLOYMENT) --bin $(BIN)

check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

test:
	./.ci/test

# Runs all experiments, writes out/*.json and out/*.html, and prints the summary
# table. Takes about eleven minutes.
experiments: build
	$(BIN)/chestnut-load run --bin $(BIN) --out out $(EXPERIMENTS)
	$(BIN)/chestnut-load summary $(patsubst experiments/%.yaml,out/%.json,$(EXPERIMENTS))

clean:
	rm -rf $(BIN) out

# Runs the test with random faults on more seeds than CI does. Takes about 10
# minutes.
SOAK_SEEDS ?= 11 12 13 14 15 16 17 18
SOAK_TIME ?= 60s
soak:
	CHESTNUT_SOAK_SEEDS="$(SOAK_SEEDS)" CHESTNUT_SOAK_TIME=$(SOAK_TIME) go test -count=1 -v -timeout 30m -run TestPromiseAllUnderDrawnFaults ./test/promises

# Runs the fault soak test of the real programs with new random seeds.
FAULT_SEEDS ?= $(shell shuf -i 1000-999999 -n 5)
FAULT_TIME ?= 20s
FAULT_VMS ?= 2
faults:
	CHESTNUT_FAULT_SEEDS="$(FAULT_SEEDS)" CHESTNUT_FAULT_TIME=$(FAULT_TIME) CHESTNUT_FAULT_VMS=$(FAULT_VMS) \
		go test -count=1 -v -timeout 60m -run 'TestFaultSoak|TestTeamsUnderFaults' ./soak

# Measures the slopes in docs/CAPACITY.md (cost as a function of size). Takes
# about five minutes on an idle machine.
slopes: build
	go test -run XXX -bench 'Slope|FullSize|TakeLoad|Record|Pick|Admit|ServeAmong' -benchtime 500ms -count 3 ./internal/... | grep -v "no test files" | go run ./internal/citool/slopes
	go test ./internal/fleet -run TestMeasureExchange -v -args -measure | grep -v level=
	$(BIN)/chestnut-load overhead
