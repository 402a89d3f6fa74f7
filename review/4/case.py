"""A control VM is down for some seconds while another one is replaced; later two of the five control VMs lose their disks."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins  # noqa: E402

DOWN_S = 7.0  # As long as the bench keeps killed control VMs down on this site.
SETTLE_S = 14.0  # The successor and the VM that was down have had RecoveryS (4 s) by then.
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
            cut, old = fleet.controls[3], fleet.controls[4]
            cut.kill(signal.SIGKILL)  # Down; its disk is kept.
            await asyncio.sleep(1.0)
            old.kill()  # Gone for good.
            await asyncio.sleep(1.0)
            fleet.controls[4] = fleet.add("control", old.zone, old.region)
            fleet.controls[4].start()
            await asyncio.sleep(DOWN_S - 2.0)
            cut.start()
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
