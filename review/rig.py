"""Stand-ins for the scripts in review/: the platform's store and ingress, executors and clients.

All of them follow the users' pages and run in one event loop. The instances are processes of the
project's own program, started with the command of deploy/system.toml, one loopback address for
each. The ends of runs and of leases are computed from their times, so that a delayed event loop
prolongs neither. All that is sent, answered and run is written to record.txt beside the script.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = {"zone-a": 3, "zone-b": 2, "zone-c": 2}  # instances of a small deployment
EXECUTORS_PER_ZONE = 16
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_MS = 50
CANCEL_MS = 3000
HOST = "words.example"


class CannotRun(Exception):
    """The case could not be set up."""


class Drop(Exception):
    """Ends a connection without an answer."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


class Server:
    """HTTP/1.1 server on one loopback address; `handle` returns (status, object)."""

    def __init__(self, address, port, handle):
        self.address, self.port, self.handle = address, port, handle
        self.server, self.writers = None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port,
                                                 reuse_address=True)

    async def serve(self, reader, writer):
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
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, Drop):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def close(self):
        """Ends the listener and resets all connections, as the death of the process does."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The metadata store: ranges and watches, which is all that instances call."""

    def __init__(self, rig):
        self.rig = rig
        self.revision, self.items, self.history = 1, {}, []
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "rev": self.revision}
        if value is None:
            if self.items.pop(key, None) is None:
                return
            item["deleted"] = True
        else:
            item.update(value=base64.b64encode(json.dumps(value).encode()).decode(),
                        created=self.items.get(key, {}).get("created", self.revision), lease=0)
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
        if path == "/api/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                rows = [i for i in self.history
                        if i["rev"] > after and i["key"].startswith(prefix)]
                left_s = end - time.monotonic()
                if rows or left_s <= 0:
                    return 200, {"events": rows, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass
        self.rig.record("store: %s %s is not served by this stand-in" % (method, path))
        return 404, {}


class Run:
    def __init__(self, task, number, step, ends_s):
        self.task, self.number, self.step, self.ends_s = task, number, step, ends_s
        self.started_s = time.monotonic()
        self.stop_s = None


class Executor:
    """A worker that runs tasks under leases (PROTOCOL.md, Running tasks)."""

    def __init__(self, rig, name, zone, address, port, cpu=16000, labels=("a",), guards=True):
        self.rig, self.name, self.zone = rig, name, zone
        self.address, self.port = address, port
        self.cpu, self.labels, self.guards = cpu, list(labels), guards
        self.server = Server(address, port, self.handle)
        self.up = False
        self.runs = {}
        self.seq = 0

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": "words", "address": "%s:%d" % (self.address, self.port),
                "zone": self.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
                "seq": self.seq, "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": self.labels + ["rack-" + self.zone], "born": self.born}

    async def start(self):
        """Begins a life: it knows nothing of an earlier one."""
        self.born = int(time.time() * 1000)
        self.zero_s = time.monotonic()
        self.seq = 0
        self.fence, self.lease_end_s, self.last_end = 0, 0.0, 0
        self.ended, self.runs, self.highest = [], {}, {}
        self.run_ended = asyncio.Event()
        self.up = True
        # It is registered before it answers the first call.
        self.rig.store.put("servers/" + self.name, self.entry())
        await self.server.open()

    def crash(self):
        """The process dies: connections are reset, new ones refused, all runs are gone."""
        self.end_due_runs()
        for run in list(self.runs.values()):
            self.rig.run_ended(self, run, "gone with the executor", time.monotonic())
        self.runs = {}
        self.up = False
        self.server.close()

    async def heartbeats(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            if self.up:
                self.rig.store.put("servers/" + self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def clock_ms(self):
        return int((time.monotonic() - self.zero_s) * 1000)

    def end_run(self, run, how, when_s):
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        del self.runs[run.task]
        self.rig.run_ended(self, run, how, when_s)
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def end_due_runs(self):
        now = time.monotonic()
        while True:
            due = []
            for run in self.runs.values():
                due.append((run.ends_s, "done", run))
                due.append((self.lease_end_s, "lapsed", run))
                if run.stop_s is not None:
                    due.append((run.stop_s, "stopped", run))
            due = [row for row in due if row[0] <= now]
            if not due:
                return
            when_s, how, run = min(due, key=lambda row: row[0])
            self.end_run(run, how, when_s)

    def extend(self, body):
        if body.get("deadline_ms", 0) > 0:
            until_ms = min(body["deadline_ms"], self.clock_ms() + HOLD_MAX_MS)
            self.lease_end_s = max(self.lease_end_s, self.zero_s + until_ms / 1000)

    def conflict(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason, "born": self.born}

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            raise Drop
        body = json.loads(body)
        self.end_due_runs()
        if headers.get("expect-instance") != self.name:
            return 421, {}
        if body.get("fence", 0) < self.fence:
            return self.conflict("fence")
        self.fence = body.get("fence", 0)
        if path == "/api/run-start":
            return self.run_start(body)
        if path == "/api/run-stop":
            return self.run_stop(body)
        if path == "/api/hold":
            return await self.hold(body)
        return 404, {}

    def run_start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self.conflict("late")
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        self.extend(body)
        if number <= self.highest.get(task, 0) or (current and number <= current.number):
            return self.conflict("old")
        step = self.rig.find_step(task, body["spec"])
        if step is None:
            return 400, {}
        used = sum(run.step["cpu"] for run in self.runs.values())
        if self.guards and used + step["cpu"] > self.cpu:
            return self.conflict("room")
        run = Run(task, number, step, time.monotonic() + step["work_s"])
        self.runs[task] = run
        self.rig.run_started(self, run, used + step["cpu"])
        asyncio.get_running_loop().call_later(step["work_s"] + 0.001, self.end_due_runs)
        return 200, {"clock_ms": self.clock_ms()}

    def run_stop(self, body):
        run = self.runs.get(body["task"])
        if run is not None and run.number == body["run"] and run.stop_s is None:
            run.stop_s = time.monotonic() + STOP_MS / 1000 / 2
            asyncio.get_running_loop().call_later(STOP_MS / 1000 / 2 + 0.001, self.end_due_runs)
        elif run is None:
            self.highest[body["task"]] = max(body["run"], self.highest.get(body["task"], 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        self.extend(body)
        self.ended = [row for row in self.ended if row[0] > body.get("last_seen", 0)]
        born, end_s = self.born, time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end_s:
            try:
                await asyncio.wait_for(self.run_ended.wait(), end_s - time.monotonic())
            except asyncio.TimeoutError:
                pass
            if born != self.born or not self.up:
                raise Drop
            self.end_due_runs()
        now = time.monotonic()
        rows = [[r.task, r.number, "",
                 int(min(99, 100 * (now - r.started_s) / r.step["work_s"])), r.step["cpu"]]
                for r in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows,
                     "ended_runs": self.ended[:500]}


class Instance:
    """One front machine: its addresses, its settings file and its process."""

    def __init__(self, rig, name, zone, ip):
        self.rig, self.name, self.zone, self.ip = rig, name, zone, ip
        self.process, self.ready, self.misses = None, False, 0
        self.settings = os.path.join(rig.folder, name + ".conf")

    def fields(self):
        rig = self.rig
        return {"node": self.name, "zone": self.zone, "ip": self.ip,
                "port_range": [rig.port + 3, rig.port + 18],
                "seeds": ["%s:%d" % (i.ip, rig.port + 2) for i in rig.instances[:3]],
                "listen": {"front": "%s:%d" % (self.ip, rig.port),
                           "ready_addr": "%s:%d" % (self.ip, rig.port + 1),
                           "control": "%s:%d" % (self.ip, rig.port + 2)},
                "platform": {"address": "%s:%d" % (rig.store_ip, rig.port)},
                "limits": {"cpu_share": 0.25}, "bounds": {"remote_factor": 1.5}}

    def fill(self, text):
        def value(match):
            node = self.fields()
            for part in match.group(1).split("."):
                node = node[int(part)] if isinstance(node, list) else node[part]
            return ",".join(node) if isinstance(node, list) else str(node)

        return re.sub(r"\{\{([\w.]+)\}\}", value, text)

    async def start(self):
        role = self.rig.role
        with open(os.path.join(ROOT, role["template"])) as template:
            text = self.fill(template.read())
        with open(self.settings, "w") as stream:
            stream.write(text)
        words = self.fill(role["run"]).replace(
            "/etc/damaskshore/settings.toml", self.settings).split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["DAMASKSHORE_NODE_FILE"] = self.settings
        log = open(os.path.join(self.rig.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, stdout=log, stderr=log, cwd=ROOT, env=environment)
        log.close()

    def signal(self, number):
        self.rig.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def check_ready(self):
        """The platform's readiness check, once a second; two misses take it out of rotation."""
        while True:
            try:
                status, _ = await asyncio.wait_for(
                    self.rig.call(self.ip, self.rig.port + 1, "GET", "/api/ready"), 1.0)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                status = 0
            self.misses = 0 if status == 200 else self.misses + 1
            if status == 200 or self.misses >= 2:
                self.ready = status == 200
            await asyncio.sleep(1.0)


class Job:
    def __init__(self, name, steps, body):
        self.name, self.steps, self.body = name, steps, body
        self.starts, self.active = [], {}


class Rig:
    """The deployment. `seed` makes choices repeat; the timing of processes does not."""

    def __init__(self, case, seed=1):
        self.rng = random.Random(seed)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = open(os.path.join(case, "record.txt"), "w")
        self.start_s = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = os.environ.get("REVIEW_LOGS") or self.temporary.name
        self.violations = []
        self.jobs = {}
        self.tasks = []
        self.on_start = []  # checks that are called with (executor, run, cpu in use) at each start
        with open(os.path.join(ROOT, "deploy", "system.toml")) as stream:
            self.role = dict(re.findall(r'^(run|template) = "([^"]*)"$', stream.read(), re.M))
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split(" ")[0])):
            raise CannotRun("the program is not built")
        self.net = "127.%d.%d" % (self.rng.randrange(64, 120), os.getpid() % 250)
        self.store_ip = self.net + ".250"
        self.instances, self.executors = [], []
        self.port = self.find_port()
        self.store = Store(self)
        self.store_server = Server(self.store_ip, self.port, self.store.handle)
        for zone, count in ZONES.items():
            for i in range(count):
                self.instances.append(Instance(
                    self, "front-%s-%d" % (zone, i + 1), zone,
                    "%s.%d" % (self.net, len(self.instances) + 1)))

    def find_port(self):
        """First of 19 ports that are free on the addresses of this run."""
        for _ in range(50):
            port = self.rng.randrange(12000, 30000) // 20 * 20
            sockets = []
            try:
                for host in range(1, 251, 10):
                    for offset in range(0, 19):
                        sockets.append(socket.socket())
                        sockets[-1].bind(("%s.%d" % (self.net, host), port + offset))
                return port
            except OSError:
                continue
            finally:
                for each in sockets:
                    each.close()
        raise CannotRun("no free ports")

    def now(self):
        return time.monotonic() - self.start_s

    def record(self, text, when_s=None):
        when = self.now() if when_s is None else when_s - self.start_s
        self.record_file.write("%8.3f %s\n" % (when, text))
        self.record_file.flush()

    def violate(self, text):
        self.violations.append(text)
        self.record("BROKEN " + text)

    # Reports of executors

    def find_step(self, task, spec):
        job = self.jobs.get(task.split(".")[0])
        if job is None or spec != "spec of " + job.name:
            self.violate("UNASKED: %s with spec %r was asked for by no client" % (task, spec))
            return None
        return job.steps[int(task.split(".")[2])]

    def run_started(self, executor, run, cpu_used):
        job = self.jobs[run.task.split(".")[0]]
        job.starts.append((time.monotonic(), run.task))
        self.record("start of %s run %d on %s (%s, %d of %d in use)" % (
            run.task, run.number, executor.name, executor.zone, cpu_used, executor.cpu))
        for check in self.on_start:
            check(executor, run, cpu_used)
        job.active.setdefault(run.task, []).append((executor, run))

    def run_ended(self, executor, run, how, when_s):
        active = self.jobs[run.task.split(".")[0]].active.get(run.task, [])
        active[:] = [row for row in active if row[1] is not run]
        self.record("end of %s run %d on %s: %s" % (run.task, run.number, executor.name, how),
                    when_s)

    # Clients and ingress

    def new_job(self, steps, **fields):
        """`steps`: dicts with count, cpu, work_s and fields of a step as on the wire."""
        name = "%016x" % self.rng.getrandbits(64)
        rows = []
        for step in steps:
            row = {key: value for key, value in step.items() if key != "work_s"}
            row.update(mem_mb=64, estimate_ms=max(1, int(1000 * step["work_s"])))
            rows.append(row)
        body = {"spec": "spec of " + name, "steps": rows, "best_effort": True, **fields}
        self.jobs[name] = Job(name, steps, json.dumps(body).encode())
        return self.jobs[name]

    def route_channel(self, client, zone):
        """The node that the platform forwards a new channel of the client to (Ingress)."""
        nodes = [i for i in self.instances if i.zone == zone]
        rotation = [i for i in nodes if i.ready]
        if not rotation:
            others = [i for i in self.instances if i.ready]
            rotation = others or nodes
        elif 2 * len(rotation) < len(nodes):
            rotation = nodes
        return rotation[zlib.crc32(client.encode()) % len(rotation)]

    async def call(self, ip, port, method, path, body=b"", headers=""):
        writer = None
        try:
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: application/json\r\n"
                          "Content-Length: %d\r\n\r\n" % (method, path, HOST, headers, len(body))
                          ).encode() + body)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            if writer is not None:
                writer.transport.abort()

    async def send(self, client, node, method, job, budget_ms, leave_s=None):
        """A client's request on a new channel; returns (status or a word, body)."""
        self.record("%s sends %s of %s to %s, Deadline-Ms %d" % (
            client, method, job.name, node.name, budget_ms))
        try:
            status, answer = await asyncio.wait_for(
                self.call(node.ip, self.port, method, "/q/" + job.name,
                          job.body if method == "POST" else b"",
                          "Deadline-Ms: %d\r\n" % budget_ms),
                leave_s if leave_s is not None else budget_ms / 1000)
        except asyncio.TimeoutError:
            status, answer = "no answer", b""
        except (OSError, asyncio.IncompleteReadError):
            status, answer = "broken channel", b""
        self.record("%s: %s of %s by %s: %s %s" % (
            client, method, job.name, node.name, status, answer.decode()))
        return status, answer

    # The whole

    def publish(self, version=7, dropped=False, **service):
        """The operator writes a configuration; `dropped`: without the route of the clients."""
        routes = [{"name": name, "host": HOST, "prefix": prefix, "service": "words",
                   "priority": 0, "max_attempts": 3, "timeout_ms": 30000, "target_factor": 1.6,
                   "target_latency_ms": 60}
                  for name, prefix in (("words", "/q/"), ("other", "/other/"))]
        self.store.put("op/config", {
            "version": version, "limits": {}, "routes": routes[1:] if dropped else routes,
            "services": [{"name": "words", "enforces_capacity": True, **service}]})

    async def start(self, make_executor=None, probe=None, **service):
        await self.store_server.open()
        self.publish(**service)
        count = 0
        for zone in ZONES:
            for i in range(EXECUTORS_PER_ZONE):
                count += 1
                args = (self, "%s-%016x" % (zone[-1], self.rng.getrandbits(64)), zone,
                        "%s.%d" % (self.net, 100 + count), self.port)
                self.executors.append(
                    make_executor(args, i) if make_executor else Executor(*args))
        for executor in self.executors:
            await executor.start()
            self.tasks.append(asyncio.create_task(executor.heartbeats()))
        for instance in self.instances:
            await instance.start()
            self.tasks.append(asyncio.create_task(instance.check_ready()))
        end_s = time.monotonic() + 20
        while not all(i.ready for i in self.instances):
            if time.monotonic() > end_s:
                raise CannotRun("the instances do not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)  # the machines are in touch
        for instance in self.instances:
            job = self.new_job([{"count": 2, "cpu": 4000, "work_s": 0.06, **(probe or {})}])
            status, _ = await self.send("probe", instance, "POST", job, 5000)
            if status != 200:
                raise CannotRun("%s does not serve: %s" % (instance.name, status))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for executor in self.executors:
            executor.server.close()
        self.store_server.close()


def main(case, play, seed=1):
    """Runs `play(rig)`; exits with 1 if it reported a broken rule, 0 if none, 2 if it failed."""

    async def whole():
        rig = Rig(case, seed)
        played = asyncio.ensure_future(play(rig))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, played.cancel)
        try:
            await asyncio.wait_for(played, 110)
            for instance in rig.instances:
                if instance.process.returncode is not None:
                    raise CannotRun("%s has ended" % instance.name)
        finally:
            await rig.stop()
        verdict = "broken %d times" % len(rig.violations) if rig.violations else "held"
        rig.record("the rule %s" % verdict)
        print("the rule %s" % verdict)
        return 1 if rig.violations else 0

    try:
        status = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as error:  # the case did not run to its end
        print("could not run: %r" % error)
        status = 2
    sys.exit(status)
