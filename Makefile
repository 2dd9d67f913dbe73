# The two commands of the README: `make try` serves requests, `make test` passes the tests.
PYTHON ?= python3
BIN := .venv/bin
export PYTHONPATH := src
# The protobuf runtime refuses generated code from a newer generator, so both stay pinned.
READY := .venv/.installed-from-lock

.PHONY: try test check format

$(READY): requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $(READY)

try: $(READY)
	$(BIN)/python -m turmericusher try

test: $(READY)
	$(BIN)/python -m pytest -q

check: $(READY)
	$(BIN)/ruff format --check src tests benchmarks
	$(BIN)/ruff check src tests benchmarks
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

format: $(READY)
	$(BIN)/ruff format src tests benchmarks
	$(BIN)/ruff check --fix src tests benchmarks
