VENV ?= .venv
SEED ?= 1
SOAK_S ?= 900
PYTHON ?= python3.11
PY := $(abspath $(VENV))/bin/python
SRC := packages/common/src packages/daemon/src packages/yuccactl/src packages/testkit/src platform/yuccarouter_platform
ROOT := $(CURDIR)
export PYTHONPATH := $(ROOT)/packages/common/src:$(ROOT)/packages/daemon/src:$(ROOT)/packages/yuccactl/src:$(ROOT)/packages/testkit/src:$(ROOT)/platform
PROTO := packages/common/src/yuccarouter_common/proto

.PHONY: setup test lint format demo demo-serve bench load soak platform-soak experiment variants proto spreads store-plays replica-orders

setup: $(VENV)/.installed

$(VENV)/.installed: requirements/dev.txt
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --require-hashes -r requirements/dev.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation \
		-e packages/common -e packages/daemon -e packages/yuccactl -e packages/testkit
	touch $@

test: setup
	$(PY) -m pytest -n 4 -m 'not alone'
	$(PY) -m pytest -m alone

lint: setup
	$(VENV)/bin/ruff format --check packages platform conftest.py
	$(VENV)/bin/flake8 packages platform conftest.py
	$(VENV)/bin/mypy $(SRC)
	$(VENV)/bin/lint-imports

format: setup
	$(VENV)/bin/ruff format packages platform conftest.py

demo: setup
	$(PY) -m yuccarouter_testkit.demo

demo-serve: setup
	$(PY) -m yuccarouter_testkit.demo --serve

# More examples of the property tests than CI, from another seed.
soak: setup
	timeout $(SOAK_S) $(PY) -m pytest -n 4 --timeout=$(SOAK_S) --hypothesis-profile=soak \
		--hypothesis-seed=$(SEED) packages/daemon/tests packages/common/tests \
		packages/yuccactl/tests

bench: setup
	$(PY) -m yuccarouter_testkit.bench

# Example: make load URL=http://127.0.0.1:8080 LOAD='--rate 50 --mix thanupp'
URL ?= http://127.0.0.1:8080
LOAD ?=
load: setup
	$(PY) -m yuccarouter_testkit.load --url $(URL) $(LOAD)

# Fresh seeds of gateway processes under faults, for example SEEDS=100:149.
SEEDS ?= 1:4
platform-soak: setup
	$(PY) -m yuccarouter_testbed.soak --seeds $(SEEDS)

# All combinations of lost peers, of which CI plays a part, and all orders of events of two replicas.
spreads: setup
	SPREAD_STRIDE=1 $(PY) -m pytest -n 4 --timeout=$(SOAK_S) packages/daemon/tests/gateway/test_spreads.py

# Drawn troubles of the store and of daemons, of which CI plays a few.
PLAYS ?= 400
store-plays: setup
	STORE_PLAYS=$(PLAYS) $(PY) -m pytest -n 4 --timeout=$(SOAK_S) packages/daemon/tests/gateway/test_store_plays.py

replica-orders: setup
	cd packages/daemon/tests/gateway && $(PY) replica_orders.py

# Load on a small deployment, for example EXPERIMENT='--rates 20,200'.
EXPERIMENT ?=
experiment: setup
	$(PY) -m yuccarouter_testbed.experiment $(EXPERIMENT)

# Variants of a site file of the users' bench, for hunts on unseen deployments.
SITE ?=
FOLDER ?= target/variants
variants: setup
	$(PY) -m yuccarouter_testbed.variants $(SITE) $(FOLDER) --seeds $(SEEDS)

proto: setup
	$(PY) -m grpc_tools.protoc -I packages/common/src --python_out=packages/common/src \
		--grpc_python_out=packages/common/src --pyi_out=packages/common/src \
		packages/common/src/yuccarouter_common/proto/router.proto
