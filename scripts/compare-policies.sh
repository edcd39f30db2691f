#!/usr/bin/env bash
# Runs a load scenario with each routing policy in turn on real processes and prints the latencies
# of each class. The workers have queues of 32 requests, so that long requests wait at a worker, as
# they do with workers that do not shed load.
#
#   scripts/compare-policies.sh SCENARIO.ini [WORKER-FAULTS-JSON] [ROUNDS]
#
# WORKER-FAULTS-JSON is activated after the contracts are in force, for example
# '{"worker":"katalog-1","slow_factor":20}'.
set -euo pipefail
cd "$(dirname "$0")/.."

scenario=$1
faults=${2:-}
rounds=${3:-1}
bin=$PWD/build/bin
source scripts/deployment.sh

run_policy() {
  "$bin/qh-deployment" --settings examples/guild.ini --out "$work" >/dev/null
  sed -i 's/^queue_length = .*/queue_length = 32/' "$work/workers.ini"
  for file in "$work"/vm-*.ini; do
    printf '[routing]\npolicy = %s\n' "$1" >>"$file"
  done
  start_deployment
  apply_contracts >/dev/null
  if [ -n "$faults" ]; then
    curl -sf -X POST -d "$faults" "http://$(value_of "$work/topology.ini" worker_control)/standin/faults" \
      >/dev/null || fail "the stand-in workers did not accept the fault settings"
  fi
  "$bin/qh-load" --settings "$scenario" --topology "$work/topology.ini" >"$work/report.txt" \
    2>"$work/load.log" || true
  sed -n '/^class/,/^$/p' "$work/report.txt" | sed "s/^/$1  /" | cut -c1-110
  grep -E '^  entry|RESULT' "$work/report.txt" | sed "s/^/$1  /"
  stop_all
}

for ((round = 1; round <= rounds; round++)); do
  for policy in random round_robin least_requests load_aware; do
    run_policy "$policy"
  done
done
rm -rf "$work"
