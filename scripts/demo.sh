#!/usr/bin/env bash
# Runs a whole deployment on this machine: stand-ins, 15 entry VMs (qh-control and qh-entry each),
# contracts, load, a contract change and the planned stop of one entry VM while calls run.
# Prints one table of results. Exit code 0 only if qh-load found every call accounted for and every
# promise kept, and the stopped entry VM cut no request off.
#
#   scripts/demo.sh [--deployment guild|cuan-breac] [--load FILE] [--json FILE]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=guild
load_file=
json_file=
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=$2; shift 2 ;;
    --load) load_file=$2; shift 2 ;;
    --json) json_file=$2; shift 2 ;;
    --help) sed -n '2,8s/^# \{0,1\}//p' "$0"; exit 0 ;;
    *) echo "demo.sh: unknown argument $1" >&2; exit 2 ;;
  esac
done
load_file=${load_file:-examples/$deployment-load.ini}
for file in "examples/$deployment.ini" "$load_file"; do
  [ -r "$file" ] || { echo "demo.sh: no file $file" >&2; exit 2; }
done

scripts/packages.sh
scripts/build.sh build
bin=$PWD/build/bin
source scripts/deployment.sh

"$bin/qh-deployment" --settings "examples/$deployment.ini" --out "$work"
start_deployment
apply_contracts

load_arguments=(--settings "$load_file" --topology "$work/topology.ini")
[ -z "$json_file" ] || load_arguments+=(--json "$json_file")
"$bin/qh-load" "${load_arguments[@]}" >"$work/report.txt" 2>"$work/load.log" &
load_pid=$!
pids+=("$load_pid")

sleep 8
changed=$(ls "$work"/contracts/*.ini | head -n 1)
sed -i 's/^requests_per_second = .*/requests_per_second = 700/' "$changed"
ctl contract apply "$changed" --wait || fail "the contract change was not accepted"
echo "changed $(basename "$changed") while calls run"

sleep 4
stopped=$(value_of "${vm_files[0]}" name)
kill -TERM "${control_pid[$stopped]}" "${entry_pid[$stopped]}"
echo "planned stop of $stopped while calls run"
stop_code=0
wait "${entry_pid[$stopped]}" || stop_code=$?
echo "qh-entry of $stopped ended with exit code $stop_code"

load_code=0
wait "$load_pid" || load_code=$?
cat "$work/report.txt"
if [ "$load_code" -ne 0 ]; then
  fail "qh-load ended with exit code $load_code"
fi
if [ "$stop_code" -ne 0 ]; then
  fail "the planned stop cut requests off"
fi
rm -rf "$work"
