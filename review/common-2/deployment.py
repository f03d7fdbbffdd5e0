"""A small deployment on loopback addresses: a stand-in store, stand-in workers, and processes of
the gateway, started with the command of the deploy file and settings made from its template."""

import asyncio
import base64
import collections
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# The bounds that the sheet of kmaa-snipestall names.
BOUNDS = {
    "drainMs": 2000, "graceS": 8, "contactMs": 3000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
    "budgetSlack": 58, "quotaWindowS": 8, "quotaOverrun": 0.1, "quotaTolerance": 140000,
    "leaseMs": 3000, "reportWindowS": 5,
}
HEARTBEAT_MS = 1200


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """Writes lines with the seconds since the start to record.txt and to standard output."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f}  " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Message:
    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return Message(lines[0], fields, b"")


async def read_body(reader, message):
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            message.body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return
    message.body = await reader.readexactly(int(message.get("Content-Length") or 0))


class Store:
    """The platform's store (table form) and its API for duties. It answers everything at once and
    keeps its whole history."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.duties = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value, part=""):
        self.version += 1
        self.apply(table, part, key, json.dumps(value).encode())
        self.wake()

    def remove(self, table, key, part=""):
        self.version += 1
        self.apply(table, part, key, None)
        self.wake()

    def apply(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = (value, self.version)
        self.history.append((table, part, key, value, self.version))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def row(table, part, key, value, version):
        entry = {"tableName": table, "part": part, "key": key, "rowVersion": version,
                 "value": base64.b64encode(value or b"").decode()}
        if value is None:
            entry["deleted"] = True
        return entry

    def answer(self, rows, more=False):
        return {"rows": rows, "hasMore": more, "rowVersion": self.version,
                "currentMs": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                method, target, _ = request.first.split(" ")
                status, body = await self.handle(method, target, request)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, request):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {name: values[0] for name, values in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path in ("/usage", "/scale"):
            self.duties.append((time.monotonic(), parts.path, request.get("X-Duty-Holder"),
                                int(request.get("X-Fencing-Token")), json.loads(request.body)))
            return 200, {}
        if parts.path == "/v1/rows-get":
            return 200, self.get(query)
        if parts.path == "/v1/rows-feed":
            return 200, await self.feed(query)
        if parts.path == "/v1/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def get(self, query):
        found = sorted((key, value, version) for (table, part, key), (value, version)
                       in self.rows.items()
                       if table == query["tableName"] and part == query.get("part", "")
                       and key >= query.get("from", "") and key < query.get("to", "\U0010ffff"))
        most = min(int(query.get("maxItems", 500)), 500)
        rows = [self.row(query["tableName"], query.get("part", ""), *each)
                for each in found[:most]]
        return self.answer(rows, len(found) > most)

    async def feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            last = {}
            for entry in self.history:
                if entry[0] == query["tableName"] and entry[4] > after:
                    last[entry[1], entry[2]] = entry
            left = until - time.monotonic()
            if last or left <= 0:
                return self.answer([self.row(*each) for each in
                                    sorted(last.values(), key=lambda each: each[4])])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        def key(entry):
            return entry["tableName"], entry.get("part", ""), entry["key"]
        expected = call.get("expectedRevision", [])
        if any(self.rows.get(key(each), (b"", 0))[1] != each["rowVersion"] for each in expected):
            return 412, self.answer([self.row(*key(each), *self.rows[key(each)])
                                     for each in expected if key(each) in self.rows])
        if any(each["tableName"] in ("op", "servers")
               for each in call.get("putEntry", []) + call.get("remove", [])):
            return 403, self.answer([])
        self.version += 1
        for each in call.get("putEntry", []):
            self.apply(*key(each), base64.b64decode(each["value"]))
        for each in call.get("remove", []):
            self.apply(*key(each), None)
        self.wake()
        return 200, self.answer([])


class Worker:
    """A worker: lists itself, checks X-Expect-Instance, and leaves each request to `run`, a
    coroutine with the arguments (worker, request, reader, writer). It reads the whole body before,
    unless `reads_body` is false."""

    def __init__(self, store, record, name, service, run, zone="hall-1", slots=6, reads_body=True,
                 calls=None, **entry):
        self.store, self.record, self.name, self.run = store, record, name, run
        self.reads_body = reads_body
        self.calls = calls or {}
        self.entry = {"service": service, "zone": zone, "version": "v1", "slotCount": slots,
                      "state": "ready", "coldRemainingMs": 0, "callSeq": 0, **entry}
        self.runs = collections.Counter()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.entry["address"] = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.list()

    def list(self, **changes):
        self.entry.update(changes)
        self.store.put("servers", self.name, self.entry)

    def seal(self, request):
        return f"{self.name}.{request.get('X-Attempt-Id')}"

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                path = request.first.split(" ")[1]
                if path in self.calls:
                    await read_body(reader, request)
                    await self.calls[path](self, request, writer)
                    continue
                if request.get("X-Expect-Instance") not in (None, self.name):
                    await read_body(reader, request)
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: "
                                 + self.name.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                if self.reads_body:
                    await read_body(reader, request)
                if await self.run(self, request, reader, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def head(self, request, status="200 OK", **fields):
        lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {request.get('X-Attempt-Id')}",
                 f"X-Server-Seal: {self.seal(request)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def render(template, fields):
    """Fills in a template as the page on the deploy file says, as far as this project uses it."""
    def value(name):
        at = fields
        for part in name.split("."):
            if isinstance(at, list):
                at = at[int(part)] if int(part) < len(at) else None
            else:
                at = at.get(part) if isinstance(at, dict) else None
        return at

    def section(match):
        present = value(match[2]) not in (None, False)
        return match[3] if present == (match[1] == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: "" if value(match[1]) is None else str(value(match[1])), text)


class Gateway:
    """A process of the gateway at a loopback address of its own."""

    def __init__(self, store, record, folder, name, address, ports, zone="hall-1", bootstrap=True):
        self.store, self.record, self.folder, self.name = store, record, folder, name
        self.address, self.ports, self.zone, self.bootstrap = address, ports, zone, bootstrap
        self.process = None

    def settings(self):
        front, ready, peer, forward = self.ports
        return {
            "nodeName": self.name, "zone": self.zone, "ip": self.address,
            "bootstrap": self.bootstrap,
            "listenAddrs": {"front": f"{self.address}:{front}", "ready": f"{self.address}:{ready}"},
            "internalPorts": [peer, forward], "heartbeatMs": HEARTBEAT_MS,
            "platform": {"address": self.store.address},
            "cloudApi": {"address": self.store.address},
            "limits": {"cpuShare": 0.25, "coreCount": 1, "memoryMb": 260, "maxFds": 4100},
            "bounds": BOUNDS,
        }

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            role["run"].split(" "), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                 "SNIPESTALL_BOOT": path})
        self.bootstrap = False
        self.record("start", self.name)

    def signal(self, number):
        self.record("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports[1])
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return " 200 " in head.first
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def until_ready(self, limit=10):
        until = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)


class Deployment:
    """`with Deployment(folder) as it`: ends all processes and removes the temporary folder."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.gateways = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP") == "1":
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add_gateways(self, count, zones=("hall-1",)):
        base = os.getpid() % 200 + 20
        for i in range(count):
            address = f"127.0.{base}.{i + 1}"
            if i == 0:
                ports = [free_port(address) for _ in range(4)]
            self.gateways.append(Gateway(self.store, self.record, self.folder, f"edge-{i + 1}",
                                         address, ports, zones[i % len(zones)]))
        return self.gateways


def config(version, routes, services, tenants=None, **limits):
    document = {"version": version, "routes": routes, "services": services,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                           "headerTimeoutMs": 5000, "idleTimeoutMs": 30000, **limits}}
    if tenants:
        document["tenants"] = tenants
    return document


def main(folder, body):
    """Runs the case; the exit code is 1 if the rule was broken, 0 if it held, 2 if the case could
    not run."""
    os.chdir(folder)
    code = 2
    with Deployment(folder) as deployment:
        try:
            async def limited():
                await deployment.store.start()
                return await asyncio.wait_for(body(deployment), 110)
            broken = asyncio.run(limited())
            code = 1 if broken else 0
            deployment.record("rule broken" if broken else "rule held")
        except Exception as error:  # Anything that keeps the case from running.
            deployment.record("the case could not run:", repr(error))
    sys.stdout.flush()
    os._exit(code)
