#!/usr/bin/env bash
# Formats every C++ file that is tracked or untracked and not ignored.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cc' '*.h' | xargs -r clang-format -i
