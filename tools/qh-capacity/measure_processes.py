"""Runs entry VMs with stand-ins at several deployment sizes and measures their resource usage.

CPU time is read from /proc/<pid>/task/*/schedstat, resident memory from /proc/<pid>/statm, and byte
and message counters from the /metrics endpoints of the processes. Stops only the processes that it
started, by their process ID.
"""

import argparse
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

TOKEN = "capacity-operator-token"
NETWORK = "127.83"
PLATFORM = f"{NETWORK}.0.1:9000"
WORKER_CONTROL = f"{NETWORK}.0.2:9100"
# Workers that run in qh-standin-worker. All others exist only in the VM list of the platform.
RUNNING_WORKERS = 16
PORTS = {"callers": 8000, "entry_admin": 8001, "operators": 8002, "gossip": 8003,
         "control_rpc": 8004, "entry_rpc": 8005}


class Deployment:
    """Settings files and running processes of a deployment of one size.

    `size` is the tuple (entry VMs, workers, contracts).
    """

    def __init__(self, programs, folder, size):
        self.programs = programs
        self.folder = folder
        self.vms, self.workers, self.contracts = size
        self.running = []

    def address(self, vm, port):
        return f"{NETWORK}.1.{vm + 1}:{PORTS[port]}"

    def write(self, name, lines):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, program, settings):
        log = open(os.path.join(self.folder, os.path.basename(settings) + f".{program}.log"), "wb")
        process = subprocess.Popen([os.path.join(self.programs, program), "--settings", settings],
                                   stdout=log, stderr=log)
        self.running.append(process)
        return process

    def stop_all(self):
        for process in self.running:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.running:
            process.wait()

    def worker_endpoint(self, index):
        return f"{NETWORK}.{100 + index // 250}.{index % 250 + 1}:8080"

    def start_stand_ins(self):
        platform = ["[platform]", f"listen = {PLATFORM}"]
        for vm in range(self.vms):
            platform += [f"[vm e{vm}]", "role = entry", f"zone = z{vm % 3}",
                         f"ip = {NETWORK}.1.{vm + 1}", "port = 8000", "gossip_port = 8003",
                         "control_rpc_port = 8004", "entry_rpc_port = 8005"]
        workers = ["[process]", f"control = {WORKER_CONTROL}"]
        for index in range(self.workers):
            ip = self.worker_endpoint(index).split(":")[0]
            service = f"s{index // RUNNING_WORKERS}"
            platform += [f"[vm w{index}]", "role = worker", f"service = {service}",
                         f"zone = z{index % 3}", f"ip = {ip}", "port = 8080"]
            if index < RUNNING_WORKERS:
                workers += [f"[worker w{index}]", f"service = {service}", f"listen = {ip}:8080",
                            "slots = 64"]
        workers += ["[route s0 /]", "median_ms = 1", "sigma = 0.1"]
        self.platform = self.start("qh-standin-platform", self.write("platform.ini", platform))
        self.start("qh-standin-worker", self.write("workers.ini", workers))

    def start_vm(self, vm):
        lines = ["[vm]", f"name = e{vm}", f"zone = z{vm % 3}", f"slot = {vm}",
                 f"vm_count = {self.vms}", "[addresses]"]
        lines += [f"{port} = {self.address(vm, port)}" for port in PORTS]
        lines += ["[platform]", f"endpoint = {PLATFORM}", "[keys]",
                  "deployment_key = capacity-deployment-key", f"operator_token = {TOKEN}",
                  "[peers]", f"seeds = {self.address(0, 'gossip')}"]
        settings = self.write(f"vm-e{vm}.ini", lines)
        return self.start("qh-control", settings), self.start("qh-entry", settings)

    def put_contract(self, customer, change):
        body = {"contract": {
                    "customer": customer, "priority": "normal",
                    "limits": {"requests_per_second": 1000000 + change, "burst": 200000,
                               "requests_in_progress": 10000, "retry_share": 0.1,
                               "max_body_bytes": 262144, "max_response_bytes": 4194304},
                    "services": [{"name": name, "deadline_ms": 2000,
                                  "idempotent": ["GET /", "HEAD /"]}
                                 for name in ("s0", "s1", "s2")]},
                "operation": f"{customer}-{change}", "author": "capacity"}
        request = urllib.request.Request(
            f"http://{self.address(0, 'operators')}/v1/contracts/{customer}", method="PUT",
            data=json.dumps(body).encode(), headers={"authorization": f"Bearer {TOKEN}"})
        return json.load(urllib.request.urlopen(request, timeout=10))["revision"]

    def put_all_contracts(self):
        """Creates all contracts. Repeats the first request until the platform answers."""
        wait_for(lambda: urllib.request.urlopen(f"http://{PLATFORM}/v1/vms", timeout=1),
                 "the platform")
        wait_for(lambda: self.put_contract("c0", 0), "the first contract")
        for number in range(1, self.contracts):
            self.put_contract(f"c{number}", 0)


def wait_for(condition, description, seconds=120):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"timed out after {seconds} s waiting for {description}")


def read_metrics(address):
    text = urllib.request.urlopen(f"http://{address}/metrics", timeout=10).read().decode()
    return {name: float(value) for name, value in re.findall(r"^(qh_\S+) (\S+)$", text, re.M)}


def schedstat_seconds(process, field):
    """Returns a schedstat time summed over all threads of a process.

    Field 0 is the time spent on a CPU, field 1 the time spent runnable while waiting for a CPU.
    """
    total = 0
    for task in os.listdir(f"/proc/{process.pid}/task"):
        with open(f"/proc/{process.pid}/task/{task}/schedstat", encoding="ascii") as file:
            total += int(file.read().split()[field])
    return total / 1e9


def cpu_seconds(process):
    return schedstat_seconds(process, 0)


def resident_mb(process):
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


def median(values):
    return sorted(values)[len(values) // 2]


def format_range(values):
    return f"{median(values):.4g} ({min(values):.4g} to {max(values):.4g})"


class Report:
    """Prints result rows and collects them for the JSON file."""

    def __init__(self, size):
        self.rows = {"vms": size[0], "workers": size[1], "contracts": size[2]}

    def add(self, name, unit, values):
        self.rows[name] = {"unit": unit, "median": median(values), "values": values}
        print(f"  {name:<44} {format_range(values)} {unit}", flush=True)


def sum_counters(deployment, prefix):
    """Returns for each VM the sum of the qh-control metrics whose names start with `prefix`."""
    sums = []
    for vm in range(deployment.vms):
        metrics = read_metrics(deployment.address(vm, "operators"))
        sums.append(sum(value for name, value in metrics.items() if name.startswith(prefix)))
    return sums


COUNTER_PREFIXES = [
    "qh_control_bytes_total{kind=\"gossip\"", "qh_control_bytes_total{kind=\"platform\"",
    "qh_control_bytes_total{kind=\"peer\"", "qh_control_bytes_total{kind=\"entry\"",
    "qh_control_messages_total{kind=\"gossip\"", "qh_control_messages_total{kind=\"platform\"",
    "qh_control_messages_total{kind=\"peer\"", "qh_control_messages_total{kind=\"entry\""]


def measure_usage(deployment, vms, report, phase, seconds, workload=lambda: None, per=None):
    """Measures CPU time, messages and bytes of the processes while `workload` runs.

    The measurement lasts at least `seconds`. Messages and bytes are reported per second, or with
    `per` = (count, unit) divided by that count.
    """
    before = {prefix: sum_counters(deployment, prefix) for prefix in COUNTER_PREFIXES}
    cpu_before = [(cpu_seconds(control), cpu_seconds(entry)) for control, entry in vms]
    platform_before = cpu_seconds(deployment.platform)
    start = time.monotonic()
    workload()
    time.sleep(max(0.0, seconds - (time.monotonic() - start)))
    elapsed = time.monotonic() - start
    cpu_after = [(cpu_seconds(control), cpu_seconds(entry)) for control, entry in vms]
    platform_after = cpu_seconds(deployment.platform)
    for index, name in enumerate(("control", "entry")):
        report.add(f"{phase}.{name}.cpu", "% of a core",
                   [100 * (after[index] - earlier[index]) / elapsed
                    for earlier, after in zip(cpu_before, cpu_after)])
    report.add(f"{phase}.platform.cpu", "% of a core",
               [100 * (platform_after - platform_before) / elapsed])
    count, unit = per or (elapsed, "/s")
    for prefix in COUNTER_PREFIXES:
        after = sum_counters(deployment, prefix)
        label = prefix.replace("qh_control_", "").replace("_total{kind=\"", " ").rstrip("\"")
        report.add(f"{phase}.control.{label}", unit,
                   [(late - early) / count for early, late in zip(before[prefix], after)])


def measure_memory(vms, report, phase):
    for index, name in enumerate(("control", "entry")):
        report.add(f"{phase}.{name}.resident", "MB", [resident_mb(pair[index]) for pair in vms])


def measure_changes(deployment, vms, report, count):
    """Changes a contract `count` times and measures the delay until all entry VMs apply it."""
    delays = []

    def apply_changes():
        for number in range(count):
            start = time.monotonic()
            revision = deployment.put_contract("c0", number + 1)
            wait_for(lambda: all(
                read_metrics(deployment.address(vm, "entry_admin"))["qh_contract_revision"]
                >= revision for vm in range(deployment.vms)), "the contract change on all VMs")
            delays.append(1000 * (time.monotonic() - start))

    measure_usage(deployment, vms, report, "changes", 0, apply_changes, (count, "/change"))
    report.add("changes.in_force_everywhere", "ms", delays)


def read_call_totals(deployment):
    """Returns the number of calls that ran and the buckets of the added time, over all qh-entry."""
    ran, buckets = 0.0, {}
    for vm in range(deployment.vms):
        for name, value in read_metrics(deployment.address(vm, "entry_admin")).items():
            if name.startswith("qh_calls_total") and '"ran"' in name:
                ran += value
            match = re.match(r'qh_call_added_seconds_bucket\{.*le="([^"]+)"\}', name)
            if match:
                edge = float(match[1].replace("+Inf", "inf"))
                buckets[edge] = buckets.get(edge, 0.0) + value
    return ran, buckets


def run_load(deployment, vms, scenario, topology):
    """Runs qh-load once and returns (CPU time, CPU wait, call rate, added p99).

    CPU time and wait for a CPU are those of all qh-entry in us per call, the rate is in calls per
    second, and the 99th percentile of the added time is in ms.
    """
    ran, buckets = read_call_totals(deployment)
    cpu_before, wait_before = (sum(schedstat_seconds(entry, field) for _, entry in vms)
                               for field in (0, 1))
    start = time.monotonic()
    result = subprocess.run([os.path.join(deployment.programs, "qh-load"), "--settings", scenario,
                             "--topology", topology], check=False, capture_output=True)
    elapsed = time.monotonic() - start
    cpu_used = sum(cpu_seconds(entry) for _, entry in vms) - cpu_before
    cpu_wait = sum(schedstat_seconds(entry, 1) for _, entry in vms) - wait_before
    ran_after, buckets_after = read_call_totals(deployment)
    completed = ran_after - ran
    if result.returncode != 0 or completed == 0:
        print(f"  qh-load: exit code {result.returncode}, {completed:.0f} calls ran", flush=True)
        print(result.stderr.decode()[-500:], result.stdout.decode()[-500:], flush=True)
    calls = max(completed, 1)
    return (1e6 * cpu_used / calls, 1e6 * cpu_wait / calls, completed / elapsed,
            1000 * added_p99(buckets, buckets_after))


def measure_calls(deployment, vms, report, options):
    """Measures the CPU time of qh-entry per call, with qh-load as open-loop load generator."""
    topology = ["[topology]", f"worker_control = {WORKER_CONTROL}"]
    for vm in range(deployment.vms):
        topology += [f"[entry e{vm}]", f"callers = {deployment.address(vm, 'callers')}"]
    topology += ["[worker w0]", "service = s0", f"listen = {deployment.worker_endpoint(0)}"]
    topology_file = deployment.write("topology.ini", topology)
    for method, rate in (("GET", 500), ("GET", 1000), ("GET", 2000), ("GET", 4000), ("POST", 500)):
        scenario = deployment.write("scenario.ini", [
            "[load]", "direct_share = 0", "[phase steady]", f"duration = {options.load_seconds} s",
            f"rate = {rate}", "[mix calls]", "service = s0", f"method = {method}", "path = /stock",
            "customers = c0", "deadline = 2 s", f"body_bytes = {0 if method == 'GET' else 256}"])
        results = [run_load(deployment, vms, scenario, topology_file)
                   for _ in range(options.runs)]
        phase = f"calls.{method}_{rate}"
        report.add(f"{phase}.entries.cpu_per_call", "us", [result[0] for result in results])
        report.add(f"{phase}.entries.wait_for_cpu_per_call", "us",
                   [result[1] for result in results])
        report.add(f"{phase}.rate", "/s", [result[2] for result in results])
        report.add(f"{phase}.added_p99_at_most", "ms", [result[3] for result in results])


def added_p99(before, after):
    """Returns the upper bound of the bucket with the 99th percentile of the added time."""
    counts = [(edge, after[edge] - before.get(edge, 0.0)) for edge in sorted(after)]
    return next((edge for edge, count in counts if count >= 0.99 * counts[-1][1]), float("nan"))


def start_all(deployment, report):
    deployment.start_stand_ins()
    vms = [deployment.start_vm(0)]
    wait_for(lambda: read_metrics(deployment.address(0, "operators")), "the first qh-control")
    deployment.put_all_contracts()
    start = time.monotonic()
    vms += [deployment.start_vm(vm) for vm in range(1, deployment.vms)]
    wait_for(lambda: all(read_metrics(deployment.address(vm, "entry_admin"))
                         .get("qh_contract_revision", 0) >= deployment.contracts
                         for vm in range(deployment.vms)), "all contracts on all VMs")
    report.add("start.contracts_everywhere", "s", [time.monotonic() - start])
    report.add("start.entry.cpu_total", "s", [cpu_seconds(entry) for _, entry in vms[1:] or vms])
    report.add("start.control.cpu_total", "s",
               [cpu_seconds(control) for control, _ in vms[1:] or vms])
    # A process starts to use its rate shares only several seconds after its start. The CPU load
    # of the start also subsides in this time.
    time.sleep(6)
    return vms


def measure_size(programs, size, options):
    print(f"{size[0]} entry VMs, {size[1]} workers, {size[2]} contracts", flush=True)
    report = Report(size)
    with tempfile.TemporaryDirectory(prefix="qh-capacity-") as folder:
        deployment = Deployment(programs, folder, size)
        try:
            vms = start_all(deployment, report)
            measure_memory(vms, report, "idle")
            measure_usage(deployment, vms, report, "idle", options.seconds)
            measure_changes(deployment, vms, report, options.changes)
            measure_calls(deployment, vms, report, options)
            measure_memory(vms, report, "after_calls")
        finally:
            deployment.stop_all()
    return report.rows


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", default="build/bin", help="folder that contains the programs")
    parser.add_argument("--sizes", default="1,64,50 3,64,50 6,512,200 12,2048,1000",
                        help="sizes as ENTRY_VMS,WORKERS,CONTRACTS, separated by spaces")
    parser.add_argument("--seconds", type=float, default=20,
                        help="duration of the idle phase in seconds")
    parser.add_argument("--changes", type=int, default=20,
                        help="number of contract changes at each size")
    parser.add_argument("--load-seconds", type=int, default=5,
                        help="duration of each load run in seconds")
    parser.add_argument("--runs", type=int, default=3,
                        help="number of load runs, of which the median is reported")
    parser.add_argument("--json", help="also write the results as JSON to this file")
    options = parser.parse_args()
    results = [measure_size(options.programs, tuple(map(int, size.split(","))), options)
               for size in options.sizes.split()]
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)


if __name__ == "__main__":
    sys.exit(main())
