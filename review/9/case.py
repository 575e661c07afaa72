"""A long-running submission whose tasks fail again and again, beside others."""

import asyncio
import json
import sys

sys.path.insert(0, "../lib-2")
from deployment import main, now  # noqa: E402

# The rule: for 3 s, from 6 s after the last run (here also: the acceptance).
LIMIT_S = 6 + 3
CPU, WORKERS = 8000, 6


def fragile(trouble):
    return {"spec": json.dumps({"ms": 700, "fails": trouble}),
            "steps": [{"count": 12, "cpu": 500, "memMb": 500,
                       "estimateMs": 1000, "longRunning": True}]}


SOUND = {"spec": json.dumps({"ms": 1000}),
         "steps": [{"count": 6, "cpu": 1000, "memMb": 500, "estimateMs": 1000,
                    "longRunning": True}]}


def tasks_of(ident, doc):
    return [f"{ident}.0.0.{i}" for i in range(doc["steps"][0]["count"])]


def in_use(site):
    return sum(r["cpu"] for w in site.workers for r in w.running.values())


def last_start(site):
    return max((r["began"] for rs in site.runs.values() for r in rs),
               default=0)


async def watch(site, ident, doc, waits):
    """Notes for how long tasks didn't run though there was capacity."""
    since = dict.fromkeys(tasks_of(ident, doc), now())
    while True:
        running = {t for w in site.workers for t in w.running}
        # Under half in use, and room for the task twice over.
        capacity = in_use(site) * 2 < CPU * WORKERS
        for task in since:
            if task in running or not capacity:
                since[task] = now()
            else:
                waits[task] = max(waits.get(task, 0), now() - since[task])
        await asyncio.sleep(0.05)


async def case(site, trouble):
    waits = {}
    doc = fragile(trouble)
    first = await site.submit(doc)
    watches = [asyncio.create_task(watch(site, first, doc, waits))]
    began = now()
    # Hands in the other submissions in the middle of pauses between starts.
    while now() - began < 22:
        await asyncio.sleep(0.2)
    for _ in range(3):
        until = now() + 20
        while trouble and now() < until and now() - last_start(site) < 1.5:
            await asyncio.sleep(0.05)
        ident = await site.submit(SOUND)
        watches.append(asyncio.create_task(watch(site, ident, SOUND, waits)))
        await asyncio.sleep(16)
    for task in watches:
        task.cancel()
    for task, wait in sorted(waits.items(), key=lambda item: -item[1]):
        whose = "the failing" if task.startswith(first) else "another"
        site.record.add("longest-wait", task=task, seconds=round(wait, 2),
                        submission=whose)
        if wait > LIMIT_S:
            site.broken("LOST", f"task {task} of {whose} submission had no "
                        f"run for {wait:.1f} s, with capacity free")


main(case, workers=WORKERS, cpu=CPU)
