"""Stand-ins of the users' platform for the soak: its store, executors and a fault-injecting proxy.

The stand-ins follow the published protocol and run in the event loop of the soak. The ends of runs
and leases are computed from their times, so that a delayed event loop does not prolong a lease.
"""

import asyncio
import base64
import json
import random
import time
import urllib.parse

LEASE_MAX_MS = 1000  # longest lease that an executor grants
STOP_MS = 50  # longest time that a run takes to stop


class NoAnswer(Exception):
    """Leaves the call without an answer and the connection open."""


class CloseConnection(Exception):
    """Closes the connection without an answer."""


async def read_message(reader):
    """Reads an HTTP message; returns (first line, headers with names in lower case, body)."""
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
        except NoAnswer:
            await self.hold_open(reader)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError,
                CloseConnection):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def hold_open(reader):
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
        self.first_revision = 1  # the history has all changes from this revision on
        self.changed = asyncio.Event()
        self.mode = {}  # instance name, or "all" -> "hang", "refuse" or "busy"

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
        self.first_revision = self.revision + 1

    def serve(self, instance):
        """Returns the handler for one instance, so that the store can fail for this one alone."""

        async def handle(method, path, query, headers, body):
            mode = self.mode.get(instance) or self.mode.get("all")
            if mode == "hang":
                raise NoAnswer
            if mode == "refuse":
                raise CloseConnection
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
            if after + 1 < self.first_revision:
                return 410, {}
            rows = [i for i in self.history if i["rev"] > after and i["key"].startswith(prefix)]
            remaining_s = end - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, {"events": rows, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, cpu, ends_at_s, succeeds):
        self.task = task
        self.number = number
        self.cpu = cpu
        self.started_at_s = time.monotonic()
        self.ends_at_s = ends_at_s  # monotonic time; a stop or lease expiry ends it earlier
        self.succeeds = succeeds
        self.stop_at_s = None


class Executor:
    """A target that runs tasks under leases. `soak` has the jobs and checks each start and end."""

    def __init__(self, soak, name, zone, port, rng):
        self.soak = soak
        self.name = name
        self.zone = zone
        self.port = port
        self.address = "127.0.0.1:%d" % port
        self.rng = rng
        self.clock_rate = rng.uniform(0.98, 1.0)  # of its clock, relative to the monotonic one
        self.cpu = 16000
        self.run_time_factor = rng.choice([0.8, 1.0, 1.25])
        self.mode = ""  # "hang", "errors", "stall" or "late"
        self.reject_share = 0.0  # of the calls, which it rejects as unhealthy and does not carry out
        self.reaches_store = True
        self.server = HttpServer(self.handle)
        self.restart()

    def restart(self):
        """Begins a new incarnation under the same name; all runs end as crashed."""
        now = time.monotonic()
        for run in getattr(self, "runs", {}).values():
            self.soak.run_ended(self, run, "crashed", now)
        for row in getattr(self, "ended_runs", []):
            if row[0] > self.last_told:
                self.soak.end_lost(self, row)
        self.incarnation = int(time.time() * 1000)
        self.clock_zero_s = now
        self.fencing_token = 0
        self.lease_end_s = 0.0  # monotonic time
        self.last_ended = 0
        self.ended_runs = []
        self.last_told = 0  # number of the latest end that was in an answer
        self.runs = {}  # task -> Run
        self.highest_number = {}  # task -> highest run number that ended or was stopped here
        self.run_ended_event = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_zero_s) * self.clock_rate * 1000)

    def entry(self, state="ready"):
        return {"service": "words", "address": self.address, "zone": self.zone, "state": state,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0}, "labels": ["a", "r1"],
                "born": self.incarnation, "version": "v1", "slots": 8, "seq": 1}

    def end_run(self, run, end_kind, when):
        self.last_ended += 1
        self.ended_runs.append([self.last_ended, run.task, run.number, end_kind, ""])
        self.highest_number[run.task] = max(run.number, self.highest_number.get(run.task, 0))
        del self.runs[run.task]
        self.soak.run_ended(self, run, end_kind, when)
        self.run_ended_event.set()
        self.run_ended_event = asyncio.Event()

    def end_due_runs(self):
        """Ends all runs whose end is due, in the order of their times."""
        now = time.monotonic()
        while True:
            due = []
            for run in self.runs.values():
                due.append((self.lease_end_s, "lapsed", run))
                if run.stop_at_s is not None:
                    due.append((run.stop_at_s, "stopped", run))
                if self.mode != "stall":
                    due.append((run.ends_at_s, "done" if run.succeeds else "failed", run))
            due = [row for row in due if row[0] <= now]
            if not due:
                break
            when, end_kind, run = min(due, key=lambda row: row[0])
            self.end_run(run, end_kind, when)

    def extend_lease(self, body):
        requested_ms = body.get("deadline_ms", 0)
        if requested_ms:
            until = (self.clock_zero_s
                     + min(requested_ms, self.clock_ms() + LEASE_MAX_MS) / 1000 / self.clock_rate)
            self.lease_end_s = max(self.lease_end_s, until)

    def conflict(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def handle(self, method, path, query, headers, body):
        if self.mode == "hang":
            raise NoAnswer
        if self.rng.random() < self.reject_share:
            return self.rng.choice([429, 503]), {}
        body = json.loads(body)
        if path != "/api/hold" and self.mode == "late" and self.rng.random() < 0.3:
            delay = self.rng.uniform(0.3, 3)
            asyncio.get_running_loop().call_later(delay, self.handle_late_call, self.incarnation,
                                                  path, headers, body)
            raise NoAnswer
        if path == "/api/hold":
            return await self.hold(headers, body)
        return self.handle_run_call(path, headers, body)

    def handle_late_call(self, incarnation, path, headers, body):
        """Carries a call out, unless the process that had received it has ended."""
        if incarnation == self.incarnation:
            self.handle_run_call(path, headers, body)

    def handle_run_call(self, path, headers, body):
        refusal = self.check_sender(headers, body)
        if refusal is not None:
            return refusal
        return self.stop(body) if path == "/api/run-stop" else self.start(body)

    def check_sender(self, headers, body):
        """Returns the error for another executor's name or an old fencing token, else None."""
        self.end_due_runs()
        if headers.get("expect-instance") != self.name:
            return 421, {}
        if body["fence"] < self.fencing_token:
            return self.conflict("fence")
        self.fencing_token = body["fence"]
        return None

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self.conflict("late")
        self.extend_lease(body)
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.highest_number.get(task, 0) or (current and number <= current.number):
            return self.conflict("old")
        size = self.soak.task_size(task, body["spec"])
        if size is None:
            return 400, {}
        cpu, work_s, succeeds = size
        if sum(run.cpu for run in self.runs.values()) + cpu > self.cpu:
            return self.conflict("room")
        succeeds = succeeds and self.mode != "errors"
        ends_at_s = time.monotonic() + work_s * self.run_time_factor * (0.3 if not succeeds else 1)
        run = Run(task, number, cpu, ends_at_s, succeeds)
        self.soak.run_started(self, run)
        self.runs[task] = run
        asyncio.get_running_loop().call_later(
            max(0, ends_at_s - time.monotonic()) + 0.001, self.end_due_runs)
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, body):
        run = self.runs.get(body["task"])
        if run is not None and run.number == body["run"] and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + self.rng.uniform(0, STOP_MS) / 1000
            asyncio.get_running_loop().call_later(STOP_MS / 1000 + 0.001, self.end_due_runs)
        elif run is None:
            self.highest_number[body["task"]] = max(
                body["run"], self.highest_number.get(body["task"], 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, headers, body):
        refusal = self.check_sender(headers, body)
        if refusal is not None:
            return refusal
        self.extend_lease(body)
        self.ended_runs = [row for row in self.ended_runs if row[0] > body.get("last_seen", 0)]
        incarnation, end = self.incarnation, time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended_runs and time.monotonic() < end and incarnation == self.incarnation:
            try:
                await asyncio.wait_for(self.run_ended_event.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
            self.end_due_runs()
        if incarnation != self.incarnation:
            raise CloseConnection
        if body["fence"] < self.fencing_token:
            return self.conflict("fence")
        told = self.ended_runs[:500]
        if told:
            self.last_told = max(self.last_told, told[-1][0])
        now = time.monotonic()
        rows = [[r.task, r.number, "", int(max(0, min(99, 100 * (now - r.started_at_s)
                                                     / max(1e-3, r.ends_at_s - r.started_at_s))))
                 if self.mode != "stall" else 0] for r in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.incarnation, "running": rows,
                     "ended_runs": told}


class Proxy:
    """Forwards connections to the port `target`; can delay, hold back or reset them.

    `blocked_names` has the names of instances whose connections to `target` are held back.
    """

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.blocked = False
        self.blocks_answers_only = False  # `blocked` holds back only the bytes from `target`
        self.blocked_names = set()
        self.open_links = []
        self.server = None

    async def open(self, port):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port)

    async def close(self):
        """Resets all connections; new ones are refused until the next call of open()."""
        self.server.close()
        self.reset()
        await self.server.wait_closed()

    async def connection(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        link = {"name": "", "writers": (writer, other_writer)}
        tasks = [asyncio.create_task(self.forward_bytes(link, reader, other_writer, False)),
                 asyncio.create_task(self.forward_bytes(link, other_reader, writer, True))]
        link["tasks"] = tasks
        self.open_links.append(link)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for end in link["writers"]:
            end.transport.abort()
        self.open_links.remove(link)

    def is_blocked(self, link, is_answer):
        if self.blocked and (is_answer or not self.blocks_answers_only):
            return True
        return link["name"] in self.blocked_names

    async def forward_bytes(self, link, reader, writer, is_answer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                if not is_answer and not link["name"]:
                    # The first frame between instances has the name of its sender before "#".
                    at = data.find(b"#")
                    link["name"] = data[max(0, at - 2):at].decode("latin-1") if at > 0 else "?"
                while self.is_blocked(link, is_answer):
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
