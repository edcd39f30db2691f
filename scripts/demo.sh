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
work=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  # A planned stop may take as long as callers keep addresses; here no caller is left.
  for pid in "${pids[@]}"; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENT...: starts a program in the background, with its log in $work.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}

fail() {
  echo "demo.sh: $1 (logs in $work)" >&2
  exit 1
}

# wait_until_listening NAME: an address in use means that another run of this deployment is active;
# entry VMs started now would join its fleet.
wait_until_listening() {
  for _ in $(seq 50); do
    ! grep -q 'step=listen .*address already in use' "$work/$1.log" ||
      fail "an address of $1 is in use: does this deployment run already?"
    ! grep -q ' info .*step=listen ' "$work/$1.log" || return 0
    sleep 0.1
  done
  fail "$1 does not listen after 5 s"
}

require_running() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null || fail "process $pid ended before the load began"
  done
}

value_of() { sed -n "s/^$2 = //p" "$1"; }

"$bin/qh-deployment" --settings "examples/$deployment.ini" --out "$work"
start platform "$bin/qh-standin-platform" --settings "$work/platform.ini"
wait_until_listening platform
start workers "$bin/qh-standin-worker" --settings "$work/workers.ini"
wait_until_listening workers

mapfile -t vm_files < <(ls "$work"/vm-*.ini)
declare -A entry_pid control_pid
for file in "${vm_files[@]}"; do
  vm=$(value_of "$file" name)
  start "$vm-control" "$bin/qh-control" --settings "$file"
  control_pid[$vm]=$last_pid
  start "$vm-entry" "$bin/qh-entry" --settings "$file"
  entry_pid[$vm]=$last_pid
done

operators=$(for file in "${vm_files[@]}"; do value_of "$file" operators; done | paste -sd ,)
token=$work/operator.token
ctl() { "$bin/qhctl" --operators "$operators" --token-file "$token" "$@"; }

# Prints the number of entry VMs that the first one to answer holds for live.
live_vms() {
  { ctl status --json 2>/dev/null || true; } | { grep -o '"state":"live"' || true; } | wc -l
}

wait_for_all_vms() {
  for _ in $(seq 100); do
    [ "$(live_vms)" -eq "${#vm_files[@]}" ] && return
    sleep 0.2
  done
  fail "$(live_vms) of ${#vm_files[@]} entry VMs are live after 20 s"
}

wait_for_all_vms
require_running
for contract in "$work"/contracts/*.ini; do
  ctl contract apply "$contract" --wait || fail "contract $contract was not accepted"
done

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
