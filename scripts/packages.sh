#!/usr/bin/env bash
# Installs the Debian 12 packages that are needed to build, test and check the project. Does nothing
# if all of them are already installed.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config clang-format clang-tidy clang-tools python3 curl
  libuv1-dev libh2o-dev libhttp-parser-dev libcapnp-dev capnproto libpopt-dev libboost-log-dev
  librapidcheck-dev catch2 libinih-dev libxxhash-dev nlohmann-json3-dev libssl-dev zlib1g-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

run_as_root=()
if [ "$(id -u)" -ne 0 ]; then
  run_as_root=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
"${run_as_root[@]}" apt-get update -qq
"${run_as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
