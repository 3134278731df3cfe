VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PY := $(BIN)/python

.PHONY: setup test demo measure format lint schema

setup: $(VENV)/.ready

$(VENV)/.ready: requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --require-hashes -r requirements/dev.txt
	touch $@

format: setup
	$(BIN)/ruff format -q .

lint: setup
	$(BIN)/ruff format -q --check .
	$(BIN)/flake8 apricotseam measure
	$(BIN)/lint-imports --no-cache

test: lint
	$(PY) -m pytest

demo: setup
	$(PY) -m apricotseam demo
