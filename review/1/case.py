"""Core machines are replaced, and then as many disks are lost as may be at once.

Five core machines, of which two may be lost at once; the same events as in
day.toml. One is gone for good, and an empty one comes 1 s later at another
address. A second one is renewed as planned: the new one first, then SIGTERM.
Both new ones have had `catchUpS` when the old one gets SIGTERM. Then the leader
is stopped and started again as planned. Some 12 s after the renewal, right after
a manifest was acknowledged, two others lose their disks.

VARIANT=disks: the same without the restart of the leader; the disks are lost
RESTED_S after the old machine has gone.
VARIANT=renew: planned work alone. Three core machines, of which one may be lost
at once. Three empty ones start, one after the other; each has longer than
`catchUpS` before the next. When all of them have had that time, the three old
ones get SIGTERM, one after the other, GAP s apart, and are gone for good.
Nothing is lost.
VARIANT=disk: of three core machines one is renewed so, and just after the old
one has gone, the machine that acknowledged a manifest loses its disk.
ONLY=replace and ONLY=wipe do one of the two alone; all of these hold.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import bed as lib  # noqa: E402

VARIANT = os.environ.get("VARIANT", "later")
ONLY = os.environ.get("ONLY", "")
SMALL = VARIANT in ("renew", "disk")
# Bounds of the site: dorado-taller with three core machines, jaldhara-loft-grown
# with five.
CATCH_UP_S = 4.0 if SMALL else 6.0
RECOVER_S = 12.0 if SMALL else 15.0
ASKED_S = 16.0      # `finish_s` is 14 s
NEW_BEFORE_S = 5.0  # SMALL: from the start of a new one to the next order
RESTED_S = 1.0      # VARIANT=disks: from the old machine's end to the loss
GAP_S = float(os.environ.get("GAP", "0.5"))  # SMALL: between orders
DOWN_S = 1.0
ID = "5c0e7a21d94b3710"


async def renew(bed):
    old = list(bed.cores)
    for i in range(3):
        bed.add_core(13 + i, lib.ZONES[i])
        await asyncio.sleep(NEW_BEFORE_S)
    bed.cores = [13, 14, 15]
    for nr in old:
        await bed.stop_core(nr)
        await asyncio.sleep(GAP_S)
    bed.set_seeds([bed.control_address(nr) for nr in bed.cores])
    return 2


async def lose_disk(bed):
    if ONLY != "wipe":
        await bed.replace_core(0, 13, NEW_BEFORE_S)
        bed.set_seeds([bed.control_address(nr) for nr in bed.cores])
        await asyncio.sleep(GAP_S)
    if not await bed.config(3):
        raise lib.Skip("the manifest wasn't acknowledged")
    if ONLY != "replace":
        await bed.wipe_core(bed.answered_by, DOWN_S)
    return 3


async def replace_two(bed):
    """One core machine is gone for good, another one is renewed as planned."""
    began = bed.record.now()
    bed.processes["core-14"].signal(9)
    bed.processes["core-14"].popen.wait()
    await asyncio.sleep(1.0)
    bed.add_core(15, lib.ZONES[1])
    await asyncio.sleep(0.3)
    bed.add_core(16, lib.ZONES[0])
    await asyncio.sleep(CATCH_UP_S)
    await bed.stop_core(13)
    bed.cores = [10, 11, 12, 15, 16]
    bed.set_seeds([bed.control_address(nr) for nr in (10, 15, 16)])
    if VARIANT == "later":
        await asyncio.sleep(began + 10.0 - bed.record.now())
        if not await bed.config(3):
            raise lib.Skip("the manifest wasn't acknowledged")
        await bed.restart_core(int(bed.answered_by.split(".")[3]), 0.5)
        await asyncio.sleep(CATCH_UP_S + 2.0)


async def lose_disks(bed):
    if ONLY != "wipe":
        await replace_two(bed)
        await asyncio.sleep(RESTED_S)
    if not await bed.config(4):
        raise lib.Skip("the manifest wasn't acknowledged")
    if ONLY != "replace":
        other = next(nr for nr in (10, 11, 12)
                     if f"{bed.net}.{nr}" != bed.answered_by)
        await asyncio.gather(bed.wipe_core(bed.answered_by, DOWN_S),
                             bed.wipe_core(f"{bed.net}.{other}", DOWN_S))
    return 4


async def scenario(bed):
    step = dict(count=4, cpu=500, memMb=256, estimateMs=300)
    if not await bed.submit(ID, dict(spec="300", steps=[step])):
        raise lib.Skip("the submission wasn't accepted")
    if await bed.wait_state(ID, ("completed",), 10) != "completed":
        raise lib.Skip("the submission wasn't completed")
    if not await bed.config(2):
        raise lib.Skip("the manifest wasn't acknowledged")
    newest = 2
    if lib.TROUBLE:
        newest = await dict(renew=renew, disk=lose_disk).get(
            VARIANT, lose_disks)(bed)
    await asyncio.sleep(RECOVER_S)

    until = bed.record.now() + ASKED_S
    answers, version = [], None
    while bed.record.now() < until:
        answer = await bed.call("GET", ID)
        answers.append(answer[0] if answer else None)
        shown = await bed.operate("GET", "/Config.Show", tries=5)
        if shown and shown[0] == 200:
            version = json.loads(shown[2])["version"]
        await asyncio.sleep(0.5)
    print("the client's queries:", answers, "the manifest read:", version)
    bed.record.line("result", queries=str(answers).replace(" ", ""),
                    manifest=version)
    broken = []
    if version != newest:
        broken.append(f"CONFIG, LOST: the acknowledged manifest {newest} is "
                      f"read back as {version}")
    if 200 not in answers:
        broken.append("LOST: an accepted submission is asked for, and no answer "
                      "comes")
    return broken


lib.main(__file__, scenario, executors=4, cores=3 if SMALL else 5,
         losses=1 if SMALL else 2)
