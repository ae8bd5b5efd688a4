.PHONY: build demo test race crowd lint generate proof
# The tests of crowds start daemons that use the memory of a VM, and run one at a time.
crowd_tests = ./internal/crowd
other_tests = $$(go list ./... | grep -v /internal/crowd$$)
build:
	go build -o bin/ ./cmd/...
demo: build
	./scripts/demo.sh
test:
	go test $$(scripts/known-red.sh) $(other_tests)
	$(MAKE) crowd
race:
	go test -race -timeout 30m $$(scripts/known-red.sh) $(other_tests)
crowd:
	go test -race -timeout 30m $$(scripts/known-red.sh) $(crowd_tests)
lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	go tool staticcheck ./...
proof: build
	./scripts/proof.sh
generate:
	go generate ./...
