PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
EXAMPLE ?= ponte-nova
RUN_SECONDS ?= 0
SOURCES = cranberryscale cranberryscale_bench standins model soak tests
export PYTHONPATH = $(CURDIR)

.PHONY: run test lint format bench bench-quick clean

$(BIN)/.installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    -r requirements.txt
	touch $@

run: $(BIN)/.installed
	$(BIN)/python -m standins.fleet --example examples/$(EXAMPLE) \
	    --seconds $(RUN_SECONDS)

test: $(BIN)/.installed
	$(BIN)/python -m pytest

lint: $(BIN)/.installed
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(BIN)/.installed
	$(BIN)/ruff format $(SOURCES)

bench: $(BIN)/.installed
	$(BIN)/python -m cranberryscale_bench.commands run

bench-quick: $(BIN)/.installed
	$(BIN)/python -m cranberryscale_bench.commands run --quick

clean:
	rm -rf build $(VENV)
