# Commands of the repository. All need Go alone.

MODULES := shared platform coltsfootwick-manager coltsfootwick-entry coltsfootwick-steward cfw standin
PACKAGES := $(MODULES:%=./%/...)
PROGRAMS := coltsfootwick-manager coltsfootwick-entry coltsfootwick-steward cfw standin
LINTER_VERSION := v2.15.0
LINTER := $(CURDIR)/.bin/golangci-lint-$(LINTER_VERSION)

.PHONY: all build test known-red race race-programs prove emulate soak measure slopes bench demo format format-check lint fuzz clean

all: build

build:
	go build -o bin/ $(PROGRAMS:%=./%)

# KNOWN_RED are the tests of KNOWN-RED.txt, whose entries have a line "test: NAME", as a
# pattern. test leaves them out and prints them; known-red runs them alone.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)

# CROWD_TESTS play crowds of clients against processes. They run one at a time, after the
# others, since what they check is the processes' memory and that they still answer.
CROWD_TESTS := Test.*OutlastsUncontrolledClients.*

test: build
	@echo 'left out, see KNOWN-RED.txt: $(or $(KNOWN_RED),none)'
	go test -skip '^($(CROWD_TESTS)$(if $(KNOWN_RED),|$(KNOWN_RED)))$$' $(PACKAGES)
	go test -p 1 -run '^($(CROWD_TESTS))$$' $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./standin/internal/abuser

known-red: build
	@cat KNOWN-RED.txt
	$(if $(KNOWN_RED),go test -run '^($(KNOWN_RED))$$' $(PACKAGES) 2>&1 | grep -v '\[no test')

race:
	go test -race -short $(PACKAGES)

# race-programs leaves out the stand-ins, whose proofs spawn processes that the
# race detector doesn't see.
race-programs:
	go test -race -short $(filter-out ./standin/...,$(PACKAGES))

format:
	gofmt -w $(MODULES)

format-check:
	@files=$$(gofmt -l $(MODULES)); if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi

$(LINTER):
	mkdir -p .bin
	GOWORK=off GOBIN=$(CURDIR)/.bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)
	mv .bin/golangci-lint $(LINTER)

lint: $(LINTER)
	go vet $(PACKAGES)
	@for module in $(MODULES); do echo "lint $$module"; (cd $$module && $(LINTER) run ./...) || exit 1; done

prove: build
	./bin/standin prove

# DAYS and SEED choose the days that are played; SEED=0 takes fresh ones.
DAYS := 1000
SEED := 0

emulate: build
	./bin/standin emulate --days $(DAYS) --seed $(SEED)

# PLAYS is how many plays of the fault soak are run, from SEED on.
PLAYS := 10

soak: build
	./bin/standin soak --seed $(SEED) --plays $(PLAYS)

measure: build
	./bin/standin measure

slopes: build
	./bin/standin slopes --report docs/measurements/slopes.md

bench: build
	go test -run '^$$' -bench . -benchmem $(PACKAGES)
	./bin/standin bench

demo: build
	./bin/standin jobs
	./bin/standin demo

clean:
	rm -rf bin out
