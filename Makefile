# The virtual environments are made afresh whenever the file that fills them has changed.
.PHONY: build test lint run

build: .venv/requirements.txt

.venv/requirements.txt: requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt $@

.ci-venv/requirements-dev.txt: requirements-dev.txt requirements.txt
	python3 -m venv --clear .ci-venv
	.ci-venv/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

lint: .ci-venv/requirements-dev.txt
	.ci-venv/bin/ruff check .
	.ci-venv/bin/mypy

test: lint
	.ci-venv/bin/python -m pytest -q

run: build
	.venv/bin/python -m badgeryoke
