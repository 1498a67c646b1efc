# Build, test and benchmark targets; README.md says which to start with.
GOLANGCI = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
FUZZTIME ?= 10s
DAEMONS ?= 25 50 100 200

.PHONY: all build demo test lint gen bench bench-distribution bench-requests bench-azmove fuzz soak

all: build

build:
	go build -o bin/ ./cmd/...

# test runs all tests with the race detector. The failures of tests listed in KNOWN-RED.txt are
# printed but do not make the command fail.
test:
	go run ./tools/runtests

lint:
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run ./...

gen:
	cd io/wire && go tool -modfile=../../tools/gen/go.mod buf generate
	go generate ./...

# demo starts a store, upstreams and daemons as separate processes on loopback and ends by itself.
demo:
	scripts/demo.sh

bench-requests: build
	bin/loadgen bench-requests

bench-azmove: build
	bin/loadgen bench-azmove

# bench-distribution runs a separate process for each fleet size and way of distribution, so that
# the memory of one run is not counted in the next.
bench-distribution: build
	@for daemons in $(DAEMONS); do for way in verbenaway directWatch; do \
		bin/loadgen bench-distribution --daemons $$daemons --way $$way || exit 1; \
	done; done

bench: bench-distribution bench-requests bench-azmove

# soak runs SEEDS consecutive seeds starting with SEED, with real daemons as separate processes on
# loopback.
SEED ?= 1
SEEDS ?= 50
soak: build
	bin/soak --program bin/verbenaside --seed $(SEED) --seeds $(SEEDS)

# fuzz runs each fuzz target for FUZZTIME. The minimization of inputs is limited, because a large
# input would use up all of the time.
fuzz:
	go test ./core/note -run '^$$' -fuzz '^FuzzParse$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	go test ./core/note -run '^$$' -fuzz '^FuzzParseCheckpoint$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	go test ./core/snap -run '^$$' -fuzz '^FuzzFold$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	go test ./core/snap -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	go test ./core/route -run '^$$' -fuzz '^FuzzMatch$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	go test ./platform -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	go test ./io/proxy -run '^$$' -fuzz '^FuzzHeads$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	go test ./io/proxy -run '^$$' -fuzz '^FuzzChunks$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
