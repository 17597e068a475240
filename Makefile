PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(patsubst %/pyproject.toml,%,$(wildcard */*/pyproject.toml platform/pyproject.toml))

.PHONY: demo test lint setup bench capacity soak soak-platform model clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt $(wildcard */*/pyproject.toml platform/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach package,$(PACKAGES),--editable ./$(package))
	touch $@

test: setup
	$(BIN)/python -m cassiahold.core.testing .

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
	$(BIN)/mypy $(wildcard */*/src/cassiahold/* platform/src/cassiahold/*)

demo: setup
	$(BIN)/python -m cassiahold.bench.demo.main

bench: setup
	$(BIN)/cassiahold-bench run

capacity: setup
	$(BIN)/cassiahold-bench capacity

model: setup
	$(BIN)/cassiahold-bench model

MINUTES ?= 5
FIRST ?= 100
soak: setup
	$(BIN)/cassiahold-bench soak --minutes $(MINUTES)

soak-platform: setup
	$(BIN)/python platform/tests/soak.py --seeds 5 --first $(FIRST)

clean:
	rm -rf $(VENV) var report
