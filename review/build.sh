#!/bin/sh
# After the build of deploy/balancer.toml: checks and compiles the stand-ins, which need the standard library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
