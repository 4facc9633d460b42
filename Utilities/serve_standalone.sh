#!/usr/bin/env bash
# Installs missing packages, builds the release preset and runs hyssopbarrowd
# with an embedded store and fleet on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install_packages.sh
cmake --preset release
cmake --build --preset release --target hyssopbarrowd hyssopbarrowctl
exec build/release/Source/Daemon/hyssopbarrowd --standalone
