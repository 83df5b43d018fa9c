MODULES := platform sard sardbench sardctl sardined sardsoak standin
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo devel)
BIN := $(CURDIR)/.bin
LINT_VERSION := v2.15.0
LINT := $(BIN)/golangci-lint
PACKAGES := $(foreach m,$(MODULES),./$(m)/...)
SEED ?= 1
SEEDS ?= 1
MINUTES ?= 1

.PHONY: all build demo test short lint format generate bench soak soak-own clean

all: build

# build compiles the programs into .bin.
build:
	go build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./sardined ./sardctl ./standin ./sardbench ./sardsoak

# test runs the unit, example and randomised tests with the race detector.
test:
	.ci/test $(PACKAGES)

# short runs the same tests without the race detector.
short:
	go test $(PACKAGES)

# lint checks format, lint rules and that generated code is up to date.
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

# bench prints a line a figure and fails when one is over its bound.
bench: build
	$(BIN)/sardbench

demo: build
	scripts/demo

# soak plays SEEDS seeds from SEED on against real processes on the users' platform's protocol.
soak: build
	$(BIN)/sardsoak --program $(BIN)/sardined --seed $(SEED) --seeds $(SEEDS)

# soak-own plays one seed for MINUTES minutes on the product's own interface.
soak-own: build
	scripts/soak $(SEED) $(MINUTES)

clean:
	rm -rf .run
