#!/usr/bin/env bash
# Configures and builds all targets in build/ or in the folder given as the first argument. Further
# arguments are passed to cmake when it configures the build.
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=${1:-build}
shift || true
generator=()
if [ ! -e "$build_dir/CMakeCache.txt" ]; then
  generator=(-G Ninja)
fi
cmake -S . -B "$build_dir" "${generator[@]}" "$@" >/dev/null
cmake --build "$build_dir" --parallel "${QH_JOBS:-$(nproc)}"
