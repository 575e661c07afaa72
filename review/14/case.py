"""An executor fails all that it starts; it gets two members of a gang. The gang
has failed once then, and may fail as often as `attempts` says."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from deployment import Site, asyncio, events, main  # noqa: E402

EXECUTORS = 7  # one of them fails what it starts: a share of 0.143
MEMBERS = 14
ATTEMPTS = 2
GREY_S = 6.0
IDENT = "5c0e7a21d94b36f8"


async def case(trouble, record_path):
    site = Site(record_path, sides=EXECUTORS)
    record = site.record
    try:
        await site.begin([site.route(attempts=ATTEMPTS)])
        site.work[IDENT] = {"gang": MEMBERS, "ms": 1500}
        step = {"count": MEMBERS, "cpu": 4000, "memMb": 4000,
                "estimateMs": 1500, "gang": True}
        if trouble:
            record.say("executor 0 fails all that it starts")
            site.executors[0].grey = True
        grey_until = record.now() + GREY_S
        if not await site.submit(IDENT, {"spec": "gang", "steps": [step]}):
            raise RuntimeError("the submission was not accepted")
        state = ""
        end = record.now() + 30
        while record.now() < end and state not in ("completed", "failed"):
            await asyncio.sleep(0.1)
            state = (await site.client("GET", IDENT))[1].get("state", "")
            if record.now() > grey_until:
                site.executors[0].grey = False
        runs = sorted({run for _, _, event, _, run, _ in
                       events(site, ("end",)) if event == "end failed"})
        record.say("state:", state, "; the gang's runs that failed:", runs,
                   "; attempts:", ATTEMPTS)
        if not trouble and state != "completed":
            raise RuntimeError("the gang isn't done without trouble")
        return state == "failed" and len(runs) < ATTEMPTS
    finally:
        await site.end()


main(case, os.path.join(HERE, "record.txt"))
