"""Clients cancel jobs that run. Half of the clients have moved to another zone meanwhile, so that their
DELETE arrives at another instance than the one that holds their open POST. TROUBLE=0: none moves."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-2"))
import rig as stand  # noqa: E402

CANCEL_MS = 3000
JOBS = 8


class Rig(stand.Rig):
    def __init__(self, folder):
        super().__init__(folder)
        self.cancelled_at = {}  # job -> time of the answer 2xx or 410 to its DELETE

    def on_start(self, executor, run, step):
        name = run.task.split(".")[0]
        if name in self.cancelled_at and self.now() - self.cancelled_at[name] > CANCEL_MS / 1000:
            self.violated("UNASKED: %s starts on %s %.2f s after the job's cancelling was "
                          "acknowledged" % (run.task, executor.name,
                                            self.now() - self.cancelled_at[name]))


async def client(rig, job, moves):
    old, new = rig.instances[0], rig.instances[2 if moves else 0]
    post = asyncio.create_task(rig.submit(old, job, 12000))
    await asyncio.sleep(0.9)
    rig.record("DELETE %s to %s" % (job.name, new.name))
    status, _ = await rig.http(new.front, "DELETE", "/q/" + job.name, timeout=4)
    rig.record("DELETE %s to %s is answered %d" % (job.name, new.name, status))
    if 200 <= status < 300 or status == 410:
        rig.cancelled_at[job.name] = rig.now()
    await post


async def scenario(rig):
    await rig.open([("na", 2), ("nb", 2)], 6)
    clients = []
    for i in range(JOBS):
        steps = [{"count": 2, "cpu": 2000, "mem_mb": 64, "estimate_ms": 2000}]
        steps += [dict(steps[0], after=[step]) for step in range(2)]
        clients.append(client(rig, rig.new_job(steps, [2.0, 2.0, 2.0]), stand.TROUBLE and i % 2 == 0))
    await asyncio.gather(*clients)


if __name__ == "__main__":
    stand.main(__file__, scenario, Rig)
