"""Base class of the tests with real processes: a fleet on loopback and helpers to serve one route."""

import http.client
import pathlib
import shutil
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "tools/fleet"))

from fleet import HOST, Fleet, request, wait_for  # noqa: E402, F401


class FleetTest(unittest.TestCase):
    vms_per_domain = 1
    linked = False

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="briarspar-fleet-"))
        self.fleet = Fleet(self.folder, self.vms_per_domain, linked=self.linked)
        self.fleet.__enter__()
        self.addCleanup(self.clean)

    def clean(self):
        self.fleet.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def serve(self, route="read", semantics="idempotent", path="/read", targets=2, deadline="5s", **options):
        """Creates a customer, a route and targets, and waits until a request succeeds at every VM."""
        self.key = self.fleet.create_customer("shop")
        self.fleet.accept(f"create route {route} path {path} keyed {semantics} deadline {deadline}")
        for number in range(targets):
            region = f"r{number % 3 + 1}"
            last = self.fleet.add_target(f"{route}-{number + 1}", route, region=region, domain=f"{region}-d1", **options)
        self.fleet.wait_in_force(last["version"])
        for vm in self.fleet.vms.values():
            identity = {"Idempotency-Key": f"warm-{vm.name}"}
            wait_for(lambda vm=vm: request(vm.caller_port, "POST", path, self.key, "{}", identity).status == 200,
                     f"{vm.name} serves {path}")

    def vm_list(self):
        return list(self.fleet.vms.values())

    def total(self, statistic):
        """Returns the sum of a statistic over the running targets."""
        return sum(it.stats()[statistic] for it in self.fleet.targets.values() if it.process.running())

    def in_background(self, call):
        """Runs a call in a thread and ignores the loss of its connection."""
        def run():
            try:
                call()
            except (OSError, http.client.HTTPException):
                pass

        thread = threading.Thread(target=run)
        thread.start()
        return thread
