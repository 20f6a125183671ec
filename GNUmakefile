.PHONY: build test demo check generate bench fuzz

build:
	go build -o bin/lagoongw .

test:
	scripts/test-known-red $(TESTFLAGS)

demo:
	go run ./test/demo

check:
	bash .ci/run

generate:
	scripts/generate

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...
