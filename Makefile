.PHONY: build demo test bench fuzz lint clean

SEED ?= 1
STEPS ?= 10000

build:
	go build -o bin/ ./cmd/...

demo: build
	examples/demo/demo.sh

test: build
	go test -count=1 ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	go test ./... -run Fuzz -count 1 -rapid.seed=$(SEED) -rapid.steps=$(STEPS)

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l . ; echo "files above are not formatted" ; exit 1 ; }
	go vet ./...
	go vet -tags faults ./...
	go tool staticcheck -tags faults ./...
	go tool staticcheck ./...

clean:
	rm -rf bin
