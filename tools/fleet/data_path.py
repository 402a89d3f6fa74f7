"""Measures request rate and latency through one VM and, for comparison, of direct calls to a target."""

import json
import os
import subprocess
import tempfile

from fleet import BUILD, Fleet, Target, request, wait_for

REQUESTS = 40_000
CALLERS = (16, 64, 400)


def load(port, key, callers):
    command = [
        str(BUILD / "tools/load_client"), "--port", str(port), "--path", "/read/x", "--callers", str(callers),
        "--requests", str(REQUESTS), "--max-seconds", "60", "--key", key,
    ]
    return json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1000
    return 0


def cpu_us(pid):
    """Returns the user and the system time of a process in microseconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return [int(it) * 1_000_000 / os.sysconf("SC_CLK_TCK") for it in fields[11:13]]


def main():
    overrides = {"max_caller_connections": 512}
    with tempfile.TemporaryDirectory(prefix="briarspar-data-path-") as folder:
        with Fleet(folder, vms_per_domain=1, overrides=overrides) as fleet:
            key = fleet.create_customer("shop", rate=10_000_000, burst=10_000_000)
            fleet.accept("create route read path /read keyed idempotent deadline 10s")
            for number in (1, 2):
                options = {"service_ms": 0, "slots": 400, "options": ("--threads", "512")}
                last = fleet.add_target(f"read-{number}", "read", **options)
            fleet.wait_in_force(last["version"])
            vm = fleet.vms["r1-d1-vm1"]
            direct = Target(fleet.folder, "direct", service_ms=0, options=("--threads", "512"))
            fleet.targets["direct"] = direct
            wait_for(lambda: request(vm.caller_port, "GET", "/read/x", key).status == 200, "the route serves")
            load(vm.caller_port, key, 16)
            before = resident_mb(vm.process.child.pid)
            for callers in CALLERS:
                start = cpu_us(vm.process.child.pid)
                through = load(vm.caller_port, key, callers)
                user_us, system_us = [(b - a) / REQUESTS for a, b in zip(start, cpu_us(vm.process.child.pid))]
                direct_result = load(direct.port, key, callers)
                row = {
                    "callers": callers,
                    "through": through,
                    "direct": direct_result,
                    "p50_ratio": through["p50_us"] / max(1, direct_result["p50_us"]),
                    "p99_ratio": through["p99_us"] / max(1, direct_result["p99_us"]),
                    "vm_user_us_per_request": user_us,
                    "vm_system_us_per_request": system_us,
                    "vm_mb": resident_mb(vm.process.child.pid),
                    "vm_mb_before": before,
                }
                print(json.dumps(row))


if __name__ == "__main__":
    main()
