#!/bin/bash
# Checks the stand-ins of the cases. They are in Python and need no packages.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later"'
for file in standins/*.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 standins/check_store.py
test -x ../target/platform/hyssopbarrow-entry
