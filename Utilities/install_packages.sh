#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3
  libssl-dev libh2o-evloop-dev libwebsocketpp-dev libboost-dev nlohmann-json3-dev
  libyaml-cpp-dev liblog4cxx-dev libabsl-dev libgflags-dev libtomlplusplus-dev catch2
  libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
