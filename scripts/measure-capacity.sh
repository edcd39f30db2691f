#!/usr/bin/env bash
# Measures the input data of docs/CAPACITY.md: first the slopes of the modules (qh-capacity), then
# running processes at several deployment sizes. Writes build/capacity-slopes.json and
# build/capacity-processes.json. Arguments are passed to tools/qh-capacity/measure_processes.py, for
# example --sizes "3,64,50".
set -euo pipefail
cd "$(dirname "$0")/.."

build/bin/qh-capacity --json build/capacity-slopes.json
python3 tools/qh-capacity/measure_processes.py --programs build/bin \
  --json build/capacity-processes.json "$@"
