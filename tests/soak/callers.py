"""Stand-ins for callers: kept and new connections, pipelined safe requests, retries as the protocol page says."""
import asyncio
import random

import http1
from checker import PROMISES, Request
from configuration import HOST, KEYS

FINAL = (400, 401, 404, 413, 431)  # Statuses after which no request is sent again.


class Call:
    """What one attempt sends."""

    def __init__(self, attempt, route, kind, body, chunked, deadline, key, thing):
        self.attempt, self.route, self.kind = attempt, route, kind
        self.body, self.chunked, self.deadline, self.key = body, chunked, deadline, key
        self.thing = thing  # The object that it concerns.

    @property
    def method(self):
        return "POST" if self.body or self.kind == "unsafe" else "GET"

    @property
    def path(self):
        return f"/{self.route}/{self.attempt}"

    def encode(self):
        fields = {"Host": HOST, "Attempt-Id": self.attempt, "Deadline-Ms": int(self.deadline * 1000),
                  "Authorization": f"Bearer {self.key}", "Cookie": f"Affinity-Key={self.thing}"}
        framing = "chunked" if self.chunked else "length" if self.method == "POST" else "none"
        return http1.encode(f"{self.method} {self.path} HTTP/1.1", fields, self.body, framing)


class CallerConnection:
    """A connection to an entry VM; answers come in the order of the requests."""

    def __init__(self, entry, reader, writer):
        self.entry, self.reader, self.writer = entry, reader, writer
        self.usable = True

    @staticmethod
    async def open(entry):
        host, port = entry.at("front").rsplit(":", 1)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        return CallerConnection(entry, reader, writer)

    def unread(self):
        """Bytes that have come without a request."""
        return bytes(self.reader._buffer)  # pylint: disable=protected-access

    def ended(self):
        return self.reader.at_eof() or self.writer.is_closing()

    async def send(self, data, pieces, rng):
        if pieces and len(data) > 1:
            at = rng.randrange(1, len(data))
            self.writer.write(data[:at])
            await self.writer.drain()
            await asyncio.sleep(rng.uniform(0.001, 0.05))
            data = data[at:]
        self.writer.write(data)
        await self.writer.drain()

    def close(self):
        self.usable = False
        self.writer.close()


class Caller:
    """Sends requests one after the other until it is told to stop."""

    def __init__(self, number, seed, fleet, operator, checker, think, popular=0.0):
        self.number, self.fleet, self.operator, self.checker, self.think = number, fleet, operator, checker, think
        self.popular = popular  # Share of the requests that concern one object of a sticky route.
        self.rng = random.Random(f"{seed}/caller/{number}")
        self.connection = None
        self.serial = 0
        self.stopping = False

    def new_call(self, route=None, deadline=None, body=None, thing=None):
        self.serial += 1
        kinds = {name: it["Kind"] for name, it in self.operator.routes.items()}
        if route is None and self.rng.random() < self.popular:
            route, thing = "read", 0
        route = route or self.rng.choice(list(kinds))
        thing = 1 + self.serial % 50 if thing is None else thing
        if body is None:
            size = self.rng.choice([0, 0, 0, 100, 100, 5000]) if self.rng.random() < 0.98 else 150_000
            body = bytes([65 + self.serial % 26]) * size
        key = KEYS[0] if self.rng.random() < 0.9 else self.rng.choice(KEYS)
        return Call(f"{self.number:04x}{self.serial:08x}", route, kinds[route], body, bool(body) and self.rng.random() < 0.4,
                    deadline or self.rng.uniform(0.8, 3.0), key, thing)

    async def run(self):
        while not self.stopping:
            await asyncio.sleep(self.rng.expovariate(1 / self.think))
            if self.rng.random() < 0.1:
                await self.pipeline()
            else:
                await self.request()
        if self.connection is not None:
            self.connection.close()

    async def connect(self, fresh):
        """Returns a connection, the kept one unless `fresh`, or None."""
        kept = self.connection
        if kept is not None:
            if kept.usable and kept.unread():
                self.checker.unexpected(kept.entry.address, kept.unread())
                kept.close()
            if not fresh and kept.usable and not kept.ended() and self.rng.random() < 0.97:
                return kept
            kept.close()
            self.connection = None
        for entry in self.rng.sample(self.fleet.entries, min(3, len(self.fleet.entries))):
            try:
                self.connection = await CallerConnection.open(entry)
                return self.connection
            except (OSError, asyncio.TimeoutError):
                continue
        return None

    def register(self, call, connection):
        request = Request(call.route, call.kind, call.method, call.path, call.body, connection.entry.address,
                          self.checker.timeline.now(), call.key == KEYS[0])
        request.bound = min(call.deadline, self.operator.shortest_timeout[call.route] / 1000)
        self.checker.sent(call.attempt, request)

    async def request(self):
        """One request with its retries, each with a new id on a new connection."""
        loop = asyncio.get_running_loop()
        call = self.new_call()
        end = loop.time() + call.deadline
        for n in range(4):
            connection = await self.connect(fresh=n > 0)
            left = end - loop.time()
            if connection is None or left < 0.05:
                return
            if n > 0:
                call = self.new_call(call.route, left, call.body, call.thing)
            answer = await self.exchange(connection, [call])
            status = answer[0].status if answer else None
            if status is not None and (status < 300 or status in FINAL):
                return
            if call.kind == "unsafe" and status not in PROMISES:
                return
            wait = 0.0
            if status is not None:
                wait = min(float(answer[0].headers.get("retry-after", 0)), (end - loop.time()) / 3)
            await asyncio.sleep(max(wait, 0.01))

    async def pipeline(self):
        """Some safe requests sent before the first one is answered."""
        connection = await self.connect(fresh=False)
        if connection is not None:
            safe = [name for name, it in self.operator.routes.items() if it["Kind"] == "safe"]
            await self.exchange(connection, [self.new_call(self.rng.choice(safe)) for _ in range(self.rng.randrange(2, 6))])

    async def exchange(self, connection, calls):
        """Sends the calls and returns the answers that came. Those without an answer are told to the checker."""
        for it in calls:
            self.register(it, connection)
        limit = max(it.deadline for it in calls) + 0.5
        gives_up = self.rng.random() < 0.03
        answers = []
        try:
            async with asyncio.timeout(self.rng.uniform(0.0, 0.1) if gives_up else limit):
                await connection.send(b"".join(it.encode() for it in calls), self.rng.random() < 0.1, self.rng)
                for it in calls:
                    answer = await http1.read_response(connection.reader)
                    self.checker.answered(it.attempt, answer)
                    answers.append(answer)
                    if answer.closes:
                        break
            if answers[-1].closes:
                connection.close()
                self.checker.closed([it.attempt for it in calls[len(answers):]], self.checker.timeline.now())
        except asyncio.TimeoutError:
            connection.close()
            for it in calls[len(answers):]:
                self.checker.given_up(it.attempt)
        except http1.Malformed as error:
            connection.close()
            self.checker.malformed(calls[len(answers)].attempt, error)
        except (http1.Cut, ConnectionError):
            connection.close()
            self.checker.closed([it.attempt for it in calls[len(answers):]], self.checker.timeline.now())
        return answers
