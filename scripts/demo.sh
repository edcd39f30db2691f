#!/usr/bin/env bash
# Runs a deployment on this machine: stand-ins, 15 entry VMs (one qh-control and one qh-entry each),
# contracts and load. A contract change and the planned stop of one entry VM take place under load.
# Prints a table of results. The exit code is 0 only if qh-load accounted for every call and found
# no violated guarantee, and the stopped entry VM did not abort any request.
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
  [ -r "$file" ] || { echo "demo.sh: cannot read file $file" >&2; exit 2; }
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
ctl contract apply "$changed" --wait || fail "qhctl could not apply the contract change"
echo "changed $(basename "$changed") under load"

sleep 4
stopped=$(value_of "${vm_files[0]}" name)
kill -TERM "${control_pid[$stopped]}" "${entry_pid[$stopped]}"
echo "planned stop of $stopped under load"
stop_code=0
wait "${entry_pid[$stopped]}" || stop_code=$?
echo "qh-entry of $stopped exited with code $stop_code"

load_code=0
wait "$load_pid" || load_code=$?
cat "$work/report.txt"
if [ "$load_code" -ne 0 ]; then
  fail "qh-load exited with code $load_code"
fi
if [ "$stop_code" -ne 0 ]; then
  fail "the planned stop aborted requests: qh-entry of $stopped exited with code $stop_code"
fi
rm -rf "$work"
