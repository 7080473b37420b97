"""Stand-ins of the users' platform for the soak: its store, executors and a fault-injecting proxy.

Each keeps the published protocol and runs in the event loop of the soak. Times of runs and leases are
computed, not waited for, so that a late event loop makes no lease longer than it was.
"""

import asyncio
import base64
import json
import random
import time
import urllib.parse

LEASE_MAX_MS = 1000
STOP_MS = 50


class Hang(Exception):
    """The call gets no answer."""


class Refuse(Exception):
    """The connection is closed without an answer."""


async def read_message(reader):
    """Reads one HTTP request or response: (first line, headers in lower case, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """Serves `handle(method, path, query, headers, body) -> (status, object)` on a loopback port."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

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
        except Hang:
            await self.hang(reader)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, Refuse):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def hang(reader):
        """Keeps the connection open without an answer until the other side closes it."""
        try:
            while await reader.read(4096):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass

    def drop_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The key-value store of the platform: ranges and watches."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.first = 1  # revision from which the history is complete
        self.changed = asyncio.Event()
        self.mode = {}  # instance, or "all" -> "hang", "refuse" or "busy"

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "rev": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["deleted"] = True
        else:
            item["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = item
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.history = []
        self.first = self.revision + 1

    def serve(self, instance):
        """Handler for one instance, so that single ones can be turned away."""

        async def handle(method, path, query, headers, body):
            mode = self.mode.get(instance) or self.mode.get("all")
            if mode == "hang":
                raise Hang
            if mode == "refuse":
                raise Refuse
            if mode == "busy":
                return 503, {}
            prefix = query.get("prefix", "")
            if path == "/api/kv-range":
                rows = [self.items[k] for k in sorted(self.items)
                        if k.startswith(prefix) and k > query.get("after", "")]
                return 200, {"items": rows, "has_more": False, "store_revision": self.revision}
            if path == "/api/kv-watch":
                return await self.watch(prefix, int(query["after"]), int(query["wait_ms"]))
            return 404, {}

        return handle

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if after + 1 < self.first:
                return 410, {}
            rows = [i for i in self.history if i["rev"] > after and i["key"].startswith(prefix)]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"events": rows, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, cpu, ends, good):
        self.task = task
        self.number = number
        self.cpu = cpu
        self.started = time.monotonic()
        self.ends = ends  # monotonic time of its own end
        self.good = good
        self.stop_at = None


class Executor:
    """A worker that runs tasks under leases. `world` knows the jobs and checks every start and end."""

    def __init__(self, world, name, zone, port, rng):
        self.world = world
        self.name = name
        self.zone = zone
        self.port = port
        self.address = "127.0.0.1:%d" % port
        self.rng = rng
        self.rate = rng.uniform(0.98, 1.0)  # of its steady clock
        self.cpu = 16000
        self.factor = rng.choice([0.8, 1.0, 1.25])
        self.mode = ""  # "hang", "errors", "stall" or "late"
        self.server = HttpServer(self.handle)
        self.reborn()

    def reborn(self):
        """A new life under the same name: everything that ran is gone."""
        now = time.monotonic()
        for run in getattr(self, "runs", {}).values():
            self.world.run_ended(self, run, "crashed", now)
        self.born = int(time.time() * 1000)
        self.zero = now
        self.fence = 0
        self.deadline = 0.0  # monotonic
        self.last = 0
        self.ended = []
        self.runs = {}  # task -> Run
        self.highest = {}  # task -> highest number that ended here
        self.woken = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * self.rate * 1000)

    def entry(self, state="ready"):
        return {"service": "words", "address": self.address, "zone": self.zone, "state": state,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0}, "labels": ["a", "r1"],
                "born": self.born, "version": "v1", "slots": 8, "seq": 1}

    def end(self, run, how, when):
        self.last += 1
        self.ended.append([self.last, run.task, run.number, how, ""])
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        del self.runs[run.task]
        self.world.run_ended(self, run, how, when)
        self.woken.set()
        self.woken = asyncio.Event()

    def update(self):
        """Carries out all ends up to now, in the order of their times."""
        now = time.monotonic()
        while True:
            due = []
            for run in self.runs.values():
                due.append((self.deadline, "lapsed", run))
                if run.stop_at is not None:
                    due.append((run.stop_at, "stopped", run))
                if self.mode != "stall":
                    due.append((run.ends, "done" if run.good else "failed", run))
            due = [row for row in due if row[0] <= now]
            if not due:
                break
            when, how, run = min(due, key=lambda row: row[0])
            self.end(run, how, when)

    def extend(self, body):
        wanted = body.get("deadline_ms", 0)
        if wanted:
            until = self.zero + min(wanted, self.clock_ms() + LEASE_MAX_MS) / 1000 / self.rate
            self.deadline = max(self.deadline, until)

    def conflict(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def handle(self, method, path, query, headers, body):
        if self.mode == "hang":
            raise Hang
        body = json.loads(body)
        if path != "/api/hold" and self.mode == "late" and self.rng.random() < 0.3:
            delay = self.rng.uniform(0.3, 3)
            asyncio.get_running_loop().call_later(delay, self.order, path, headers, body)
            raise Hang
        if path == "/api/hold":
            return await self.hold(headers, body)
        return self.order(path, headers, body)

    def order(self, path, headers, body):
        refusal = self.check_sender(headers, body)
        if refusal is not None:
            return refusal
        return self.stop(body) if path == "/api/run-stop" else self.start(body)

    def check_sender(self, headers, body):
        """The answer to a call for another executor or with an old fence, else None."""
        self.update()
        if headers.get("expect-instance") != self.name:
            return 421, {}
        if body["fence"] < self.fence:
            return self.conflict("fence")
        self.fence = body["fence"]
        return None

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self.conflict("late")
        self.extend(body)
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.highest.get(task, 0) or (present and number <= present.number):
            return self.conflict("old")
        size = self.world.task_size(task, body["spec"])
        if size is None:
            return 400, {}
        cpu, work_s, good = size
        if sum(run.cpu for run in self.runs.values()) + cpu > self.cpu:
            return self.conflict("room")
        good = good and self.mode != "errors"
        ends = time.monotonic() + work_s * self.factor * (0.3 if not good else 1)
        run = Run(task, number, cpu, ends, good)
        self.world.run_started(self, run)
        self.runs[task] = run
        asyncio.get_running_loop().call_later(max(0, ends - time.monotonic()) + 0.001, self.update)
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, body):
        run = self.runs.get(body["task"])
        if run is not None and run.number == body["run"] and run.stop_at is None:
            run.stop_at = time.monotonic() + self.rng.uniform(0, STOP_MS) / 1000
            asyncio.get_running_loop().call_later(STOP_MS / 1000 + 0.001, self.update)
        elif run is None:
            self.highest[body["task"]] = max(body["run"], self.highest.get(body["task"], 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, headers, body):
        refusal = self.check_sender(headers, body)
        if refusal is not None:
            return refusal
        self.extend(body)
        self.ended = [row for row in self.ended if row[0] > body.get("last_seen", 0)]
        born, end = self.born, time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < end and born == self.born:
            try:
                await asyncio.wait_for(self.woken.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
            self.update()
        if born != self.born:
            raise Refuse
        if body["fence"] < self.fence:
            return self.conflict("fence")
        now = time.monotonic()
        rows = [[r.task, r.number, "", int(max(0, min(99, 100 * (now - r.started)
                                                     / max(1e-3, r.ends - r.started))))
                 if self.mode != "stall" else 0] for r in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": rows,
                     "ended_runs": self.ended[:500]}


class Proxy:
    """Forwards connections to `target`; each direction can be delayed, silenced or reset.

    `cuts` holds names of dialling instances whose bytes wait, in the direction given.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.silent = False
        self.one_way = False  # only answers are held back
        self.cut_names = set()
        self.open_links = []
        self.server = None

    async def open(self, port):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port)

    async def connection(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        link = {"name": "", "writers": (writer, other_writer)}
        tasks = [asyncio.create_task(self.pump(link, reader, other_writer, False)),
                 asyncio.create_task(self.pump(link, other_reader, writer, True))]
        link["tasks"] = tasks
        self.open_links.append(link)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for end in link["writers"]:
            end.transport.abort()
        self.open_links.remove(link)

    def held(self, link, is_answer):
        if self.silent and (is_answer or not self.one_way):
            return True
        return link["name"] in self.cut_names

    async def pump(self, link, reader, writer, is_answer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                if not is_answer and not link["name"]:
                    # The first frame of a connection between instances names its sender.
                    at = data.find(b"#")
                    link["name"] = data[max(0, at - 2):at].decode("latin-1") if at > 0 else "?"
                while self.held(link, is_answer):
                    await asyncio.sleep(0.01)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return

    def reset(self, share=1.0, rng=random):
        for link in list(self.open_links):
            if rng.random() < share:
                for end in link["writers"]:
                    end.transport.abort()
