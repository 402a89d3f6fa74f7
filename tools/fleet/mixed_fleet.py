"""Runs the new build on settings and data of the old one, then daemons of both builds in one fleet. The daemons have no
role setting. Fails if one build writes a message or a stored field that the other cannot read."""

import json
import pathlib
import signal
import sys
import tempfile

from fleet import Fleet, request, wait_for

# Log events that report data of another daemon or an earlier run that could not be read.
UNREADABLE = {"PeerMessageRejected", "StorageFailed", "SettingsInvalid"}


def serve_everywhere(fleet, key, tag):
    """Sends an at-most-once request through every VM and checks that resending it does not run it again."""
    for vm in fleet.vms.values():
        headers = {"Idempotency-Key": f"{tag}-{vm.name}"}
        wait_for(lambda vm=vm, headers=headers: request(
            vm.caller_port, "POST", "/book", key, "{}", headers).status == 200, f"{vm.name} serves ({tag})")
    runs = sum(it.stats()["requests"] for it in fleet.targets.values())
    for vm in fleet.vms.values():
        answer = request(vm.caller_port, "POST", "/book", key, "{}", {"Idempotency-Key": f"{tag}-{vm.name}"})
        if answer.status != 200:
            raise AssertionError(f"{vm.name} answered a resent request with status {answer.status} ({tag})")
    if sum(it.stats()["requests"] for it in fleet.targets.values()) != runs:
        raise AssertionError(f"a resent request ran again ({tag})")


def change(fleet, tag):
    """Submits a command and waits until every VM has applied it."""
    fleet.wait_in_force(fleet.accept(f"create customer {tag} rate 100 burst 100 weight 1")["version"])


def check_logs(fleet):
    for vm in fleet.vms.values():
        log = (fleet.folder / f"{vm.name}.log").read_text(errors="replace")
        for line in log.splitlines():
            if line.startswith("{") and json.loads(line).get("name") in UNREADABLE:
                raise AssertionError(f"{vm.name} ({vm.program}): {line}")


def begin(fleet):
    key = fleet.create_customer("shop")
    fleet.accept("create route book path /book keyed once deadline 5s")
    for number, region in enumerate(("r1", "r2", "r3")):
        version = fleet.add_target(f"book-{number + 1}", "book", region=region, domain=f"{region}-d1")["version"]
    fleet.wait_in_force(version)
    return key


def mixed(folder, name, first, second):
    """Runs VMs of both builds alternately, and restarts leaders until each build has led."""
    fleet = Fleet(folder, vms_per_domain=1)
    for number, vm in enumerate(fleet.vms.values()):
        vm.program = (first, second)[number // 2 % 2 if vm.voter else number % 2]
    with fleet:
        key = begin(fleet)
        led = set()
        while len(led) < 2:
            leader = fleet.leader()
            change(fleet, f"c{len(led)}-{leader.name}-{len(fleet.show('customers'))}")
            serve_everywhere(fleet, key, f"{leader.name}-{len(fleet.show('customers'))}")
            led.add(leader.program)
            print(f"{name}: {leader.name} of {leader.program} leads; command in force everywhere, every VM serves",
                  flush=True)
            leader.kill()
            wait_for(lambda: any(it is not leader and it.status().get("leads") for it in fleet.voters()),
                     "another voter leads")
            leader.start()
            wait_for(lambda: leader.status().get("lease_valid"), f"{leader.name} has a lease again")
        check_logs(fleet)


def upgrade(folder, old, new):
    fleet = Fleet(folder, vms_per_domain=1)
    for vm in fleet.vms.values():
        vm.program = old
    with fleet:
        key = begin(fleet)
        serve_everywhere(fleet, key, "old")
        tables = {it: fleet.show(it) for it in ("customers", "keys", "routes", "targets")}
        for vm in fleet.vms.values():
            vm.process.end(signal.SIGTERM)
            vm.program = new
        for vm in fleet.vms.values():
            vm.start()
        for vm in fleet.vms.values():
            wait_for(lambda vm=vm: vm.status().get("lease_valid"), f"{vm.name} has a lease")
        for it, rows in tables.items():
            if fleet.show(it) != rows:
                raise AssertionError(f"the upgrade changed the {it}: {rows} became {fleet.show(it)}")
        serve_everywhere(fleet, key, "new")
        change(fleet, "after")
        check_logs(fleet)
    print("upgrade without a role: tables of the old build read back, served and changed by the new one")


def main():
    old, new = (pathlib.Path(it).resolve() / "src/briarspard" for it in sys.argv[1:3])
    for run in (lambda it: upgrade(it, old, new), lambda it: mixed(it, "old first", old, new),
                lambda it: mixed(it, "new first", new, old)):
        with tempfile.TemporaryDirectory(prefix="briarspar-mixed-") as folder:
            run(pathlib.Path(folder))


if __name__ == "__main__":
    main()
