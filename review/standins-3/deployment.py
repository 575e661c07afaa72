"""Small deployment on loopback: the project's daemons as separate processes,
and stand-ins for executors, clients and the operator, written from the pages
of the platform. Standard library only."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_MS = 900
SAVE_MS = 2000
RESTORE_MS = 250
GANG_MS = 3000
ZONES = ["puebla", "queretaro", "tlaxcala"]


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, *words):
        line = "%8.3f %s" % (self.now(), " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()
        return line

    def say(self, *words):
        print(self.add(*words), flush=True)


# ---- HTTP ----


async def http_read(reader, is_request):
    """Reads one message; returns (first line, headers, body) or None."""
    try:
        line = await reader.readline()
        if not line.strip():
            return None
        headers = {}
        while True:
            row = (await reader.readline()).decode("latin-1").strip()
            if not row:
                break
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size) if size else b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                length = int((await reader.readline()).split(b";")[0], 16)
                parts.append(await reader.readexactly(length))
                await reader.readline()
                if not length:
                    break
            body = b"".join(parts)
        return line.decode("latin-1").strip(), headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


async def http_call(address, method, path, body=None, headers=None,
                    timeout=3.0, source=None):
    """Sends one request on a new connection; returns (status, body, headers),
    status 0 without a complete answer."""
    host, _, port = address.rpartition(":")
    writer = None

    async def go():
        nonlocal writer
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=local)
        data = body if body is not None else b""
        if not isinstance(data, bytes):
            data = json.dumps(data).encode()
        head = {"Host": address, "Connection": "close"}
        if data:
            head["Content-Type"] = "application/json"
        if data or method == "POST":
            head["Content-Length"] = str(len(data))
        head.update(headers or {})
        text = "%s %s HTTP/1.1\r\n" % (method, path)
        text += "".join("%s: %s\r\n" % pair for pair in head.items())
        writer.write(text.encode() + b"\r\n" + data)
        await writer.drain()
        answer = await http_read(reader, False)
        if not answer:
            return 0, b"", {}
        return int(answer[0].split()[1]), answer[2], answer[1]

    try:
        return await asyncio.wait_for(go(), timeout)
    except (asyncio.TimeoutError, OSError):
        return 0, b"", {}
    finally:
        if writer:
            writer.close()


# ---- executors ----


class Run:
    def __init__(self, task, nr, work_ms, checkpoint, lasts, fails):
        self.task, self.nr = task, nr
        self.work_ms, self.lasts, self.fails = work_ms, lasts, fails
        self.checkpoint = checkpoint
        self.began = time.monotonic()
        self.stopping = False
        self.timer = None
        self.gang = None


class Gang:
    """One run of a gang, on all its executors. Its members work only from the
    moment when all are present. All have to carry the same checkpoint: members
    with another one aren't those that a member waits for."""

    def __init__(self, site, key, count, work_ms, saves):
        self.site, self.key, self.count = site, key, count
        self.work_ms, self.saves = work_ms, saves
        self.members = {}  # task -> (executor, run)
        self.from_ms = 0
        self.working_since = None
        self.timer = None

    def worked_ms(self):
        if self.working_since is None:
            return self.from_ms
        done = (time.monotonic() - self.working_since) * 1000
        return self.from_ms + max(0, int(done))

    def value(self, work_ms):
        return "%08x%s" % (work_ms, self.key[0].split(".")[0][8:])

    def saved(self, at_stop=False):
        """The checkpoint of the work done so far, "": none."""
        work = self.worked_ms()
        if not self.saves:
            return ""
        if not at_stop:
            work = max(self.from_ms, work - work % SAVE_MS)
        return self.value(work) if work else ""

    def join(self, executor, run):
        self.members[run.task] = (executor, run)
        loop = asyncio.get_event_loop()
        values = {member.checkpoint for _, member in self.members.values()}
        if len(self.members) < self.count or len(values) > 1:
            run.timer = loop.call_later(GANG_MS / 1000.0, executor.finish,
                                        run, "alone")
            return
        value = values.pop()
        self.from_ms = int(value[:8], 16) if value else 0
        restore = RESTORE_MS if value else 0
        self.working_since = time.monotonic() + restore / 1000.0
        for other, member in self.members.values():
            other.drop_timer(member)
        left = max(0, self.work_ms - self.from_ms) + restore
        self.timer = loop.call_later(left / 1000.0, self.done)
        self.site.record.add("gang", *self.key, "works from", self.from_ms)

    def done(self):
        for executor, run in list(self.members.values()):
            run.gang = None
            executor.finish(run, "done")

    def leave(self, run):
        """A member has ended: the others end with it."""
        self.members.pop(run.task, None)
        if self.timer:
            self.timer.cancel()
        for executor, other in list(self.members.values()):
            saved = self.saved()
            self.members.pop(other.task, None)
            other.gang = None
            executor.finish(other, "broken", saved)


class Executor:
    """One executor. A restart keeps id and address and forgets the rest."""

    def __init__(self, site, nr, zone, service, capacity=None, labels=None):
        self.site, self.nr, self.zone = site, nr, zone
        self.record = site.record
        self.service = service
        self.id = "i-%08x" % random.getrandbits(32)
        self.capacity = capacity or {"cpu": 32000, "memMb": 125000}
        self.labels = labels or ["a", "r1-%d" % nr]
        self.ip = site.ip("side", nr)
        self.address = "%s:%d" % (self.ip, site.ports["app"])
        self.control = "%s:%d" % (self.ip, site.ports["control"])
        self.server = None
        self.beats = None
        self.up = False
        self.state = "ready"
        self.late = None  # function(path, body) -> seconds of delay or None
        self.mute = False  # leaves all calls unanswered
        self.grey = False  # fails all that it starts
        self.on_start = None  # called after a start was carried out
        self.on_call = None  # called with each request before it is handled
        self.writers = set()
        self.lives = 0
        self.log = []  # (time, event, task, run, extra)

    # -- life --

    def reset(self):
        self.born = int(time.time() * 1000)
        self.lives += 1
        self.began = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.runs = {}
        self.ends = []
        self.end_nr = 0
        self.highest = {}  # task -> highest run stopped or ended
        self.lease_until = 0.0
        self.lease_timer = None
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def note(self, event, task="", run=0, extra=""):
        self.log.append((self.record.now(), event, task, run, extra))
        self.record.add("executor", self.nr, "life", self.lives, event, task,
                        run if task else "", extra)

    async def start(self):
        self.reset()
        self.up = True
        self.state = "ready"
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.site.ports["app"], reuse_address=True)
        self.beats = asyncio.ensure_future(self.beat())
        self.note("up", extra="%s born %d" % (self.id, self.born))

    async def crash(self):
        """Ends at once: everything that runs is gone, connections reset."""
        self.up = False
        for run in list(self.runs.values()):
            self.note("gone", run.task, run.nr)
            self.drop_timer(run)
            if run.gang:
                run.gang.leave(run)
        self.runs = {}
        if self.lease_timer:
            self.lease_timer.cancel()
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.note("crash")

    async def drain(self, serve_s):
        """Leaves as planned: reports `draining`, serves on, then ends."""
        self.state = "draining"
        self.leave_at = time.monotonic() + serve_s
        self.note("draining")
        self.beats.cancel()
        self.beats = asyncio.ensure_future(self.beat())
        await asyncio.sleep(serve_s)
        await http_call(self.control, "POST",
                        "/Instances.Deregister/" + self.id,
                        {"born": self.born}, timeout=1.0, source=self.ip)
        await self.crash()

    def go_dark(self):
        """Is lost for good: runs nothing, says nothing, answers nothing; its
        channels stay open and silent."""
        self.mute = True
        self.beats.cancel()
        for run in list(self.runs.values()):
            self.note("gone", run.task, run.nr)
            self.drop_timer(run)
            if run.gang:
                run.gang.leave(run)
        self.runs = {}
        self.note("dark")

    async def beat(self):
        while True:
            self.seq += 1
            body = {
                "service": self.service, "addr": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "warmupLeftMs": 0,
                "capacity": self.capacity, "labels": self.labels,
                "serverTimeMs": self.clock_ms(), "born": self.born,
                "seq": self.seq,
            }
            if self.state == "draining":
                body["remainingMs"] = max(0, int(
                    (self.leave_at - time.monotonic()) * 1000))
            await http_call(self.control, "POST",
                            "/Instances.Heartbeat/" + self.id, body,
                            timeout=1.0, source=self.ip)
            await asyncio.sleep(HEARTBEAT_S)

    # -- runs --

    def drop_timer(self, run):
        if run.timer:
            run.timer.cancel()

    def finish(self, run, how, saved=None):
        if self.runs.get(run.task) is not run:
            return
        if saved is None:
            saved = run.gang.saved(how == "stopped") if run.gang else ""
        del self.runs[run.task]
        self.drop_timer(run)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.nr)
        self.end_nr += 1
        self.ends.append([self.end_nr, run.task, run.nr, how, saved])
        self.note("end " + how, run.task, run.nr, saved)
        self.changed.set()
        if run.gang:
            run.gang.leave(run)

    def lapse(self):
        left = self.lease_until - time.monotonic()
        if left > 0.001:
            self.arm_lease()
            return
        for run in list(self.runs.values()):
            self.finish(run, "lapsed")

    def arm_lease(self):
        if self.lease_timer:
            self.lease_timer.cancel()
        loop = asyncio.get_event_loop()
        self.lease_timer = loop.call_later(
            max(0.0, self.lease_until - time.monotonic()), self.lapse)

    def extend(self, body):
        deadline = body.get("deadlineMs")
        if not deadline:
            return
        now = time.monotonic()
        until = min(self.began + deadline / 1000.0,
                    now + HOLD_MAX_MS / 1000.0)
        if until > self.lease_until:
            self.lease_until = until
            self.arm_lease()

    def answer(self, status, **more):
        more["serverTimeMs"] = self.clock_ms()
        return status, more

    def refused(self, body):
        if body.get("fence", 0) < self.fence:
            return True
        self.fence = max(self.fence, body.get("fence", 0))
        return False

    def run_start(self, body):
        task, nr = body["task"], body["run"]
        if self.refused(body):
            self.note("start refused fence", task, nr)
            return self.answer(409, reason="fence")
        known = self.runs.get(task)
        if known and known.nr == nr:
            self.extend(body)
            return self.answer(200)
        if (known and known.nr > nr) or nr <= self.highest.get(task, 0):
            self.extend(body)
            self.note("start refused old", task, nr)
            return self.answer(409, reason="old")
        deadline = body.get("deadlineMs", 0)
        if deadline <= self.clock_ms() and time.monotonic() >= self.lease_until:
            self.note("start refused late", task, nr)
            return self.answer(409, reason="late")
        self.extend(body)
        work = self.site.work_of(task)
        run = Run(task, nr, work.get("ms", 800), body.get("checkpoint", ""),
                  work.get("lasts", False), work.get("fails", False))
        self.runs[task] = run
        if self.grey:
            asyncio.get_event_loop().call_soon(self.finish, run, "failed", "")
        elif "gang" in work:
            run.gang = self.site.gang_of(task, nr, work)
            run.gang.join(self, run)
        elif not run.lasts:
            run.timer = asyncio.get_event_loop().call_later(
                run.work_ms / 1000.0, self.finish, run,
                "failed" if run.fails else "done")
        self.note("start", task, nr, "checkpoint %s" % (
            body.get("checkpoint") or "-"))
        if self.on_start:
            self.on_start(self, task, nr)
        return self.answer(200)

    def run_stop(self, body):
        task, nr = body["task"], body["run"]
        if self.refused(body):
            return self.answer(409, reason="fence")
        self.highest[task] = max(self.highest.get(task, 0), nr)
        run = self.runs.get(task)
        self.note("stop", task, nr)
        if run and run.nr <= nr and not run.stopping:
            run.stopping = True
            self.drop_timer(run)
            run.timer = asyncio.get_event_loop().call_later(
                0.05, self.finish, run, "stopped")
        return self.answer(200)

    async def hold(self, body):
        if self.refused(body):
            return self.answer(409, reason="fence")
        self.extend(body)
        ack = body.get("ackCursor", 0)
        self.ends = [end for end in self.ends if end[0] > ack]
        wait = min(body.get("waitMs", 0), 2000) / 1000.0
        if wait and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        rows = []
        for run in self.runs.values():
            percent = 100 if run.lasts else min(99, int(
                (time.monotonic() - run.began) * 100000 / run.work_ms))
            if run.gang:
                percent = min(99, run.gang.worked_ms() * 100 //
                              run.gang.work_ms)
            saved = run.gang.saved() if run.gang else run.checkpoint
            rows.append([run.task, run.nr, saved or run.checkpoint, percent,
                         10])
        return self.answer(200, running=rows, endedRuns=self.ends[:500],
                           born=self.born)

    async def handle(self, path, body):
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/hold":
            return await self.hold(body)
        if path == "/pace":
            if self.refused(body):
                return self.answer(409, reason="fence")
            return self.answer(200)
        return 404, {}

    async def carry_out_late(self, delay, path, headers, body):
        await asyncio.sleep(delay)
        if not self.up or \
                headers.get("x-masticreach-target-instance") != self.id:
            return
        self.note("late call", body.get("task", path), body.get("run", 0))
        await self.handle(path, body)

    async def serve(self, reader, writer):
        life = self.lives
        self.writers.add(writer)
        try:
            while self.up and life == self.lives:
                request = await http_read(reader, True)
                if not request:
                    break
                line, headers, data = request
                path = line.split()[1]
                body = json.loads(data or b"{}")
                if self.on_call:
                    self.on_call(self, path, body)
                delay = self.late(path, body) if self.late else None
                if delay is not None:
                    self.note("unanswered", body.get("task", path),
                              body.get("run", 0), "late by %.1f s" % delay)
                    asyncio.ensure_future(
                        self.carry_out_late(delay, path, headers, body))
                    await asyncio.sleep(30)
                    break
                if self.mute:
                    await asyncio.sleep(60)
                    break
                if headers.get("x-masticreach-target-instance") != self.id:
                    status, out = self.answer(421)
                else:
                    status, out = await self.handle(path, body)
                if self.mute:
                    await asyncio.sleep(60)
                    break
                text = json.dumps(out).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---- the deployment ----


class Daemon:
    def __init__(self, site, name, role, zone, ip, fields):
        self.site, self.name, self.role = site, name, role
        self.zone, self.ip, self.fields = zone, ip, fields
        self.process = None
        self.output = os.path.join(site.folder, name + ".log")
        self.data = os.path.join(site.folder, name + ".data")
        self.ended = []  # exit codes of processes that weren't stopped here

    def write_settings(self):
        fields = dict(self.fields)
        text = open(os.path.join(ROOT, "deploy", "node.conf")).read()

        def fill(match):
            return str(fields.get(match.group(1), ""))

        zones = ",".join(ZONES)
        text = text.replace("{{#zones}}{{@}}{{,}}{{/zones}}", zones)
        text = re.sub(r"\{\{([a-zA-Z.0-9]+)\}\}", fill, text)
        path = os.path.join(self.site.folder, self.name + ".conf")
        with open(path + ".new", "w") as file:
            file.write(text)
        os.rename(path + ".new", path)
        return path

    async def start(self, bootstrap=False):
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        self.fields["bootstrap"] = "true" if bootstrap else "false"
        path = self.write_settings()
        env = {"MASTICREACH_NODE_FILE": path, "PATH": os.environ["PATH"],
               "HOME": self.site.folder}
        out = open(self.output, "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "masticreachd"), cwd=ROOT, env=env,
            stdout=out, stderr=out, stdin=asyncio.subprocess.DEVNULL)
        out.close()
        self.site.record.add("process", self.name, "started",
                             self.process.pid)

    def send(self, signal_nr):
        self.site.record.add("process", self.name,
                             signal.Signals(signal_nr).name)
        self.process.send_signal(signal_nr)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()

    def running(self):
        return self.process and self.process.returncode is None


class Site:
    def __init__(self, record_path, sides=3, edges=1, service="libro",
                 capacity=None, side_zones=None):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d" % (random.randrange(20, 250),
                                  random.randrange(1, 250))
        base = random.randrange(20000, 28000)
        self.ports = {"range": base, "front": base + 1, "ready": base + 2,
                      "control": base + 3, "app": base + 4,
                      "advice": base + 5}
        self.service = service
        self.work = {}  # prefix of a task's name -> dict
        self.gangs = {}  # (step's name, run) -> Gang
        self.daemons = {}
        self.executors = []
        self.version = 0
        cores = ["%s:%d" % (self.ip("core", i), self.ports["control"])
                 for i in range(3)]
        seeds = ["%s:%d" % (self.ip("core", i), self.ports["range"])
                 for i in range(3)]
        self.cores = cores
        for i in range(3):
            self.add("core-%d" % i, "control", ZONES[i], self.ip("core", i),
                     seeds)
        for i in range(edges):
            self.add("edge-%d" % i, "entry", ZONES[i % 3],
                     self.ip("edge", i), seeds)
        for i in range(sides):
            zone = (side_zones or ZONES)[i % len(side_zones or ZONES)]
            self.add("side-%d" % i, "agent", zone, self.ip("side", i), seeds)
            self.executors.append(Executor(self, i, zone, service, capacity))
        self.queue = {"host": "taller.example", "prefix": "/libro/"}

    def ip(self, kind, nr):
        return "%s.%d" % (self.net, {"core": 10, "edge": 50,
                                     "side": 100}[kind] + nr)

    def add(self, name, role, zone, ip, seeds):
        ports = self.ports
        fields = {
            "role": role, "node": name, "zone": zone, "ip": ip,
            "portRange.0": ports["range"], "seeds": ",".join(seeds),
            "dataDir": "", "app": "", "advice": "",
            "listen.front": "", "listen.control": "",
            "listen.readinessAddr": "", "bounds.holdMaxMs": HOLD_MAX_MS,
            "bounds.stopMs": STOP_MS, "bounds.saveS": SAVE_MS // 1000,
            "bounds.restoreMs": RESTORE_MS, "faultTolerance.machines": 1,
            "bounds.graceS": 6,
        }
        daemon = Daemon(self, name, role, zone, ip, fields)
        if role == "entry":
            fields["listen.front"] = "%s:%d" % (ip, ports["front"])
            fields["listen.readinessAddr"] = "%s:%d" % (ip, ports["ready"])
        else:
            fields["listen.control"] = "%s:%d" % (ip, ports["control"])
        if role == "agent":
            fields["app"] = "%s:%d" % (ip, ports["app"])
        if role == "control":
            fields["dataDir"] = daemon.data
        self.daemons[name] = daemon
        return daemon

    def work_of(self, task):
        best = {}
        length = -1
        for prefix, work in self.work.items():
            if task.startswith(prefix) and len(prefix) > length:
                best, length = work, len(prefix)
        return best

    def gang_of(self, task, nr, work):
        step = task.rsplit(".", 1)[0]
        key = (step, nr)
        if key not in self.gangs:
            self.gangs[key] = Gang(self, key, work["gang"], work["ms"],
                                   work.get("saves", False))
        return self.gangs[key]

    # -- operator --

    def route(self, prefix="/libro/", name="r-libro", **more):
        route = {"name": name, "host": self.queue["host"],
                 "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
                 "sloMs": 1000, "priority": 0, "service": self.service,
                 "attempts": 3, "slackFactor": 2.0}
        route.update(more)
        return route

    def manifest(self, routes=None, guards=True):
        self.version += 1
        return {
            "version": self.version,
            "routes": routes or [self.route()],
            "services": [{
                "name": self.service, "healthPath": "/health", "maxConns": 64,
                "protocol": "h1", "tls": False, "coldStartS": 0.0,
                "warmupPerS": 0.0, "enforcesCapacity": guards,
                "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }

    async def order(self, method, path, body=None, limit_s=20.0):
        """An order of the operator, sent until it has a clear answer."""
        end = time.monotonic() + limit_s
        pause = 0.1
        while time.monotonic() < end:
            for address in random.sample(self.cores, len(self.cores)):
                target, at = address, path
                for _ in range(3):
                    status, data, head = await http_call(
                        target, method, at, body, timeout=1.0)
                    if status != 307:
                        break
                    url = head.get("location", "")
                    target, _, at = url[len("http://"):].partition("/")
                    at = "/" + at
                if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                    self.record.add("operator", method, path, "->", status)
                    return status, data
            await asyncio.sleep(pause)
            pause = min(pause * 2, 0.5)
        self.record.add("operator", method, path, "-> no clear answer")
        return 0, b""

    # -- clients --

    async def client(self, method, ident, body=None, edge=0, timeout=3.0,
                     prefix=None):
        address = "%s:%d" % (self.ip("edge", edge), self.ports["front"])
        path = (prefix or self.queue["prefix"]) + ident
        status, data, _ = await http_call(
            address, method, path, body,
            {"Host": self.queue["host"],
             "X-Masticreach-Timeout-Ms": str(int(timeout * 1000))},
            timeout=timeout + 0.2)
        try:
            answer = json.loads(data or b"{}")
        except ValueError:
            answer = {}
        self.record.add("client", method, ident, "->", status,
                        json.dumps(answer))
        return status, answer

    async def submit(self, ident, body, tries=20, edge=0):
        for _ in range(tries):
            status, _ = await self.client("POST", ident, body, edge=edge)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    # -- life --

    async def begin(self, routes=None, guards=True):
        await asyncio.gather(*[d.start(True) for d in self.daemons.values()])
        for executor in self.executors:
            await executor.start()
        status, _ = await self.order("POST", "/Config.Replace",
                                     self.manifest(routes, guards))
        if status != 200:
            raise RuntimeError("the first manifest was not accepted")
        end = time.monotonic() + 15
        while time.monotonic() < end:
            status, _, _ = await http_call(
                "%s:%d" % (self.ip("edge", 0), self.ports["ready"]), "GET",
                "/ready", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the entry is not ready")

    def leader(self):
        """Name of the control process that leads, by the daemons' logs."""
        best = (0, "")
        for name, daemon in self.daemons.items():
            if daemon.role != "control" or not os.path.exists(daemon.output):
                continue
            for line in open(daemon.output, errors="replace"):
                found = re.search(r"\bevent=leading\b.*\bterm=(\d+)|"
                                  r"\bleading\b.*?term\D+(\d+)", line)
                if found:
                    term = int(found.group(1) or found.group(2))
                    best = max(best, (term, name))
        return best[1]

    async def end(self, keep=False):
        for executor in self.executors:
            if executor.up:
                await executor.crash()
        for daemon in self.daemons.values():
            if daemon.running():
                daemon.process.send_signal(signal.SIGKILL)
                await daemon.process.wait()
        if keep or os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def events(site, names=("start",)):
    """All noted events of the executors, in order of time."""
    out = []
    for executor in site.executors:
        for at, event, task, run, extra in executor.log:
            if event.split()[0] in names:
                out.append((at, executor.nr, event, task, run, extra))
    return sorted(out)


def main(case, record_path):
    """Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the
    case couldn't run. @p case gets whether there is trouble and the path of
    the record, and returns whether the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script that is told to end ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def go():
        return await asyncio.wait_for(case(trouble, record_path), 112)

    try:
        broken = asyncio.run(go())
    except (Exception, KeyboardInterrupt) as error:
        print("could not run: %r" % error)
        sys.exit(2)
    sys.exit(1 if broken else 0)
