PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := src

.PHONY: env check test fuzz soak demo measure format clean

env: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	touch $@

# Formatter, linter and strict type check, without changing files.
check: env
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

test: env
	$(BIN)/python -m pytest

# The same state machines as `make test`, with fresh random seeds and more examples.
fuzz: env
	HYPOTHESIS_PROFILE=deep $(BIN)/python -m pytest tests -k "machine or fuzz"

demo: env
	$(BIN)/python -m siskinspool.standins.demo

# Real gateways under seeded faults: make soak SEED=7 SECONDS=120
SEED ?= 1
SECONDS ?= 60
soak: env
	$(BIN)/python -m siskinspool.standins.soak.main --seed $(SEED) --seconds $(SECONDS)

measure: env
	$(BIN)/python -m siskinspool.standins.measure $(ARGS)

format: env
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

clean:
	rm -rf $(VENV) build
