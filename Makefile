GO ?= go
BIN := $(CURDIR)/.bin

.PHONY: build demo test check tools gopls generate bench experiment explore

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	./demo/run.sh

test: build
	GO=$(GO) ./.ci/gotest ./...
	./soak/run.sh 1 1 --vms 6 --faults 8s --count 8

tools: $(BIN)/staticcheck $(BIN)/gofumpt $(BIN)/go-jsonschema

$(BIN)/staticcheck $(BIN)/gofumpt $(BIN)/go-jsonschema: tools/go.mod tools/go.sum
	cd tools && GOBIN=$(BIN) $(GO) install tool

# gopls is the language server, used to rename identifiers. CI does not need it.
gopls: $(BIN)/gopls

$(BIN)/gopls: tools/gopls/go.mod tools/gopls/go.sum
	cd tools/gopls && GOBIN=$(BIN) $(GO) install tool

check: tools
	@test -z "$$($(BIN)/gofumpt -l .)" || { $(BIN)/gofumpt -l .; exit 1; }
	$(GO) vet ./...
	$(BIN)/staticcheck ./...

# generate needs protoc (Debian package protobuf-compiler). Its output is committed.
generate: tools
	PATH=$(BIN):$$PATH protoc --go_out=. --go_opt=module=hawthornspar io/wire/wire.proto io/loadexchange/wire/loadexchange.proto
	$(BIN)/go-jsonschema --only-models --tags json --disable-omitempty --disable-omitzero -p wire -o platform/wire/wire.go platform/wire/wire.schema.json

# bench measures real processes. experiment compares policies in virtual time.
bench: build
	./bench/path.sh
	./bench/orders.sh
	./bench/idle.sh
	MEASURE=1 $(GO) test -count=1 -run TestSuite ./platform/scenarios -ginkgo.focus "The hot path" -v

experiment: build
	$(BIN)/experiment grants
	$(BIN)/experiment ranks
	$(BIN)/experiment fairness
	$(BIN)/experiment crash
	$(BIN)/experiment affinity

# explore runs the property tests with a new seed, and fuzzes what reads bytes from
# outside. Both are random, so CI runs only their fixed seeds.
explore:
	$(GO) test ./experiment -count=1 -timeout 1h -rapid.seed=$$(date +%s) -rapid.checks=2000 -rapid.steps=80
	$(GO) test ./io/caller -run '^$$' -fuzz FuzzParseChat -fuzztime 30s
	$(GO) test ./io/http1 -run '^$$' -fuzz FuzzReadResponse -fuzztime 30s
	$(GO) test ./io/settings -run '^$$' -fuzz FuzzParseGateway -fuzztime 30s
	$(GO) test ./io/entry/query -run '^$$' -fuzz FuzzParse -fuzztime 30s
	$(GO) test ./platform -run '^$$' -fuzz FuzzDecodeRows -fuzztime 30s
	$(GO) test ./platform -run '^$$' -fuzz FuzzReadHeaders -fuzztime 30s
