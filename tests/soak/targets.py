"""Stand-ins for targets and for the platform's list of them."""
import asyncio
import collections
import json
import random
import time

import http1
from checker import body_of
from link import Link, reset

COLUMNS = ["Service", "Addr", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Id", "born"]
LIST_LAG_S = 0.8  # Age of what the list shows of a start under the same id.
LONG_BODY = 50_000
EARLY_REFUSALS = 0.2  # Share of the requests with a long body.
REASONS = [None, None, "", "Done: at once", "a/b 1.1 200"]
HISTORY = 4  # Answers of a connection of which copies may come.


class Troubles:
    """Probabilities of what a target does wrong, per request."""

    def __init__(self, **chances):
        self.chances = chances

    def draw(self, rng):
        """Returns the kind of trouble of one request, or None."""
        value = rng.random()
        for kind, chance in self.chances.items():
            if value < chance:
                return kind
            value -= chance
        return None


COPIES = Troubles(at_once=0.02, before_next=0.08, pieces=0.03, twice=0.03, other_status=0.04, after_answer=0.02, cut=0.05,
                 cut_at_once=0.02, idle=0.02)
REFUSAL_COPIES = Troubles(at_once=0.03, before_next=0.4, pieces=0.1, twice=0.1, other_status=0.1, cut=0.1, cut_at_once=0.04,
                         idle=0.03)
FAILURES = Troubles(own_500=0.01, own_503=0.01, own_429=0.004, own_504=0.003, lost=0.01, broken_off=0.01, nonsense=0.004,
                    close=0.02, until_close=0.01, until_close_cut=0.004, refuse=0.04, slow=0.02)


class Copier:
    """Decides for one connection which bytes too many go out, and when."""

    def __init__(self, rng, counts, timeline):
        self.rng, self.counts, self.timeline = rng, counts, timeline
        self.history = collections.deque(maxlen=HISTORY)
        self.waiting = []  # Byte strings that go out before the next answer, in this order, each in a write of its own.

    def other_status(self, status, headers):
        headers = {name: it for name, it in headers.items() if name not in ("Not-Executed", "Response-Seal")}
        other = self.rng.choice([it for it in (200, 408, 421, 429, 500, 503) if it != status])
        if other in (421, 429, 503) and self.rng.random() < 0.7:
            headers["Not-Executed"] = "1"
        return http1.encode_response(other, headers)

    def cut(self, data):
        """Returns the beginning of an answer, which mostly ends within its head."""
        end = data.index(b"\r\n\r\n") + 4 if self.rng.random() < 0.8 else len(data)
        return data[:self.rng.randrange(1, end)]

    def copies_after(self, status, headers, data):
        """Called with each answer. Returns (bytes to send at once, bytes to send when the connection is idle)."""
        kind = (REFUSAL_COPIES if "Not-Executed" in headers else COPIES).draw(self.rng)
        self.history.append(data)
        at_once, idle = b"", b""
        if kind is None:
            return at_once, idle
        self.counts[f"copy {kind}"] += 1
        self.timeline("copy", headers["Attempt-Id"], kind)
        if kind == "at_once":
            at_once = data
        elif kind == "before_next":
            self.waiting = [data]
        elif kind == "pieces":
            at = self.rng.randrange(1, len(data))
            self.waiting = [data[:at], data[at:]]
        elif kind == "twice":
            self.waiting = [data, data]
        elif kind == "other_status":
            self.waiting = [self.other_status(status, headers)]
        elif kind == "after_answer":
            at_once = self.rng.choice(self.history)
        elif kind == "cut":
            self.waiting = [self.cut(data)]
        elif kind == "cut_at_once":
            at_once = self.cut(data)
        elif kind == "idle":
            idle = data
        return at_once, idle

    def take_waiting(self):
        waiting, self.waiting = self.waiting, []
        return waiting


class Connection:
    """One connection of an entry VM to a target: one request at a time."""

    def __init__(self, target, reader, writer):
        self.target, self.reader, self.writer = target, reader, writer
        self.copier = Copier(target.rng, target.counts, target.checker.timeline)
        self.run = None  # The run in progress.

    async def serve(self):
        try:
            while not self.writer.is_closing():
                message = await http1.read_head(self.reader)
                self.target.note_arrival(message)
                if self.target.refuses_early(message):
                    await self.target.refuse_early(self, message)
                    continue
                message.body = await http1.read_body(self.reader, message.headers)
                if not await self.target.handle(self, message):
                    break
        except (http1.Cut, http1.Malformed, ConnectionError):
            pass
        finally:
            self.writer.close()

    async def send(self, status, headers, body=b"", framing="length"):
        """Sends an answer and the copies that are due around it."""
        if self.target.rng.random() < 0.5:  # The id may be the first or the last header.
            headers = dict(reversed(headers.items()))
        data = http1.encode_response(status, headers, body, framing, self.target.rng.choice(REASONS))
        waiting = self.copier.take_waiting()
        for it in waiting:
            self.writer.write(it)
            await self.writer.drain()
            await asyncio.sleep(self.target.rng.choice([0, 0.001, 0.01]))
        at_once, idle = self.copier.copies_after(status, headers, data)
        self.writer.write(data + at_once)
        await self.writer.drain()
        if idle:
            await asyncio.sleep(0.02)
            self.writer.write(idle)

    def reset(self):
        reset(self.writer)

    async def work(self, seconds):
        """Waits while a request runs. Returns False if the peer closed the connection."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while (left := end - loop.time()) > 0:
            if self.reader.at_eof() or self.writer.is_closing():
                return False
            await asyncio.sleep(min(left, 0.05))
        return not self.reader.at_eof()


class Target:
    """A target at one address. `restart` gives it a new id or service at the same address, `stop` and `start_again` keep the id.
    A process that starts during traffic is cold for `cold_s`. With `behind`, an address of its own, a link stands between it and
    the entry VMs."""

    def __init__(self, address, service, zone, seed, checker, counts, behind=None, slots=8, cold_s=0.0):
        self.address, self.service, self.zone, self.slots = address, service, zone, slots
        self.listens_at = behind or address
        self.link = Link(address, behind) if behind else None
        self.link_disturbed_until = 0.0
        self.rng = random.Random(f"{seed}/{address.split('.')[-1]}/{service}")
        self.checker, self.counts = checker, counts
        self.serial = 0
        self.id = self.next_id()
        self.state = "ready"
        self.running = 0
        self.connections = set()
        self.silent_until = 0.0
        self.server = None
        self.cold_s = cold_s
        self.starts = [(float("-inf"), int(time.time() * 1000))]  # (loop time, Unix ms) of the starts under this id.

    def next_id(self):
        self.serial += 1
        return f"i-{self.address.split(':')[0].split('.')[-1]}-{self.serial}"

    async def start(self):
        host, port = self.listens_at.rsplit(":", 1)
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    def restart(self, service=None):
        """A new process at the same address."""
        self.id = self.next_id()
        self.service = service or self.service
        self.state = "ready"
        self.starts = []
        self.begin()
        self.reset_connections()

    async def stop(self):
        self.server.close()
        self.reset_connections()

    async def start_again(self):
        """A new process under the id of the one before it."""
        self.begin()
        self.counts["starts under the same id"] += 1
        self.checker.timeline("starts again", self.id, "born", self.born)
        await self.start()

    def begin(self):
        self.starts.append((asyncio.get_running_loop().time(), int(time.time() * 1000)))
        self.silent_until = 0.0

    @property
    def born(self):
        return self.starts[-1][1]

    def cold_ms(self):
        """How much longer the process is cold."""
        return int(max(0.0, self.starts[-1][0] + self.cold_s - asyncio.get_running_loop().time()) * 1000)

    def listed_start(self):
        """Returns (ColdLeftMs, born) as they were when the list was made."""
        made_at = asyncio.get_running_loop().time() - LIST_LAG_S
        began, born = next((it for it in reversed(self.starts) if it[0] <= made_at), self.starts[0])
        return int(max(0.0, began + self.cold_s - max(made_at, began)) * 1000), born

    def note_arrival(self, message):
        """Tells the checker of a request that reaches a cold process, unless it is meant for another one and gets 421."""
        attempt = message.headers.get("attempt-id")
        if attempt and self.cold_ms() > 0 and message.headers.get("expect-instance", self.id) == self.id:
            self.checker.reached_cold(f"{self.id} born {self.born}", attempt)

    def reset_connections(self):
        """Resets all connections; what runs on them may end without an answer."""
        self.excuse_runs()
        for it in list(self.connections):
            it.reset()

    def excuse_runs(self):
        for it in self.connections:
            if it.run is not None:
                it.run.clean = False

    def disturb_link(self, seconds):
        """Notes that answers may be lost on the link for that long."""
        self.excuse_runs()
        self.link_disturbed_until = asyncio.get_running_loop().time() + seconds

    async def handle(self, connection, message):
        """Answers one request. Returns whether the connection stays open."""
        loop = asyncio.get_running_loop()
        if self.silent_until > loop.time():
            await asyncio.sleep(self.silent_until - loop.time())
            if connection.writer.is_closing():  # The process has ended meanwhile.
                return False
        path = message.first.split(" ")[1]
        if path == "/health":
            fields = {"Instance-Id": self.id, "Cold-Ms": self.cold_ms()}
            connection.writer.write(http1.encode_response(200 if self.state == "ready" else 503, fields))
            return True
        attempt = message.headers.get("attempt-id", "")
        fields = {"Attempt-Id": attempt, "Keep-Alive": "timeout=10"}
        trouble = FAILURES.draw(self.rng)
        refusal = None
        if not attempt:
            refusal = 400
        elif message.headers.get("expect-instance", self.id) != self.id:
            refusal = 421
        elif self.running >= self.slots or trouble == "refuse":
            refusal = 429 if self.rng.random() < 0.1 else 503
        if refusal:
            self.counts[f"refusal {refusal}"] += 1
            self.checker.timeline("refusal", attempt, refusal, "by", self.id)
            await connection.send(refusal, {**fields, "Not-Executed": "1"})
            return True
        self.running += 1
        try:
            return await self.run(connection, message, fields, trouble)
        finally:
            self.running -= 1
            connection.run = None

    def refuses_early(self, message):
        return int(message.headers.get("content-length", 0)) > LONG_BODY and self.rng.random() < EARLY_REFUSALS

    async def refuse_early(self, connection, message):
        """Refuses a request before its body is read, keeps the connection, and reads the rest of the body later."""
        attempt = message.headers.get("attempt-id", "")
        self.counts["refusal early"] += 1
        self.checker.timeline("refusal", attempt, "503 before the body by", self.id)
        connection.writer.write(http1.encode_response(503, {"Attempt-Id": attempt, "Not-Executed": "1"}))
        await asyncio.sleep(self.rng.uniform(0, 0.05))
        self.checker.body_read_late(attempt, await http1.read_body(connection.reader, message.headers))

    async def run(self, connection, message, fields, trouble):
        status = {"own_500": 500, "own_503": 503, "own_429": 429, "own_504": 504}.get(trouble, 200)
        size = self.rng.choice([0, 40, 400, 400, 4000, 20000]) if self.rng.random() < 0.98 else 400_000
        run = self.checker.ran(self.id, self.service, message, status, size)
        connection.run = run
        if trouble:
            self.counts[f"trouble {trouble}"] += 1
            self.checker.timeline("trouble", run.attempt, trouble, "by", self.id)
        sound_link = asyncio.get_running_loop().time() >= self.link_disturbed_until
        run.clean = sound_link and trouble not in ("lost", "broken_off", "until_close_cut", "nonsense")
        if not await connection.work(self.rng.uniform(0.002, 0.03) + (0.4 if trouble == "slow" else 0)):
            run.cut_by_peer = True
            self.checker.timeline("dropped", run.attempt, "by", self.id, "as its connection was closed")
            return False
        if trouble == "lost":
            connection.reset()
            return False
        fields["Response-Seal"] = run.seal
        body = body_of(run.attempt, run.target, run.number, size)
        if trouble == "nonsense":
            connection.writer.write(b"\x00\x01 no answer \r\n\r\n")
            return False
        if trouble == "broken_off":
            data = http1.encode_response(status, fields, body)
            connection.writer.write(data[:self.rng.randrange(len(data))])
            await connection.writer.drain()
            connection.reset() if self.rng.random() < 0.5 else connection.writer.close()
            return False
        if trouble in ("until_close", "until_close_cut"):
            data = http1.encode_response(status, {**fields, "Connection": "close"}, body, "close")
            if trouble == "until_close":
                connection.writer.write(data)
            else:
                connection.writer.write(data[:self.rng.randrange(1, len(data))])
                await asyncio.sleep(0.02)
                connection.reset()
            return False
        if trouble == "close":
            fields["Connection"] = "close"
        if status != 200 and self.rng.random() < 0.5:
            del fields["Response-Seal"]
        await connection.send(status, fields, body, self.rng.choice(["length", "length", "chunked"]))
        run.answered = True
        return trouble != "close"


class TargetList:
    """The platform's list: rows that lag behind the targets, and rows of targets that have ended."""

    def __init__(self, address):
        self.address = address
        self.targets = []
        self.old_rows = []  # (row, end of its stay)

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    @staticmethod
    def row(target):
        cold_ms, born = target.listed_start()
        return [target.service, target.address, target.zone, "v1", target.slots, target.state, cold_ms, target.id, born]

    def keep_old_row(self, row, seconds):
        self.old_rows.append((row, asyncio.get_running_loop().time() + seconds))

    def rows(self):
        now = asyncio.get_running_loop().time()
        self.old_rows = [it for it in self.old_rows if it[1] > now]
        return [self.row(it) for it in self.targets] + [row for row, _ in self.old_rows]

    async def serve(self, reader, writer):
        try:
            while True:
                await http1.read_request(reader)
                body = json.dumps({"Instances": {"Columns": COLUMNS, "Rows": self.rows()}, "NextToken": None}).encode()
                writer.write(http1.encode_response(200, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (http1.Cut, http1.Malformed, ConnectionError):
            pass
        finally:
            writer.close()
