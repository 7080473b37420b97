"""An instance stands still for 1.45 s while some of its clients leave early (see claim.txt)."""

import asyncio
import os
import signal
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(CASE))
import rig as standins  # noqa: E402

FREEZES = 10
FREEZE_S = 1.45
GIVE_UP_S = 5.5  # from half a second before each freeze on
GIVE_UP_SHARE = 0.25
GIVE_UP_MS = (10, 60)  # after the job was sent; far less than half of its objective
JOBS_PER_S = 250
BUDGET_MS = 1500
RETRANSMIT_S = 1.3


class Day:
    gives_up = False


async def client(rig, number):
    name = "client-%d" % (number % 90)
    job = rig.new_job([{"count": 1, "cpu": 2000, "work_s": 0.9}])
    node = rig.route_channel(name, list(standins.ZONES)[number % 3])
    leaves = Day.gives_up and rig.rng.random() < GIVE_UP_SHARE
    leave_s = rig.rng.uniform(*GIVE_UP_MS) / 1000 if leaves else None
    for _ in range(2):
        status, _ = await rig.send(name, node, "POST", job, BUDGET_MS, leave_s)
        if status not in ("no answer", "broken channel", 502, 504):
            return
        await asyncio.sleep(RETRANSMIT_S)
        node = rig.rng.choice([i for i in rig.instances if i.ready and i is not node])
        leave_s = None


async def traffic(rig):
    number = 0
    while True:
        asyncio.create_task(client(rig, number))
        number += 1
        await asyncio.sleep(rig.rng.expovariate(JOBS_PER_S))


def check_twice(rig):
    def check(executor, run, cpu_used):
        job = rig.jobs[run.task.split(".")[0]]
        for other, _ in list(job.active.get(run.task, [])):
            other.end_due_runs()
        for other, other_run in job.active.get(run.task, []):
            rig.violate("TWICE: %s run %d on %s (%s) while its run %d is at work on %s (%s)" % (
                run.task, run.number, executor.name, executor.zone, other_run.number, other.name,
                other.zone))
    return check


async def play(rig):
    await rig.start()
    rig.on_start.append(check_twice(rig))
    flow = asyncio.create_task(traffic(rig))
    await asyncio.sleep(4.0)
    for i in range(FREEZES):
        node = rig.instances[i % len(rig.instances)]
        Day.gives_up = rig.trouble
        await asyncio.sleep(0.5)
        if rig.trouble:
            node.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if rig.trouble:
            node.signal(signal.SIGCONT)
        await asyncio.sleep(GIVE_UP_S - 0.5 - FREEZE_S)
        Day.gives_up = False
        await asyncio.sleep(2.0)
    flow.cancel()


standins.main(CASE, play)
