# make try   runs a small deployment on loopback and judges it
# make test  runs every check: format, lint, tests with the race detector
MODULES  := coordination examples godwitmoor godwitmoord platform replay standin
PROGRAMS := godwitmoor godwitmoord replay standin
LINTER   := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BIN      := $(CURDIR)/bin

.PHONY: build try test lint unit tools measures capacity reference

build:
	@mkdir -p $(BIN)
	@for program in $(PROGRAMS); do go build -o $(BIN)/$$program ./$$program || exit 1; done

try: build
	@$(BIN)/replay try --bin $(BIN) --out out

test: lint unit

measures: build
	@$(BIN)/replay measure --bin $(BIN) --out out

capacity: build
	@$(BIN)/replay capacity --bin $(BIN) --out out

reference: build
	@$(BIN)/replay reference > docs/operators/REFERENCE.md

tools: $(BIN)/golangci-lint

$(BIN)/golangci-lint:
	@mkdir -p $(BIN)
	GOBIN=$(BIN) go install $(LINTER)

lint: tools
	@for module in $(MODULES); do echo "lint $$module"; (cd $$module && $(BIN)/golangci-lint run ./...) || exit 1; done

unit:
	@scripts/unit $(MODULES)
