#!/usr/bin/env bash
# Builds the tests of what strangers can send with address and undefined-behaviour sanitizers, and
# runs them. Their seeds are fixed, so that each run gives the same verdict.
set -euo pipefail
cd "$(dirname "$0")/.."

tests=(test_fuzz test_http test_gateway)
cmake -S . -B build-sanitized -G Ninja -DQH_SANITIZE=ON >/dev/null
cmake --build build-sanitized --target "${tests[@]}"
for name in "${tests[@]}"; do
  echo "--- ${name} with sanitizers"
  RC_PARAMS=seed=20261204 "build-sanitized/bin/${name}" --rng-seed 20261204 | tail -n 3
done
