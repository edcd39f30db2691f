#!/usr/bin/env bash
# Builds and runs the tests for untrusted input with address and undefined-behaviour sanitizers. The
# seeds are fixed to make the results of the runs reproducible.
set -euo pipefail
cd "$(dirname "$0")/.."

tests=(test_fuzz test_http test_gateway)
cmake -S . -B build-sanitized -G Ninja -DQH_SANITIZE=ON >/dev/null
cmake --build build-sanitized --target "${tests[@]}"
for name in "${tests[@]}"; do
  echo "--- ${name} with sanitizers"
  RC_PARAMS=seed=20261204 "build-sanitized/bin/${name}" --rng-seed 20261204 | tail -n 3
done
