"""A request with a long body crashes each worker that runs it, and its caller sends it again and again."""
import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins  # noqa: E402

BODY_BYTES = int(os.environ.get("BODY_BYTES", "200000"))  # Limits.BodyBytes is 67,108,864.
DEADLINE_MS = 6000
PLAY_S = 45
PAUSE_S = 1.5  # Between two attempts of the caller.
RETURN_S = 3.0  # A crashed worker is back after some seconds.
CONTACT_WINDOW_S = 3.0
MOST_RETRIES = 3


class CrashingWorker(standins.Worker):
    """A worker that crashes when it begins to run the request, and starts again with a new id."""

    async def answer(self, head, reader, writer):
        first, headers = head
        if headers.get("expect-instance", self.id) == self.id and "/poison" in first:
            await standins.read_body(reader, headers)
            attempt = headers["attempt-id"]
            self.runs.append((attempt, time.monotonic()))
            self.record("worker", self.id, "runs", attempt, first)
            if standins.trouble():
                self.record("worker", self.id, "crashes with", len(self.connections) - 1, "other connections open")
                asyncio.create_task(self.crash())
                return False
            writer.write(standins.message("HTTP/1.1 200 OK", {"Attempt-Id": attempt, "Response-Seal": f"seal-{attempt}"}, b"ok"))
            return True
        return await super().answer(head, reader, writer)

    async def crash(self):
        self.server.close()
        for it in list(self.connections):
            it.transport.abort()
        await asyncio.sleep(RETURN_S)
        self.id = f"{self.id.split('.')[0]}.{len(self.runs)}"
        await self.start()


async def read_answer(reader):
    head = await standins.read_head(reader)
    if head is None:
        return "closed"
    await standins.read_body(reader, head[1])
    return head[0].split()[1]


async def send(address, record, name, path, body, limit):
    """One attempt on a new connection; the body arrives in pieces, as over a mobile network."""
    host, port = address.rsplit(":", 1)
    record("caller sends", name, "POST", path, len(body), "bytes at", address)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return "no connection"
    try:
        writer.write((f"POST {path} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {name}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
                      f"Authorization: Bearer {standins.KEY}\r\nContent-Length: {len(body)}\r\n\r\n").encode())
        answer = asyncio.create_task(read_answer(reader))
        sent = 0
        while sent < len(body) and not answer.done():
            n = random.randrange(500, 9000)
            writer.write(body[sent:sent + n])
            sent += n
            await writer.drain()
            await asyncio.sleep(0.002)
        return await asyncio.wait_for(answer, limit)
    except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return "closed"
    finally:
        writer.close()


async def other_callers(fleet, record, until, results):
    """Bookings of other callers; they lose their work when the worker crashes under them."""

    async def one(name):
        results[name] = await send(random.choice(fleet.entries).at("front"), record, name, f"/booking/{name}", b"x" * 2000, 7)
        record("caller got", results[name], "for", name)

    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(one(f"b{len(tasks):04d}")))
        await asyncio.sleep(0.15)
    await asyncio.gather(*tasks)


async def case(record):
    fleet = standins.Fleet(record, controls=3, entries=2)
    try:
        for n in range(12):
            it = CrashingWorker(f"{fleet.base}.{30 + n}:{fleet.ports['worker']}", f"i-{n + 1:04x}",
                                "bookings", "kozep-a", record, lambda _: 0.8, slots=5)
            fleet.workers.append(it)
            fleet.platform.workers.append(it)
        await fleet.start()
        first = standins.configuration(["bookings"], [standins.route("booking", "bookings", "unsafe", 7)])
        if await fleet.order("PATCH", "/-/config", first) is None:
            raise standins.CannotRun("the first configuration was not accepted")
        await fleet.await_serving()
        await asyncio.sleep(4)
        body = random.Random(1).randbytes(BODY_BYTES)
        until = time.monotonic() + PLAY_S
        results = {}
        others = asyncio.create_task(other_callers(fleet, record, until, results))
        n = 0
        while time.monotonic() < until:
            n += 1
            answer = await send(fleet.entries[n % 2].at("front"), record, f"p{n:03d}", "/booking/poison", body, 7)
            record("caller got", answer, "for", f"p{n:03d}")
            await asyncio.sleep(PAUSE_S)
        await others
        return check(fleet, record, n, results)
    finally:
        fleet.close()


def check(fleet, record, attempts, results):
    """BUDGET: at most three retries reach workers later than ContactWindowMs after the third crash."""
    runs = sorted(at for worker in fleet.workers for attempt, at in worker.runs if attempt.startswith("p"))
    lost = sum(1 for it in results.values() if it in ("502", "closed"))
    text = f"{len(runs)} of {attempts} attempts reached a worker; {lost} of {len(results)} bookings of other callers got 502"
    record(text)
    print(text)
    if not standins.trouble() or len(runs) < 3:
        return []
    late = [at for at in runs if at > runs[2] + CONTACT_WINDOW_S]
    if len(late) <= MOST_RETRIES:
        return []
    return [f"{len(late)} retries reached workers later than ContactWindowMs after the third crash; at most {MOST_RETRIES} may"]


standins.run(case, FOLDER)
