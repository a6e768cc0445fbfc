VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: install try test format mutate capacity bench

$(VENV)/installed: pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[test,lint,capacity]'
	touch $@

install: $(VENV)/installed

try: install
	$(VENV)/bin/deckcourse try

test: install
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/ruff check --quiet .
	$(PYTHON) tools/run_tests.py

format: install
	$(VENV)/bin/black --quiet .
	$(VENV)/bin/ruff check --fix .

mutate: install
	$(PYTHON) tools/mutate.py

capacity: install
	$(PYTHON) tools/capacity.py

bench: install
	$(VENV)/bin/deckcourse-bench all
