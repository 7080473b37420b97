"""A tenth of the executors is cut off from the store, not from the instances, while the two instances
of their zone are stopped and started in turn."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig_2 as stand  # noqa: E402

BEAT_S = 1.5
EXECUTORS = 40
CUT = 4  # a share of 0.1
RACK = 5
END_S = 96


class Rig(stand.Rig):
    async def beat(self):
        """Each executor writes its entry every `heartbeat_ms`; the cut ones are left to cut_off ()."""
        self.cut = set()
        while self.beating:
            await asyncio.sleep(BEAT_S)
            for executor in self.executors:
                if executor not in self.cut:
                    self.store.put("servers/" + executor.name, executor.entry())


async def client(rig, job):
    for _ in range(2):
        up = [i for i in rig.instances if i.in_rotation]
        if not up or await rig.submit(rig.rng.choice(up), job, 1500) not in (0, 502, 504):
            return
        await asyncio.sleep(stand.RETRANSMIT_S)


async def cut_off(rig):
    """The cut lasts 5 s. The entries are removed after three intervals without a report, and are back
    with the first report after the cut."""
    rig.cut = set(rig.rng.sample(rig.executors, CUT))
    rig.record("cut off from the store: %s" % ", ".join(e.name for e in rig.cut))
    for executor in rig.cut:
        rig.store.put("servers/" + executor.name, executor.entry())
    await asyncio.sleep(3 * BEAT_S)
    for executor in rig.cut:
        rig.store.put("servers/" + executor.name, None)
    rig.record("their entries are removed")
    await asyncio.sleep(BEAT_S)
    for executor in rig.cut:
        rig.store.put("servers/" + executor.name, executor.entry())
    rig.cut = set()
    rig.record("they report again")


async def stop(rig, instance):
    """SIGTERM; out of the rotation after two failed checks of readiness; SIGKILL after `grace_s`."""
    rig.record("SIGTERM to %s" % instance.name)
    instance.process.send_signal(signal.SIGTERM)
    asyncio.get_running_loop().call_later(1.5, setattr, instance, "in_rotation", False)
    try:
        await asyncio.wait_for(instance.process.wait(), 6)
    except asyncio.TimeoutError:
        instance.process.kill()
        await instance.process.wait()
    instance.in_rotation = False


async def start(rig, instance):
    await instance.start()
    end = time.monotonic() + 3
    while time.monotonic() < end and not await rig.is_ready(instance):
        await asyncio.sleep(0.1)
    instance.in_rotation = True


async def trouble(rig):
    first, second = rig.instances
    while rig.now() < END_S - 12 and not rig.violations:
        cut = asyncio.create_task(cut_off(rig)) if stand.TROUBLE else None
        await asyncio.sleep(1.6)
        await stop(rig, first)
        await asyncio.sleep(0.8)
        await start(rig, first)
        await asyncio.sleep(rig.rng.uniform(0.05, 0.35))
        await stop(rig, second)
        await asyncio.sleep(0.4)
        await start(rig, second)
        if cut is not None:
            await cut


async def scenario(rig):
    await rig.open([("na", 2)], EXECUTORS, lambda zone, i: ["a", "r%d" % (i // RACK)])
    for instance in rig.instances:
        instance.in_rotation = True
    rolls, clients = asyncio.create_task(trouble(rig)), []
    while not rolls.done():
        await asyncio.sleep(rig.rng.expovariate(37))
        work = 0.25 * rig.rng.uniform(0.7, 1.4)
        # Each job needs the workers of one rack, so that the load of each rack varies.
        rack = "r%d" % rig.rng.randrange(EXECUTORS // RACK)
        job = rig.new_job([{"count": 2, "cpu": 10000, "mem_mb": 64, "estimate_ms": 250,
                            "required_label": rack}], [work])
        clients.append(asyncio.create_task(client(rig, job)))
    await rolls
    await asyncio.gather(*clients)


if __name__ == "__main__":
    stand.main(__file__, scenario, Rig)
