"""Runs a drain and a version move on a small fleet under load and prints the events in order of time."""

import subprocess
import tempfile
import threading

from fleet import BUILD, HOST, OPERATOR_KEY, Fleet, request, wait_for

SHOWN_EVENTS = {
    "ProcessStarted", "BecameLeader", "LeaseGained", "LeaseLost", "MoveStep", "MoveDone", "MoveTakenBack",
    "VmStateChanged", "ProcessStopping",
}


class Callers:
    """Threads that send requests for each customer until they are stopped."""

    def __init__(self, fleet, keys):
        self.fleet = fleet
        self.counts = {}
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(name, key, number))
            for name, key in keys.items() for number in range(3)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, name, key, number):
        vms = list(self.fleet.vms.values())
        sent = 0
        while not self.stopping.is_set():
            vm = vms[(number + sent) % len(vms)]
            headers = {"Idempotency-Key": f"{name}-{number}-{sent}"}
            method, path = ("POST", "/bookings/new") if sent % 10 == 0 else ("GET", "/closures/m1")
            answer = request(vm.caller_port, method, path, key, "{}" if method == "POST" else None, headers)
            result = (name, path, answer.status, answer.outcome)
            self.counts[result] = self.counts.get(result, 0) + 1
            sent += 1
            self.stopping.wait(0.01)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def ctl(fleet, folder, *statement):
    key_file = folder / "operator.key"
    key_file.write_text(OPERATOR_KEY)
    vm = fleet.any_vm()
    command = [str(BUILD / "src/briarsparctl"), "--server", f"{HOST}:{vm.operator_port}",
               "--key-file", str(key_file), *statement]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    print(f"$ briarsparctl {' '.join(statement)}\n{done.stdout}{done.stderr}", end="")
    return done.returncode


def set_up(fleet, folder):
    ctl(fleet, folder, "create customer crews rate 400 burst 200 weight 1")
    ctl(fleet, folder, "create customer depots rate 200 burst 100 weight 1")
    keys = {name: fleet.accept(f"create key for {name}")["key"] for name in ("crews", "depots")}
    ctl(fleet, folder, "create route closures path /closures keyed idempotent deadline 5s")
    ctl(fleet, folder, "create route bookings path /bookings keyed once deadline 10s")
    for number in range(3):
        region = f"r{number + 1}"
        fleet.add_target(f"closures-{number + 1}", "closures", region=region, domain=f"{region}-d1")
        fleet.add_target(f"bookings-{number + 1}", "bookings", region=region, domain=f"{region}-d1")
        last = fleet.add_target(f"closures-new-{number + 1}", "closures", version="v2", region=region, domain=f"{region}-d1")
    fleet.wait_in_force(last["version"])
    return keys


def print_timeline(events):
    print("\ntime line")
    start = events[0]["wall_ms"]
    for event in events:
        if event["name"] in SHOWN_EVENTS:
            print(f"{event['wall_ms'] - start:8d} ms  {event['vm']:10s} {event['event']:5d} {event['name']:16s} {event['details']}")


def main():
    with tempfile.TemporaryDirectory(prefix="briarspar-demo-") as name:
        with Fleet(name, vms_per_domain=1) as fleet:
            keys = set_up(fleet, fleet.folder)
            callers = Callers(fleet, keys)
            ctl(fleet, fleet.folder, "drain target closures-2 by 60s")
            wait_for(lambda: any(it["state"] == "done" for it in fleet.show("drains")), "the drain is done")
            ctl(fleet, fleet.folder, "show drains")
            ctl(fleet, fleet.folder, "move route closures to version v2 by 120s")
            wait_for(lambda: any(it["state"] in ("done", "taken-back") for it in fleet.show("moves")),
                     "the move has ended", 180)
            ctl(fleet, fleet.folder, "show moves")
            callers.stop()
            print("\nrequests")
            for result, count in sorted(callers.counts.items()):
                print(f"{count:7d}  {' '.join(str(it) for it in result)}")
            print_timeline(fleet.timeline())


if __name__ == "__main__":
    main()
