VENV ?= .venv
PY := $(VENV)/bin/python
BIN := $(CURDIR)/$(VENV)/bin
SEEDS ?= 3
BENCHMARKS := path tail load control membership configuration bookings \
	quarantine crashing node

.PHONY: env test lint format demo demo-platform soak histories fault-matrix clean \
	$(BENCHMARKS:%=bench-%)

env: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	python3.11 -m venv $(VENV)
	$(PY) -m pip install -q --no-warn-script-location -r requirements.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

test: env  ## Run the tests.
	$(PY) -m pytest $(ARGS)

lint: env  ## Check format and style.
	$(BIN)/ruff format --check .
	$(BIN)/flake8 sesameward tests benchmark

format: env  ## Rewrite the sources in the project's format.
	$(BIN)/ruff format .

demo: env  ## Show the whole path with separate processes.
	$(PY) -m benchmark.demo

demo-platform: env  ## Show the users' platform path with stand-ins.
	$(PY) -m benchmark.demo_platform

histories: env  ## Check the promises on seeded runs of real processes.
	$(PY) -m tests.histories run --seeds $(SEEDS)

soak: env  ## Play randomized faults on real processes.
	$(PY) -m tests.soak --seeds $(SEEDS) $(ARGS)

fault-matrix: env  ## Cross each fault with each step, and print the table.
	$(PY) -m tests.fault_matrix

$(BENCHMARKS:%=bench-%): bench-%: env  ## Measure; the last line is JSON.
	$(PY) -m benchmark.$*

clean:  ## Remove what the chores made.
	rm -rf $(VENV) build .pytest_cache .ruff_cache .hypothesis *.egg-info
