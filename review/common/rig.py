"""Stand-ins and helpers for the review's scripts: the platform's store and API, a worker, a client,
and the gateway's own process. Python's standard library only; loopback addresses only."""
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target/bin/snipestall-gateway"


def now():
    return time.monotonic()


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begun = now()
        self.file = open(path, "w", buffering=1)

    def __call__(self, *words):
        self.file.write(f"{now() - self.begun:9.3f} " + " ".join(str(w) for w in words) + "\n")


def free_ports(count, host="127.0.0.1"):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((host, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns (first line, fields, body) or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    fields = []
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        fields.append((name.strip().lower(), value.strip()))
    names = dict(fields)
    body = b""
    if "content-length" in names:
        body = await reader.readexactly(int(names["content-length"]))
    elif names.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                break
            body += await reader.readexactly(size)
            await reader.readline()
    return line.decode("latin-1").strip(), names, body


def answer_bytes(status, fields=(), body=b"", reason="X"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


class Store:
    """The platform's store (rows, transactions, feed) and its API for duties (usage, scale)."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.duties = []
        self.on_duty = None
        self.fault = None  # callable (path, peer port) -> None, "silent", "reset" or a status
        self.after_write = None  # callable (path, body) -> True: no answer is sent

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value, part=""):
        self.version += 1
        self._set((table, part, key), value, self.version)
        return self.version

    def remove(self, table, key, part=""):
        self.version += 1
        self._set((table, part, key), None, self.version)

    def _set(self, name, value, version):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, version)
        self.history.append((name, value, version))
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, rows, more=False):
        out = []
        for (table, part, key), value, version in rows:
            row = {"tableName": table, "part": part, "key": key, "rowVersion": version,
                   "value": base64.b64encode((value or "").encode()).decode()}
            if value is None:
                row["deleted"] = True
            out.append(row)
        return json.dumps({"rows": out, "hasMore": more, "rowVersion": self.version,
                           "currentMs": int(now() * 1000)}).encode()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, fields, body = message
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                fault = self.fault(path, fields, body) if self.fault else None
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "reset":
                    writer.transport.abort()
                    return
                if isinstance(fault, int):
                    writer.write(answer_bytes(fault))
                    continue
                status, out = await self.handle(path, dict(urllib.parse.parse_qsl(query, True)),
                                                fields, body)
                if out is None:
                    writer.transport.abort()
                    return
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], out))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, path, query, fields, body):
        if path in ("/usage", "/scale"):
            call = (now(), path, fields.get("x-duty-holder"), int(fields.get("x-fencing-token")),
                    json.loads(body))
            self.duties.append(call)
            self.record("duty", *call[1:])
            if self.on_duty:
                self.on_duty(call)
            return 200, b"{}"
        if path == "/v1/rows-get":
            rows = sorted(((n, v, r) for n, (v, r) in self.rows.items()
                           if n[0] == query["tableName"] and n[1] == query.get("part", "")
                           and n[2] >= query.get("from", "")), key=lambda e: e[0][2].encode())
            limit = min(int(query.get("maxItems", 500)), 500)
            return 200, self._answer(rows[:limit], len(rows) > limit)
        if path == "/v1/rows-feed":
            after = int(query["after"])
            until = now() + min(int(query.get("waitMs", 0)), 30000) / 1000
            while True:
                rows = [e for e in self.history if e[0][0] == query["tableName"] and e[2] > after]
                left = until - now()
                if rows or left <= 0:
                    return 200, self._answer(rows[:500])
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            await asyncio.sleep(0.003)
            call = json.loads(body)
            name = lambda e: (e["tableName"], e.get("part", ""), e["key"])
            for e in call.get("expectedRevision", []):
                if self.rows.get(name(e), (None, 0))[1] != e["rowVersion"]:
                    return 412, self._answer([])
            self.version += 1
            for e in call.get("putEntry", []):
                self._set(name(e), base64.b64decode(e["value"]).decode(), self.version)
            for e in call.get("remove", []):
                self._set(name(e), None, self.version)
            if self.after_write and self.after_write(path, call):
                return 200, None
            return 200, self._answer([])
        return 404, b"{}"


class Gateway:
    """One process of the gateway, started with the command of the deploy file."""

    def __init__(self, record, store, name, ip, zone="zone-a", bounds=None, log=None, first=True):
        self.record, self.store, self.name, self.ip, self.zone = record, store, name, ip, zone
        ports = free_ports(5, ip)
        self.front, self.ready, self.peer, self.forward, self.metrics = ports
        self.bounds = {"drain_ms": 2000, "grace_s": 8, "contact_ms": 3000, "retry_ratio": 0.2,
                       "retry_window_s": 10, "retry_slack": 58, "quota_window_s": 8,
                       "quota_overrun": 0.1, "quota_tolerance": 140000, "lease_ms": 3000,
                       "usage_window_s": 5}
        self.bounds.update(bounds or {})
        self.first = first
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.log = log or os.path.join(self.folder, "log")
        self.process = None

    def settings(self):
        lines = [f'instance: "{self.name}"', f'data_centre: "{self.zone}"',
                 f'first_start: {"true" if self.first else "false"}', f'address: "{self.ip}"',
                 f'callers: "{self.ip}:{self.front}"', f'readiness: "{self.ip}:{self.ready}"',
                 f"peer_port: {self.peer}", f"forward_port: {self.forward}",
                 f"metrics_port: {self.metrics}", f'store: "{self.store}"',
                 f'duties: "{self.store}"', "server_heartbeat_ms: 1200", "limits:",
                 "  file_descriptors: 4100", "  processor_share: 0.25", "  processor_cores: 1",
                 "bounds:"]
        return "\n".join(lines + [f"  {k}: {v}" for k, v in self.bounds.items()]) + "\n"

    def start(self):
        path = os.path.join(self.folder, "node.yaml")
        with open(path, "w") as file:
            file.write(self.settings())
        self.process = subprocess.Popen(
            [str(GATEWAY), "--settings_variable=SNIPESTALL_BOOT"], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                 "SNIPESTALL_BOOT": path},
            stdout=open(self.log, "a"), stderr=subprocess.STDOUT)
        self.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.record("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    async def until_ready(self, timeout=20):
        until = now() + timeout
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                message = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if message and " 200 " in message[0] + " ":
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def server_entry(address, service, zone="zone-a", slots=6, state="ready", version="1", **more):
    return json.dumps({"service": service, "address": address, "zone": zone, "version": version,
                       "slotCount": slots, "state": state, "coldRemainingMs": 0, "callSeq": 0,
                       **more})


HOST = "a.example"
KEY = "k-harbour"


def config(version=3, **more):
    """A configuration of a small deployment: one route of each kind."""
    route = lambda name, kind, timeout, target, service, attempts, **rest: {
        "name": name, "host": HOST, "prefix": f"/{name}/", "routeType": kind, "timeoutMs": timeout,
        "targetLatencyMs": target, "priority": 0, "service": service, "maxAttempts": attempts, **rest}
    return json.dumps({
        "version": version,
        "routes": [
            route("fetch", "idempotent", 800, 100, "guide", 2),
            route("order", "non_idempotent", 800, 100, "guide", 1),
            route("review", "streaming", 15000, 1200, "model", 2, targetGapMs=400, streamResume=True),
            route("query", "streaming", 12000, 1000, "model", 1, targetGapMs=400)],
        "services": [
            {"name": "guide", "healthPath": "/healthz"},
            {"name": "model", "healthPath": "/healthz",
             "engine": {"slotCount": 64, "kvCapacity": 563070, "moves": True}}],
        "tenants": [{"name": "harbour", "apiKeys": [KEY]}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 20000}, **more})


def request_bytes(attempt, method, path, body=b"", deadline_ms=1500, **fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Worker:
    """A sound worker: runs each request that is meant for it, for `work_s` seconds."""

    def __init__(self, record, worker_id, work_s):
        self.record, self.id, self.work_s = record, worker_id, work_s
        self.ran = []

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def seal(self, fields):
        attempt = fields.get("x-attempt-id", "")
        return [("X-Attempt-Id", attempt), ("X-Server-Seal", f"{self.id}.{attempt}")]

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, fields, body = message
                path = line.split(" ")[1]
                if path == "/healthz":
                    writer.write(answer_bytes(200, [("X-Instance-Id", self.id)]))
                elif fields.get("x-expect-instance", self.id) != self.id:
                    writer.write(answer_bytes(421, [("X-Attempt-Id", fields.get("x-attempt-id", "")),
                                                    ("X-Not-Executed", "1")]))
                else:
                    self.ran.append(fields.get("x-attempt-id"))
                    self.record("run", self.id, line, fields.get("x-attempt-id"))
                    await self.run(fields, path, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def run(self, fields, path, body, writer):
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, self.seal(fields), b"answer to " + fields["x-attempt-id"].encode()))


def run(main):
    """Runs a case for 100 s at most; any error of the case itself is exit code 2."""
    code = 2
    try:
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda *_: None)
        code = loop.run_until_complete(asyncio.wait_for(main(), 100))
    except Exception as error:  # the case couldn't run
        print(f"the case couldn't run: {error!r}")
    os._exit(2 if code is None else code)
