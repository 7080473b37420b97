"""Stand-ins of the users' platform for the scripts review/7 and review/8, and a way to start instances.

The store, the executors and the clients follow the users' pages (SYSTEM.md, PROTOCOL.md). All run in
one event loop on 127.0.0.1. Every call, start and end is written to record.txt in the case's folder.
A case is a coroutine `scenario (rig)`, which returns the list of violations it found. `main` gives
the exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "damaskshored", "damaskshored")
HOLD_MAX_MS = 1000  # `hold_max_ms`
STOP_MS = 50  # `stop_ms`
RETRANSMIT_S = 1.3  # `retransmit_ms`
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought about: exit status 2."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """Serves `handle (method, path, query, headers, body) -> (status, object)`."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def open(self, port):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port)

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                status, answer = await self.handle(
                    method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The part of the platform's store that instances read: ranges and watches."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "rev": self.revision, "created": self.revision, "lease": 0}
        if value is None:
            self.items.pop(key, None)
            item = {"key": key, "rev": self.revision, "deleted": True}
        else:
            item["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = item
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            rows = [self.items[key] for key in sorted(self.items)
                    if key.startswith(prefix) and key > query.get("after", "")]
            return 200, {"items": rows, "has_more": False, "store_revision": self.revision}
        if path != "/api/kv-watch":
            return 404, {}
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [i for i in self.history if i["rev"] > after and i["key"].startswith(prefix)]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"events": rows, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, size, ends_at):
        self.task = task
        self.number = number
        self.size = size
        self.started_at = time.monotonic()
        self.ends_at = ends_at  # monotonic time of its end as done
        self.stop_at = None


class Executor:
    """A worker that guards its capacity. Ends are computed from their times, so that a late event
    loop does not prolong a lease or a run."""

    def __init__(self, rig, name, zone, port, labels):
        self.rig = rig
        self.name = name
        self.zone = zone
        self.address = "127.0.0.1:%d" % port
        self.port = port
        self.labels = labels
        self.is_down = False  # between a crash and the next start
        self.grey_share = 0.0  # of its requests answered with 503, nothing done
        self.rng = random.Random(name)
        self.server = HttpServer(self.handle)
        self.restart()

    def restart(self):
        now = time.monotonic()
        for run in list(getattr(self, "runs", {}).values()):
            self.rig.ended(self, run, "crashed", now)
        self.born = int(time.time() * 1000)
        self.zero = now
        self.fence = 0
        self.lease_end = 0.0
        self.last_ended = 0
        self.ends = []
        self.runs = {}
        self.highest = {}
        self.seq = 0
        self.end_event = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": "judge", "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": state, "cold_left_ms": 0, "seq": self.seq, "born": self.born,
                "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "labels": self.labels}

    def settle(self):
        """Ends the runs whose end is due, in the order of their times."""
        while True:
            due = []
            for run in self.runs.values():
                due.append((self.lease_end, "lapsed", run))
                due.append((run.ends_at, "done", run))
                if run.stop_at is not None:
                    due.append((run.stop_at, "stopped", run))
            due = [row for row in due if row[0] <= time.monotonic()]
            if not due:
                return
            when, how, run = min(due, key=lambda row: row[0])
            self.last_ended += 1
            self.ends.append([self.last_ended, run.task, run.number, how, ""])
            self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
            del self.runs[run.task]
            self.rig.ended(self, run, how, when)
            self.end_event.set()
            self.end_event = asyncio.Event()

    def settle_at(self, when):
        asyncio.get_running_loop().call_later(max(0, when - time.monotonic()) + 0.001, self.settle)

    def extend(self, body):
        until_ms = min(body.get("deadline_ms", 0), self.clock_ms() + HOLD_MAX_MS)
        self.lease_end = max(self.lease_end, self.zero + until_ms / 1000)

    def conflict(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def handle(self, method, path, query, headers, text):
        if path == "/health":
            return 200, {}
        if method != "POST":
            return 404, {}
        body = json.loads(text)
        self.settle()
        if self.rng.random() < self.grey_share:
            self.rig.record("%s answers 503 to %s %s" % (
                self.name, path, body.get("task", "") and "%s %d" % (body["task"], body["run"])))
            return 503, {}
        if headers.get("expect-instance") != self.name:
            return 421, {}
        if body.get("fence", 0) < self.fence:
            return self.conflict("fence")
        self.fence = body.get("fence", 0)
        if path == "/api/run-start":
            return self.start(body)
        if path == "/api/run-stop":
            return self.stop(body)
        if path == "/api/hold":
            return await self.hold(body)
        return 404, {}

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self.conflict("late")
        self.extend(body)
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.highest.get(task, 0) or current is not None:
            return self.conflict("old")
        step, work_s = self.rig.task_of(self, task, body["spec"])
        if sum(run.size for run in self.runs.values()) + step["cpu"] > 16000:
            return self.conflict("room")
        run = Run(task, number, step["cpu"], time.monotonic() + work_s)
        self.runs[task] = run
        self.rig.started(self, run, step)
        self.settle_at(run.ends_at)
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, body):
        run = self.runs.get(body["task"])
        if run is not None and run.number <= body["run"]:
            run.stop_at = run.stop_at or time.monotonic() + STOP_MS / 2000
            self.settle_at(run.stop_at)
        elif run is None:
            self.highest[body["task"]] = max(body["run"], self.highest.get(body["task"], 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        self.extend(body)
        self.ends = [row for row in self.ends if row[0] > body.get("last_seen", 0)]
        born, end = self.born, time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < end and born == self.born:
            try:
                await asyncio.wait_for(self.end_event.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass
            self.settle()
        if born != self.born:
            raise ConnectionError
        if body.get("fence", 0) < self.fence:
            return self.conflict("fence")
        now = time.monotonic()
        rows = [[run.task, run.number, "",
                 int(min(99, 100 * (now - run.started_at) / (run.ends_at - run.started_at))), run.size]
                for run in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows,
                     "ended_runs": self.ends[:500]}


class Instance:
    def __init__(self, rig, name, zone, ports):
        self.rig, self.name, self.zone = rig, name, zone
        self.front, self.ready, self.http, self.peer = ports
        self.process = None

    async def start(self):
        """Starts the program with the command of deploy/system.toml and the settings of its
        template, deploy/settings.conf."""
        if not self.rig.beating:
            raise asyncio.CancelledError  # the case has ended
        settings = os.path.join(self.rig.folder, self.name + ".conf")
        seeds = ["127.0.0.1:%d" % i.peer for i in self.rig.instances[:3]]
        with open(settings, "w") as stream:
            stream.write("remote-factor = 1.5\nprocessors = 0.25\nseeds = %s\n" % ",".join(seeds))
        log = open(os.path.join(self.rig.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "--targets=leased", "--id=" + self.name, "--data-centre=" + self.zone,
            "--front-address=127.0.0.1:%d" % self.front, "--ready-address=127.0.0.1:%d" % self.ready,
            "--http-address=127.0.0.1:%d" % self.http, "--peer-address=127.0.0.1:%d" % self.peer,
            "--platform-url=http://127.0.0.1:%d" % self.rig.store_port, "--settings=" + settings,
            stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "DAMASKSHORE_NODE_FILE": settings})
        log.close()
        self.rig.record("%s started, zone %s" % (self.name, self.zone))


class Job:
    def __init__(self, name, steps, works):
        self.name = name
        self.spec = "spec of " + name
        self.steps = steps
        self.works = works  # seconds of work of each task of a step
        self.body = json.dumps({"spec": self.spec, "best_effort": True, "steps": steps}).encode()
        self.running = {}  # task -> {(executor name, run)}
        self.done = set()


class Rig:
    def __init__(self, folder):
        self.case = folder
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = os.environ.get("LOGS") or self.temporary.name
        self.zero = time.monotonic()
        self.lines = []
        self.jobs = {}
        self.violations = []
        self.instances, self.executors = [], []
        self.rng = random.Random(int(os.environ.get("SEED", time.time_ns() % 1000000)))
        self.store = None
        self.queue_fields = {"priority": 0, "max_attempts": 3, "timeout_ms": 1500,
                             "target_factor": 1.6, "target_latency_ms": 60}
        self.beating = True

    def now(self):
        return time.monotonic() - self.zero

    def record(self, text):
        self.lines.append("%9.4f %s" % (time.monotonic() - self.zero, text))

    def violated(self, text):
        self.record("BROKEN " + text)
        self.violations.append(text)

    # What executors report

    def task_of(self, executor, task, spec):
        name, _, step, _ = task.split(".")
        job = self.jobs.get(name)
        if job is None or spec != job.spec:
            self.violated("UNASKED: start of %s on %s with spec %r" % (task, executor.name, spec))
            raise ConnectionError
        return job.steps[int(step)], job.works[int(step)]

    def started(self, executor, run, step):
        job = self.jobs[run.task.split(".")[0]]
        for other in self.executors:
            other.settle()
        self.record("start %s run %d on %s" % (run.task, run.number, executor.name))
        active = job.running.setdefault(run.task, {})
        for name, other in active.items():
            self.violated("TWICE: %s run %d starts on %s while its run %d is at work on %s" % (
                run.task, run.number, executor.name, other.number, name))
        active[executor.name] = run
        self.on_start(executor, run, step)

    def on_start(self, executor, run, step):
        pass

    def ended(self, executor, run, how, when):
        job = self.jobs[run.task.split(".")[0]]
        job.running.get(run.task, {}).pop(executor.name, None)
        if how == "done":
            job.done.add(run.task)
        self.lines.append("%9.4f end %s run %d on %s: %s" % (
            when - self.zero, run.task, run.number, executor.name, how))
        self.on_end(executor, run, how, when)

    def on_end(self, executor, run, how, when):
        pass

    # The installation

    async def open(self, zones, executors_per_zone, labels=lambda zone, i: ["a", "r%d" % (i // 4)]):
        names = [zone for zone, count in zones for _ in range(count)]
        ports = free_ports(1 + 4 * len(names) + len(zones) * executors_per_zone)
        self.store_port = ports.pop()
        self.store = Store()
        await self.store.server.open(self.store_port)
        for zone, _ in zones:
            for i in range(executors_per_zone):
                executor = Executor(self, "x%s%d" % (zone, i), zone, ports.pop(), labels(zone, i))
                self.executors.append(executor)
                await executor.server.open(executor.port)
        for i, zone in enumerate(names):
            self.instances.append(Instance(self, "f%d" % i, zone, [ports.pop() for _ in range(4)]))
        self.store.put("op/config", {
            "version": 7, "limits": {}, "services": [{"name": "judge", "enforces_capacity": True}],
            "routes": [dict(self.queue_fields, name="q", host="words.example", prefix="/q/",
                            service="judge")]})
        for executor in self.executors:
            self.store.put("servers/" + executor.name, executor.entry())
        self.beat_task = asyncio.create_task(self.beat())
        for instance in self.instances:
            await instance.start()
        end = time.monotonic() + 10
        while not all([await self.is_ready(i) for i in self.instances]):
            if time.monotonic() > end:
                raise CannotRun("the instances do not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    async def beat(self):
        """Every executor writes its entry each `heartbeat_ms`."""
        while self.beating:
            await asyncio.sleep(1.5)
            for executor in self.executors:
                if not executor.is_down:
                    self.store.put("servers/" + executor.name, executor.entry())

    async def is_ready(self, instance):
        try:
            status, _ = await self.http(instance.ready, "GET", "/api/ready", timeout=1)
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def http(self, port, method, path, body=b"", headers="", timeout=None):
        """One request on a channel of its own. Returns (status, body); (0, None) when the time is
        over, after which the channel is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(("%s %s HTTP/1.1\r\nHost: words.example\r\n%sContent-Type: application/json"
                          "\r\nContent-Length: %d\r\n\r\n" % (method, path, headers, len(body))
                          ).encode() + body)
            line, _, answer = await asyncio.wait_for(read_message(reader), timeout)
            return int(line.split(" ")[1]), answer
        except asyncio.TimeoutError:
            return 0, None
        finally:
            writer.close()

    async def submit(self, instance, job, deadline_ms):
        """One attempt of a client. Returns the status; 0 when the channel broke or no answer came in
        the client's time."""
        self.jobs[job.name] = job
        self.record("POST %s to %s, Deadline-Ms %d" % (job.name, instance.name, deadline_ms))
        try:
            status, answer = await self.http(instance.front, "POST", "/q/" + job.name, job.body,
                                             "Deadline-Ms: %d\r\n" % deadline_ms, deadline_ms / 1000)
        except (OSError, asyncio.IncompleteReadError):
            status, answer = 0, None
        self.record("POST %s to %s is answered %s %s" % (
            job.name, instance.name, status or "not at all", (answer or b"").decode()))
        return status

    def new_job(self, steps, works):
        return Job("%016x" % self.rng.getrandbits(64), steps, works)

    def close(self):
        self.beating = False
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        with open(os.path.join(self.case, "record.txt"), "w") as stream:
            stream.write("trouble: %s\n%s\n" % ("yes" if TROUBLE else "no", "\n".join(self.lines)))


def free_ports(count):
    """Ports outside the range from which the kernel takes those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(18000, 32000)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def main(case_file, scenario, rig_class=Rig):
    async def run():
        rig = rig_class(os.path.dirname(os.path.abspath(case_file)))
        try:
            if not os.access(DAEMON, os.X_OK):
                raise CannotRun("%s is not built" % DAEMON)
            await asyncio.wait_for(scenario(rig), 112)
            for instance in rig.instances:
                if instance.process.returncode is not None:
                    rig.record("%s ended with %d" % (instance.name, instance.process.returncode))
            return 1 if rig.violations else 0
        except Exception as error:
            rig.record("cannot run: %r" % error)
            traceback.print_exc()
            return 2
        finally:
            rig.close()
            for text in rig.violations[:3]:
                print(text)
            print("%d violations" % len(rig.violations))
            for instance in rig.instances:
                if instance.process is not None:
                    await instance.process.wait()

    sys.exit(asyncio.run(run()))
