"""Tests with real processes: each injects the failures that a guarantee of the system covers. They wait for events with
generous timeouts and assert no measured time."""

import http.client
import json
import shutil
import signal
import threading
import unittest

from fleet_test import HOST, FleetTest, request, wait_for


class WholePath(FleetTest):
    def test_lookup_request_and_answer(self):
        """Fails if lookup, admission, routing and response do not work together in real processes."""
        self.serve()
        vm = self.vm_list()[0]
        lookup = json.loads(request(vm.caller_port, "GET", "/.well-known/briarspar/entry").body)
        self.assertGreater(len(lookup["vms"]), 0)
        host, port = lookup["vms"][0]["address"].split(":")
        self.assertEqual(host, HOST)
        answer = request(int(port), "GET", "/read/closures?road=m1", self.key)
        self.assertEqual((answer.status, answer.outcome), (200, "ran"))
        self.assertIn(b"ran GET /read/closures", answer.body)

    def test_keys_are_not_forwarded_to_targets(self):
        """Fails if a key is forwarded to a target in a header or in the query."""
        self.serve()
        vm = self.vm_list()[0]
        for headers in ({"Authorization": f"Bearer {self.key}"}, {"X-Api-Key": self.key}):
            answer = request(vm.caller_port, "GET", f"/read/x?api_key={self.key}&a=1", headers=headers)
            self.assertEqual(answer.status, 200)
        self.assertEqual([it.stats()["keys_seen"] for it in self.fleet.targets.values()], [0, 0])

    def test_unknown_key_runs_nothing(self):
        """Fails if a request with an unknown key reaches a target."""
        self.serve()
        before = sum(it.stats()["requests"] for it in self.fleet.targets.values())
        answer = request(self.vm_list()[0].caller_port, "GET", "/read/x", "no-such-key")
        self.assertEqual((answer.status, answer.outcome, answer.code), (401, "not-run", "key-invalid"))
        self.assertEqual(before, sum(it.stats()["requests"] for it in self.fleet.targets.values()))


class WithdrawnKey(FleetTest):
    def test_open_connections_lose_a_withdrawn_key_everywhere(self):
        """Fails if a withdrawn key keeps working on a connection that was open before."""
        self.serve()
        links = [http.client.HTTPConnection(HOST, vm.caller_port, timeout=30) for vm in self.vm_list()]
        for link in links:
            self.assertEqual(request(0, "GET", "/read/x", self.key, connection=link).status, 200)
        identity = self.fleet.show("keys")[0]["id"]
        version = self.fleet.accept(f"withdraw key {identity}")["version"]
        self.fleet.wait_in_force(version)
        for link in links:
            self.assertEqual(request(0, "GET", "/read/x", self.key, connection=link).code, "key-invalid")

    def test_paused_vm_does_not_serve_withdrawn_key(self):
        """Fails if a process that was paused beyond its lease serves requests with its old configuration."""
        self.serve()
        paused = next(it for it in self.vm_list() if not it.voter)
        link = http.client.HTTPConnection(HOST, paused.caller_port, timeout=60)
        self.assertEqual(request(0, "GET", "/read/x", self.key, connection=link).status, 200)
        paused.pause()
        identity = self.fleet.show("keys")[0]["id"]
        version = self.fleet.accept(f"withdraw key {identity}")["version"]
        leader = self.fleet.leader()
        wait_for(lambda: version <= leader.status().get("in_force", 0), "the withdrawal is in force everywhere")
        ran = sum(it.stats()["requests"] for it in self.fleet.targets.values())
        link.request("GET", "/read/x", headers={"Authorization": f"Bearer {self.key}"})
        paused.resume()
        answer = link.getresponse()
        answer.read()
        self.assertIn(answer.status, (401, 503))
        self.assertEqual(ran, sum(it.stats()["requests"] for it in self.fleet.targets.values()))


class AtMostOnce(FleetTest):
    def test_resends_through_every_vm_run_once(self):
        """Fails if a request runs twice when its caller resends it through other VMs, at the same time or later."""
        self.serve("book", "once", "/book", service_ms=100)
        answers = []

        def send(vm):
            answers.append(request(vm.caller_port, "POST", "/book", self.key, "{\"n\":1}", {"Idempotency-Key": "b-1"}))

        threads = [threading.Thread(target=send, args=(vm,)) for vm in self.vm_list() * 2]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        send(self.vm_list()[-1])
        self.assertEqual(answers[-1].status, 200)
        bodies = {it.body for it in answers if it.status == 200}
        self.assertEqual(len(bodies), 1)
        self.assertEqual(sum(it.stats()["ids_run_twice"] for it in self.fleet.targets.values()), 0)
        for answer in answers:
            self.assertTrue(answer.status == 200 or answer.outcome == "unknown", (answer.status, answer.body))

    def test_reused_id_with_another_body_is_an_error(self):
        """Fails if a stored answer is returned for a different request."""
        self.serve("book", "once", "/book")
        headers = {"Idempotency-Key": "b-2"}
        port = self.vm_list()[0].caller_port
        self.assertEqual(request(port, "POST", "/book", self.key, "one", headers).status, 200)
        self.assertEqual(request(port, "POST", "/book", self.key, "two", headers).code, "request-id-reused")

    def test_claimant_killed_in_mid_request(self):
        """Fails if a request runs again after the VM that claimed it has died."""
        self.serve("book", "once", "/book", deadline="10s")
        claimant = next(it for it in self.vm_list() if not it.voter)
        other = next(it for it in self.vm_list() if it is not claimant and not it.voter)
        headers = {"Idempotency-Key": "b-3", "X-Standin-Ms": "1000"}

        def send():
            try:
                request(claimant.caller_port, "POST", "/book", self.key, "{}", headers)
            except (OSError, http.client.HTTPException):
                pass

        def ran():
            return sum(it.stats()["ids"] for it in self.fleet.targets.values())

        before = ran()
        thread = threading.Thread(target=send)
        thread.start()
        wait_for(lambda: ran() > before, "the request runs")
        claimant.kill()
        thread.join()
        answer = request(other.caller_port, "POST", "/book", self.key, "{}", headers, timeout_s=60)
        self.assertEqual(answer.outcome, "unknown", answer.body)
        self.assertEqual(sum(it.stats()["ids_run_twice"] for it in self.fleet.targets.values()), 0)
        self.assertEqual(ran(), before + 1)


class Configuration(FleetTest):
    def test_leader_loss_keeps_accepted_changes(self):
        """Fails if an accepted change is lost with the leader."""
        self.fleet.accept("create customer first rate 10 burst 10 weight 1")
        leader = self.fleet.leader()
        version = leader.status()["version"]
        leader.kill()
        others = [it for it in self.vm_list() if it is not leader]
        wait_for(lambda: any(it.status().get("leads") for it in others if it.voter), "another leader")
        wait_for(lambda: all(it.status().get("lease_valid") for it in others), "leases of the new leader")
        accepted = self.fleet.accept("create customer second rate 10 burst 10 weight 1", vm=others[0])
        self.assertGreater(accepted["version"], version)
        last = others[-1]
        wait_for(lambda: last.status().get("version", 0) >= accepted["version"], "the change is in force there")
        names = {it["name"] for it in self.fleet.show("customers", vm=others[-1])}
        self.assertIn("first", names)

    def test_concurrent_changes_of_one_version_conflict(self):
        """Fails if two concurrent changes that expect the same version are both accepted."""
        created = self.fleet.accept("create customer shop rate 10 burst 10 weight 1")
        self.fleet.wait_in_force(created["version"])
        version = self.fleet.show("customers")[0]["changed"]
        answers = []

        def change(rate, vm):
            answers.append(self.fleet.operate(f"update customer shop rate {rate} expect {version}", f"race-{rate}", vm))

        vms = self.vm_list()
        threads = [threading.Thread(target=change, args=(20 + n, vms[n])) for n in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(it["kind"] for it in answers), ["accepted", "conflict"])
        self.assertIn("race-", next(it["winner"] for it in answers if it["kind"] == "conflict"))

    def test_resent_command_gets_the_first_outcome(self):
        """Fails if a command that is resent with its id is applied twice."""
        first = self.fleet.accept("create customer shop rate 10 burst 10 weight 1", "once-1", self.vm_list()[0])
        again = self.fleet.accept("create customer shop rate 10 burst 10 weight 1", "once-1", self.vm_list()[-1])
        self.assertEqual(first["version"], again["version"])

    def test_restart_of_all_after_many_changes(self):
        """Fails if changes are lost when all processes restart after hundreds of changes."""
        self.fleet.accept("create customer shop rate 1 burst 10 weight 1")
        for number in range(300):
            last = self.fleet.accept(f"update customer shop rate {number + 2}", vm=self.vm_list()[number % 6])
        for vm in self.vm_list():
            vm.kill()
        for vm in self.vm_list():
            vm.start()
        for vm in self.vm_list():
            wait_for(lambda vm=vm: vm.status().get("lease_valid"), f"{vm.name} has a lease")
        self.fleet.wait_in_force(last["version"])
        self.assertEqual(self.fleet.show("customers")[0]["rate"], 301)

    def test_voter_that_lost_its_data_rejoins_with_new_identity(self):
        """Fails if a voter that lost its data votes again under its old identity, or if the group does not survive
        another loss after the repair."""
        self.fleet.accept("create customer shop rate 10 burst 10 weight 1")
        lost = next(it for it in self.fleet.voters() if it is not self.fleet.leader())
        lost.kill()
        shutil.rmtree(lost.data)
        lost.start()
        wait_for(lambda: lost.status().get("voter"), "the new identity is a voter")
        second = next(it for it in self.fleet.voters() if it is not lost)
        second.kill()
        rest = [it for it in self.vm_list() if it is not second]
        wait_for(lambda: all(it.status().get("lease_valid") for it in rest), "leases after the second loss", 90)
        self.assertEqual([it["name"] for it in self.fleet.show("customers", vm=rest[0])], ["shop"])


class CrashingRequest(FleetTest):
    def test_crashing_request_crashes_at_most_two_targets(self):
        """Fails if a request that crashes targets crashes all of them when its caller resends it through every VM."""
        self.serve(targets=4)
        for vm in self.vm_list() * 2:
            request(vm.caller_port, "POST", "/read/x", self.key, "poison", {"X-Standin-Crash": "1"})
        alive = [it for it in self.fleet.targets.values() if it.process.running()]
        self.assertGreaterEqual(len(alive), 2)
        self.assertEqual(request(self.vm_list()[0].caller_port, "GET", "/read/y", self.key).status, 200)


class Targets(FleetTest):
    def test_slots_are_never_exceeded(self):
        """Fails if the VMs together send a target more concurrent requests than it has slots."""
        self.serve(targets=2, slots=3, service_ms=20)
        threads = []

        def send(vm):
            for _ in range(20):
                request(vm.caller_port, "GET", "/read/x", self.key)

        for vm in self.vm_list():
            threads += [threading.Thread(target=send, args=(vm,)) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for target in self.fleet.targets.values():
            self.assertLessEqual(target.stats()["max_in_flight"], 3)

    def test_drained_target_gets_no_requests_and_aborts_none(self):
        """Fails if a drained target still gets requests, or if its drain aborts requests."""
        self.serve(targets=2, service_ms=20)
        stop = threading.Event()
        failures = []

        def send(vm):
            while not stop.is_set():
                answer = request(vm.caller_port, "GET", "/read/x", self.key)
                if answer.status != 200:
                    failures.append((answer.status, answer.body))

        threads = [threading.Thread(target=send, args=(vm,)) for vm in self.vm_list()]
        for thread in threads:
            thread.start()
        self.fleet.accept("drain target read-1 by 60s")
        wait_for(lambda: any(it["state"] == "done" for it in self.fleet.show("drains")), "the drain is done")
        before = self.fleet.targets["read-1"].stats()["requests"]
        other = self.fleet.targets["read-2"].stats()["requests"]
        wait_for(lambda: self.fleet.targets["read-2"].stats()["requests"] > other + 100, "more traffic")
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(before, self.fleet.targets["read-1"].stats()["requests"])
        self.assertEqual(failures, [])


class Shifts(FleetTest):
    callers = [f"10.{number // 16}.{number % 16}.1" for number in range(256)]
    cap_percent = 20
    window_ms = 1000

    def moved(self, vm, region):
        """Returns the callers for whom a lookup at the VM names a VM of the region first."""
        regions = {f"{HOST}:{it.caller_port}": it.region for it in self.vm_list()}
        link = http.client.HTTPConnection(HOST, vm.caller_port, timeout=30)
        found = set()
        for caller in self.callers:
            path = f"/.well-known/briarspar/entry?address={caller}"
            first = json.loads(request(0, "GET", path, connection=link).body)["vms"][0]
            if regions[first["address"]] == region:
                found.add(caller)
        link.close()
        return found

    def shift(self, vm):
        return self.fleet.show("moves", vm=vm)[0]

    def steps_of(self, move):
        """Returns the time and the share in percent of each step, in order of time."""
        return [(it["wall_ms"], it["details"]["share"] / 100) for it in self.fleet.timeline()
                if it["name"] == "MoveStep" and it["details"]["move"] == move]

    def max_moved_callers(self, percent):
        """Returns the upper bound for the callers of the sample that a share moves: the mean plus five standard
        deviations."""
        share = percent / 100
        return len(self.callers) * share + 5 * (len(self.callers) * share * (1 - share)) ** 0.5

    def test_shares_stay_under_the_cap(self):
        """Fails if a shift moves more callers in a window than its cap allows, or is reported as done too early or
        never."""
        self.serve(targets=2)
        vm = next(it for it in self.vm_list() if it.region == "r1" and not it.voter)
        self.assertEqual(self.moved(vm, "r2"), set())
        self.fleet.accept(f"set cap r1 {self.cap_percent}% per {self.window_ms}ms")
        move = self.fleet.accept("shift r1 to r2 40% by 1h")["subject"]
        wait_for(lambda: self.fleet.show("moves", vm=vm), "the shift is in force")
        earlier = set()
        shares = set()

        def done():
            nonlocal earlier
            moved = self.moved(vm, "r2")
            # The share only rises and is read after the lookups, so it is an upper bound for them.
            shift = self.shift(vm)
            shares.add(shift["percent"])
            self.assertLessEqual(len(moved), self.max_moved_callers(shift["percent"]))
            self.assertLessEqual(earlier, moved, "a caller was directed back to its old region")
            earlier = moved
            return shift["state"] == "done"

        wait_for(done, "the shift is done", 300)
        self.assertEqual(max(shares), 40)
        self.assertGreater(len(earlier), len(self.callers) - self.max_moved_callers(60))
        self.check_steps([(0, 0), *self.steps_of(move)])

    def check_steps(self, steps):
        rises = [(steps[n][0], steps[n][1] - steps[n - 1][1]) for n in range(1, len(steps))]
        self.assertGreaterEqual(len(rises), 2)
        for start, _ in rises:
            within = sum(rise for at, rise in rises if start <= at < start + self.window_ms)
            self.assertLessEqual(within, self.cap_percent)


class VersionMoves(FleetTest):
    def test_bad_version_is_rolled_back(self):
        """Fails if a version that fails its requests keeps its share or gets a larger one."""
        self.serve(targets=2)
        last = self.fleet.add_target("read-bad", "read", "v2", "r3", "r3-d1", options=("--fail-permille", "1000"))
        self.fleet.wait_in_force(last["version"])
        bad = self.fleet.targets["read-bad"]
        stop = threading.Event()
        answers = []

        def send(vm):
            while not stop.is_set():
                answers.append(request(vm.caller_port, "GET", "/read/x", self.key).status)

        self.assertEqual(bad.stats()["requests"], 0)
        self.fleet.wait_in_force(self.fleet.accept("move route read to version v2 by 10m")["version"])
        threads = [threading.Thread(target=send, args=(vm,)) for vm in self.vm_list()]
        for thread in threads:
            thread.start()
        try:
            shares = set()

            def ended():
                move = self.fleet.show("moves")[0]
                shares.add(move["percent"])
                return move if move["state"] in ("done", "taken-back") else None

            move = wait_for(ended, "the move ends", 300)
            self.fleet.wait_in_force()
            before = bad.stats()["requests"]
            count = len(answers)
            wait_for(lambda: len(answers) > count + 200, "more traffic")
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        self.assertEqual(move["state"], "taken-back", move)
        self.assertGreater(before, 0)
        self.assertLessEqual(max(shares), 2)
        self.assertEqual(self.fleet.show("routes")[0]["version"], "v1")
        self.assertEqual(bad.stats()["requests"], before)


class PlannedStop(FleetTest):
    def test_stop_under_load_aborts_no_request(self):
        """Fails if a planned stop of a VM aborts requests."""
        self.serve(service_ms=50)
        leaving = next(it for it in self.vm_list() if not it.voter)
        stop = threading.Event()
        failures = []
        served = []

        def send():
            while not stop.is_set():
                try:
                    answer = request(leaving.caller_port, "GET", "/read/x", self.key)
                except ConnectionRefusedError:
                    return
                except (OSError, http.client.HTTPException) as error:
                    failures.append(repr(error))
                    return
                if answer.status == 200:
                    served.append(1)
                elif answer.outcome != "not-run":
                    failures.append((answer.status, answer.body))

        threads = [threading.Thread(target=send) for _ in range(4)]
        for thread in threads:
            thread.start()
        wait_for(lambda: len(served) > 20, "traffic")
        leaving.process.send(signal.SIGTERM)
        leaving.process.child.wait(timeout=120)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(failures, [])
        self.assertEqual(leaving.process.child.returncode, 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
