#!/usr/bin/env python3
"""Randomized fault soak with real processes: callers, targets, list and operator are stand-ins, the faults follow a seed.

    tests/soak/soak.py --binary build/src/briarspard --seeds 1-50 --seconds 15

prints one line a seed. A seed that breaks a rule keeps its folder with the plan of its faults, timeline and logs.
"""
import argparse
import asyncio
import collections
import concurrent.futures
import pathlib
import random
import shutil
import sys
import tempfile
import traceback

from callers import Caller
from checker import Checker
from configuration import SERVICES, Operator
from faults import SHAPES, Injector, plan
from fleet import BOUNDS, ZONES, CannotRun, Fleet
from targets import Target
from timeline import Timeline

SETTLE_S = 1.0  # Time for the last requests to end or run late.


class Shape:
    """Size and character of a run."""

    def __init__(self, faults, controls, entries, targets, callers, think, gap, popular=0.0, cold_s=0.0, cold_per_s=1000.0):
        self.faults, self.controls, self.entries, self.targets = faults, controls, entries, targets
        self.callers, self.think, self.gap = callers, think, gap
        self.popular, self.cold_s, self.cold_per_s = popular, cold_s, cold_per_s


def shape_of(seed, name):
    """Returns the shape called `name`; `any` lets the seed choose."""
    rng = random.Random(f"{seed}/shape")
    if name == "large":
        return Shape("mixed", 5, 12, 18, 70, 0.2, 0.3)
    faults = rng.choice(list(SHAPES)) if name == "any" else name
    if faults == "addresses":
        return Shape(faults, 3, 4, 9, 40, 0.08, 0.1)
    if faults == "restarts":  # A warm target gets more than a cold one may, that of the popular object several times as much.
        return Shape(faults, 3, rng.choice([4, 8]), 9, 40, 0.08, 0.5, popular=0.3, cold_s=3.0, cold_per_s=8.0)
    return Shape(faults, 5 if rng.random() < 0.5 else 3, rng.choice([2, 4]), 9, rng.choice([20, 40]),
                 rng.choice([0.08, 0.15]), rng.choice([0.25, 0.5, 1.0]))


class Run:
    """One seed: sets the fleet up, plays the faults under load, and judges."""

    def __init__(self, seed, options, folder):
        self.seed, self.options, self.folder = seed, options, folder
        self.shape = shape_of(seed, options.shape)
        self.timeline = Timeline(folder / "timeline.txt")
        self.counts = collections.Counter()
        rng = random.Random(f"{seed}/run")
        self.fleet = Fleet(options.binary, folder, self.timeline, self.shape.controls, self.shape.entries, self.shape.targets)
        self.operator = Operator(self.fleet, self.timeline, rng.choice([0, 0, 2000, 150]),
                                 self.shape.cold_s, self.shape.cold_per_s)
        self.checker = Checker(self.timeline, self.operator.allowed, self.fleet.planned_between, self.fleet.disturbed_between)
        zones = list(ZONES)[:3]  # One of each region, each with targets of every service.
        self.targets = [Target(self.fleet.target_address(n), SERVICES[n % 3], zones[n // 3 % 3], seed,
                               self.checker, self.counts, self.fleet.hidden_address(n) if n % 3 == n // 3 % 3 else None,
                               cold_s=self.shape.cold_s)
                        for n in range(self.shape.targets)]
        self.fleet.list.targets = self.targets
        self.callers = [Caller(n + 1, seed, self.fleet, self.operator, self.checker, self.shape.think, self.shape.popular)
                        for n in range(self.shape.callers)]
        self.faults = plan(seed, self.shape.faults, options.seconds, self.shape.gap)
        (folder / "plan.txt").write_text("".join(f"{it}\n" for it in self.faults))

    async def play(self):
        try:
            await self.load_and_judge()
        finally:
            self.fleet.close()
            await asyncio.sleep(0.1)  # The stand-ins see their connections end.

    async def load_and_judge(self):
        for it in self.targets:
            await it.start()
            if it.link is not None:
                await it.link.start()
        await self.fleet.start()
        first = self.operator.first()
        if await self.operator.accept(first, *first["Upsert"]["Tenants"], *first["Upsert"]["Hosts"][0]["Paths"]) is None:
            raise CannotRun("the first configuration was not accepted")
        await self.fleet.await_serving()
        await asyncio.sleep(0.5)
        self.timeline("load begins")
        self.timeline.start += self.timeline.now()
        injector = Injector(self.fleet, self.operator, self.targets, self.timeline)
        tasks = [asyncio.create_task(it.run()) for it in self.callers]
        await injector.run(self.faults)
        await asyncio.sleep(max(0.0, self.options.seconds - self.timeline.now()))
        for it in self.callers:
            it.stopping = True
        done, pending = await asyncio.wait(tasks, timeout=6)
        for it in pending:
            it.cancel()
        for it in done:
            it.result()
        await asyncio.sleep(SETTLE_S)
        self.checker.check_denied()
        self.checker.check_cold(BOUNDS["ColdExcess"] * self.shape.cold_per_s + BOUNDS["ColdSlack"])
        self.checker.check_replaced()
        for it in await self.operator.read_back():
            self.checker.violate("CONFIG", "-", it)
        for it in self.fleet.vms:
            if it.ended_by_itself():
                self.checker.violate("Fault", "-", f"{it.role} {it.address} ended by itself with {it.process.returncode}")
        self.counts["faults"] = injector.played

    def served(self):
        return self.checker.counts["status 200"]

    def summary(self):
        counts, seen = self.counts, self.checker.counts
        copies = ", ".join(f"{name[5:]} {n}" for name, n in sorted(counts.items()) if name.startswith("copy "))
        refusals = ", ".join(f"{name[8:]} {n}" for name, n in sorted(counts.items()) if name.startswith("refusal "))
        answers = ", ".join(f"{name[7:]} {n}" for name, n in sorted(seen.items()) if name.startswith("status "))
        rules = collections.Counter(it.rule for it in self.checker.violations)
        verdict = ", ".join(f"{rule} {n}" for rule, n in sorted(rules.items())) or "held"
        if not self.checker.violations and not self.served():
            verdict = "NOTHING SERVED"
        return (f"seed {self.seed}: {self.shape.faults}, {self.shape.controls}+{self.shape.entries} VMs, "
                f"{seen['requests']} requests, {seen['runs']} runs, {counts['faults']} faults; answers {answers}; "
                f"none {seen['no answer']}, given up {seen['given up']}; refusals of targets {refusals}; "
                f"copies {copies}; starts under the same id {counts['starts under the same id']}, "
                f"most in a cold second {seen['most in a cold second']}; verdict: {verdict}")


def play_seed(seed, options):
    """Plays one seed. Returns (line, rules that were broken or None if the run could not be set up)."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"briarspar-soak-{seed}-", dir=options.keep))
    run, error = None, None
    try:
        run = Run(seed, options, folder)
        asyncio.run(asyncio.wait_for(run.play(), options.seconds + 90))
    except Exception as it:  # Whatever else goes wrong is no verdict about the rules.
        (folder / "error.txt").write_text(traceback.format_exc())
        error = f"{type(it).__name__}: {it}"
    finally:
        if run is not None:
            run.fleet.close()
            run.timeline.close()
    line = run.summary() if run is not None else f"seed {seed}"
    rules = [it.rule for it in run.checker.violations] if run is not None else []
    if error:
        line += f" (DID NOT FINISH: {error})"
    elif not run.served():
        rules.append("NOTHING SERVED")
    if rules or error:
        shown = "".join(f"\n    {it}" for it in run.checker.violations[:8]) if run is not None else ""
        line += f"{shown}\n    kept: {folder}"
        (folder / "summary.txt").write_text(line + "\n")
    elif not options.keep_all:
        shutil.rmtree(folder, ignore_errors=True)
    return line, None if error and not rules else rules


def parse_seeds(text):
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binary", required=True, type=pathlib.Path, help="the daemon")
    parser.add_argument("--seeds", default="1", type=parse_seeds, help="N or A-B")
    parser.add_argument("--seconds", default=15.0, type=float, help="time of load and faults for each seed")
    parser.add_argument("--shape", default="any", choices=["any", "large", *SHAPES])
    parser.add_argument("--parallel", default=1, type=int, help="seeds at a time")
    parser.add_argument("--keep", default=None, help="folder for the folders of failed seeds")
    parser.add_argument("--keep-all", action="store_true", help="keep the folders of all seeds")
    options = parser.parse_args()
    options.binary = options.binary.resolve()
    if options.keep:
        pathlib.Path(options.keep).mkdir(parents=True, exist_ok=True)
    total, unfinished = collections.Counter(), 0
    with concurrent.futures.ProcessPoolExecutor(options.parallel) as pool:
        for line, rules in pool.map(play_seed, options.seeds, [options] * len(options.seeds)):
            print(line, flush=True)
            unfinished += rules is None
            total.update(rules or [])
    rules = ", ".join(f"{rule} {n}" for rule, n in sorted(total.items())) or "none"
    print(f"{len(options.seeds)} seeds, {unfinished} did not finish, rules broken: {rules}")
    sys.exit(1 if total else 2 if unfinished else 0)


if __name__ == "__main__":
    main()
