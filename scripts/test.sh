#!/usr/bin/env bash
# Installs packages, builds the project and runs all tests. Tests that KNOWN-RED.txt lists in a line
# "test: <name>" are run and their results are printed, but their failures do not fail the script.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/packages.sh
scripts/build.sh build

known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
exclude=()
if [ -n "$known_red" ]; then
  pattern="^($(echo "$known_red" | paste -sd '|'))\$"
  exclude=(-E "$pattern")
  echo "KNOWN-RED tests, not part of the verdict:"
  ctest --test-dir build --output-on-failure -R "$pattern" || true
fi
ctest --test-dir build --output-on-failure -j "${QH_TEST_JOBS:-4}" "${exclude[@]}"
if [ -n "$known_red" ]; then
  echo "passed over (KNOWN-RED.txt): $(echo "$known_red" | paste -sd ' ')"
fi
