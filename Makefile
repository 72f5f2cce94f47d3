.PHONY: build test race lint fuzz run demo bench lab proto standing fleet-long policy-long site-long accord-long scale scale-long

# As deploy/balancer.toml has it: linked against the C library, which wants a C compiler.
build:
	@command -v "$$(go env CC)" >/dev/null || { echo "no C compiler $$(go env CC): install gcc and libc6-dev, or set CC" >&2; exit 1; }
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 -p 1 ./...

# Once under the race detector: some ten minutes.
race:
	CGO_ENABLED=1 go test -race -count=1 -p 1 -timeout 30m ./...

lint:
	test -z "$$(gofmt -l $$(go list -f '{{.Dir}}' ./...))"
	go vet ./...
	go tool staticcheck ./...
	.ci/revive

fuzz:
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/resp
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/httpwire
	go test -run - -fuzz FuzzRead -fuzztime 30s ./internal/lab/trace
	go test -run - -fuzz FuzzParse -fuzztime 30s -fuzzminimizetime 1x ./internal/lab/scenario
	go test -run - -fuzz FuzzDecode -fuzztime 30s ./internal/snapshot
	go test -run - -fuzz FuzzDecode -fuzztime 30s ./core/hierarchy
	go test -run - -fuzz FuzzUnpackWords -fuzztime 30s ./internal/gossip
	go test -run - -fuzz FuzzAppend -fuzztime 30s ./internal/wire/resp2
	go test -run - -fuzz FuzzRouter -fuzztime 60s -fuzzminimizetime 1x ./internal/router

# A minute with faults on real routers; the report's folder is printed at the end.
demo: build
	bin/cache-routerctl lab run lab/scenarios/demo.toml

# All scenarios of the shelf: some ten minutes.
lab: build
	bin/cache-routerctl lab run lab/scenarios/*.toml

# Fleets without load, through faults between the processes: some twenty minutes.
fleet-long: build
	bin/cache-routerctl lab views --rounds 100 --routers 12
	bin/cache-routerctl lab views --measure --routers 60
	bin/cache-routerctl lab views --measure --routers 20 --drop 0.3

# Changes of policy all the time under faults: a quarter of an hour.
policy-long: build
	bin/cache-routerctl lab policies --rounds 200 --parallel 6

# Losses of whole sites under faults between the routers: ten minutes.
site-long: build
	bin/cache-routerctl lab sites --rounds 50

# What a fleet's size costs its routers, small: under a minute, and it fails when a router's bytes grow with the fleet.
scale: build
	bin/cache-routerctl scale run lab/scale/quick.toml

# The same at all sizes and under all faults: some two hours. Trials that are finished are kept in scale-*.json.
scale-long: build
	for s in flat flat-faults tiered tiered-faults tiered-region-cut; do bin/cache-routerctl scale run --json scale-$$s.json lab/scale/$$s.toml || exit 1; done

# Every order of a small fleet that asks, loses, doubles, begins anew and changes its leader: minutes, and some GB.
accord-long:
	go test -count=1 -timeout 60m -run TestEveryOrder -long -v ./core/policycommit

bench: build
	bin/cache-routerctl lab bench --self
	bin/cache-routerctl lab bench
	go test -run - -bench . ./internal/lab/...

# The operators' standing test, quick, where their bench is at hand: STANDING_BENCH is its program, STANDING_SITE a site's
# file, WHY a sentence on what changed. It fails unless the last verdict is that the gate is passed.
standing:
	@test -x "$$STANDING_BENCH" -a -f "$$STANDING_SITE" || { echo "NOT RUN: the operators' bench is not at hand; set STANDING_BENCH to its program and STANDING_SITE to a site's file" >&2; exit 1; }
	@test -n "$$WHY" || { echo "NOT RUN: say in WHY, in one sentence, what changed" >&2; exit 1; }
	@said=$$(mktemp) && { "$$STANDING_BENCH" score "$$STANDING_SITE" --quick --why "$$WHY" | tee "$$said"; \
	grep '^GATE passed' "$$said" >/dev/null; ok=$$?; rm -f "$$said"; exit $$ok; }

# Wants protoc, and protoc-gen-go and protoc-gen-go-grpc of the versions that stand in the generated files.
proto:
	protoc -I proto --go_out=proto --go_opt=paths=source_relative --go-grpc_out=proto --go-grpc_opt=paths=source_relative \
		spurtrestle/cache/v1/cache.proto

# EDGE_CONFIG names the configuration, see README.md.
run: build
	exec bin/cache-router
