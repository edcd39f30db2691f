# Functions to run a deployment of examples/ on this machine; sourced by other scripts, which set
# `bin` (folder of the programs) first. Everything that is started is ended by its process id.

work=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  # A planned stop takes as long as callers keep addresses. Here no caller is left, so a second
  # signal ends it.
  sleep 0.2
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
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
  echo "$(basename "$0"): $1 (logs in $work)" >&2
  exit 1
}

value_of() { sed -n "s/^$2 = //p" "$1"; }

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

# start_deployment: starts the stand-ins and all entry VMs whose settings are in $work, and waits
# until all of them are live.
start_deployment() {
  start platform "$bin/qh-standin-platform" --settings "$work/platform.ini"
  wait_until_listening platform
  start workers "$bin/qh-standin-worker" --settings "$work/workers.ini"
  wait_until_listening workers
  mapfile -t vm_files < <(ls "$work"/vm-*.ini)
  declare -gA entry_pid control_pid
  local file vm
  for file in "${vm_files[@]}"; do
    vm=$(value_of "$file" name)
    start "$vm-control" "$bin/qh-control" --settings "$file"
    control_pid[$vm]=$last_pid
    start "$vm-entry" "$bin/qh-entry" --settings "$file"
    entry_pid[$vm]=$last_pid
  done
  operators=$(for file in "${vm_files[@]}"; do value_of "$file" operators; done | paste -sd ,)
  wait_for_all_vms
}

ctl() { "$bin/qhctl" --operators "$operators" --token-file "$work/operator.token" "$@"; }

# Prints the number of entry VMs that the first one to answer holds for live.
live_vms() {
  { ctl status --json 2>/dev/null || true; } | { grep -o '"state":"live"' || true; } | wc -l
}

# A VM takes calls 3.2 s after its start at the earliest, when loans of a predecessor have ended.
wait_for_all_vms() {
  local pid
  for _ in $(seq 150); do
    [ "$(live_vms)" -eq "${#vm_files[@]}" ] && return
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null || fail "process $pid ended before the load began"
    done
    sleep 0.2
  done
  fail "$(live_vms) of ${#vm_files[@]} entry VMs are live after 30 s"
}

apply_contracts() {
  local contract
  for contract in "$work"/contracts/*.ini; do
    ctl contract apply "$contract" --wait || fail "contract $contract was not accepted"
  done
}
