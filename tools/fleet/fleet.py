"""Runs a small fleet of daemons and stand-in targets on loopback, for the demo and the fault tests. Closing the fleet
kills each of its processes by id."""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import threading
import time

from links import Link

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("BRIARSPAR_BUILD", ROOT / "build"))
HOST = "127.0.0.1"
OPERATOR_KEY = "operator-key-for-loopback"
SECRET = "a shared secret for loopback"

# Default timeout of wait_for(). Generous, so that results do not depend on the speed of the machine.
WAIT_TIMEOUT_S = 60


class ReservedPort:
    """A free port that stays reserved: a socket that is bound but does not listen keeps other sockets and outgoing
    connections off the port, also while the process that normally listens on it is down."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, 0))
        self.number = self.socket.getsockname()[1]


def wait_for(condition, what, timeout_s=WAIT_TIMEOUT_S):
    """Waits until the condition returns a true value, and returns that value."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"timed out after {timeout_s} s, waiting for: {what}")


class Process:
    """A child process that writes its ports to the first line of its output."""

    def __init__(self, arguments, log):
        self.arguments = arguments
        self.log = open(log, "ab")
        self.child = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=self.log)
        self.first_line = self.child.stdout.readline().decode().strip()
        # Further output is read and discarded, because a full pipe would block the process.
        threading.Thread(target=self.child.stdout.read, daemon=True).start()

    def send(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def end(self, number=signal.SIGKILL):
        self.send(signal.SIGCONT)
        self.send(number)
        self.child.wait()
        self.log.close()

    def running(self):
        return self.child.poll() is None


class Target:
    """A stand-in target process."""

    def __init__(self, folder, name, service_ms=1, slots=6, options=()):
        self.name = name
        self.slots = slots
        self.arguments = [
            str(BUILD / "tools/target_standin"), "--name", name, "--service-ms", str(service_ms),
            "--slots", str(slots), *(options or ("--threads", "64")),
        ]
        self.log = folder / f"{name}.log"
        self.reserved = ReservedPort()
        self.port = self.reserved.number
        self.start()

    def start(self):
        self.process = Process([*self.arguments, "--port", str(self.port)], self.log)

    def stats(self):
        return json.loads(request(self.port, "GET", "/standin/stats").body)


class Vm:
    """One VM: a daemon process with its ports, data folder and log files."""

    def __init__(self, fleet, name, region, domain, voter):
        self.fleet = fleet
        self.name = name
        self.region = region
        self.domain = domain
        self.voter = voter
        self.ports = [ReservedPort(), ReservedPort(), ReservedPort()]
        self.peer_port, self.caller_port, self.operator_port = [it.number for it in self.ports]
        self.process = None
        self.program = BUILD / "src/briarspard"
        self.links = {}
        self.data = fleet.folder / f"{name}.data"

    def port_towards(self, peer):
        """Returns the port at which this VM connects to a peer: that of a Link if the fleet uses links."""
        if not self.fleet.linked or peer is self:
            return peer.peer_port
        if peer.name not in self.links:
            self.links[peer.name] = Link(HOST, peer.peer_port)
        return self.links[peer.name].port

    def settings(self):
        peers = [
            {"vm": it.name, "host": HOST, "port": self.port_towards(it), "voter": True}
            for it in self.fleet.vms.values() if it.voter
        ]
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        settings = {
            "vm": self.name, "region": self.region, "domain": self.domain, "host": HOST,
            "caller_port": self.caller_port, "operator_port": self.operator_port,
            "peer_port": self.peer_port, "secret": SECRET, "peers": peers,
            "operators": [{"name": "operator", "key_sha256": digest}],
            "lookup_ttl_ms": 1000, "drain_grace_ms": 500, "max_caller_connections": 64,
            "log_file": str(self.fleet.folder / f"{self.name}.log"),
        }
        if self.voter:
            settings["data_folder"] = str(self.data)
        settings.update(self.fleet.overrides)
        return settings

    def start(self, bootstrap=False):
        file = self.fleet.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.settings(), indent=2))
        if self.voter:
            self.data.mkdir(exist_ok=True)
        arguments = [str(self.program), "--settings", str(file)]
        if bootstrap and self.voter:
            arguments.append("--bootstrap")
        self.process = Process(arguments, self.fleet.folder / f"{self.name}.err")
        if not self.process.first_line.startswith("ready"):
            raise AssertionError(f"{self.name} did not start: {(self.fleet.folder / f'{self.name}.err').read_text()}")

    def kill(self):
        self.process.end(signal.SIGKILL)

    def pause(self):
        self.process.send(signal.SIGSTOP)

    def resume(self):
        self.process.send(signal.SIGCONT)

    def status(self):
        try:
            return json.loads(request(self.operator_port, "GET", "/v1/status", key=OPERATOR_KEY, timeout_s=2).body)
        except (OSError, http.client.HTTPException):
            return {}

    def events(self):
        body = request(self.operator_port, "GET", "/v1/events?limit=8192", key=OPERATOR_KEY).body
        return json.loads(body)["events"]


class Response:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("Briarspar-Outcome", "")

    @property
    def code(self):
        return json.loads(self.body).get("code", "") if self.body.startswith(b"{") else ""


def request(port, method, path, key=None, body=None, headers=None, timeout_s=30, connection=None):
    """Sends one HTTP request to a port on loopback and returns the response."""
    fields = dict(headers or {})
    if key:
        fields["Authorization"] = f"Bearer {key}"
    link = connection or http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        link.request(method, path, body=body, headers=fields)
        response = link.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read())
    finally:
        if connection is None:
            link.close()


class Fleet:
    """Daemons in three regions with two failure domains each; one voter per region."""

    def __init__(self, folder, vms_per_domain=2, overrides=None, linked=False):
        self.folder = pathlib.Path(folder)
        self.linked = linked
        self.overrides = overrides or {}
        self.vms = {}
        self.targets = {}
        for region in ("r1", "r2", "r3"):
            for number in (1, 2):
                domain = f"{region}-d{number}"
                for index in range(vms_per_domain):
                    name = f"{domain}-vm{index + 1}"
                    voter = number == 1 and index == 0
                    self.vms[name] = Vm(self, name, region, domain, voter)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def start(self):
        for vm in self.vms.values():
            vm.start(bootstrap=True)
        for vm in self.vms.values():
            wait_for(lambda vm=vm: vm.status().get("lease_valid"), f"{vm.name} has a lease")
        self.wait_in_force()

    def close(self):
        for vm in self.vms.values():
            for link in vm.links.values():
                link.close()
            for port in vm.ports:
                port.socket.close()
        for process in [*self.vms.values(), *self.targets.values()]:
            if process.process is not None and process.process.running():
                process.process.end(signal.SIGKILL)

    def links_of(self, vm):
        """Returns all links from or to the VM."""
        towards = [it.links[vm.name] for it in self.vms.values() if vm.name in it.links]
        return [*vm.links.values(), *towards]

    def cut(self, vm):
        """Partitions the VM from all others: its connections stay open, but no data passes."""
        for link in self.links_of(vm):
            link.cut()

    def heal(self, vm):
        for link in self.links_of(vm):
            link.heal()

    def voters(self):
        return [it for it in self.vms.values() if it.voter]

    def any_vm(self):
        for vm in self.vms.values():
            if vm.process is not None and vm.process.running() and vm.status().get("lease_valid"):
                return vm
        raise AssertionError("no VM has a lease")

    def leader(self):
        def find():
            for vm in self.voters():
                if vm.process.running() and vm.status().get("leads"):
                    return vm
            return None
        return wait_for(find, "a leader")

    def operate(self, statement, identity=None, vm=None):
        """Sends an operator statement to a VM and returns the decoded response."""
        vm = vm or self.any_vm()
        body = {"statement": statement}
        if identity:
            body["id"] = identity
        answer = request(vm.operator_port, "POST", "/v1/operator", key=OPERATOR_KEY, body=json.dumps(body))
        return json.loads(answer.body)

    def accept(self, statement, identity=None, vm=None):
        """Sends an operator statement and raises an error unless it is accepted."""
        answer = self.operate(statement, identity, vm)
        if answer["kind"] != "accepted":
            raise AssertionError(f"{statement}: {answer}")
        return answer

    def show(self, what, vm=None):
        """Returns the rows of a `show` statement as dictionaries."""
        answer = self.operate(f"show {what}", vm=vm)
        return [dict(zip(answer["columns"], row)) for row in answer["rows"]]

    def wait_in_force(self, version=None):
        """Waits until every running VM has applied the version, by default the newest one of any voter."""
        version = version or max(it.status().get("version", 0) for it in self.voters() if it.process.running())
        for vm in self.vms.values():
            if vm.process.running():
                wait_for(lambda vm=vm: vm.status().get("version", 0) >= version, f"{vm.name} applies {version}")

    def add_target(self, name, route, version="v1", region="r1", domain="r1-d1", **options):
        target = Target(self.folder, name, **options)
        self.targets[name] = target
        return self.accept(
            f"add target {name} address {HOST}:{target.port} route {route} version {version} "
            f"slots {target.slots} region {region} domain {domain}")

    def create_customer(self, name, rate=10000, burst=10000):
        """Creates a customer and returns a new key for it."""
        self.accept(f"create customer {name} rate {rate} burst {burst} weight 1")
        return self.accept(f"create key for {name}")["key"]

    def timeline(self):
        """Returns the events of all running VMs in order of time."""
        events = [it for vm in self.vms.values() if vm.process.running() for it in vm.events()]
        return sorted(events, key=lambda it: (it["wall_ms"], it["vm"], it["sequence"]))
