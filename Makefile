# Public tools only: Go, make and a C compiler.
GO ?= go
BIN := bin
# Property tests draw from this seed, so that every run gives the same verdict.
# Other seeds are for "make explore".
SEED ?= 20261202
RAPID = $(shell grep -rl --include='*_test.go' 'pgregory.net/rapid' internal platform | xargs -n1 dirname | sort -u | sed 's,^,./,')
NORAPID = $(filter-out $(RAPID),$(shell find internal platform cmd -name '*_test.go' | xargs -n1 dirname | sort -u | sed 's,^,./,'))
# Packages with simulated days that are too long for the race detector.
LONGDAYS = ./internal/quarantine ./internal/notice ./internal/retrybudget
SOAK ?= 10m
# Names of tests to leave out, as a pattern: only .ci/known-red sets it.
SKIP ?=
GOTEST = $(GO) test -race -count=1 $(if $(SKIP),-skip '$(SKIP)')

.PHONY: all build test lint unit e2e soak explore fuzz bench board agency clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# The whole verdict: formatting, vet, staticcheck, unit and property tests with
# the race detector, and the scripted scenarios over real processes.
test: lint unit e2e

lint:
	@test -z "$$(gofmt -l cmd internal platform e2e)" || { gofmt -l cmd internal platform e2e; echo "gofmt: the files above"; exit 1; }
	$(GO) vet ./... ./e2e/...
	$(GO) tool staticcheck ./... ./e2e/...

unit:
	$(GOTEST) $(RAPID) -rapid.seed=$(SEED)
	$(GOTEST) $(NORAPID)
	$(GO) test -count=1 $(if $(SKIP),-skip '$(SKIP)') $(LONGDAYS) -rapid.seed=$(SEED)

e2e:
	$(GOTEST) -timeout 20m ./e2e/...

# Property tests with many more draws, from a new seed.
explore:
	$(GO) test -count=1 $(filter-out $(LONGDAYS),$(RAPID)) -rapid.checks=20000
	$(GO) test -count=1 -timeout 1h $(LONGDAYS) -rapid.checks=2000

fuzz:
	$(GO) test -fuzz FuzzReader -fuzztime 30s ./internal/wire
	$(GO) test -fuzz FuzzDecode -fuzztime 30s ./internal/settings

# A seeded random mix of failures over a Board-sized deployment of processes.
soak:
	$(GO) test -count=1 -timeout 3h -run TestSoak ./e2e -soak $(SOAK) -v

bench:
	$(GO) test -run XXX -bench . -benchmem ./internal/...

# Start an example deployment as separate processes; end it with Ctrl-C.
board agency: build
	examples/start.sh $@

clean:
	rm -rf $(BIN)
