"""Two control VMs are replaced within seconds; later two of the five control VMs lose their disks."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins  # noqa: E402

REPLACE_GAP_S = 2.0
SETTLE_S = 14.0  # Both successors have had RecoveryS (4 s) by then.
READ_BACK_S = 30.0  # RecoverS (15 s) and as long again.


async def case(record):
    fleet = standins.Fleet(record, controls=5, entries=1)
    try:
        fleet.add_worker("lookups", lambda _: 0.1)
        await fleet.start()
        first = standins.configuration(["lookups"], [standins.route("lookup", "lookups", "safe", 7)])
        if await fleet.order("PATCH", "/-/config", first) is None:
            raise standins.CannotRun("the first configuration was not accepted")
        await fleet.await_serving()
        await asyncio.sleep(6)  # All five control VMs have joined the group.
        if standins.trouble():
            for old in fleet.controls[3:5]:
                old.kill()  # Gone for good.
                await asyncio.sleep(1.0)
                new = fleet.add("control", old.zone, old.region)
                new.start()
                fleet.controls[fleet.controls.index(old)] = new
                await asyncio.sleep(REPLACE_GAP_S - 1.0)
        await asyncio.sleep(SETTLE_S)
        change = {"Upsert": {"Hosts": [standins.route("late", "lookups", "safe", 9)]}, "Remove": {"Routes": []}}
        if await fleet.order("PATCH", "/-/config", change) is None:
            raise standins.CannotRun("the change was not acknowledged")
        # Two disks are lost at once, as FaultTolerance (Machines: 2) allows.
        for vm in fleet.controls[1:3]:
            vm.kill()
            vm.wipe()
        await asyncio.sleep(1.1)
        for vm in fleet.controls[1:3]:
            vm.start()
        start = time.monotonic()
        answer = await fleet.order("GET", "/-/config", limit=READ_BACK_S)
        if answer is None:
            return [f"read back for {READ_BACK_S:.0f} s after all VMs were back: no configuration; version 9 was acknowledged"]
        record("read back after", f"{time.monotonic() - start:.1f} s")
        if b'"late"' not in answer[1]:
            return ["the acknowledged route is missing in the configuration that was read back"]
        return []
    finally:
        fleet.close()


standins.run(case, FOLDER)
