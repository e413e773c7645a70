PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
DEPLOYMENT ?= ribera-norte
SOAK_SEEDS ?= 4
PACKAGES := packages/fescueseam packages/fescueseam-daemon packages/fescueseam-cli packages/fescueseam-standins
SOURCES := $(wildcard packages/*/src) platform

.PHONY: install format lint types test demo measure capacity soak review clean

$(VENV)/installed: requirements/lock.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/lock.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

install: $(VENV)/installed

format: install
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

lint: install
	$(BIN)/black --quiet --check $(SOURCES) conftest.py
	$(BIN)/ruff check $(SOURCES) conftest.py

types: install
	$(BIN)/mypy $(SOURCES)

test: lint types
	SEED=$(SEED) $(BIN)/pytest

demo: install
	$(BIN)/python -m fescueseam_standins.demo --deployment $(DEPLOYMENT)

measure: install
	$(BIN)/python -m fescueseam_standins.measure --seed $(SEED)

capacity: install
	$(BIN)/python -m fescueseam_standins.capacity --seed $(SEED)
	$(BIN)/python -m fescueseam_standins.capacity.state --seed $(SEED)

soak: install
	SEED=$(SEED) SOAK=1 $(BIN)/pytest -k soak
	cd platform && ../$(BIN)/python -m fescueseam_platform.tests.soak --first $(SEED) --count $(SOAK_SEEDS) --shards 2

review:
	.ci/review

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis
