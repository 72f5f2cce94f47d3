.PHONY: build test lint fuzz run demo bench lab proto

# As deploy/balancer.toml has it: linked against the C library, which wants a C compiler.
build:
	@command -v "$$(go env CC)" >/dev/null || { echo "no C compiler $$(go env CC): install gcc and libc6-dev, or set CC" >&2; exit 1; }
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -p 1 ./...

lint:
	test -z "$$(gofmt -l ageing choice cmd internal proto slate)"
	go vet ./...

fuzz:
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/resp
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/httpwire
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/lab/trace
	go test -run - -fuzz FuzzParse -fuzztime 30s -fuzzminimizetime 1x ./internal/lab/scenario
	go test -run - -fuzz FuzzDecode -fuzztime 30s ./internal/snapshot
	go test -run - -fuzz FuzzAppend -fuzztime 30s ./internal/wire/resp2
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

# Wants protoc, and protoc-gen-go and protoc-gen-go-grpc of the versions that stand in the generated files.
proto:
	protoc -I proto --go_out=proto --go_opt=paths=source_relative --go-grpc_out=proto --go-grpc_opt=paths=source_relative \
		spurtrestle/cache/v1/cache.proto

# EDGE_CONFIG names the configuration, see README.md.
run: build
	exec bin/spurtrestle
