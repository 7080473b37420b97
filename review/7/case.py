"""One executor in twelve answers part of its requests with 503. Clients submit jobs, wait for their
time budget and send a job again, 1.3 s after a 504 or no answer, to another instance."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig_2 as stand  # noqa: E402

GREY_SHARE = float(os.environ.get("GREY", "0.1"))  # of the requests of that executor; `x` of srv_grey
TRAFFIC_S = 90


async def client(rig, job, deadline_ms, first):
    instance = first
    for _ in range(3):
        if await rig.submit(instance, job, deadline_ms) not in (0, 502, 504):
            return
        await asyncio.sleep(stand.RETRANSMIT_S)
        instance = rig.rng.choice([i for i in rig.instances if i is not instance])


async def traffic(rig, rate, new_job, until):
    tasks = []
    while rig.now() < until and not rig.violations:
        await asyncio.sleep(rig.rng.expovariate(rate))
        tasks.append(asyncio.create_task(
            client(rig, new_job(), 1500, rig.rng.choice(rig.instances))))
    await asyncio.gather(*tasks)


def usual_job(rig):
    work = 0.9 * rig.rng.uniform(0.7, 1.4)
    return rig.new_job([{"count": 4, "cpu": 2000, "mem_mb": 64, "estimate_ms": 900}], [work])


def long_job(rig):
    """Declared too short by up to 40%, and of up to 3.6 s of work, as the sheet allows."""
    work = rig.rng.uniform(2.5, 3.6)
    return rig.new_job([{"count": 4, "cpu": 2000, "mem_mb": 64,
                         "estimate_ms": int(700 * work)}], [work])


async def scenario(rig):
    await rig.open([("na", 2), ("nb", 2)], 6)
    if stand.TROUBLE:
        rig.executors[3].grey_share = GREY_SHARE
        rig.record("from now on %s answers 503 to %.0f%% of its requests" % (
            rig.executors[3].name, 100 * GREY_SHARE))
    until = rig.now() + TRAFFIC_S
    await asyncio.gather(traffic(rig, 10, lambda: usual_job(rig), until),
                         traffic(rig, 6, lambda: long_job(rig), until))


if __name__ == "__main__":
    stand.main(__file__, scenario)
