.PHONY: build demo demo-platform test bench fuzz lint clean

SEED ?= 1
STEPS ?= 10000
CHECKS ?= 10

build:
	go build -o bin/ ./cmd/...

demo-platform: build
	examples/platform/demo.sh

demo: build
	examples/demo/demo.sh

# The tests of crowds measure memory and run apart from others, one at a time.
CROWDS = ./internal/crowd/... ./platform/crowds

test: build
	go test -count=1 -timeout 10m $$(go list ./... | grep -v /crowd)
	go test -count=1 -timeout 10m -p 1 $(CROWDS)

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	LOVAGE_FUZZ_SEED=$(SEED) LOVAGE_FUZZ_STEPS=$(STEPS) LOVAGE_FUZZ_CHECKS=$(CHECKS) go test ./... -run Fuzz -count 1 -timeout 1h -v | grep -v 'no test files'

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l . ; echo "the files above are not formatted; run gofmt -w on them" ; exit 1 ; }
	go vet ./...
	go vet -tags faults ./...
	go tool staticcheck -tags faults ./...
	go tool staticcheck ./...

clean:
	rm -rf bin
