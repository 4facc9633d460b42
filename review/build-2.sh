#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10, which are Python programs and need no
# build: python3 (3.11 or later, as Debian 12 has it) and its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py ./*/case.py <<'PYTHON'
import sys
import tomllib  # New in 3.11; reads deploy/system.toml.

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
print("checked", len(sys.argv) - 1, "files")
PYTHON
