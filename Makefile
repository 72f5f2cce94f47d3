.PHONY: build test lint fuzz run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l choice cmd internal slate)"
	go vet ./...

fuzz:
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/resp
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/httpwire
	go test -run - -fuzz FuzzRouter -fuzztime 60s -fuzzminimizetime 1x ./internal/router

# EDGE_CONFIG names the configuration, see README.md.
run: build
	exec bin/spurtrestle
