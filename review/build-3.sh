#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, which are Python: checks that the
# interpreter is there and reads them. The program under test is built with the
# command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in glob.glob("review/standins-3/*.py") + glob.glob("review/1[1-5]/*.py"):
    ast.parse(open(path).read(), path)
CHECK
