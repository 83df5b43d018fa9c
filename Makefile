MODULES := platform sard sardbench sardctl sardined sardsoak standin
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo devel)
BIN := $(CURDIR)/.bin
LINT_VERSION := v2.15.0
LINT := $(BIN)/golangci-lint
PACKAGES := $(foreach m,$(MODULES),./$(m)/...)
SEED ?= 1
SEEDS ?= 1
MINUTES ?= 1

.PHONY: all build demo test short lint format generate bench soak soak-own regress clean

all: build

# build compiles the programs to .bin.
build:
	go build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./sardined ./sardctl ./standin ./sardbench ./sardsoak

# test runs the unit, example and randomised tests with the race detector, except those listed in KNOWN-RED.txt.
test:
	.ci/test $(PACKAGES)

# short runs all tests without the race detector.
short:
	go test $(PACKAGES)

# lint checks the formatting, runs the linters and checks that generated code is up to date.
lint: $(LINT)
	@out=$$(cd tools && go tool gofumpt -l $(addprefix ../,$(MODULES))); test -z "$$out" || { echo "gofumpt: $$out"; exit 1; }
	$(LINT) run $(PACKAGES)
	.ci/generated $(MODULES)

$(LINT):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

format:
	cd tools && go tool gofumpt -w $(addprefix ../,$(MODULES))

generate:
	go generate $(PACKAGES)

# bench prints one line for each benchmark figure and fails if any figure exceeds its limit.
bench: build
	$(BIN)/sardbench

demo: build
	scripts/demo

# soak runs random fault tests against real processes over the protocol of the users' platform, with SEEDS consecutive
# seeds from SEED on.
soak: build
	$(BIN)/sardsoak --program $(BIN)/sardined --seed $(SEED) --seeds $(SEEDS)

# soak-own runs random fault tests with one seed for MINUTES minutes over sardined's own interface.
soak-own: build
	scripts/soak $(SEED) $(MINUTES)

# regress scores the deployments of the regression runs with the users' program BENCH and their site files in SITES.
regress:
	scripts/regress $(BENCH) $(SITES) --jobs 3

clean:
	rm -rf .run
