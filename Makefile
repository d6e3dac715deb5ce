# Commands for developers and operators; CI runs `make test`.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: install demo test check lint format bench measurements dist clean

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

demo: install
	$(BIN)/python -m damaskrill demo

# Run the checks in an existing virtual environment.
check:
	$(BIN)/python tools/run_checks.py

test: install check

lint:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format:
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: install
	$(BIN)/python -m benchmarks

# Run all benchmarks, store the results, and write the pages and plots from them.
measurements: install
	$(BIN)/python -m benchmarks --store --table
	$(BIN)/python -m benchmarks.write_measurements

dist: install
	$(BIN)/python tools/build_dist.py

clean:
	rm -rf build dist .mypy_cache .ruff_cache .hypothesis
