# Every habit of the project, one target each.
MODULES := core router side rattantrack standin
PROGRAMS := router side rattantrack standin
BIN := bin

.PHONY: build test test-race lint fmt demo failures bench bench-decisions bench-capacity verify-model fuzz-seeds examples known-red clean

build:
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do go build -o $(BIN)/$$p ./$$p || exit 1; done

test: lint examples verify-model test-race demo known-red

test-race:
	@for m in $(MODULES); do (cd $$m && go test -race -count=1 ./...) || exit 1; done

fmt:
	@gofmt -w $(MODULES)

lint:
	@test -z "$$(gofmt -l $(MODULES))" || { echo "not formatted:"; gofmt -l $(MODULES); exit 1; }
	@for m in $(MODULES); do (cd $$m && go vet ./... && go tool -modfile=../tools/go.mod staticcheck ./...) || exit 1; done

demo: build
	@$(BIN)/standin demo --bin $(BIN)

known-red:
	@echo "Known faults (KNOWN-RED.txt):"; cat KNOWN-RED.txt
