VENV ?= $(CURDIR)/.venv
PYTHON ?= python3.11
RUN = PYTHONPATH=$(CURDIR) PYTHONHASHSEED=0 $(VENV)/bin/python
STAMP = $(VENV)/.requirements

.PHONY: test demo demo-up lint format measure soak

test: $(STAMP) lint
	$(RUN) -m tests.run

demo: $(STAMP)
	$(RUN) -m demo

demo-up: $(STAMP)
	$(RUN) -m demo --stay

measure: $(STAMP)
	$(RUN) -m measure

soak: $(STAMP)
	$(RUN) -m tests.soak

lint: $(STAMP)
	$(VENV)/bin/ruff format --check --quiet .
	$(VENV)/bin/ruff check --quiet .
	$(VENV)/bin/flake8 chicorycart tests demo measure

format: $(STAMP)
	$(VENV)/bin/ruff check --quiet --fix .
	$(VENV)/bin/ruff format --quiet .

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet -r requirements-dev.txt
	touch $(STAMP)
