"""A small deployment on loopback for the cases of this review.

Starts the project's programs with the commands of deploy/system.toml and
settings rendered from deploy/node.conf. Executors, clients and the operator
are stand-ins that follow the users' pages; they run inside this process.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the site dorado-taller, whose limits the cases use.
BOUNDS = dict(holdMaxMs=6000, graceS=6, stopMs=900, gangMs=3000, saveS=2,
              restoreMs=250, contactMs=3000)
HEARTBEAT_MS = 1500
ZONES = ["puebla", "queretaro", "tlaxcala"]
PORT_FRONT, PORT_READY, PORT_CONTROL = 8161, 8167, 8166
PORT_LINK, PORT_APP, PORT_BEHIND = 7720, 8080, 8081


class Skip(Exception):
    """The case could not run (exit code 2)."""


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, event, **values):
        text = " ".join(f"{k}={v}" for k, v in values.items())
        self.file.write(f"{time.monotonic() - self.began:8.3f} {event} {text}\n")
        self.file.flush()


# ---- HTTP ----

async def read_message(reader):
    """Returns (first line, headers, body), None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def http(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Sends one request on a channel of its own; returns (status, headers,
    body) or None if there was no complete answer."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else body
            head = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, "Content-Length": str(len(data))}
            if body is not None:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            head += [f"{k}: {v}" for k, v in fields.items()]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, answer_headers, answer = await read_message(reader)
            return int(first.split()[1]), answer_headers, answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return None


# ---- executors ----

class Gangs:
    """What the executors know of each other: who of a gang is present."""

    def __init__(self):
        self.sizes = {}    # ID.K.STEP -> number of tasks, or missing
        self.members = {}  # (ID.K.STEP, run) -> {task: (executor, Run)}


class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task, self.number = task, number
        # The spec is the work in ms, 0: it lasts until it is stopped; after
        # the word "fail" it always ends `failed`. "crash A B": it is at work
        # at once, and ends `failed` by its own fault after A to B ms.
        words = spec.split()
        self.fails = words[:1] in (["fail"], ["crash"])
        self.work_ms = int(words[-1]) if words and words[-1].isdigit() else 0
        self.lasts = not self.work_ms or words[:1] == ["crash"]
        if words[:1] == ["crash"]:
            self.work_ms = random.randint(int(words[1]), int(words[2]))
        self.began = time.monotonic()
        self.restored_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.ready = self.began + (BOUNDS["restoreMs"] / 1000 if checkpoint
                                   else 0)
        self.saved = checkpoint
        self.nr_saves = 0
        self.stop_at = None
        self.gang = None          # key of Gangs.members
        self.gang_began = None    # since when all members are present
        self.pace = 100

    def progress_ms(self):
        since = self.ready
        if self.gang:
            if not self.gang_began:
                return self.restored_ms
            since = max(since, self.gang_began)
        return self.restored_ms + max(0, int((time.monotonic() - since) * 1000))

    def value(self, progress_ms):
        """The checkpoint of this much work. The tasks of a gang that have
        worked equally long have the same one."""
        of = self.gang[0] if self.gang else self.task
        return "%08x%08x" % (progress_ms, zlib.crc32(of.encode()))


class Way:
    """The network between an agent and its executor: a proxy at the address
    that the agent calls. It passes calls on, one after the other in each
    channel. A call for which late() returns a number of seconds gets no answer
    and reaches the executor's address that much later, whatever process listens
    there then."""

    def __init__(self, bed, ip, late):
        self.bed, self.ip, self.late = bed, ip, late
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, PORT_APP,
                                                 reuse_address=True)

    async def deliver_late(self, delay, path, headers, body):
        await asyncio.sleep(delay)
        call = json.loads(body)
        answer = await http(f"{self.ip}:{PORT_BEHIND}", "POST", path, body,
                            headers)
        self.bed.record.line(
            "delivered-late", path=path, task=call["task"], run=call["run"],
            status=answer[0] if answer else "none",
            body=answer[2].decode().replace(" ", "") if answer else "")

    async def serve(self, reader, writer):
        behind = None
        try:
            while True:
                first, headers, body = await read_message(reader)
                path = first.split(" ")[1]
                headers = {k: headers[k] for k in
                           ("host", "content-type",
                            "x-masticreach-target-instance") if k in headers}
                delay = self.late(path, json.loads(body or b"{}"))
                if delay is not None:
                    call = json.loads(body)
                    self.bed.record.line("unanswered", path=path,
                                         task=call["task"], run=call["run"],
                                         delivered_after_s=delay)
                    task = asyncio.create_task(
                        self.deliver_late(delay, path, headers, body))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                    await reader.read()  # the channel stays open and silent
                    break
                if not behind:
                    behind = await asyncio.open_connection(self.ip, PORT_BEHIND)
                text = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                behind[1].write(f"{first}\r\n{text}Content-Length: {len(body)}"
                                "\r\n\r\n".encode() + body)
                first, headers, body = await read_message(behind[0])
                writer.write(f"{first}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() +
                             body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            writer.transport.abort()
        finally:
            writer.close()
            if behind:
                behind[1].close()


class Executor:
    def __init__(self, bed, nr, zone, ip, agent_ip):
        self.bed, self.nr, self.zone, self.ip = bed, nr, zone, ip
        self.agent = f"{agent_ip}:{PORT_CONTROL}"
        self.address = f"{ip}:{PORT_APP}"
        self.machine = f"m-{nr:04x}"
        self.cpu, self.mem = 32000, 128000
        self.labels = ["a", f"r1-{nr}"]
        self.service = "libro-taller"
        self.state = "ready"
        self.up = False
        self.server = None
        self.port = PORT_APP  # PORT_BEHIND: calls come through a Way
        self.first_heartbeat_s = 0.0
        self.fails_until = 0.0  # until then it fails all that it starts
        self.writers = set()
        self.tasks = set()
        self.life = 0
        self.id = None

    def record(self, event, **values):
        self.bed.record.line(event, executor=self.id, **values)

    async def start(self, same_id=False):
        self.life += 1
        if not same_id or not self.id:
            self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.born_mono = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs, self.ends, self.barred = {}, [], {}
        self.lapsed = set()  # numbers of ends after which the lease lapsed
        self.next_end = 1
        self.state = "ready"
        self.up = True
        self.ended = asyncio.Event()
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port, reuse_address=True)
        self.record("executor-up", born=self.born, zone=self.zone)
        for work in (self.heartbeats(self.life), self.ticks(self.life)):
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def crash(self):
        """Ends the executor as its machine's crash does: nothing is said."""
        self.record("executor-crash")
        self.up = False
        for run in list(self.runs.values()):
            self.leave_gang(run)
        self.runs = {}
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def drain(self, total_s):
        """Leaves as the pages tell: reports that it drains, goes on for a
        while, deregisters and ends with all that still runs on it."""
        self.state = "draining"
        self.leaves_at = time.monotonic() + total_s
        self.record("draining", for_s=total_s)
        await self.heartbeat()
        await asyncio.sleep(max(0, self.leaves_at - time.monotonic()))
        await http(self.agent, "POST", f"/Instances.Deregister/{self.id}",
                   json.dumps({"born": self.born}).encode(), timeout_s=1.0)
        await self.crash()

    def clock_ms(self):
        return int((time.monotonic() - self.born_mono) * 1000) + 1

    # -- calls --

    async def serve(self, reader, writer):
        self.writers.add(writer)
        life = self.life
        try:
            while self.up and life == self.life:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, answer = await self.call(path, headers, body)
                if not self.up or life != self.life:
                    break
                answer.update(serverTimeMs=self.clock_ms(), born=self.born)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, path, headers, body):
        call = json.loads(body) if body else {}
        if path != "/hold":
            self.record("call", path=path, body=json.dumps(
                {k: v for k, v in call.items() if k != "spec"}).replace(" ", ""))
        target = headers.get("x-masticreach-target-instance", self.id)
        if target != self.id:
            return 421, {}
        return await self.execute(path, call)

    async def execute(self, path, call):
        if call.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = call.get("fence", 0)
        deadline = min(call.get("deadlineMs", 0),
                       self.clock_ms() + BOUNDS["holdMaxMs"])
        self.lease_ms = max(self.lease_ms, deadline)
        if path == "/run-start":
            return self.run_start(call)
        if path == "/run-stop":
            return self.run_stop(call)
        if path == "/pace":
            run = self.runs.get(call["task"])
            if run and run.number == call["run"]:
                run.pace = call["percent"]
            return 200, {}
        if path == "/hold":
            cursor = call.get("ackCursor", 0)
            for end in self.ends:
                # An end whose lease has lapsed since doesn't count as noted.
                if end[0] <= cursor:
                    self.record("end-noted" if end[0] not in self.lapsed else
                                "end-noted-after-lapse", task=end[1],
                                run=end[2], how=end[3])
            self.ends = [e for e in self.ends if e[0] > cursor]
            wait = call.get("waitMs", 0) / 1000
            if wait and not self.ends:
                self.ended.clear()
                try:
                    await asyncio.wait_for(self.ended.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            return 200, {"running": [[r.task, r.number, r.saved,
                                      100 if r.lasts else
                                      min(100, r.progress_ms() * 100 //
                                          r.work_ms), 0]
                                     for r in self.runs.values()],
                         "endedRuns": self.ends[:500]}
        return 404, {}

    def run_start(self, call):
        task, number = call["task"], call["run"]
        known = self.runs.get(task)
        if known and known.number == number:
            return 200, {}
        if known or number <= self.barred.get(task, 0):
            return 409, {"reason": "old"}
        if self.lease_ms <= self.clock_ms():
            return 409, {"reason": "late"}
        used = sum(self.bed.cpu_of(t) for t in self.runs)
        if used + self.bed.cpu_of(task) > self.cpu:
            return 409, {"reason": "room"}
        run = Run(task, number, call.get("spec", ""),
                  call.get("checkpoint", ""))
        self.runs[task] = run
        self.record("start", task=task, run=number,
                    checkpoint=call.get("checkpoint", "") or "-")
        step = task.rsplit(".", 1)[0]
        if step in self.bed.gangs.sizes:
            run.gang = (step, number)
            members = self.bed.gangs.members.setdefault(run.gang, {})
            members[task] = (self, run)
            if len(members) == self.bed.gangs.sizes[step]:
                for _, member in members.values():
                    member.gang_began = time.monotonic()
        return 200, {}

    def run_stop(self, call):
        task, number = call["task"], call["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and not run.stop_at:
            run.stop_at = time.monotonic() + random.uniform(0.01, 0.3)
        return 200, {}

    # -- runs --

    def leave_gang(self, run):
        """The others of the run's gang end as broken."""
        if not run.gang:
            return
        members = self.bed.gangs.members.get(run.gang, {})
        members.pop(run.task, None)
        for task, (executor, other) in list(members.items()):
            if executor.up and executor.runs.get(task) is other:
                executor.end(other, "broken")

    def end(self, run, how, quiet=False):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if how == "stopped":
            run.saved = run.value(run.progress_ms())
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.ends.append([self.next_end, run.task, run.number, how, run.saved])
        self.next_end += 1
        self.record("end", task=run.task, run=run.number, how=how,
                    saved=run.saved or "-")
        if run.gang:
            members = self.bed.gangs.members.get(run.gang, {})
            members.pop(run.task, None)
            if how not in ("done", "broken") and not quiet:
                self.leave_gang(run)
        self.ended.set()

    async def ticks(self, life):
        while self.up and life == self.life:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            lapsed = self.lease_ms < self.clock_ms()
            if lapsed:
                self.lapsed.update(end[0] for end in self.ends)
            # A failing executor fails each of its runs by itself, a tenth of
            # a second after the run began to work.
            failing = [run for run in self.runs.values()
                       if now < self.fails_until and not run.stop_at and
                       (not run.gang or run.gang_began) and
                       now - max(run.ready, run.gang_began or 0) > 0.1]
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is not run:
                    continue
                # A new checkpoint with each saveS of work.
                step_ms = int(BOUNDS["saveS"] * 1000)
                done_ms = run.progress_ms() - run.restored_ms
                if done_ms // step_ms > run.nr_saves:
                    run.nr_saves = done_ms // step_ms
                    run.saved = run.value(run.restored_ms +
                                          run.nr_saves * step_ms)
                if lapsed:
                    self.end(run, "lapsed")
                elif run in failing:
                    self.end(run, "failed", quiet=True)
                elif run.stop_at:
                    if now >= run.stop_at:
                        self.end(run, "stopped")
                elif run.gang and not run.gang_began and \
                        now - run.began > BOUNDS["gangMs"] / 1000:
                    self.end(run, "alone")
                elif run.work_ms and run.progress_ms() >= run.work_ms:
                    if run.gang:
                        members = self.bed.gangs.members.get(run.gang, {})
                        if all(m.progress_ms() >= m.work_ms
                               for _, m in members.values()):
                            for executor, member in list(members.values()):
                                executor.end(member, "done")
                    else:
                        self.end(run, "failed" if run.fails else "done")
            for run in failing:  # now the others of their gangs learn of it
                self.leave_gang(run)

    # -- status reports --

    async def heartbeats(self, life):
        await asyncio.sleep(self.first_heartbeat_s)
        while self.up and life == self.life:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def heartbeat(self):
        self.seq += 1
        beat = dict(service=self.service, addr=self.address, zone=self.zone,
                    version="v1", slots=8, state=self.state, warmupLeftMs=0,
                    capacity=dict(cpu=self.cpu, memMb=self.mem, gpu=0),
                    labels=self.labels, machine=self.machine,
                    serverTimeMs=self.clock_ms(), born=self.born,
                    seq=self.seq)
        if self.state == "draining":
            beat["remainingMs"] = max(0, int((self.leaves_at -
                                              time.monotonic()) * 1000))
        answer = await http(self.agent, "POST", f"/Instances.Heartbeat/{self.id}",
                            json.dumps(beat).encode(), timeout_s=1.0)
        if self.state == "draining" and answer and answer[0] // 100 == 2:
            self.record("draining-confirmed")


# ---- the site ----

class Process:
    def __init__(self, bed, name, command, conf, ip):
        self.bed, self.name, self.command = bed, name, command
        self.conf, self.ip = conf, ip
        self.popen = None

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["MASTICREACH_NODE_FILE"] = self.conf
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.popen = subprocess.Popen(self.command, cwd=ROOT, env=env,
                                      stdout=log, stderr=subprocess.STDOUT,
                                      stdin=subprocess.DEVNULL)
        log.close()
        self.bed.record.line("process-start", name=self.name,
                             pid=self.popen.pid)

    def signal(self, number):
        self.bed.record.line("signal", name=self.name,
                             signal=signal.Signals(number).name)
        self.popen.send_signal(number)

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


class Bed:
    def __init__(self, case, executors=4, entries=1, late=None, cores=3,
                 losses=1):
        self.case = case
        self.record = Record(case)
        self.folder = tempfile.mkdtemp(prefix="masticreach-review-")
        self.gangs = Gangs()
        self.cpu = {}
        self.processes = {}
        self.executors = []
        # function(executor) -> Way.late; None: executors are called directly
        self.late, self.ways = late and late(self), []
        self.queue = "/lohu930/"
        self.host = "nony24.example"
        self.advice = ""
        self.nr_executors, self.nr_entries = executors, entries
        self.net = None
        for _ in range(50):
            net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
            # The first core machine, entry and side machine stand for all.
            if all(self.is_free(f"{net}.{nr}", port) for nr in (10, 20, 30)
                   for port in (PORT_LINK, PORT_CONTROL, PORT_FRONT, PORT_APP)):
                self.net = net
                break
        if not self.net:
            raise Skip("no free loopback addresses")
        # Control addresses of three machines that serve `control_plane`.
        self.seeds = [self.control_address(10 + i) for i in range(3)]
        # Last numbers of the core machines' addresses.
        self.cores = list(range(10, 10 + cores))
        self.losses = losses  # of machines, to be borne at once

    def control_address(self, nr):
        return f"{self.net}.{nr}:{PORT_CONTROL}"

    def set_seeds(self, seeds):
        """Writes the settings of all processes with other seeds, and sends
        SIGHUP."""
        self.seeds = list(seeds)
        self.record.line("seeds", seeds=",".join(seeds))
        for process in self.processes.values():
            text = re.sub(r"(?m)^control=.*$", "control=" + ",".join(seeds),
                          open(process.conf).read())
            with open(process.conf + ".new", "w") as file:
                file.write(text)
            os.rename(process.conf + ".new", process.conf)
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGHUP)

    async def wipe_core(self, ip, down_s):
        """A core machine loses its disk: it is killed and starts again at its
        address with an empty one."""
        process = next(p for p in self.processes.values() if p.ip == ip)
        process.signal(signal.SIGKILL)
        process.popen.wait()
        data = re.search(r"(?m)^data=(.*)$", open(process.conf).read())[1]
        shutil.rmtree(data)
        os.mkdir(data)
        text = open(process.conf).read().replace("bootstrap=true",
                                                 "bootstrap=false")
        with open(process.conf, "w") as file:
            file.write(text)
        self.record.line("disk-lost", name=process.name)
        await asyncio.sleep(down_s)
        process.start()

    def add_core(self, nr, zone):
        """Starts an empty core machine at a new address."""
        data = os.path.join(self.folder, f"data-{nr}")
        os.mkdir(data)
        self.add("control", f"core-{nr}", f"{self.net}.{nr}", zone, data=data,
                 bootstrap=False)

    async def stop_core(self, nr):
        """Sends SIGTERM to a core machine, which is then gone for good."""
        old = self.processes[f"core-{nr}"]
        old.signal(signal.SIGTERM)
        for _ in range(int(BOUNDS["graceS"] * 10)):
            if old.popen.poll() is not None:
                break
            await asyncio.sleep(0.1)
        old.kill()
        self.record.line("core-gone", nr=nr)

    async def restart_core(self, nr, down_s):
        """Stops a core machine with SIGTERM, and starts it again."""
        old = self.processes[f"core-{nr}"]
        await self.stop_core(nr)
        text = open(old.conf).read().replace("bootstrap=true",
                                             "bootstrap=false")
        with open(old.conf, "w") as file:
            file.write(text)
        await asyncio.sleep(down_s)
        old.start()

    async def replace_core(self, index, nr, after_s):
        """Starts an empty core machine at a new address; the one that it
        replaces gets SIGTERM later, and is gone for good."""
        self.add_core(nr, ZONES[index % 3])
        await asyncio.sleep(after_s)
        await self.stop_core(self.cores[index])
        self.record.line("core-replaced", old=self.cores[index], new=nr)
        self.cores[index] = nr

    @staticmethod
    def is_free(ip, port):
        with socket.socket() as s:
            try:
                s.bind((ip, port))
                return True
            except OSError:
                return False

    def cpu_of(self, task):
        return self.cpu.get(task.rsplit(".", 1)[0], 0)

    def render(self, role, name, ip, zone, data="", app="", bootstrap=True):
        text = open(os.path.join(ROOT, "deploy", "node.conf")).read()
        zones = ",".join(ZONES)
        text = re.sub(r"{{#zones}}.*?{{/zones}}", zones, text)
        seeds = ",".join(self.seeds)
        values = {"role": role, "node": name, "zone": zone, "ip": ip,
                  "portRange.0": PORT_LINK, "seeds": seeds,
                  "listen.front": f"{ip}:{PORT_FRONT}" if role == "entry" else "",
                  "listen.control": "" if role == "entry"
                  else f"{ip}:{PORT_CONTROL}",
                  "listen.readinessAddr": f"{ip}:{PORT_READY}"
                  if role == "entry" else "",
                  "dataDir": data, "app": app, "advice": self.advice,
                  "bootstrap": "true" if bootstrap else "false",
                  "bounds.holdMaxMs": BOUNDS["holdMaxMs"],
                  "bounds.graceS": BOUNDS["graceS"],
                  "faultTolerance.machines": self.losses}
        return re.sub(r"{{([\w.]+)}}", lambda m: str(values[m.group(1)]), text)

    def add(self, role, name, ip, zone, **more):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"),
                                   "rb"))
        conf = os.path.join(self.folder, name + ".conf")
        with open(conf, "w") as file:
            file.write(self.render(role, name, ip, zone, **more))
        command = deploy["roles"][role]["run"].split()
        if os.environ.get("PROGRAM"):
            command[0] = os.environ["PROGRAM"]
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise Skip(command[0] + " isn't built")
        self.processes[name] = Process(self, name, command, conf, ip)
        self.processes[name].start()

    async def start(self):
        for i, nr in enumerate(self.cores):
            data = os.path.join(self.folder, f"data-{nr}")
            os.mkdir(data)
            self.add("control", f"core-{nr}", f"{self.net}.{nr}",
                     ZONES[i % 3], data=data)
        for i in range(self.nr_entries):
            self.add("entry", f"edge-{i}", f"{self.net}.{20 + i}",
                     ZONES[i % 3])
        for i in range(self.nr_executors):
            ip = f"{self.net}.{30 + i}"
            self.add("agent", f"side-{i}", ip, ZONES[i % 3],
                     app=f"{ip}:{PORT_APP}")
        for i in range(self.nr_executors):
            ip = f"{self.net}.{30 + i}"
            executor = Executor(self, i, ZONES[i % 3], ip, ip)
            self.executors.append(executor)
            if self.late:
                executor.port = PORT_BEHIND
                way = Way(self, ip, self.late(executor))
                self.ways.append(way)
                await way.start()
            await executor.start()
        if not await self.config(1):
            raise Skip("the first manifest was not accepted")
        for _ in range(100):
            answer = await http(f"{self.net}.20:{PORT_READY}", "GET", "/ready")
            if answer and answer[0] == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise Skip("the entry didn't become ready")
        await asyncio.sleep(1)

    def manifest(self, version, **queue):
        route = dict(name="r-1", host=self.host, pathPrefix=self.queue,
                     kind="unsafe", timeoutMs=3000, sloMs=1000, priority=0,
                     service="libro-taller", attempts=4, slackFactor=2.0)
        route.update(queue)
        return dict(version=version, routes=[route], services=[
            dict(name="libro-taller", healthPath="/health", maxConns=64,
                 protocol="h1", tls=False, coldStartS=0.0, warmupPerS=0.0,
                 enforcesCapacity=True, standby=False)],
            limits=dict(maxHeaderBytes=16384, maxBodyBytes=262144,
                        headerTimeoutMs=3000, idleTimeoutMs=15000))

    async def operate(self, method, path, body=None, tries=60):
        """An order of the operator: sent again, to any daemon, until it has a
        clear response."""
        for i in range(tries):
            address = self.control_address(self.cores[i % len(self.cores)])
            answer = None
            for _ in range(3):
                answer = await http(address, method, path, body, timeout_s=1.0)
                if not answer or answer[0] != 307:
                    break
                address = answer[1]["location"].split("/")[2]
            status = answer[0] if answer else 0
            if status // 100 == 2 or status in (400, 409, 412, 413, 422):
                self.answered_by = address.split(":")[0]
                return answer
            await asyncio.sleep(0.2)
        return None

    async def config(self, version, **queue):
        text = json.dumps(self.manifest(version, **queue)).encode()
        answer = await self.operate("POST", "/Config.Replace", text)
        self.record.line("manifest", version=version,
                         status=answer[0] if answer else "none")
        return answer and answer[0] == 200

    async def call(self, method, ident, body=None, entry=0, timeout_s=3.0):
        answer = await http(f"{self.net}.{20 + entry}:{PORT_FRONT}", method,
                            self.queue + ident, body,
                            {"Host": self.host,
                             "X-Masticreach-Timeout-Ms": str(int(timeout_s * 1000))},
                            timeout_s)
        self.record.line("client", method=method, id=ident, entry=entry,
                         status=answer[0] if answer else "none",
                         body=answer[2].decode(errors="replace") if answer
                         else "")
        return answer

    def lines(self, *events):
        """Returns the record's lines of these events as dictionaries."""
        found = []
        for text in open(self.record.path):
            words = text.split()
            if words[1] in events:
                line = dict(word.split("=", 1) for word in words[2:]
                            if "=" in word)
                found.append(dict(line, at=float(words[0]), event=words[1]))
        return found

    def note_steps(self, ident, submission):
        """Lets the executors know what the submission's tasks need."""
        for k in range(max(submission.get("repeats", 0), 1)):
            for nr, step in enumerate(submission["steps"]):
                name = f"{ident}.{k}.{nr}"
                # The `cpu` of a step that fills isn't counted.
                self.cpu[name] = 0 if step.get("fills") else step.get("cpu", 0)
                if step.get("gang"):
                    self.gangs.sizes[name] = step["count"]

    async def submit(self, ident, submission, tries=20):
        self.note_steps(ident, submission)
        self.record.line("submit", id=ident, body=json.dumps(submission)
                         .replace(" ", ""))
        for i in range(tries):
            answer = await self.call("POST", ident,
                                     json.dumps(submission).encode(),
                                     entry=i % self.nr_entries)
            if answer and answer[0] // 100 == 2:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, ident):
        answer = await self.call("GET", ident)
        if answer and answer[0] == 200:
            return json.loads(answer[2])["state"]
        return None

    async def wait_state(self, ident, states, limit_s):
        until = time.monotonic() + limit_s
        state = None
        while time.monotonic() < until:
            state = await self.state(ident)
            if state in states:
                return state
            await asyncio.sleep(0.5)
        return state

    def close(self):
        for process in self.processes.values():
            process.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, scenario, **opts):
    """Runs scenario(bed), which returns a list of broken promises."""
    case = os.path.dirname(os.path.abspath(case_file))
    bed = None
    code = 2

    def ended(number, frame):
        raise Skip("ended by a signal")
    signal.signal(signal.SIGTERM, ended)
    signal.signal(signal.SIGINT, ended)

    async def play():
        await bed.start()
        return await scenario(bed)
    try:
        bed = Bed(case, **opts)
        loop = asyncio.new_event_loop()
        broken = loop.run_until_complete(asyncio.wait_for(play(), float(os.environ.get("LIMIT", "110"))))
        code = 1 if broken else 0
        for text in broken:
            bed.record.line("BROKEN", what=text)
            print("broken:", text)
        print("result:", "broken" if broken else "held",
              "" if TROUBLE else "(TROUBLE=0)")
    except Exception as fault:  # a fault of the script breaks no rule
        print("the case couldn't run:", repr(fault))
    finally:
        if bed:
            bed.record.line("exit", code=code)
            bed.close()
    sys.stdout.flush()
    os._exit(code)
