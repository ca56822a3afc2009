SHELL := /bin/bash
BIN := bin
PROGRAMS := chestnut-gateway chestnutctl chestnut-standin chestnut-load
DEPLOYMENT ?= kite-consortium

.PHONY: all build demo test check clean

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

clean:
	rm -rf $(BIN) out
