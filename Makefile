# Build, test, lint and benchmark targets. MODULES are the modules of the Go workspace.
MODULES := core platform router side rattantrack standin
PROGRAMS := router side rattantrack standin
BIN := bin

# Tests that fail for a known fault, separated by |; each has an entry in KNOWN-RED.txt.
KNOWN_RED := TestRollingRestartFailsNoRequests|TestServedWorthDoesNotFallWithDemand|TestNamedRateLimitHoldsForAllRoutersTogether|TestLargeFleetThatStartsAtOnceSpreadsStates|TestOldRoutersInLargeFleetAreServed|TestRouterThatJoinsLargeFleetGetsState|TestEachRouterSeesOneCrash|TestStopCutsRequestThatABufferHoldsInPart

# Tests of clients that do not behave which fail for a known fault, one a line; each has an entry in KNOWN-RED.txt.
CROWD_RED :=

empty :=
CROWD_RED_PATTERN := $(subst $(empty) ,|,$(strip $(CROWD_RED)))

# Pattern of the platform's own names, which only code in platform/ may use.
PLATFORM_NAMES := Attempt-Id|Deadline-Ms|Target-Instance|Response-Seal|Not-Executed|Server-Load|Server-Leaving|Server-Limit|Store-Era|Token-Usage|Length-Hint|Prompt-Prefix|kv-range|kv-watch|kv-key|kv-list|route-type|target-latency|session-affinity|stream-resume|Resumes|RATTANTRACK_NODE_FILE

.PHONY: tools build test lint platform-names fmt race crowds fuzz-seeds fuzz examples demo failures verify-model bench bench-decisions bench-overload bench-capacity soak known-red clean

build:
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do go build -o $(BIN)/$$p ./$$p || exit 1; done

# Runs every check that CI runs.
test: tools lint build examples verify-model race crowds fuzz-seeds demo known-red

# Installs the model checker and the C compiler if they are missing.
tools:
	@command -v spin >/dev/null && command -v gcc >/dev/null || { apt-get update && apt-get install -y --no-install-recommends spin gcc libc6-dev; }

platform-names:
	@! grep -rnE '$(PLATFORM_NAMES)' --include=*.go --include=*.yaml core router side rattantrack standin examples || { echo "names of the platform outside platform/"; exit 1; }

fmt:
	@gofmt -w $(MODULES)

$(BIN)/staticcheck: tools/go.mod
	@mkdir -p $(BIN)
	@cd tools && GOWORK=off go build -o ../$(BIN)/staticcheck honnef.co/go/tools/cmd/staticcheck

# gopls renames identifiers across the workspace. It has its own module because it needs an older version of the analysis
# libraries than staticcheck.
$(BIN)/gopls: tools/gopls/go.mod
	@mkdir -p $(BIN)
	@cd tools/gopls && GOWORK=off go build -o ../../$(BIN)/gopls golang.org/x/tools/gopls

lint: $(BIN)/staticcheck platform-names
	@test -z "$$(gofmt -l $(MODULES))" || { echo "not formatted:"; gofmt -l $(MODULES); exit 1; }
	@for m in $(MODULES); do (cd $$m && go vet ./... && ../$(BIN)/staticcheck ./...) || exit 1; done
	@echo "lint ok"

# Runs the tests of all modules under the race detector, without those of known faults and those of the target crowds.
race:
	@for m in $(MODULES); do (cd $$m && go test -race -count=1 -skip '^($(KNOWN_RED))$$|^TestCrowd' ./...) || exit 1; done

# Runs the tests of clients that do not behave, one at a time, since they measure the memory and the descriptors of processes.
crowds:
	@cd platform && go test -count=1 -run '^TestCrowd' -skip '^($(CROWD_RED_PATTERN))$$' .
	@cd standin && go test -count=1 -run '^TestCrowd' -skip '^($(CROWD_RED_PATTERN))$$' ./internal/fleet

# Runs the fuzz targets of core and platform on their seed corpora only.
fuzz-seeds:
	@cd core && go test -count=1 -run '^Fuzz' ./...
	@cd platform && go test -count=1 -run '^Fuzz' .

# Fuzzes the targets named below, each for FUZZTIME.
FUZZTIME ?= 60s
fuzz:
	@cd platform && for f in FuzzReadRequest FuzzDecodeInstance FuzzDecodeConfig; do go test -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZTIME) . || exit 1; done
	@cd core && go test -run '^$$' -fuzz '^FuzzUnpack$$' -fuzztime $(FUZZTIME) ./affinity
	@cd router && go test -run '^$$' -fuzz '^FuzzEvents$$' -fuzztime $(FUZZTIME) ./internal/upstream

examples: build
	@for d in examples/*/; do $(BIN)/rattantrack check $$d || exit 1; done

demo: build
	@$(BIN)/standin demo --bin $(BIN)

# Checks the protocol models, and that the checker rejects their broken variants.
verify-model:
	@model/verify.sh

# Runs the failure tests against real processes, each RUNS times, and prints the numbers of passed and failed tests.
RUNS ?= 1
failures:
	@cd standin && go test -count=$(RUNS) -v ./internal/fleet 2>&1 | tee /tmp/rattantrack-failures.log | grep -E '^(--- |ok|FAIL)' ; \
	echo "passed $$(grep -c '^--- PASS' /tmp/rattantrack-failures.log) failed $$(grep -c '^--- FAIL' /tmp/rattantrack-failures.log)"

# Simulates the routing and admission decisions on a virtual clock and compares them with baseline policies.
bench-decisions:
	@cd core && go run ./internal/benchdecisions

# Plays an overloaded fleet on a virtual clock, and draws the served worth at multiples of its capacity beside that of a naive rule.
bench-overload:
	@cd router && go test -run '^$$' -bench '^BenchmarkOverload$$' -benchtime 1x -v ./internal/direct

# Measures the request path, open streams and routing decisions in running processes and prints JSON lines.
bench: build
	@$(BIN)/standin bench --bin $(BIN) --only path,streams,fleet

# Measures how state, traffic and processor time grow with the fleet and prints JSON lines.
bench-capacity: build
	@$(BIN)/standin bench --bin $(BIN) --only capacity

# Runs the fault soak test over SEEDS seeds starting at FIRST, JOBS at a time. The tests of platform/ run the seeds that CI uses.
FIRST ?= 1000
SEEDS ?= 50
JOBS ?= 4
soak:
	@cd platform && go test -count=1 -timeout 60m -parallel $(JOBS) -run '^TestSoak$$' -v . -soak.first $(FIRST) -soak.seeds $(SEEDS) 2>&1 | tee /tmp/rattantrack-soak.log | grep -E '^ *(--- |ok|FAIL|soak)' ; \
	echo "passed $$(grep -c '^    --- PASS' /tmp/rattantrack-soak.log) failed $$(grep -c '^    --- FAIL' /tmp/rattantrack-soak.log)"

# Runs the tests of known faults and prints what is known; their result does not count.
known-red:
	@echo "Known faults (KNOWN-RED.txt):"
	@cat KNOWN-RED.txt
	@cd standin && go test -race -count=1 -run '^($(KNOWN_RED))$$' ./internal/fleet || echo "known fault seen"
	@cd platform && go test -race -count=1 -run '^($(KNOWN_RED))$$' . || echo "known fault seen"
	@cd core && go test -race -count=1 -run '^($(KNOWN_RED))$$' ./httplisten || echo "known fault seen"
	@cd router && go test -race -count=1 -run '^($(KNOWN_RED))$$' ./internal/direct ./internal/routers ./internal/crashes || echo "known fault seen"

clean:
	@rm -rf $(BIN)
