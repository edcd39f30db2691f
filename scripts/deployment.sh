# Functions to run a deployment of examples/ on this machine. A script that sources this file must
# first set `bin` to the folder that contains the programs. All started processes are stopped by
# their process IDs.

work=$(mktemp -d)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  # A planned stop lasts as long as callers may cache addresses. No callers are left here, so a
  # second signal ends the stop early.
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

# start NAME PROGRAM ARGUMENT...: starts a program in the background with its log in $work/NAME.log
# and sets last_pid.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}

# fail MESSAGE: prints an error with the folder of the logs and exits.
fail() {
  echo "$(basename "$0"): $1 (logs in $work)" >&2
  exit 1
}

# value_of FILE KEY: prints the value of a key of an INI file.
value_of() { sed -n "s/^$2 = //p" "$1"; }

# wait_until_listening NAME: waits up to 5 s until the log reports that the program listens. Fails
# if an address is already in use: another run of this deployment is then active, and new entry VMs
# would join its fleet.
wait_until_listening() {
  for _ in $(seq 50); do
    ! grep -q 'step=listen .*address already in use' "$work/$1.log" ||
      fail "an address of $1 is already in use; is this deployment already running?"
    ! grep -q ' info .*step=listen ' "$work/$1.log" || return 0
    sleep 0.1
  done
  fail "$1 did not start to listen within 5 s"
}

# start_deployment: starts the stand-ins and all entry VMs that have settings in $work, and waits
# until all entry VMs are live.
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

# ctl ARGUMENT...: runs qhctl with the operator addresses and the token of the deployment.
ctl() { "$bin/qhctl" --operators "$operators" --token-file "$work/operator.token" "$@"; }

# Prints the number of live entry VMs according to the first VM that responds.
live_vms() {
  { ctl status --json 2>/dev/null || true; } | { grep -o '"state":"live"' || true; } | wc -l
}

# wait_for_all_vms: waits up to 30 s until all entry VMs are live. A VM accepts calls no earlier
# than 3.2 s after its start, when the loans of its predecessor have expired.
wait_for_all_vms() {
  local pid
  for _ in $(seq 150); do
    [ "$(live_vms)" -eq "${#vm_files[@]}" ] && return
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null || fail "process $pid exited during start-up"
    done
    sleep 0.2
  done
  fail "only $(live_vms) of ${#vm_files[@]} entry VMs are live after 30 s"
}

# apply_contracts: applies all contracts in $work and waits until they are in force.
apply_contracts() {
  local contract
  for contract in "$work"/contracts/*.ini; do
    ctl contract apply "$contract" --wait || fail "qhctl could not apply contract $contract"
  done
}
