"""A start is sent twice; its first copy arrives late, at a worker that was
restarted behind a cut."""

import asyncio
import json
import sys

sys.path.insert(0, "../lib-2")
from deployment import main, now  # noqa: E402

CUT_S = 6.4
DOC = {"spec": json.dumps({"ms": 14000}),
       "steps": [{"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 14000}]}
WARM = {"spec": json.dumps({"ms": 300}),
        "steps": [{"count": 18, "cpu": 500, "memMb": 100, "estimateMs": 300,
                   "maxPerServer": 3}]}


def check_overlaps(site):
    """No task may have two runs at the same time."""
    for task, runs in site.runs.items():
        for i, run in enumerate(runs):
            end = run["ended"] or now()
            for other in runs[i + 1:]:
                both = min(end, other["ended"] or now()) - other["began"]
                if both > 0:
                    site.broken("TWICE", f"{task}: run {run['run']} on "
                                f"{run['worker']} and run {other['run']} on "
                                f"{other['worker']} at the same time, "
                                f"{both:.2f} s")


async def case(site, trouble):
    held = []  # the first copy of the start: worker, path, headers, body

    def hold_first_start(worker):
        def intercept(path, headers, body):
            if path != "/run-start" or held:
                return False
            held.append((worker, path, headers, body))
            site.record.add("start-held", worker=worker.id,
                            **json.loads(body))
            return True
        return intercept

    # Connections between agents and workers are in use before.
    await site.wait_state(await site.submit(WARM), ("completed",), 10)
    if trouble:
        for worker in site.workers:
            worker.intercept = hold_first_start(worker)
    ident = await site.submit(DOC)
    task = f"{ident}.0.0.0"
    until = now() + 10
    while now() < until and task not in site.runs:
        await asyncio.sleep(0.02)
    worker = next((w for w in site.workers if task in w.running), None)
    site.record.add("first-run", task=task, worker=worker and worker.id)
    await asyncio.sleep(1.5)  # reported, and confirmed by a list
    if trouble and held and worker is held[0][0] and task in worker.running:
        # The end of a poll: the sooner its agent misses an answer, the less
        # of the cut is needed until the lease is over.
        while now() - worker.polled_at < 0.9:
            await asyncio.sleep(0.01)
        site.record.add("cut", worker=worker.id)
        worker.cut = True
        await asyncio.sleep(1.0)
        worker.reborn()
        await asyncio.sleep(0.5)
        # 3 s after it was sent, the first copy is carried out.
        status, answer = await worker.call(*held[0][1:])
        site.record.add("late-start", status=status, answer=answer)
        await asyncio.sleep(CUT_S - 1.5)
        worker.cut = False
        site.record.add("healed", worker=worker.id)
    elif trouble:
        site.record.add("not-met", held=len(held))
    state = await site.wait_state(ident, ("completed", "failed"), 45)
    site.record.add("state", id=ident, state=state)
    check_overlaps(site)


main(case, workers=6)
