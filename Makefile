# Everyday commands. Each target creates the environment that it needs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test check format demo bench bench-budgets bench-routing bench-limits bench-shares bench-request ablation soak fuzz fuzz-mutants slopes reference clean

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(READY)

test: $(READY)
	$(BIN)/python -m tests

check: $(READY)
	$(BIN)/ruff format --check lynxchute tests
	$(BIN)/ruff check lynxchute tests
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format lynxchute tests
	$(BIN)/ruff check --fix lynxchute tests

demo: $(READY)
	$(BIN)/python -m lynxchute.demo

SEEDS ?= 3
SEED ?= 0
soak: $(READY)
	$(BIN)/python -m tests.soak --seeds $(SEEDS) --seed $(SEED)

bench: $(READY)
	$(BIN)/python -m lynxchute.bench.stream

fuzz: $(READY)
	$(BIN)/python -m tests.fuzz $(EXAMPLES) $(STEPS)

fuzz-mutants: $(READY)
	$(BIN)/python -m tests.mutants

bench-budgets: $(READY)
	$(BIN)/python -m lynxchute.bench.budgets

bench-routing: $(READY)
	$(BIN)/python -m lynxchute.bench.experiment swap-stations swap-stations-crowded snow-dispatch

bench-limits: $(READY)
	$(BIN)/python -m lynxchute.bench.limits

bench-shares: $(READY)
	$(BIN)/python -m lynxchute.bench.shares

bench-request: $(READY)
	$(BIN)/python -m lynxchute.bench.request_cost

ablation: $(READY)
	$(BIN)/python -m lynxchute.bench.experiment swap-stations swap-stations-crowded snow-dispatch --policy board board_with_weights board_without_fetch least_open part_affinity --seeds 3

slopes: $(READY)
	$(BIN)/python -m lynxchute.bench.base
	$(BIN)/python -m lynxchute.bench.slopes

reference: $(READY)
	$(BIN)/python -m lynxchute.reference > docs/operators/settings.md

clean:
	rm -rf $(VENV) build *.egg-info
