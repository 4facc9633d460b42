#!/usr/bin/env bash
# Installs missing packages, builds the release preset and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install_packages.sh
cmake --preset release
cmake --build --preset release
ctest --preset release
