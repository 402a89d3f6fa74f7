"""Faults from outside and changes by the operator: planned from a seed, then played as tasks that overlap."""
import asyncio
import random
import signal

from configuration import KEYS, SERVICES
from fleet import BOUNDS

GRACE_S = BOUNDS["GraceS"]
DRAIN_S = BOUNDS["DrainMs"] / 1000
APPLY_S = BOUNDS["ApplyMs"] / 1000

# Weights of the kinds of a run. `planned` has no unplanned disruption, so that lost answers count.
SHAPES = {
    "targets": {"restart_target": 8, "crash_target": 2, "drain_target": 1, "reuse_address": 2, "reset_target": 1,
                "cut_link": 2, "silence_link": 1, "trickle_link": 1},
    "addresses": {"restart_target": 6, "reuse_address": 2, "crash_target": 1},
    "planned": {"term_entry": 4, "hup_entry": 2, "term_control": 1, "hup_control": 1, "restart_target": 4, "drain_target": 2,
                "move_route": 2, "split_route": 1, "change_timeout": 1, "change_keys": 1},
    "mixed": {"term_entry": 3, "kill_entry": 2, "freeze_entry": 2, "hup_entry": 2, "term_control": 1, "kill_control": 1,
              "freeze_control": 1, "hup_control": 1, "restart_target": 6, "crash_target": 2, "drain_target": 1,
              "reuse_address": 2, "reset_target": 2, "silence_target": 1, "cut_link": 3, "silence_link": 2,
              "trickle_link": 1, "move_route": 2, "split_route": 1,
              "change_timeout": 1, "change_keys": 1},
    "restarts": {"fall_target": 6, "reset_target": 3, "restart_target": 1, "crash_target": 1, "silence_target": 1, "cut_link": 1,
                 "silence_link": 1, "kill_entry": 1, "freeze_entry": 1, "term_entry": 1, "kill_control": 1, "split_route": 1},
}


class Fault:
    """One event of the plan: its time, its kind, and a seed for its own choices."""

    def __init__(self, at, kind, seed):
        self.at, self.kind, self.seed = at, kind, seed

    def __str__(self):
        return f"{self.at:.3f} {self.kind}"


def plan(seed, shape, seconds, gap):
    """Returns the faults of a run, the same for the same arguments."""
    rng = random.Random(f"{seed}/faults")
    kinds = SHAPES[shape]
    faults, at = [], 0.5
    while (at := at + rng.expovariate(1 / gap)) < seconds - 2.0:
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        faults.append(Fault(at, kind, rng.random()))
        if kind == "fall_target":  # Others fall while the first one is down or cold.
            faults += [Fault(at + rng.uniform(0, 3), kind, rng.random()) for _ in range(rng.randrange(1, 4))]
    return sorted(faults, key=lambda it: it.at)


class Injector:
    """Plays a plan. A fault whose machine or target is already disturbed is left out and noted."""

    def __init__(self, fleet, operator, targets, timeline):
        self.fleet, self.operator, self.targets, self.timeline = fleet, operator, targets, timeline
        self.busy = set()
        self.played = 0

    async def run(self, faults):
        tasks = []
        for it in faults:
            await asyncio.sleep(max(0.0, it.at - self.timeline.now()))
            tasks.append(asyncio.create_task(self.play(it)))
        await asyncio.gather(*tasks)

    async def play(self, fault):
        rng = random.Random(fault.seed)
        action, _, kind = fault.kind.partition("_")
        if kind in ("entry", "control"):
            subject = rng.choice(self.fleet.entries if kind == "entry" else self.fleet.controls)
        elif kind in ("target", "address"):
            subject = rng.choice(self.targets)
        elif kind == "link":
            subject = rng.choice([it for it in self.targets if it.link is not None])
        else:
            subject = "operator"
        controls = sum(it in self.busy for it in self.fleet.controls)
        too_many = kind == "control" and controls >= (len(self.fleet.controls) - 1) // 2
        if subject in self.busy or too_many:
            self.timeline("left out", fault)
            return
        self.timeline("fault", fault, "at", getattr(subject, "address", subject))
        self.busy.add(subject)
        self.played += 1
        try:
            await getattr(self, fault.kind if kind not in ("entry", "control") else action)(subject, rng)
        finally:
            self.busy.discard(subject)

    async def restart(self, vm, rng):
        if not await vm.wait(GRACE_S):
            vm.send(signal.SIGKILL)
            await vm.wait(5)
        await asyncio.sleep(rng.uniform(0, 1))
        vm.start()

    async def term(self, vm, rng):
        now = self.timeline.now()
        self.fleet.plan(vm.address, now, now + GRACE_S + 1)
        vm.send(signal.SIGTERM)
        await self.restart(vm, rng)

    async def kill(self, vm, rng):
        vm.send(signal.SIGKILL)
        self.fleet.disturb(self.timeline.now(), self.timeline.now())
        await self.restart(vm, rng)
        self.fleet.disturb(self.timeline.now(), self.timeline.now())

    async def freeze(self, vm, rng):
        start = self.timeline.now()
        seconds = rng.choice([0.1, 0.5, 1.5, 3.0])
        self.fleet.disturb(start, start + seconds)
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        vm.send(signal.SIGCONT)
        self.fleet.disturb(start, self.timeline.now())

    async def hup(self, vm, rng):
        del rng
        now = self.timeline.now()
        self.fleet.plan(vm.address, now, now + APPLY_S)
        vm.send(signal.SIGHUP)

    async def restart_target(self, target, rng):
        """A new process at the same address, while the row of the old one stays on the list for a while."""
        self.fleet.list.keep_old_row(self.fleet.list.row(target), rng.uniform(1, 5))
        target.restart()

    async def crash_target(self, target, rng):
        """Nothing listens for a while, and the list names the old process until after the new one has started."""
        row = self.fleet.list.row(target)
        await target.stop()
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        target.restart()
        self.fleet.list.keep_old_row(row, rng.uniform(0.5, 4))
        await target.start()

    async def fall_target(self, target, rng):
        """The process ends and starts again under its id, mostly before the list shows anything of it."""
        seconds = 0.05 * 100 ** rng.random()
        self.timeline("falls", target.id, f"for {seconds:.3f} s")
        await target.stop()
        await asyncio.sleep(seconds)
        await target.start_again()

    async def drain_target(self, target, rng):
        target.state = "draining"
        await asyncio.sleep(DRAIN_S + rng.uniform(0.3, 1))
        target.restart()

    async def reuse_address(self, target, rng):
        """A target of another service starts at the address, while the row of the old one stays on the list."""
        if sum(it.service == target.service for it in self.targets) > 2:
            self.fleet.list.keep_old_row(self.fleet.list.row(target), rng.uniform(1, 5))
            target.restart(rng.choice([it for it in SERVICES if it != target.service]))

    async def reset_target(self, target, rng):
        del rng
        target.reset_connections()

    async def silence_target(self, target, rng):
        target.silent_until = asyncio.get_running_loop().time() + rng.uniform(0.2, 2)

    async def cut_link(self, target, rng):
        """All connections are reset after some bytes more of answers."""
        target.disturb_link(1)
        target.link.cut_after = rng.randrange(1, 2000)
        await asyncio.sleep(1)

    async def silence_link(self, target, rng):
        seconds = rng.uniform(0.2, 2)
        target.disturb_link(seconds + 1)
        target.link.silent[rng.choice(["to", "from"])] = asyncio.get_running_loop().time() + seconds
        await asyncio.sleep(seconds)

    async def trickle_link(self, target, rng):
        seconds = rng.uniform(0.5, 2)
        target.disturb_link(seconds + 1)
        target.link.trickles_until = asyncio.get_running_loop().time() + seconds
        await asyncio.sleep(seconds)

    async def move_route(self, _, rng):
        await self.operator.change_route(rng.choice(list(self.operator.routes)), Service=rng.choice(SERVICES))

    async def split_route(self, _, rng):
        services = rng.sample(SERVICES, 2)
        await self.operator.change_route(rng.choice(list(self.operator.routes)), TrafficSplit=[
            {"Service": services[0], "Weight": 70}, {"Service": services[1], "Weight": 30}])

    async def change_timeout(self, _, rng):
        await self.operator.change_route(rng.choice(list(self.operator.routes)), TimeoutMs=rng.choice([1500, 2500, 4000]))

    async def change_keys(self, _, rng):
        await self.operator.change_keys([KEYS[0]] + [it for it in KEYS[1:] if rng.random() < 0.5])
