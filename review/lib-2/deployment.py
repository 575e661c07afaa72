"""A small deployment on loopback, with stand-ins for workers and clients.

The daemons are the project's own (target/masticreachd, as in deploy/system.toml),
each with its own address in 127/8. Workers, clients and the operator are
coroutines of this process. Everything that is sent, answered and run is written
to the record.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "masticreachd")
ZONES = ["veraval", "porbandar", "mangrol"]
HOST = "desk.example"
CONTACT_MS = 3000
GANG_MS = 3000
HOLD_MAX_MS = 10000
STOP_MS = 200
SAVE_S = 1
RESTORE_MS = 250
HEARTBEAT_MS = 1500


class CannotRun(Exception):
    pass


def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def add(self, what, **fields):
        words = " ".join(f"{k}={json.dumps(v)[:400]}"
                         for k, v in fields.items())
        self.file.write(f"{now() - self.began:8.3f} {what} {words}\n")
        self.file.flush()


# ---- HTTP ----

async def read_message(reader):
    """Reads a request or response; returns (first line, headers, body)."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode("latin-1").strip(), headers, body


async def http_request(address, method, path, host=None, body=None,
                       headers=None, timeout_s=1.0, source=None):
    """Makes one call; returns (status, headers, text), status 0: no answer."""
    ip, port = address.rsplit(":", 1)
    data = body.encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}",
             f"Content-Length: {len(data)}", "Connection: close"]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    request = ("\r\n".join(lines) + "\r\n\r\n").encode() + data
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(
                ip, int(port), local_addr=local)
            writer.write(request)
            message = await read_message(reader)
            if not message:
                return 0, {}, ""
            return (int(message[0].split()[1]), message[1],
                    message[2].decode("utf-8", "replace"))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, {}, ""
    finally:
        if writer:
            writer.close()


# ---- workers ----

class Gangs:
    """Which members of each gang's run are present, on all workers."""

    def __init__(self):
        self.members = {}

    def key(self, task, run):
        return task.rsplit(".", 1)[0], run

    def add(self, worker, item):
        self.members.setdefault(self.key(item["task"], item["run"]),
                                {})[item["task"]] = (worker, item)

    def others(self, item):
        return self.members.get(self.key(item["task"], item["run"]), {})

    def remove(self, item):
        self.others(item).pop(item["task"], None)


class Worker:
    """An executor: PROTOCOL.md, "Running tasks" and "Service discovery".

    The spec of a submission tells what its tasks do, as JSON: "ms" of work,
    "fails" (each run ends failed after "ms"), "gang" (the number of members).
    """

    def __init__(self, site, nr, ip, port, agent, service, cpu, memory,
                 rack, zone, guards=True):
        self.site, self.nr, self.ip, self.port = site, nr, ip, port
        self.agent, self.service, self.zone = agent, service, zone
        self.cpu, self.memory, self.rack = cpu, memory, rack
        self.guards = guards
        self.lives = 0
        self.server = None
        self.tasks = []
        self.draining = False
        self.up = False
        self.polled_at = 0
        self.cut = False  # nothing passes between it and its agent
        self.intercept = None  # sees each call before it is carried out

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def clock_ms(self):
        return int((now() - self.clock_zero) * 1000)

    async def start(self, same_id=False):
        self.lives += 1
        if not same_id or self.lives == 1:
            self.id = f"i-{self.nr:02x}{random.getrandbits(24):06x}"
        self.born = int(time.time() * 1000)
        self.clock_zero = now() - random.randint(1000, 900000) / 1000
        self.seq = 0
        self.running, self.ends, self.end_nr = {}, [], 0
        self.highest = {}  # task -> highest run seen
        self.fence = 0
        self.deadline_ms = 0
        self.acked = 0
        self.draining = False
        self.changed = asyncio.Event()
        self.connections = set()
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port)
        self.up = True
        self.site.record.add("worker-up", worker=self.id, nr=self.nr,
                             born=self.born)
        self.tasks = [asyncio.create_task(self.heartbeats()),
                      asyncio.create_task(self.work())]

    async def crash(self):
        """Ends like a killed process: nothing is sent, all runs are gone."""
        self.site.record.add("worker-down", worker=self.id, nr=self.nr)
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for item in list(self.running.values()):
            self.site.record.add("run-gone", worker=self.id,
                                 task=item["task"], run=item["run"])
            self.site.note_end(self, item, "gone")
            self.break_gang(item)
        self.running.clear()

    def reborn(self):
        """Crashes behind a cut and starts again under its id."""
        self.site.record.add("worker-reborn", worker=self.id, nr=self.nr)
        for item in list(self.running.values()):
            self.site.record.add("run-gone", worker=self.id,
                                 task=item["task"], run=item["run"])
            self.site.note_end(self, item, "gone")
        self.born = int(time.time() * 1000)
        self.clock_zero = now()
        self.seq = 0
        self.running, self.ends, self.end_nr = {}, [], 0
        self.highest, self.fence = {}, 0
        self.deadline_ms = self.acked = 0

    async def heartbeats(self):
        while True:
            if not self.cut:
                await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def heartbeat(self):
        self.seq += 1
        body = {"service": self.service, "addr": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.draining else "ready",
                "warmupLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
                "labels": ["a", self.rack], "machine": f"m-{self.nr:x}",
                "serverTimeMs": self.clock_ms(), "seq": self.seq,
                "born": self.born}
        if self.draining:
            body["remainingMs"] = max(
                0, int((self.leaves_at - now()) * 1000))
        status, _, _ = await http_request(
            self.agent, "POST", f"/Instances.Heartbeat/{self.id}",
            body=json.dumps(body))
        return status

    # -- runs --

    def end(self, item, how):
        self.running.pop(item["task"], None)
        self.site.gangs.remove(item)
        self.end_nr += 1
        saved = item["saved"]
        self.ends.append([self.end_nr, item["task"], item["run"], how, saved])
        self.site.record.add("run-ended", worker=self.id, task=item["task"],
                             run=item["run"], how=how, nr=self.end_nr,
                             saved=saved)
        self.site.note_end(self, item, how)
        self.changed.set()
        if how not in ("done", "broken", "alone"):
            self.break_gang(item)

    def break_gang(self, item):
        """The other members of a gang end with one of them."""
        if not item["gang"]:
            return
        self.site.gangs.remove(item)
        for worker, other in list(self.site.gangs.others(item).values()):
            if worker.up and other["task"] in worker.running:
                worker.end(other, "broken")

    def new_checkpoint(self, item):
        item["saved_work"] = item["work"]
        item["saved"] = f"{random.getrandbits(64):016x}"
        self.site.checkpoints[item["saved"]] = (
            item["task"], item["work"])

    async def work(self):
        step = 0.02
        while True:
            await asyncio.sleep(step)
            if self.running and self.clock_ms() > self.deadline_ms:
                for item in list(self.running.values()):
                    self.end(item, "lapsed")
            for item in list(self.running.values()):
                if item["task"] in self.running:
                    self.advance(item, step)

    def advance(self, item, step):
        if item["stop_at"] and now() >= item["stop_at"]:
            if item["savesProgress"]:
                self.new_checkpoint(item)
            self.end(item, "stopped")
            return
        if item["gang"]:
            members = self.site.gangs.others(item)
            if not item["together"]:
                if len(members) == item["gang"]:
                    for _, other in members.values():
                        other["together"] = True
                elif now() - item["began"] > GANG_MS / 1000:
                    self.end(item, "alone")
                return
        if now() < item["begins"]:
            return
        item["work"] += step * item["pace"] / 100
        if item["savesProgress"] and \
                item["work"] - item["saved_work"] >= SAVE_S:
            self.new_checkpoint(item)
        if item["lasting"]:
            item["percent"] = 100
            if item["fails"] and item["work"] * 1000 >= item["ms"]:
                self.end(item, "failed")
            return
        item["percent"] = min(99, int(item["work"] * 100000 / item["ms"]))
        if item["work"] * 1000 < item["ms"]:
            return
        if item["fails"]:
            self.end(item, "failed")
        elif item["gang"]:
            for worker, other in list(self.site.gangs.others(item).values()):
                worker.end(other, "done")
        else:
            self.end(item, "done")

    def room(self, step):
        cpu = sum(0 if r["fills"] else r["cpu"]
                  for r in self.running.values())
        memory = sum(r["memMb"] for r in self.running.values())
        return ((step.get("fills") or
                 cpu + step.get("cpu", 0) <= self.cpu) and
                memory + step.get("memMb", 0) <= self.memory)

    # -- calls --

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not message:
                    break
                first, headers, body = message
                path = first.split()[1]
                if self.cut:
                    await asyncio.sleep(3600)
                if self.intercept and self.intercept(path, headers, body):
                    writer.transport.abort()
                    break
                status, answer = await self.call(path, headers, body)
                answer["serverTimeMs"] = self.clock_ms()
                answer["born"] = self.born
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: "
                             b"application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def call(self, path, headers, body):
        if headers.get("x-masticreach-target-instance", self.id) != self.id:
            return 421, {}
        if path == "/health":
            return 200, {}
        try:
            call = json.loads(body)
        except ValueError:
            return 400, {}
        if path != "/hold":
            self.site.record.add("call", worker=self.id, path=path, **call)
        fence = call.get("fence", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        handler = {"/run-start": self.on_start, "/run-stop": self.on_stop,
                   "/hold": self.on_hold, "/pace": self.on_pace}.get(path)
        if not handler:
            return 404, {}
        status, answer = await handler(call)
        if path == "/run-start":
            self.site.record.add("answer", worker=self.id, task=call["task"],
                                 run=call["run"], status=status,
                                 reason=answer.get("reason", ""))
        return status, answer

    def extend(self, call):
        if call.get("deadlineMs"):
            limit = self.clock_ms() + HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms,
                                   min(call["deadlineMs"], limit))

    async def on_start(self, call):
        task, run = call["task"], call["run"]
        present = self.running.get(task)
        if present and present["run"] == run:
            self.extend(call)
            return 200, {}
        if run <= self.highest.get(task, 0):
            self.extend(call)
            return 409, {"reason": "old"}
        if call.get("deadlineMs", 0) <= self.clock_ms():
            return 409, {"reason": "late"}
        step = self.site.step_of(task)
        if step is None:
            self.site.broken("UNASKED", f"start of {task}: no client sent it")
            return 400, {}
        if self.guards and not self.room(step):
            self.extend(call)
            return 409, {"reason": "room"}
        if present:
            self.end(present, "broken")
        self.highest[task] = run
        self.extend(call)
        spec = json.loads(call["spec"])
        restored = 0
        checkpoint = call.get("checkpoint", "")
        if checkpoint:
            restored = self.site.checkpoints.get(checkpoint, ("", 0))[1]
        item = {"task": task, "run": run, "saved": checkpoint,
                "saved_work": restored, "work": restored, "percent": 0,
                "pace": 100, "began": now(), "stop_at": 0,
                "begins": now() + (RESTORE_MS / 1000 if checkpoint else 0),
                "ms": spec.get("ms", 1000), "fails": spec.get("fails", False),
                "gang": step["count"] if step.get("gang") else 0,
                "together": False, "cpu": step.get("cpu", 0),
                "memMb": step.get("memMb", 0),
                "fills": step.get("fills", False),
                "lasting": step.get("longRunning", False),
                "savesProgress": step.get("savesProgress", False)}
        if item["lasting"]:
            item["begins"] += 0.3
        self.running[task] = item
        self.site.record.add("run-started", worker=self.id, task=task,
                             run=run, checkpoint=checkpoint)
        self.site.note_start(self, item, call)
        if item["gang"]:
            self.site.gangs.add(self, item)
        return 200, {}

    async def on_stop(self, call):
        task, run = call["task"], call["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        item = self.running.get(task)
        if item and item["run"] <= run and not item["stop_at"]:
            item["stop_at"] = now() + random.uniform(0.2, 0.9) * STOP_MS / 1000
        return 200, {}

    async def on_pace(self, call):
        item = self.running.get(call["task"])
        if item and item["run"] == call["run"]:
            item["pace"] = call["percent"]
        return 200, {}

    async def on_hold(self, call):
        self.extend(call)
        self.polled_at = now()
        cursor = call.get("ackCursor", 0)
        if cursor > self.acked:
            for end in self.ends:
                if self.acked < end[0] <= cursor:
                    self.site.note_acked(self, end)
            self.acked = cursor
        self.ends = [end for end in self.ends if end[0] > cursor]
        if call.get("waitMs") and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       min(call["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        rows = [[r["task"], r["run"], r["saved"], r["percent"],
                 5 if r["lasting"] else int(r["cpu"] * r["pace"] / 100)]
                for r in self.running.values()]
        return 200, {"running": rows, "endedRuns": self.ends[:500]}


# ---- the deployment ----

class Process:
    def __init__(self, site, name, role, zone, ip, extra):
        self.site, self.name, self.role, self.ip = site, name, role, ip
        self.file = os.path.join(site.folder, name + ".conf")
        self.log = os.path.join(site.folder, name + ".log")
        self.settings = {
            "front-end": "platform", "role": role, "name": name, "zone": zone,
            "zones": ",".join(ZONES), "listen": f"{ip}:{site.port}",
            "control": ",".join(f"{ip}:{site.http_port}"
                                for ip in site.control_ips),
            "control-port": str(site.port), "http": f"{ip}:{site.http_port}",
            "bootstrap": "true", "worker-lease-ms": str(HOLD_MAX_MS),
            "worker-stop-ms": str(STOP_MS), "worker-save-s": str(SAVE_S),
            "worker-restore-ms": str(RESTORE_MS), "replica-losses": "1",
            "grace-s": "6", "max-connections": "2000",
            "metrics": f"{ip}:{site.port + 2}"}
        self.settings.update(extra)
        self.process = None

    async def start(self):
        with open(self.file, "w", encoding="utf-8") as out:
            out.write("[masticreach]\n")
            for key, value in self.settings.items():
                out.write(f"{key}={value}\n")
        self.site.record.add("process-start", name=self.name)
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                 "MASTICREACH_NODE_FILE": self.file})
        log.close()
        # Only the first start of the whole system has empty disks.
        self.settings["bootstrap"] = "false"

    def kill(self, number=signal.SIGKILL):
        self.site.record.add("signal", name=self.name, number=int(number))
        self.process.send_signal(number)

    async def ended(self):
        code = await self.process.wait()
        self.site.record.add("process-end", name=self.name, code=code)
        return code


class Site:
    def __init__(self, record_path, workers=4, cpu=8000, memory=32000,
                 service="desk"):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="masticreach-review-")
        self.breaks = []
        self.submissions = {}  # id -> document
        self.runs = {}  # task -> list of runs
        self.checkpoints = {}
        self.gangs = Gangs()
        self.version = 0
        self.routes = []
        self.services = [service]
        self.service = service
        self.net = random.randint(20, 250)
        self.pick_ports()
        self.control_ips = [self.ip(1, i + 1) for i in range(3)]
        self.controls = [
            Process(self, f"core-{i}", "control", ZONES[i], ip,
                    {"data": os.path.join(self.folder, f"disk-{i}")})
            for i, ip in enumerate(self.control_ips)]
        for i in range(3):
            os.mkdir(os.path.join(self.folder, f"disk-{i}"))
        self.entries = [
            Process(self, f"edge-{i}", "entry", ZONES[i], self.ip(2, i + 1),
                    {"ready": f"{self.ip(2, i + 1)}:{self.port + 3}"})
            for i in range(2)]
        self.agents, self.workers = [], []
        for i in range(workers):
            ip = self.ip(3, i + 1)
            agent = Process(self, f"side-{i}", "agent", ZONES[i % 3], ip,
                            {"worker": f"{ip}:{self.port + 4}"})
            self.agents.append(agent)
            self.workers.append(Worker(
                self, i, ip, self.port + 4, f"{ip}:{self.http_port}", service,
                cpu, memory, f"r1-{i // 3}", ZONES[i % 3]))

    def ip(self, group, nr):
        return f"127.{self.net}.{group}.{nr}"

    def pick_ports(self):
        for _ in range(50):
            base = random.randrange(21000, 32000, 10)
            try:
                for i in range(6):
                    with socket.socket() as s:
                        s.bind((self.ip(1, 1), base + i))
            except OSError:
                continue
            self.port, self.http_port = base, base + 1
            return
        raise CannotRun("no free ports")

    # -- what the stand-ins have seen --

    def step_of(self, task):
        ident, _, step, _ = task.split(".")
        doc = self.submissions.get(ident)
        return doc["steps"][int(step)] if doc else None

    def note_start(self, worker, item, call):
        self.runs.setdefault(item["task"], []).append(
            {"run": item["run"], "worker": worker.id, "began": now(),
             "checkpoint": item["saved"], "ended": 0, "how": "",
             "acked": False})

    def note_end(self, worker, item, how):
        for run in self.runs.get(item["task"], []):
            if run["run"] == item["run"] and run["worker"] == worker.id \
                    and not run["ended"]:
                run["ended"], run["how"] = now(), how

    def note_acked(self, worker, end):
        self.record.add("end-acked", worker=worker.id, nr=end[0],
                        task=end[1], run=end[2], how=end[3])
        for run in self.runs.get(end[1], []):
            if run["run"] == end[2] and run["worker"] == worker.id:
                run["acked"] = True

    def broken(self, rule, why):
        self.record.add("BROKEN", rule=rule, why=why)
        self.breaks.append((rule, why))

    # -- the operator --

    def route(self, prefix="/q/", service=None, **fields):
        row = {"name": "r" + prefix.strip("/"), "host": HOST,
               "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
               "sloMs": 1000, "priority": 0,
               "service": service or self.service, "attempts": 3,
               "slackFactor": 2.0}
        row.update(fields)
        return row

    async def operator(self, method, path, body=None, limit_s=20):
        """Calls the control plane until it answers clearly."""
        until = now() + limit_s
        nr = 0
        while now() < until:
            address = f"{self.control_ips[nr % 3]}:{self.http_port}"
            nr += 1
            for _ in range(3):
                status, headers, text = await http_request(
                    address, method, path, body=body, timeout_s=1.0)
                self.record.add("operator", address=address, method=method,
                                path=path, status=status)
                if status != 307:
                    break
                location = headers["location"].split("//", 1)[1]
                address = location.split("/", 1)[0]
            if status in (200, 400, 409, 412, 413, 422):
                return status, text
            await asyncio.sleep(0.2)
        return 0, ""

    async def configure(self):
        self.version += 1
        text = json.dumps({
            "version": self.version, "routes": self.routes,
            "services": [{"name": name, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "warmupPerS": 0.0,
                          "enforcesCapacity": True, "standby": False}
                         for name in self.services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        return await self.operator("POST", "/Config.Replace", text)

    # -- clients --

    async def client(self, method, path, body=None, entry=0, timeout_ms=3000):
        entry = self.entries[entry]
        status, _, text = await http_request(
            f"{entry.ip}:{self.http_port}", method, path, host=HOST,
            body=body, headers={"X-Masticreach-Timeout-Ms": timeout_ms},
            timeout_s=timeout_ms / 1000)
        self.record.add("client", entry=entry.name, method=method, path=path,
                        status=status, text=text[:200])
        return status, text

    def new_id(self):
        return f"{random.getrandbits(64):016x}"

    async def submit(self, doc, prefix="/q/", ident=None, tries=10):
        ident = ident or self.new_id()
        self.submissions[ident] = doc
        self.record.add("submission", id=ident, doc=doc)
        for nr in range(tries):
            status, _ = await self.client("POST", prefix + ident,
                                          json.dumps(doc), entry=nr % 2)
            if status == 200:
                return ident
            await asyncio.sleep(0.3)
        return None

    async def state(self, ident, prefix="/q/"):
        for nr in range(5):
            status, text = await self.client("GET", prefix + ident,
                                             entry=nr % 2)
            if status == 200:
                return json.loads(text)["state"]
            if status == 410:
                return "unknown"
        return "no answer"

    async def wait_state(self, ident, wanted, limit_s, prefix="/q/"):
        until = now() + limit_s
        state = ""
        while now() < until:
            state = await self.state(ident, prefix)
            if state in wanted:
                break
            await asyncio.sleep(0.25)
        return state

    # -- start and end --

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} isn't built")
        for process in self.controls + self.entries + self.agents:
            await process.start()
        for worker in self.workers:
            await worker.start()
        if not self.routes:
            self.routes = [self.route()]
        status, _ = await self.configure()
        if status != 200:
            raise CannotRun("the first manifest wasn't acknowledged")
        until = now() + 15
        while now() < until:
            ready = 0
            for entry in self.entries:
                status, _, _ = await http_request(
                    f"{entry.ip}:{self.port + 3}", "GET", "/ready")
                ready += status == 200
            if ready == len(self.entries):
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun("the entries don't become ready")
        await asyncio.sleep(3)

    async def stop(self):
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        for process in self.controls + self.entries + self.agents:
            if process.process and process.process.returncode is None:
                try:
                    process.process.send_signal(signal.SIGCONT)
                    process.process.kill()
                except ProcessLookupError:
                    pass
                await process.process.wait()
        if os.environ.get("KEEP"):
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def check_processes(self):
        """Reports processes that ended by themselves."""
        for process in self.controls + self.entries + self.agents:
            if process.process and process.process.returncode is not None:
                self.record.add("process-gone", name=process.name,
                                code=process.process.returncode)


def main(case, **options):
    """Runs the coroutine case(site, trouble); exits as the issue asks."""
    record = os.environ.get("RECORD", "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        site = Site(record, **options)
        try:
            async with asyncio.timeout(110):
                await site.start()
                await case(site, trouble)
                site.check_processes()
        except (CannotRun, TimeoutError) as error:
            site.record.add("cannot-run", why=repr(error))
            print(f"can't run: {error!r}")
            return 2
        finally:
            await site.stop()
        for rule, why in site.breaks[:5]:
            print(f"{rule} broken: {why}")
        site.record.add("result", broken=len(site.breaks))
        print("broken" if site.breaks else "held")
        return 1 if site.breaks else 0

    sys.exit(asyncio.run(play()))
