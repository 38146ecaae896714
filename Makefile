.PHONY: build test lint fuzz run check demo sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -timeout 20m ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...
	test -z "$$(go tool deadcode -test ./... | tee /dev/stderr)"

# Each fuzz test for a short while; a find is kept under testdata and runs with the tests from then on.
fuzz:
	go test ./internal/http1 -run '^$$' -fuzz '^FuzzReader$$' -fuzztime 20s
	go test ./internal/http1 -run '^$$' -fuzz '^FuzzBytes$$' -fuzztime 20s
	go test ./internal/http1 -run '^$$' -fuzz '^FuzzServer$$' -fuzztime 20s
	go test ./internal/platform -run '^$$' -fuzz '^FuzzCaller$$' -fuzztime 20s
	go test ./internal/platform -run '^$$' -fuzz '^FuzzFrames$$' -fuzztime 20s
	go test ./internal/operator -run '^$$' -fuzz '^FuzzParseCall$$' -fuzztime 20s
	go test ./internal/operator -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime 20s
	go test ./internal/config -run '^$$' -fuzz '^FuzzReload$$' -fuzztime 20s

# Both take their configuration from PROXY_CONFIG, from the file that SEARCH names, or from both.
SEARCH ?= deploy/opensearch.example.yaml

run: build
	bin/harepass serve -opensearch $(SEARCH)

check: build
	bin/harepass check -opensearch $(SEARCH)

# Emulated map nodes, a coordinator before them, and one conditions summary over every section.
demo: build
	@bin/lab nodes & nodes=$$!; bin/harepass serve -opensearch $(SEARCH) & harepass=$$!; \
	trap 'kill $$nodes $$harepass; wait' EXIT; \
	curl -sS --retry 20 --retry-delay 1 --retry-connrefused 'http://127.0.0.1:9200/conditions/_search?size=3&pretty' -H 'X-Opaque-Id: kitakaze-app'

# The platform's bench wants its names beside a site's file. They are the operators' and stay out of the repository.
KIT ?= ../given/kit
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
