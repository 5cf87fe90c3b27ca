#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10, after the build of deploy/balancer.toml.  They are Python files that
# use the standard library alone: nothing is installed or compiled, each is only read once to see that it can start.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - review/stand2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'END'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if "*" not in name:
        compile(Path(name).read_text(encoding="utf-8"), name, "exec")
END
