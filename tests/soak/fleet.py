"""The system's own processes on loopback addresses, started as the platform starts them."""
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess

import http1
from targets import TargetList

BOUNDS = {
    "SeedLagS": 3, "ReuseS": 2, "ContactWindowMs": 3000, "AckMs": 4000, "RecoveryS": 4, "DrainMs": 3000, "GraceS": 6,
    "LossSlackMs": 200, "ApplyMs": 2500, "RollbackSlackMs": 250, "StretchMaxMs": 5000, "StrictRevoke": False,
    "RevokeMs": 5000, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 64, "QuotaWindowS": 5, "QuotaExcess": 0.1,
    "QuotaSlack": 20, "ExposeShare": 0.1, "ExposeSlack": 50, "RollbackMs": 5000, "ColdExcess": 1.5, "ColdSlack": 5,
    "EvacMs": 5000, "RecoverS": 15, "ttl_max_s": 5, "MaxRegionShift": 0.15,
}
ZONES = {"kozep-a": "kozep", "kelet-a": "kelet", "nyugat-a": "nyugat", "kozep-b": "kozep", "kelet-b": "kelet"}
PORTS = ["front", "ready", "control", "directory", "peer", "metrics", "list", "target"]
LIST_HOST, FIRST_TARGET_HOST, FIRST_HIDDEN_HOST = 50, 101, 201


class CannotRun(Exception):
    """The run could not be set up, which says nothing about the rules."""


def free_ports(addresses, count):
    """Returns ports that are free on all addresses."""
    found = []
    for _ in range(200):
        port = random.randrange(20000, 32000)
        if port in found:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for address in addresses:
                    stack.enter_context(socket.socket()).bind((address, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Vm:
    """A process of the system with its settings, data and log."""

    def __init__(self, fleet, number, role):
        self.fleet, self.role = fleet, role
        self.address = f"{fleet.base}.{number}"
        self.zone = list(ZONES)[number % len(ZONES)]
        self.folder = fleet.folder / self.address
        self.folder.mkdir()
        self.process = None
        self.stopping = False  # Whether an end of the process is the soak's own doing.

    def at(self, port):
        return f"{self.address}:{self.fleet.ports[port]}"

    def settings(self, bootstrap):
        data = self.folder / "data"
        entry, control = self.role == "entry", self.role == "control"
        if control:
            data.mkdir(exist_ok=True)
        return {
            "role": self.role, "name": f"{self.role}-{self.address}", "vm": self.address, "region": ZONES[self.zone],
            "domain": self.zone, "domains": ZONES,
            "callers": self.at("front") if entry else "", "ready": self.at("ready") if entry else "",
            "operators": self.at("control") if control else "", "lookups": self.at("directory") if control else "",
            "peer_port": self.fleet.ports["peer"], "metrics_port": self.fleet.ports["metrics"], "seeds": self.fleet.seeds,
            "data_folder": str(data) if control else "", "bootstrap": bootstrap, "target_list": self.fleet.list.address,
            "secret": "set-by-the-operator-of-the-platform", "bounds": BOUNDS,
        }

    def start(self, bootstrap=False):
        file = self.folder / "settings.yaml"
        file.write_text(json.dumps(self.settings(bootstrap)))
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen([str(self.fleet.binary), "--settings", str(file)], stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.stopping = False
        self.fleet.timeline("starts", self.role, self.address)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        self.fleet.timeline("sends", signal.Signals(number).name, "to", self.role, self.address)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.stopping = True
        self.process.send_signal(number)

    async def wait(self, limit):
        """Waits for the end of the process. Returns False when it still runs after `limit` seconds."""
        end = asyncio.get_running_loop().time() + limit
        while self.running():
            if asyncio.get_running_loop().time() > end:
                return False
            await asyncio.sleep(0.02)
        return True

    def ended_by_itself(self):
        return self.process is not None and not self.stopping and self.process.poll() is not None


class Fleet:
    """Control and entry VMs and the platform's list, with the times of what was done to them."""

    def __init__(self, binary, folder, timeline, controls, entries, targets):
        self.binary, self.folder, self.timeline = binary, folder, timeline
        self.base = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        numbers = [*range(1, controls + entries + 1), LIST_HOST, *range(FIRST_TARGET_HOST, FIRST_TARGET_HOST + targets),
                   *range(FIRST_HIDDEN_HOST, FIRST_HIDDEN_HOST + targets)]
        self.ports = dict(zip(PORTS, free_ports([f"{self.base}.{it}" for it in numbers], len(PORTS))))
        self.list = TargetList(f"{self.base}.{LIST_HOST}:{self.ports['list']}")
        self.seeds = []
        self.controls = [Vm(self, it + 1, "control") for it in range(controls)]
        self.entries = [Vm(self, controls + it + 1, "entry") for it in range(entries)]
        self.seeds += [it.at("control") for it in self.controls[:3]]
        self.planned_spans = []  # (entry address, from, to)
        self.fault_spans = []  # (from, to) of unplanned disruptions anywhere

    @property
    def vms(self):
        return self.controls + self.entries

    def target_address(self, number):
        return f"{self.base}.{FIRST_TARGET_HOST + number}:{self.ports['target']}"

    def hidden_address(self, number):
        """Where a target listens that is behind a link."""
        return f"{self.base}.{FIRST_HIDDEN_HOST + number}:{self.ports['target']}"

    async def start(self):
        if not os.access(self.binary, os.X_OK):
            raise CannotRun(f"{self.binary} is no program")
        await self.list.start()
        for it in self.vms:
            it.start(bootstrap=True)

    async def await_serving(self, limit=30.0):
        """Waits until every entry VM is ready."""
        end = asyncio.get_running_loop().time() + limit
        for it in self.entries:
            while True:
                try:
                    if (await http1.call(it.at("ready"), "GET", "/-/ready")).status == 200:
                        break
                except (OSError, asyncio.TimeoutError, http1.Cut):
                    pass
                if asyncio.get_running_loop().time() > end:
                    raise CannotRun(f"entry VM {it.address} is not ready")
                await asyncio.sleep(0.1)

    def plan(self, entry, since, until):
        self.planned_spans.append((entry, since, until))

    def disturb(self, since, until):
        """Notes an unplanned disruption; it counts until ContactWindowMs after its end."""
        self.fault_spans.append((since, until + BOUNDS["ContactWindowMs"] / 1000))

    def planned_between(self, entry, since, until):
        return any(it == entry and start <= until and since <= end for it, start, end in self.planned_spans)

    def disturbed_between(self, _, since, until):
        return any(start <= until and since <= end for start, end in self.fault_spans)

    def close(self):
        for it in self.vms:
            if it.running():
                it.process.kill()
                it.process.wait()
