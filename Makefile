.PHONY: build test lint fuzz run demo bench lab

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -p 1 ./...

lint:
	test -z "$$(gofmt -l choice cmd internal slate)"
	go vet ./...

fuzz:
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/resp
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/httpwire
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/lab/trace
	go test -run - -fuzz FuzzParse -fuzztime 30s ./internal/lab/scenario
	go test -run - -fuzz FuzzRouter -fuzztime 60s -fuzzminimizetime 1x ./internal/router

# A minute with faults on real routers; the report's folder is printed at the end.
demo: build
	bin/spurctl lab run lab/scenarios/demo.toml

# All scenarios of the shelf: some ten minutes.
lab: build
	bin/spurctl lab run lab/scenarios/*.toml

bench: build
	bin/spurctl lab bench --self
	bin/spurctl lab bench
	go test -run - -bench . ./internal/lab/...

# EDGE_CONFIG names the configuration, see README.md.
run: build
	exec bin/spurtrestle
