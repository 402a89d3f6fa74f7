"""A VM is stopped while callers send requests behind one another on their connections."""
import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins  # noqa: E402

DEADLINE_MS = 4000
GRACE_S = 6.0
CALLERS = 12
IN_FLIGHT = 3


class Caller:
    """Keeps up to three `safe` requests in flight on one connection, as clients that pipeline do."""

    def __init__(self, name, address, record):
        self.name, self.address, self.record = name, address, record
        self.sent, self.answered = [], []
        self.closing = False
        self.ended_at = None

    async def run(self, until):
        host, port = self.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        asyncio.current_task().set_name(self.name)
        answers = asyncio.create_task(self.read(reader))
        try:
            while not answers.done() and time.monotonic() < until:
                if not self.closing and len(self.sent) - len(self.answered) < IN_FLIGHT:
                    self.send(writer)
                await asyncio.sleep(random.uniform(0.02, 0.15))
            await asyncio.wait([answers], timeout=DEADLINE_MS / 1000)
        except ConnectionError:
            pass
        answers.cancel()
        writer.close()

    def send(self, writer):
        attempt = f"{self.name}-{len(self.sent) + 1:03d}"
        self.sent.append((attempt, time.monotonic()))
        self.record("caller", self.name, "sends", attempt)
        writer.write(standins.message(f"GET /lookup/{attempt} HTTP/1.1", {
            "Host": "review.example", "Attempt-Id": attempt, "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {standins.KEY}", "Content-Length": "0"}))

    async def read(self, reader):
        while True:
            head = await standins.read_head(reader)
            if head is None:
                break
            try:
                await standins.read_body(reader, head[1])
            except asyncio.IncompleteReadError:
                break
            attempt = self.sent[len(self.answered)][0]
            self.answered.append(attempt)
            self.record("caller", self.name, "got", head[0], "for", head[1].get("attempt-id", "?"),
                        "and the connection closes" if head[1].get("connection") == "close" else "")
            self.closing = self.closing or head[1].get("connection") == "close"
        self.ended_at = time.monotonic()
        self.record("caller", self.name, "sees the end of the connection")


async def case(record):
    fleet = standins.Fleet(record, controls=3, entries=1)
    try:
        for n in range(8):
            fleet.add_worker("lookups", lambda _: random.uniform(0.2, 1.4))
        await fleet.start()
        first = standins.configuration(["lookups"], [standins.route("lookup", "lookups", "safe", 7)])
        if await fleet.order("PATCH", "/-/config", first) is None:
            raise standins.CannotRun("the first configuration was not accepted")
        await fleet.await_serving()
        await asyncio.sleep(1)
        callers = [Caller(f"c{n:02d}", fleet.entries[0].at("front"), record) for n in range(CALLERS)]
        start = time.monotonic()
        tasks = [asyncio.create_task(it.run(start + 3 + GRACE_S)) for it in callers]
        await asyncio.sleep(3)
        stopped_at = time.monotonic()
        if standins.trouble():
            fleet.entries[0].kill(signal.SIGTERM)
        await asyncio.gather(*tasks)
        return check(fleet, callers, stopped_at)
    finally:
        fleet.close()


def check(fleet, callers, stopped_at):
    """LOST around planned work: passed on to a worker, and the connection ended without a complete answer."""
    runs = {attempt: at for worker in fleet.workers for attempt, at in worker.runs}
    broken = []
    for caller in callers:
        for attempt, sent_at in caller.sent[len(caller.answered):]:
            if attempt not in runs or caller.ended_at is None or caller.ended_at > stopped_at + GRACE_S + 1:
                continue
            if caller.ended_at - sent_at >= DEADLINE_MS / 1000:
                continue
            # Excused: the worker was still at work in the last sixth of GraceS.
            if caller.ended_at > stopped_at + GRACE_S * 5 / 6:
                continue
            broken.append(f"{attempt} was passed on to a worker, and its connection ended without an answer "
                          f"{caller.ended_at - stopped_at:.2f} s after SIGTERM")
    return broken


standins.run(case, FOLDER)
