"""A queue is moved to another pool of executors, and the old pool is retired.

Two pools of executors: "old-pool" with one, "new-pool" with 15 executors. The
queue's route names the old pool. Two submissions are accepted and run there: one
of 2 tasks that last, and one of 40 tasks of 2 s, of which three run at a time.
Then the operator sends a manifest whose route, with the same host and prefix,
names the new pool. 3 s after its confirmation the old executor reports that it
drains; 5 s later it leaves. Work that is submitted on the queue from then on is
done in the new pool.

With TROUBLE=0 neither the manifest is changed nor the executor leaves.

VARIANT=kept: the new manifest still lists the old pool among its services.
VARIANT=crash: the old executor crashes for good instead of leaving.
VARIANT=full: nothing leaves. The old pool's executor is full of tasks that last;
a submission is accepted that has to wait there; then the route is changed.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import bed as lib  # noqa: E402

VARIANT = os.environ.get("VARIANT", "dropped")
FULL = VARIANT == "full"
OLD, NEW = "old-pool", "new-pool"
EXECUTORS = 16
CONFIG_S = 3.0      # `configMs` is 2,000
DRAIN_S = 5.0       # `drainMs` is 2,000
FINISH_S = 14.0     # `finish_s` of the site
CALM_S = 4.0 + 3.0  # "the 3 s and the 4 s before them are calm"
SINCE_RUN_S = 6.0   # "from 6 s after its last run"
IDLE_S = 3.0        # of the rule
WATCH_S = 45.0
LASTING, WORK, LATER = ("5c0e7a21d94b3720", "5c0e7a21d94b3721",
                        "5c0e7a21d94b3722")
CPU = 8000  # of a task of WORK and LATER

init = lib.Executor.__init__


def init_in_pool(executor, bed, nr, *rest):
    init(executor, bed, nr, *rest)
    executor.service = OLD if nr == 0 else NEW


lib.Executor.__init__ = init_in_pool
manifest_of = lib.Bed.manifest


def manifest(bed, version, pool=OLD, pools=(OLD, NEW), **queue):
    """The route of each version has another name, but the same place."""
    text = manifest_of(bed, version, name=f"r-{version}", service=pool, **queue)
    text["services"] = [dict(text["services"][0], name=name) for name in pools]
    return text


lib.Bed.manifest = manifest


def step_of(count, work_ms):
    return dict(count=count, cpu=CPU, memMb=1000, estimateMs=work_ms)


async def change_route(bed):
    kept = VARIANT in ("kept", "full")
    if not await bed.config(2, pool=NEW, pools=(OLD, NEW) if kept else (NEW,)):
        raise lib.Skip("the manifest wasn't acknowledged")
    await asyncio.sleep(CONFIG_S)


async def retire_pool(bed):
    await change_route(bed)
    if VARIANT == "crash":
        await bed.executors[0].crash()
    elif not FULL:
        await bed.executors[0].drain(DRAIN_S)


def rooms(bed):
    """Returns for how many tasks of WORK the new pool has room, and whether
    under half of its processors are in use."""
    rooms = used = total = 0
    for executor in bed.executors:
        if executor.service != NEW or not executor.up:
            continue
        taken = sum(bed.cpu_of(task) for task in executor.runs)
        rooms += (executor.cpu - taken) // CPU
        used += taken
        total += executor.cpu
    return rooms, used * 2 < total


def running(bed, ident):
    return {task for executor in bed.executors if executor.up
            for task in executor.runs if task.startswith(ident)}


async def scenario(bed):
    lasting = dict(count=2, cpu=16000 if FULL else 1000, memMb=1000,
                   longRunning=True)
    if not await bed.submit(LASTING, dict(spec="0", steps=[lasting])):
        raise lib.Skip("the long-running submission wasn't accepted")
    if await bed.wait_state(LASTING, ("running",), 5) != "running":
        raise lib.Skip("the long-running submission doesn't run")
    await asyncio.sleep(1.0)
    if not await bed.submit(WORK, dict(spec="2000", steps=[step_of(40, 2000)])):
        raise lib.Skip("the submission wasn't accepted")
    await asyncio.sleep(2.5)
    if lib.TROUBLE:
        await retire_pool(bed)
    retired = bed.record.now()
    if FULL and not lib.TROUBLE:
        # The old pool has no room, so nothing is owed to WORK.
        print("state of the waiting submission:", await bed.state(WORK))
        return []
    if not await bed.submit(LATER, dict(spec="1000", steps=[step_of(4, 1000)])):
        raise lib.Skip("the later submission wasn't accepted")
    later = await bed.wait_state(LATER, ("completed",), 10)
    if later != "completed":
        raise lib.Skip("the queue doesn't run new work either")

    traffic_end = bed.record.now()
    tasks = {f"{LASTING}.0.0.{i}" for i in range(2)}
    last_run = dict.fromkeys(tasks, retired)
    unrun = dict.fromkeys(tasks, 0.0)  # without a run, when all is calm
    work, idle, longest = None, 0.0, 0.0
    last = asked = traffic_end
    while bed.record.now() < traffic_end + WATCH_S:
        await asyncio.sleep(0.05)
        now = bed.record.now()
        nr_rooms, half_free = rooms(bed)
        for task in running(bed, LASTING):
            last_run[task] = now
        if now > retired + CALM_S and nr_rooms:
            for task in tasks:
                if now - last_run[task] > SINCE_RUN_S + IDLE_S:
                    unrun[task] = max(unrun[task], now - last_run[task])
        waits = work != "completed" and not running(bed, WORK)
        idle = idle + now - last if waits and nr_rooms >= 2 and half_free \
            else 0.0
        if now > traffic_end + FINISH_S:
            longest = max(longest, idle)
        last = now
        if now - asked > 1.0:
            asked, work = now, await bed.state(WORK)
            last = bed.record.now()
    starts = [line["task"] for line in bed.lines("start")]
    done = {line["task"] for line in bed.lines("end") if line["how"] == "done"}
    nr_done = len([task for task in done if task.startswith(WORK)])
    gaps = {task: round(gap, 1) for task, gap in unrun.items() if gap}
    print(f"submitted later on the queue: {later}; accepted before: {work}, "
          f"{nr_done} of 40 tasks done, nothing running for {longest:.1f} s; "
          f"long-running: {await bed.state(LASTING)}, tasks without a run for "
          f"(s): {gaps}")
    bed.record.line("result", later=later, before=work, done=nr_done,
                    starts=len(starts), idle_s=round(longest, 1),
                    without_run=str(gaps).replace(" ", ""))
    broken = [f"LOST: {task} has had no run for {gap} s"
              for task, gap in gaps.items()]
    if longest > IDLE_S:
        broken.append(f"LOST: an accepted submission has nothing running for "
                      f"{longest:.1f} s, later than {FINISH_S} s after the last "
                      f"request; {40 - nr_done} of its 40 tasks never ran")
    return broken


lib.main(__file__, scenario, executors=EXECUTORS)
