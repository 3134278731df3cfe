VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PY := $(BIN)/python
# The environment is made again when the lock changes.
STAMP := $(VENV)/.ready-$(shell sha256sum requirements/dev.txt | cut -c1-12)

EMULATOR_TESTS := measure/emulator/tests
# Emulated fleets have their own time, so these run beside the tests of the
# package. The soak starts processes and runs by itself.
PARALLEL_TESTS := test-package test-fatal test-load test-patterns test-measure

.PHONY: setup test demo format lint measure measure-long capacity soak
.PHONY: test-soak $(PARALLEL_TESTS)

setup: $(STAMP)

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --require-hashes -r requirements/dev.txt
	touch $@

format: setup
	$(BIN)/ruff format -q .

lint: setup
	$(BIN)/ruff format -q --check .
	$(BIN)/flake8 apricotseam measure release soak
	$(BIN)/lint-imports --no-cache
	$(PY) -m release.shares

test: lint
	$(MAKE) --jobs --output-sync=target $(PARALLEL_TESTS)
	$(MAKE) test-soak
	@cat KNOWN-RED.txt

test-package: setup
	$(PY) -m pytest apricotseam

test-fatal: setup
	$(PY) -m pytest $(EMULATOR_TESTS)/test_fatal.py

test-load: setup
	$(PY) -m pytest $(EMULATOR_TESTS)/test_load.py

test-patterns: setup
	$(PY) -m pytest $(EMULATOR_TESTS)/test_patterns.py

test-measure: setup
	$(PY) -m pytest measure --ignore=$(EMULATOR_TESTS)/test_fatal.py \
		--ignore=$(EMULATOR_TESTS)/test_load.py \
		--ignore=$(EMULATOR_TESTS)/test_patterns.py

test-soak: setup
	$(PY) -m pytest soak

demo: setup
	$(PY) -m apricotseam demo

# Fresh seeds of the fault soak; see docs/SOAK.md.
soak: setup
	$(PY) -m soak --fresh 20 --jobs 4

.PHONY: binary binary-test

# One file that runs without this tree, its environment or a disk.
binary: setup
	$(PY) release/build.py

# Needs `strace`, which `.ci/run` installs.
binary-test: binary
	$(PY) -m pytest release/tests

measure: setup
	$(PY) -m measure run
	$(PY) -m measure tables
	$(PY) -m measure capacity
	$(PY) -m measure report

measure-long: setup
	$(PY) -m measure run --long
	$(PY) -m measure tables
	$(PY) -m measure capacity
	$(PY) -m measure report

capacity: setup
	$(PY) -m measure capacity
