"""Stand-ins for the review cases: the platform's list, workers, the operator and the system's own processes.

Everything listens on loopback addresses. Every VM has an address of its own in 127.0.0.0/8 and all VMs use the same ports,
as on the platform.
"""
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
DAEMON = "target/src/briarspard"
COLUMNS = ["Service", "Addr", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Id"]
# Values of a small deployment (utjel-ops).
BOUNDS = {
    "SeedLagS": 3, "ReuseS": 2, "ContactWindowMs": 3000, "AckMs": 4000, "RecoveryS": 4, "DrainMs": 3000, "GraceS": 6,
    "LossSlackMs": 200, "ApplyMs": 2500, "RollbackSlackMs": 250, "StretchMaxMs": 5000, "StrictRevoke": False,
    "RevokeMs": 5000, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtra": 64, "QuotaWindowS": 5, "QuotaExcess": 0.1,
    "QuotaSlack": 20, "ExposeShare": 0.1, "ExposeSlack": 50, "RollbackMs": 5000, "ColdExcess": 1.5, "ColdSlack": 5,
    "EvacMs": 5000, "RecoverS": 15, "ttl_max_s": 5, "MaxRegionShift": 0.15,
}
KEY = "review-key-of-tenant-one"


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, *words):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {' '.join(str(it) for it in words)}\n")
        self.file.flush()


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
                    it = stack.enter_context(socket.socket())
                    it.bind((address, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


async def read_head(reader):
    """Reads a message head. Returns the first line and the headers with lower-case names, or None at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = text[:-4].split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if "content-length" not in {it.lower() for it in headers}:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=None, timeout=1.0, headers=None):
    """One HTTP exchange on a connection of its own. Returns (status, headers, body)."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address, "Connection": "close"}
            if body is not None:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            writer.write(message(f"{method} {path} HTTP/1.1", fields, data))
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Platform:
    """The platform's list of workers."""

    def __init__(self, address):
        self.address = address
        self.workers = []
        self.foreign = []  # Rows of another writer, as bytes.

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head[1])
                rows = [json.dumps([it.service, it.address, it.zone, it.version, it.slots, it.state, 0, it.id]).encode()
                        for it in self.workers if it.listed]
                body = b'{"Instances":{"Columns":%s,"Rows":[%s]},"NextToken":null}' % (
                    json.dumps(COLUMNS).encode(), b",".join(rows + self.foreign))
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Worker:
    """A sound worker. `work(path)` returns the seconds of work of a request."""

    def __init__(self, address, worker_id, service, zone, record, work, slots=6, version="v1"):
        self.address, self.id, self.service, self.zone = address, worker_id, service, zone
        self.record, self.work, self.slots, self.version = record, work, slots, version
        self.state, self.listed = "ready", True
        self.runs = []  # (attempt id, time at which it began)
        self.connections = set()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.answer(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, head, reader, writer):
        first, headers = head
        method, path, _ = first.split()
        await read_body(reader, headers)
        attempt = headers.get("attempt-id", "")
        if path == "/health":
            writer.write(message("HTTP/1.1 200 OK", {"Instance-Id": self.id}))
            return True
        fields = {"Attempt-Id": attempt, "Keep-Alive": "timeout=10"}
        if not attempt or headers.get("expect-instance", self.id) != self.id:
            status = "421 Misdirected Request" if attempt else "400 Bad Request"
            writer.write(message(f"HTTP/1.1 {status}", {**fields, "Not-Executed": "1"}))
            return True
        self.runs.append((attempt, time.monotonic()))
        self.record("worker", self.id, "runs", attempt, method, path)
        end = time.monotonic() + self.work(path)
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02))
            if reader.at_eof() or writer.is_closing():
                self.record("worker", self.id, "drops", attempt, "because its connection was closed")
                return False
        writer.write(message("HTTP/1.1 200 OK", {**fields, "Response-Seal": f"seal-{attempt}"}, f"body of {attempt}".encode()))
        await writer.drain()
        self.record("worker", self.id, "answered", attempt)
        return True


class Vm:
    """One process of the system, started with the `run` line of the deploy file."""

    def __init__(self, fleet, address, role, zone, region):
        self.fleet, self.address, self.role, self.zone, self.region = fleet, address, role, zone, region
        self.folder = fleet.folder / address
        self.folder.mkdir()
        self.process = None

    def settings(self, bootstrap):
        ports = self.fleet.ports
        data = self.folder / "data"
        if self.role == "control":
            data.mkdir(exist_ok=True)
        entry, control = self.role == "entry", self.role == "control"
        return {
            "role": self.role, "name": f"{self.role}-{self.address}", "vm": self.address, "region": self.region,
            "domain": self.zone, "domains": self.fleet.zones,
            "callers": f"{self.address}:{ports['front']}" if entry else "",
            "ready": f"{self.address}:{ports['ready']}" if entry else "",
            "operators": f"{self.address}:{ports['control']}" if control else "",
            "lookups": f"{self.address}:{ports['directory']}" if control else "",
            "peer_port": ports["peer"], "metrics_port": ports["metrics"], "seeds": self.fleet.seeds,
            "data_folder": str(data) if control else "", "bootstrap": bootstrap,
            "target_list": self.fleet.platform.address, "secret": "set-by-the-operator-of-the-platform", "bounds": BOUNDS,
        }

    def start(self, bootstrap=False):
        file = self.folder / "settings.yaml"
        file.write_text(json.dumps(self.settings(bootstrap)))
        log = open(self.folder / "log.txt", "ab")
        self.process = subprocess.Popen([str(REPOSITORY / DAEMON), "--settings", str(file)], cwd=REPOSITORY, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.record("platform starts", self.role, self.address, "bootstrap" if bootstrap else "")

    def kill(self, number=signal.SIGKILL):
        self.fleet.record("platform sends", signal.Signals(number).name, "to", self.role, self.address)
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def wipe(self):
        """The disk of the VM is lost."""
        self.fleet.record("disk of", self.address, "is lost")
        shutil.rmtree(self.folder / "data")

    def at(self, port):
        return f"{self.address}:{self.fleet.ports[port]}"


class Fleet:
    """The system's processes with the stand-ins around them."""

    def __init__(self, record, controls=5, entries=1):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="briarspar-review-"))
        self.base = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.zones = {"kozep-a": "kozep", "kelet-a": "kelet", "nyugat-a": "nyugat", "kozep-b": "kozep", "kelet-b": "kelet"}
        hosts = [f"{self.base}.{n}" for n in range(1, 60)]
        names = ["front", "ready", "control", "directory", "peer", "metrics", "list", "worker"]
        self.ports = dict(zip(names, free_ports(hosts, len(names))))
        self.platform = Platform(f"{self.base}.50:{self.ports['list']}")
        self.hosts = iter(hosts)
        zones = list(self.zones.items())
        self.seeds = []
        self.controls = [self.add("control", *zones[n % len(zones)]) for n in range(controls)]
        self.entries = [self.add("entry", *zones[n % len(zones)]) for n in range(entries)]
        self.seeds += [it.at("control") for it in self.controls[:3]]
        self.workers = []

    def add(self, role, zone, region):
        return Vm(self, next(self.hosts), role, zone, region)

    def add_worker(self, service, work, zone="kozep-a", slots=6):
        n = len(self.workers)
        it = Worker(f"{self.base}.{51 + n}:{self.ports['worker']}", f"i-{n + 1:04x}", service, zone, self.record, work, slots)
        self.workers.append(it)
        self.platform.workers.append(it)
        return it

    async def start(self):
        if not (REPOSITORY / DAEMON).is_file():
            raise CannotRun(f"{DAEMON} is missing; run the build of deploy/system.toml first")
        await self.platform.start()
        for it in self.workers:
            await it.start()
        for it in self.controls + self.entries:
            it.start(bootstrap=True)

    async def order(self, method, path, body=None, limit=15.0, among=None):
        """A call of the operator: tries control VMs until a clear answer. Returns (status, body) or None."""
        end = time.monotonic() + limit
        n = 0
        while time.monotonic() < end:
            vms = [it for it in (among or self.controls) if it.process is not None and it.process.poll() is None]
            address = vms[n % len(vms)].at("control")
            n += 1
            try:
                for _ in range(3):
                    status, headers, answer = await call(address, method, path, body)
                    if status != 307:
                        break
                    address = headers["location"].split("//")[1].split("/")[0]
                self.record("operator", method, path, "at", address, "->", status)
                if status < 500 and status not in (307, 408, 429):
                    return status, answer
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                self.record("operator", method, path, "at", address, "-> no answer:", type(error).__name__)
            await asyncio.sleep(min(0.1 * n, 1.0))
        return None

    async def await_serving(self, limit=20.0):
        """Waits until every entry VM is ready."""
        end = time.monotonic() + limit
        for it in self.entries:
            while True:
                try:
                    if (await call(it.at("ready"), "GET", "/-/ready"))[0] == 200:
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"entry VM {it.address} is not ready")
                await asyncio.sleep(0.1)

    def close(self):
        for it in self.controls + self.entries:
            if it.process is not None and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, version, timeout_ms=5000, prefix=None, host="review.example"):
    return {"Host": host, "Paths": [{
        "Name": name, "PathPrefix": prefix or f"/{name}/", "Kind": kind, "TimeoutMs": timeout_ms, "LatencyTargetMs": 600,
        "Priority": 1, "Service": service, "MaxAttempts": 2, "Public": False, "Sticky": False, "AllowedRegions": [],
        "Version": f"{version:08x}"}]}


def configuration(services, routes, version=7):
    """The first configuration: one tenant without a limit, `services` (names) and `routes`."""
    return {"Upsert": {
        "Tenants": [{"Name": "tenant1", "ApiKeys": [KEY], "Priority": 1, "RatePerS": 0, "Burst": 0, "AllowedRegions": [],
                     "Version": f"{version:08x}"}],
        "Services": [{"Name": it, "HealthPath": "/health", "MaxConns": 390, "Protocol": "h1", "Tls": False, "ColdS": 3.0,
                      "ColdPerS": 6.0, "Version": f"{version:08x}"} for it in services],
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderMs": 3000, "IdleMs": 15000,
                   "Version": f"{version:08x}"},
        "Hosts": routes}, "Remove": {"Routes": []}}


def trouble():
    """Whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, folder):
    """Runs the coroutine function `case(record)`, which returns a list of what broke the rule; exits with 0, 1 or 2."""
    record = Record(folder)

    async def limited():
        return await asyncio.wait_for(case(record), 115)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # Whatever else goes wrong says nothing about the rule.
        record("cannot run:", type(error).__name__, error)
        print("the case could not run:", type(error).__name__, error)
        sys.exit(2)
    for it in broken:
        record("BROKEN:", it)
        print(it)
    record("result:", "rule broken" if broken else "rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
