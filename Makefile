# Build, test, format, lint and run finchcart.
PYTHON ?= python3
VENV = .venv/bin
CONFIG ?= example/config.json

.PHONY: build requirements test format lint unfinished run world

build: requirements $(VENV)/finchcart  # .venv with all requirements and the `finchcart` command

requirements:
	test -d .venv || $(PYTHON) -m venv .venv
	$(VENV)/pip -q install -r requirements-dev.txt

$(VENV)/finchcart: pyproject.toml | requirements
	$(VENV)/pip -q install --no-deps --no-build-isolation -e .
	touch $@

test: build
	$(VENV)/python -m pytest -q

format: build
	$(VENV)/ruff check -q --select I --config 'lint.per-file-ignores = {}' --fix .
	$(VENV)/ruff format .

lint: build
	$(VENV)/ruff format --check .
	$(VENV)/ruff check .
	$(VENV)/python tools/unfinished.py
	$(VENV)/python tools/type_checks.py
	$(VENV)/python tools/import_circles.py
	$(VENV)/python tools/links.py

unfinished: build  # list the modules that break rules of linter or type checker anew, in pyproject.toml
	$(VENV)/python tools/unfinished.py --write
	$(VENV)/python tools/type_checks.py --write

run: build  # one node; `make world` in another terminal gives it something to talk to
	ROUTER_CONFIG=$(CONFIG) $(VENV)/python -m finchcart

world: build
	$(VENV)/python -m finchcart.simulated_peers $(CONFIG)
