PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = packages/damaskvalve-core packages/damaskvalve-state \
  packages/damaskvalve-agent packages/damaskvalve packages/damaskvalve-gateway \
  platform testing/damaskvalve-standins
CODE = packages platform testing bench

.PHONY: setup demo test prove lint bench capacity thrift soak

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock wheel
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation \
	  --no-deps $(addprefix -e ,$(PACKAGES))
	touch $@

demo: setup
	$(BIN)/python -m damaskvalve_standins.demo

test: setup
	$(BIN)/python -m damaskvalve_standins.run_tests

prove: setup
	$(BIN)/python -m damaskvalve_standins.prove

lint: setup
	$(BIN)/black --check --quiet $(CODE)
	$(BIN)/isort --check --quiet $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy $(addprefix packages/,damaskvalve-core/damaskvalve_core \
	  damaskvalve-state/damaskvalve_state damaskvalve-agent/damaskvalve_agent \
	  damaskvalve/damaskvalve damaskvalve-gateway/damaskvalve_gateway) \
	  platform/damaskvalve_platform testing/damaskvalve-standins/damaskvalve_standins

bench: setup
	$(BIN)/python bench/run.py

capacity: setup
	$(BIN)/python bench/capacity.py

thrift:
	thrift --gen py:slots,dynamic -out packages/damaskvalve-core idl/damaskvalve.thrift
	rm -f packages/damaskvalve-core/__init__.py

# SOAK="--seeds 1-50 --jobs 3", or fresh seeds for two minutes by default.
SOAK ?= --fresh-s 120 --jobs 2

soak: setup
	$(BIN)/python -m damaskvalve_platform.tests.soak $(SOAK)
