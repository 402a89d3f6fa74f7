"""Feeds the checker records that break a rule, so that a check that can't fail is found without a fault in the system."""
import asyncio
import collections
import random
import subprocess
import unittest
import unittest.mock

import http1
import targets
from checker import Checker, Request, body_of
from configuration import differences
from faults import plan
from fleet import Vm
from targets import Copier, Target, TargetList

ATTEMPT = "00010000002a"
TARGET = "i-101-1"


class NoTimeline:
    """Drops what is noted."""

    time = 1.0

    def __call__(self, *words):
        pass

    def now(self):
        return self.time


class CheckerTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.planned = self.disturbed = False
        self.checker = Checker(NoTimeline(), lambda _: {"alpha"}, lambda *_: self.planned, lambda *_: self.disturbed)

    def send(self, kind="unsafe", attempt=ATTEMPT, body=b"x"):
        self.checker.sent(attempt, Request("write", kind, "POST", f"/write/{attempt}", body, "127.0.0.1", 0.0))

    def run_at(self, target=TARGET, service="alpha", attempt=ATTEMPT, status=200, size=100, **changed):
        message = http1.Message(f"{changed.get('method', 'POST')} {changed.get('path', f'/write/{attempt}')} HTTP/1.1",
                                {"attempt-id": attempt, "tenant": changed.get("tenant", "tenant1")}, changed.get("body", b"x"))
        return self.checker.ran(target, service, message, status, size)

    def answer(self, status, seal=None, body=b"", attempt=ATTEMPT, **headers):
        headers.setdefault("attempt-id", attempt)
        if seal is not None:
            headers["response-seal"] = seal
        self.checker.answered(attempt, http1.Message(f"HTTP/1.1 {status} X", headers, body))

    def rules(self):
        return [it.rule for it in self.checker.violations]

    def whole_body(self, run):
        return body_of(run.attempt, run.target, run.number, run.size)

    def test_sound_request_breaks_no_rule(self):
        """Fails if the checker blames what is allowed."""
        self.send()
        run = self.run_at()
        self.answer(200, run.seal, self.whole_body(run))
        self.send("safe", "2")
        self.run_at(attempt="2", status=500)
        run = self.run_at("i-102-1", attempt="2")
        self.answer(200, run.seal, self.whole_body(run), "2")
        self.send(attempt="3")
        self.answer(503, attempt="3")
        self.assertEqual(self.rules(), [])

    def test_promises_after_a_run_break_refused(self):
        """Fails if one of the statuses that promise 'not run' is accepted for a request that has run."""
        for n, status in enumerate((408, 421, 429, 503)):
            self.send(attempt=str(n))
            self.run_at(attempt=str(n))
            self.answer(status, attempt=str(n))
        self.assertEqual(self.rules(), ["REFUSED"] * 4)

    def test_run_after_a_promise_breaks_refused(self):
        """Fails if a request may run after it has been refused."""
        self.send()
        self.answer(503)
        self.run_at()
        self.assertEqual(self.rules(), ["REFUSED"])

    def test_second_run_breaks_twice(self):
        """Fails if an unsafe request may run at two targets."""
        self.send()
        self.run_at()
        self.run_at("i-102-1")
        self.assertEqual(self.rules(), ["TWICE"])

    def test_success_without_seal_breaks_mixed(self):
        """Fails if a 2xx without the seal of a run counts as an answer."""
        self.send()
        run = self.run_at()
        self.answer(200, None, self.whole_body(run))
        self.assertEqual(self.rules(), ["MIXED"])

    def test_success_with_foreign_seal_breaks_mixed(self):
        """Fails if the answer to another request passes."""
        self.send()
        self.send(attempt="2")
        self.run_at()
        other = self.run_at(attempt="2")
        self.answer(200, other.seal, self.whole_body(other))
        self.assertEqual(self.rules(), ["MIXED"])

    def test_foreign_id_breaks_mixed(self):
        """Fails if a failure that bears the id of another request passes."""
        self.send()
        self.answer(500, **{"attempt-id": "2"})
        self.assertEqual(self.rules(), ["MIXED"])

    def test_torn_body_breaks_mixed(self):
        """Fails if a body that is short, or has a foreign byte, passes as whole."""
        self.send("safe")
        run = self.run_at()
        body = self.whole_body(run)
        self.answer(200, run.seal, body[:-1])
        self.answer(200, run.seal, body[:50] + b"#" + body[51:])
        self.assertEqual(self.rules(), ["MIXED"] * 2)

    def test_changed_status_breaks_mixed(self):
        """Fails if a target's failure may reach the caller as a success, or under another status with its seal."""
        self.send("safe")
        run = self.run_at(status=500)
        self.answer(200, run.seal, self.whole_body(run))
        self.answer(504, run.seal)
        self.assertEqual(self.rules(), ["MIXED"] * 2)

    def test_bytes_without_request_break_mixed(self):
        """Fails if a success or rubbish may come on an idle connection."""
        self.checker.unexpected("127.0.0.1", b"HTTP/1.1 200 OK\r\n")
        self.checker.unexpected("127.0.0.1", b"rubbish")
        self.checker.unexpected("127.0.0.1", b"HTTP/1.1 408 Request Timeout\r\n")
        self.checker.malformed(ATTEMPT, "rubbish")
        self.assertEqual(self.rules(), ["MIXED"] * 3)

    def test_changed_request_breaks_unasked(self):
        """Fails if a target may run something that no caller sent."""
        self.send("safe")
        self.run_at(attempt="unknown")
        for changed in ({"path": "/write/other"}, {"method": "PUT"}, {"body": b"y"}, {"tenant": "tenant2"}):
            self.run_at(**changed)
        self.checker.body_read_late(ATTEMPT, b"x")
        self.checker.body_read_late(ATTEMPT, b"HTTP/1.1")
        self.assertEqual(self.rules(), ["UNASKED"] * 6)

    def test_foreign_service_breaks_route(self):
        """Fails if a service that no configuration allows may run a request."""
        self.send()
        self.run_at(service="beta")
        self.assertEqual(self.rules(), ["ROUTE"])

    def test_close_without_answer_breaks_lost_around_planned_work(self):
        """Fails if a planned stop may cut a request that a sound target ran."""
        self.send()
        run = self.run_at()
        self.checker.closed([ATTEMPT], 1.0)
        self.assertEqual(self.rules(), [])
        self.planned = True
        self.checker.closed([ATTEMPT], 1.0)
        self.assertEqual(self.rules(), ["LOST"])
        self.checker.requests[ATTEMPT].bound = 1.0
        self.checker.closed([ATTEMPT], 1.0)
        self.checker.requests[ATTEMPT].bound = 3.0
        self.disturbed = True
        self.checker.closed([ATTEMPT], 1.0)
        self.disturbed, run.clean = False, False
        self.checker.closed([ATTEMPT], 1.0)
        self.assertEqual(self.rules(), ["LOST"])

    def test_pipelined_requests_are_lost_unless_the_answer_before_them_was_broken_off(self):
        """Fails if a close loses requests that ran behind an unanswered one, or if a target's own cut counts."""
        self.planned = True
        for n in "12":
            self.send("safe", n)
        first, _ = self.run_at(attempt="1"), self.run_at(attempt="2")
        self.checker.closed(["1", "2"], 1.0)
        self.assertEqual(self.rules(), ["LOST"] * 2)
        first.clean = False
        self.checker.closed(["1", "2"], 1.0)
        self.assertEqual(self.rules(), ["LOST"] * 2)
        self.checker.closed(["2"], 1.0)
        self.assertEqual(self.rules(), ["LOST"] * 3)


    def test_own_answer_in_place_of_a_running_one_breaks_lost(self):
        """Fails if a planned stop may break off a run and answer 502 itself."""
        self.send()
        run = self.run_at()
        self.answer(502)
        self.planned = True
        self.checker.check_replaced()
        self.assertEqual(self.rules(), [])
        run.cut_by_peer = True
        self.checker.check_replaced()
        self.assertEqual(self.rules(), ["LOST"])
        run.clean = False
        self.checker.check_replaced()
        self.assertEqual(self.rules(), ["LOST"])

    def test_denied_requests_break_denied(self):
        """Fails if allowed requests may be ended with a 4xx, or if a withdrawn key counts as allowed."""
        for n in range(8):
            self.checker.sent(str(n), Request("write", "safe", "GET", "/", b"", "127.0.0.1", 0.0, always_allowed=False))
            self.answer(401, attempt=str(n))
        self.checker.check_denied()
        self.assertEqual(self.rules(), [])
        for n in range(8, 16):
            self.send(attempt=str(n))
            self.answer(404, attempt=str(n))
        self.checker.check_denied()
        self.assertEqual(self.rules(), ["DENIED"])


    def reach_cold(self, process, arrivals, waited=0.0):
        """Requests that were sent one each `waited` seconds arrive at a cold process."""
        for n, at in enumerate(arrivals):
            attempt = f"{process}/{n}"
            self.checker.sent(attempt, Request("read", "safe", "GET", "/", b"", "127.0.0.1", at - n * waited))
            self.checker.timeline.time = at
            self.checker.reached_cold(process, attempt)

    def test_flood_of_a_cold_process_breaks_cold(self):
        """Fails if a cold process may get more than allowed in a second, wherever that second begins, or if the checker adds up
        what two processes get, what arrives in two seconds, or what was sent earlier."""
        self.reach_cold("i-1 born 1", [0.05 * n for n in range(17)] + [1.05 + 0.05 * n for n in range(17)])
        self.reach_cold("i-1 born 2", [0.05 * n for n in range(17)])
        self.reach_cold("i-2 born 1", [5.0] * 30, waited=0.1)
        self.checker.check_cold(17)
        self.assertEqual(self.rules(), [])
        self.reach_cold("i-3 born 1", [4.6 + 0.05 * n for n in range(18)])
        self.checker.check_cold(17)
        self.assertEqual(self.rules(), ["COLD"])


class ConfigurationTest(unittest.TestCase):
    def test_lost_older_and_changed_items_are_found(self):
        """Fails if an acknowledged item may be missing, go back, or change under its version."""
        item = {"Name": "write", "Version": "00000009", "TimeoutMs": 100}

        def found(*held):
            return len(differences({"write": item}, {"Hosts": [{"Paths": list(held)}], "Tenants": []}))

        self.assertEqual(found(item), 0)
        self.assertEqual(found({**item, "Version": "0000000b", "TimeoutMs": 5}), 0)
        self.assertEqual(found(), 1)
        self.assertEqual(found({**item, "Version": "00000007"}), 1)
        self.assertEqual(found({**item, "TimeoutMs": 5}), 1)


class VmTest(unittest.TestCase):
    def test_own_end_of_a_process_is_found(self):
        """Fails if a process that ends by itself passes as running or as stopped."""
        vm = Vm.__new__(Vm)
        vm.stopping, vm.process = False, subprocess.Popen(["sleep", "10"])
        self.assertFalse(vm.ended_by_itself())
        vm.process.kill()
        vm.process.wait()
        self.assertTrue(vm.ended_by_itself())
        vm.stopping = True
        self.assertFalse(vm.ended_by_itself())


class PlanTest(unittest.TestCase):
    def test_seed_repeats_its_faults(self):
        """Fails if a seed that broke a rule can't be played again, or if all seeds play the same."""

        def played(seed):
            return [(str(it), it.seed) for it in plan(seed, "mixed", 15, 0.3)]

        self.assertEqual(played(7), played(7))
        self.assertNotEqual(played(7), played(8))
        self.assertGreater(len(played(7)), 10)

    def test_targets_fall_in_series(self):
        """Fails if a target always falls alone, or if faults are not in the order in which they are played."""
        faults = plan(7, "restarts", 15, 0.5)
        falls = [it.at for it in faults if it.kind == "fall_target"]
        self.assertTrue(any(later - first < 1 for first, later in zip(falls, falls[1:])))
        self.assertEqual([it.at for it in faults], sorted(it.at for it in faults))


class TargetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.checker = Checker(NoTimeline(), lambda _: {"alpha"})
        self.target = Target("127.0.0.1:0", "alpha", "kozep-a", 1, self.checker, collections.Counter(), cold_s=600.0)
        await self.target.start()

    async def asyncTearDown(self):
        await self.target.stop()

    def address(self):
        host, port = self.target.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def send(self, **fields):
        """Sends a request and waits until it has been answered or its connection has ended."""
        reader, writer = await asyncio.open_connection(*self.address().split(":"))
        writer.write(http1.encode("GET /read/1 HTTP/1.1", fields, framing="none"))
        try:
            await reader.read(1)
        except ConnectionError:
            pass
        writer.close()

    async def test_start_under_the_same_id_is_a_cold_process(self):
        """Fails if the new process can't be told by `born`, doesn't say that it is cold, or if the list knows of it at once."""
        self.enterContext(unittest.mock.patch.object(targets, "LIST_LAG_S", 60.0))
        listed = TargetList("127.0.0.1:0")
        listed.targets = [self.target]
        address, before = self.address(), listed.rows()
        reader, writer = await asyncio.open_connection(*address.split(":"))
        await asyncio.sleep(0.02)
        await self.target.stop()
        with self.assertRaises(ConnectionError):
            await reader.readexactly(1)
        writer.close()
        with self.assertRaises(ConnectionRefusedError):
            await http1.call(address, "GET", "/health")
        await self.target.start_again()
        self.assertEqual(listed.rows(), before)
        health = (await http1.call(self.address(), "GET", "/health")).headers
        self.assertEqual(health["instance-id"], before[0][targets.COLUMNS.index("Id")])
        self.assertGreater(int(health["cold-ms"]), 0)
        self.target.starts[-1] = (self.target.starts[-1][0] - targets.LIST_LAG_S, self.target.born)
        row = dict(zip(targets.COLUMNS, listed.rows()[0]))
        self.assertGreater(row["born"], before[0][-1])
        self.assertGreater(row["ColdLeftMs"], 0)

    async def test_arrivals_at_a_cold_process_are_counted(self):
        """Fails if a flood could pass uncounted, if health checks, misdirected requests or a warm process count, or if
        the processes under one id are taken for one."""
        await self.send(**{"Attempt-Id": "1"})
        await self.target.stop()
        await self.target.start_again()
        await self.send(**{"Attempt-Id": "2", "Expect-Instance": "i-other"})
        await http1.call(self.address(), "GET", "/health")
        self.assertEqual(len(self.checker.cold_arrivals), 0)
        for n in range(3):
            await self.send(**{"Attempt-Id": f"3{n}", "Expect-Instance": self.target.id})
        await asyncio.sleep(0.005)  # `born` has milliseconds.
        await self.target.stop()
        await self.target.start_again()
        await self.send(**{"Attempt-Id": "4"})
        self.assertEqual([len(it) for it in self.checker.cold_arrivals.values()], [3, 1])


class CopierTest(unittest.TestCase):
    def test_every_kind_of_copy_is_sent(self):
        """Fails if a kind of copy is listed but never played."""
        counts = collections.Counter()
        copier = Copier(random.Random(1), counts, NoTimeline())
        sent = b""
        for _ in range(2000):
            refusal = {"Attempt-Id": ATTEMPT, "Not-Executed": "1"}
            at_once, idle = copier.copies_after(503, refusal, b"HTTP/1.1 503 X\r\n\r\n")
            sent += at_once + idle + b"".join(copier.take_waiting())
            copier.copies_after(200, {"Attempt-Id": ATTEMPT}, b"HTTP/1.1 200 OK\r\n\r\n")
            sent += b"".join(copier.take_waiting())
        self.assertEqual({it[len("copy "):] for it in counts},
                         {"at_once", "before_next", "pieces", "twice", "other_status", "after_answer",
                          "cut", "cut_at_once", "idle"})
        self.assertGreater(len(sent), 1000)


if __name__ == "__main__":
    unittest.main()
