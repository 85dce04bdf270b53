# Build, test, lint and run finchcart.
PYTHON ?= python3
VENV = .venv/bin
CONFIG ?= example/config.json

.PHONY: build test lint run world

build:
	test -d .venv || $(PYTHON) -m venv .venv
	$(VENV)/pip -q install -r requirements-dev.txt

test: build
	$(VENV)/python -m pytest -q

lint: build
	$(VENV)/ruff check .

run: build  # one node; `make world` in another terminal gives it something to talk to
	ROUTER_CONFIG=$(CONFIG) $(VENV)/python -m finchcart

world: build
	$(VENV)/python -m finchcart.simulated_peers $(CONFIG)
