# The virtual environments are made afresh whenever the file that fills them has changed.  `badgeryoke` in .venv
# is the checkout itself, with the laboratory; the platform's own build, in deploy/balancer.toml, is leaner.
.PHONY: build test format lint run demo sites

BUILT = .venv/requirements-lab.txt

build: $(BUILT)

$(BUILT): requirements-lab.txt requirements.txt pyproject.toml
	python3 -m venv --clear .venv
	.venv/bin/pip -q install -r requirements-lab.txt
	.venv/bin/pip -q install --no-deps -e .
	cp requirements.txt .venv/requirements.txt
	cp requirements-lab.txt $@

.ci-venv/requirements-dev.txt: requirements-dev.txt requirements-lab.txt requirements.txt
	python3 -m venv --clear .ci-venv
	.ci-venv/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

format: .ci-venv/requirements-dev.txt
	.ci-venv/bin/ruff format .
	.ci-venv/bin/ruff check --fix .

lint: .ci-venv/requirements-dev.txt
	.ci-venv/bin/ruff format --check .
	.ci-venv/bin/ruff check .
	.ci-venv/bin/mypy
	.ci-venv/bin/lint-imports --no-cache

test: lint
	.ci-venv/bin/python -m pytest -q

run: build
	.venv/bin/python -m badgeryoke

demo: build
	.venv/bin/badgeryoke demo

# What the bench reads beside a site file comes from the kit and is not kept here.
KIT = ../given/kit

sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
