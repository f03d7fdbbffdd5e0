"""Measures what snipestalld costs; started by capacity.sh, which says how."""

import hashlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

WINDOW_S = 7.0
LOAD_WINDOW_S = 6.0
SETTLE_S = 2.5
SAMPLE_EVERY_S = 1.0
MAX_PROCESSES = 120
PEER_COUNTS = [2, 4, 8, 16, 32]
SERVER_CASES = [(2, 5), (2, 20), (2, 60), (8, 60), (16, 60)]  # instances, engines
LOADS = [(20, 16), (60, 16), (20, 64), (60, 64)]  # requests a second, tokens of each
FORWARD_LOADS = [(20, 16), (60, 16), (60, 64)]
KEY = "bench-bootstrap"
CUSTOMER_KEY = "bench-customer"
TICKS = os.sysconf("SC_CLK_TCK")


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


SETTINGS = f"""fleet:
  latency: {{first_token: 5s, inter_token: 1s, deadline: 60s}}
  limits: {{requests_per_second: 10000, tokens_per_second: 10000000, concurrency: 2000}}
classes:
  spot: {{reclaimable: true, price_per_hour: 0.3, reclaims_per_hour: 0.2}}
services:
  language: {{kind: model, models: [airtime-writer], min_servers: 0}}
data_centres:
  bench-hall: {{share: 1, classes: {{spot: {{}}}}}}
operators:
  bench: {{key_hashes: [{sha256("bench-operator")}]}}
customers:
  harbour:
    key_hashes: [{sha256(CUSTOMER_KEY)}]
    services: {{language: {{}}}}
"""


def free_base(count):
    """First port of a run of free ones, below the range of ephemeral ports."""
    for base in range(12000, 30000, 400):
        held = []
        try:
            for port in range(base, base + count):
                held.append(socket.socket())
                held[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                held[-1].bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise SystemExit("no free ports")


def get(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
        return answer.read().decode()


def metric(text, name):
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if re.match(name + r"[ {]", line))


class Cluster:
    """One data centre; every process of it ends with the block."""

    def __init__(self, binaries, instances, engines):
        assert instances + engines + 2 <= MAX_PROCESSES
        self.bin = binaries
        self.instances = instances
        self.engines = engines
        self.processes = []
        self.nodes = []
        self.work = tempfile.TemporaryDirectory(prefix="capacity-")
        self.base = free_base(300)
        self.platform = f"127.0.0.1:{self.base}"

    def caller(self, number):
        return f"127.0.0.1:{self.base + 1 + number}"

    def operator(self, number):
        return f"127.0.0.1:{self.base + 41 + number}"

    def peer(self, number):
        return f"127.0.0.1:{self.base + 81 + number}"

    def start(self, name, *command):
        log = open(pathlib.Path(self.work.name) / f"{name}.log", "wb")
        process = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.processes.append(process)
        return process

    def wait_for(self, what, check):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                if check():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        for log in sorted(pathlib.Path(self.work.name).glob("*.log"))[:3]:
            print(log.name, log.read_text()[-400:], file=sys.stderr)
        raise SystemExit(f"gave up waiting for {what}")

    def __enter__(self):
        try:
            self.launch()
        except BaseException:
            self.__exit__()
            raise
        return self

    def launch(self):
        self.start("platform", f"{self.bin}/standin-platform", "--listen", self.platform)
        self.wait_for("platform", lambda: get(self.platform, "/control/counters"))
        seeds = "".join(f'    - {{instance: entry-{n}, data_centre: bench-hall, '
                        f'address: "{self.peer(n)}"}}\n' for n in range(2))
        for n in range(self.instances):
            path = pathlib.Path(self.work.name) / f"entry-{n}.yaml"
            path.write_text(f'instance: entry-{n}\ndata_centre: bench-hall\n'
                            f'callers: {{listen: "{self.caller(n)}"}}\n'
                            f'operators: {{listen: "{self.operator(n)}", '
                            f'bootstrap_key_sha256: {sha256(KEY)}}}\n'
                            f'peers:\n  listen: {self.peer(n)}\n  seeds:\n{seeds}'
                            f'platform: {{address: "{self.platform}"}}\n')
            self.nodes.append(self.start(f"entry-{n}", f"{self.bin}/snipestalld",
                                         "--settings", str(path)))
        for n in range(self.engines):
            self.start(f"engine-{n}", f"{self.bin}/standin-engine", "--listen",
                       f"127.0.0.1:{self.base + 121 + n}", "--platform", self.platform, "--name",
                       f"engine-{n}", "--data_centre", "bench-hall", "--service", "language",
                       "--class", "spot", "--models", "airtime-writer", "--slots", "32",
                       "--token_ms", "5", "--batch_slope", "0")
        for n in range(self.instances):
            self.wait_for(f"entry-{n}", lambda n=n: get(self.operator(n), "/metrics"))
        path = pathlib.Path(self.work.name) / "settings.yaml"
        path.write_text(SETTINGS)
        done = subprocess.run([f"{self.bin}/snipestallctl", "apply", "-f", str(path), "--server",
                               self.operator(0), "--reason", "capacity"], timeout=15,
                              env={**os.environ, "SNIPESTALL_OPERATOR_KEY": KEY},
                              capture_output=True, text=True)
        if done.returncode != 0:
            raise SystemExit(f"apply: {done.stdout}{done.stderr}")
        for n in range(self.instances):
            self.wait_for(f"settings on entry-{n}", lambda n=n: metric(
                get(self.operator(n), "/metrics"), "snipestall_settings_version") > 0)
        time.sleep(SETTLE_S)

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        end = time.monotonic() + 3
        for process in self.processes:
            try:
                process.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.work.cleanup()

    def kind(self, local, remote):
        for port in (remote - self.base, local - self.base):
            if port == 0:
                return "platform"
            if 81 <= port < 121:
                return "peers"
            if 121 <= port < 300:
                return "engine_bytes"
            if 1 <= port < 41:
                return "callers"
        return "other"

    def sockets(self):
        """Payload bytes sent and received by each socket of the instances."""
        ids = {node.pid for node in self.nodes}
        text = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, timeout=10).stdout
        found = {}
        lines = text.splitlines()
        for head, info in zip(lines, lines[1:]):
            pid = re.search(r"pid=(\d+)", head)
            if not pid or int(pid[1]) not in ids:
                continue
            local, remote = (int(word.rsplit(":", 1)[1]) for word in head.split()[3:5])
            total = sum(int(count) for count in re.findall(r"bytes_(?:sent|received):(\d+)", info))
            found[int(pid[1]), local, remote] = total
        return found

    def processor_seconds(self):
        total = 0
        for node in self.nodes:
            fields = pathlib.Path(f"/proc/{node.pid}/stat").read_text().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS

    def memory(self):
        sums = {"rss": 0, "anon": 0, "pss": 0, "threads": 0}
        for node in self.nodes:
            status = pathlib.Path(f"/proc/{node.pid}/status").read_text()
            smaps = pathlib.Path(f"/proc/{node.pid}/smaps_rollup").read_text()
            sums["rss"] += int(re.search(r"VmRSS:\s+(\d+)", status)[1])
            sums["anon"] += int(re.search(r"RssAnon:\s+(\d+)", status)[1])
            sums["threads"] += int(re.search(r"Threads:\s+(\d+)", status)[1])
            sums["pss"] += int(re.search(r"\nPss:\s+(\d+)", smaps)[1])
        return {name: value / len(self.nodes) for name, value in sums.items()}

    def counters(self):
        texts = [get(self.operator(n), "/metrics") for n in range(self.instances)]
        names = {"requests": "snipestall_requests_arrived_total",
                 "tokens": "snipestall_tokens_generated_total",
                 "forwards": "snipestall_forwards_total",
                 "reads": "snipestall_platform_reads_total",
                 "writes": "snipestall_platform_row_writes_total"}
        return {short: sum(metric(text, name) for text in texts) for short, name in names.items()}

    def measure(self, window):
        """Means per instance over the window."""
        kinds = dict.fromkeys(["peers", "platform", "engine_bytes", "callers", "other"], 0)
        counters = self.counters()
        last = self.sockets()
        seconds = self.processor_seconds()
        begin = time.monotonic()
        while time.monotonic() - begin < window:
            time.sleep(min(SAMPLE_EVERY_S, max(0.0, begin + window - time.monotonic())))
            now = self.sockets()
            for key, total in now.items():
                kinds[self.kind(*key[1:])] += max(0, total - last.get(key, 0))
            last = now
        length = time.monotonic() - begin
        seconds = self.processor_seconds() - seconds
        row = {"instances": self.instances, "engines": self.engines,
               "processor": 100 * seconds / length / self.instances, **self.memory()}
        for kind, total in kinds.items():
            row[kind] = total / length / self.instances
        for name, value in self.counters().items():
            row[name] = (value - counters[name]) / length / self.instances
        return row


def least_squares(rows, names, target):
    """Constant and slopes, by the normal equations."""
    xs = [[1.0] + [row[name] for name in names] for row in rows]
    size = len(names) + 1
    system = [[sum(x[i] * x[j] for x in xs) for j in range(size)]
              + [sum(x[i] * row[target] for x, row in zip(xs, rows))] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda k: abs(system[k][i]))
        system[i], system[pivot] = system[pivot], system[i]
        for k in range(size):
            if k != i:
                factor = system[k][i] / system[i][i]
                system[k] = [a - factor * b for a, b in zip(system[k], system[i])]
    return [system[i][size] / system[i][i] for i in range(size)]


COLUMNS = [("instances", "instances", "d"), ("engines", "engines", "d"),
           ("requests", "requests/s", ".1f"), ("tokens", "tokens/s", ".0f"),
           ("forwards", "forwards/s", ".1f"), ("processor", "core %", ".2f"),
           ("rss", "RSS KiB", ".0f"), ("anon", "anon KiB", ".0f"), ("pss", "PSS KiB", ".0f"),
           ("threads", "threads", ".1f"), ("peers", "peers B/s", ".0f"),
           ("platform", "platform B/s", ".0f"), ("engine_bytes", "engines B/s", ".0f"),
           ("callers", "callers B/s", ".0f"),           ("reads", "reads/s", ".2f"), ("writes", "rows/s", ".2f")]


def show(title, rows):
    print(f"\n## {title} (per instance)\n")
    print("| " + " | ".join(head for _, head, _ in COLUMNS) + " |")
    print("|" + "---|" * len(COLUMNS))
    for row in rows:
        print("| " + " | ".join(format(row[name], spec) for name, _, spec in COLUMNS) + " |")
    sys.stdout.flush()


def fit(title, rows, names, targets):
    print(f"\n### Fit: {title}\n\n| figure | constant | " + " | ".join(f"per {n}" for n in names)
          + " |\n|" + "---|" * (len(names) + 2))
    for target in targets:
        values = least_squares(rows, names, target)
        print(f"| {target} | " + " | ".join(f"{value:.4g}" for value in values) + " |")
    sys.stdout.flush()


def idle(binaries, instances, engines):
    with Cluster(binaries, instances, engines) as cluster:
        row = cluster.measure(WINDOW_S)
        row["peer"] = instances - 1
        row["owned"] = engines / instances
        row["listed"] = engines
        return row


def under_load(binaries, engines, loads):
    rows = []
    with Cluster(binaries, 4, engines) as cluster:
        rows.append(cluster.measure(LOAD_WINDOW_S))
        targets = ",".join(cluster.caller(n) for n in range(4))
        for rate, tokens in loads:
            mix = pathlib.Path(cluster.work.name) / "mix.yaml"
            mix.write_text(f"rate: {rate}\nduration_ms: {int(LOAD_WINDOW_S * 1000) + 3000}\nseed: 7\n"
                           "classes:\n  - {name: chat, model: airtime-writer, deadline_ms: 20000, "
                           f"prompt_characters: [200, 400], max_tokens: [{tokens}, {tokens}]}}\n")
            load = subprocess.Popen([f"{cluster.bin}/snipestall-load", "--targets", targets, "--key",
                                     CUSTOMER_KEY, "--mix", str(mix), "--output", "json"],
                                    stdout=subprocess.PIPE, text=True)
            cluster.processes.append(load)
            time.sleep(2)
            rows.append(cluster.measure(LOAD_WINDOW_S))
            answer = load.communicate(timeout=30)[0]
            print(f"load {rate}/s x {tokens} tokens: exit {load.returncode}; "
                  f"{answer.strip()[:300]}", file=sys.stderr)
            time.sleep(1)
    return rows


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    binaries, parts = sys.argv[1], sys.argv[2:] or ["peers", "servers", "load", "forwards"]
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"{time.strftime('%Y-%m-%d %H:%M')} UTC, {os.cpu_count()} processors, load average {load}")
    idle_rows = []
    if "peers" in parts:
        rows = [idle(binaries, count, 4) for count in PEER_COUNTS]
        idle_rows += rows
        show("Idle, by instances", rows)
        fit("idle, 4 engines", rows, ["peer"],
            ["processor", "rss", "anon", "pss", "threads", "peers", "platform"])
    if "servers" in parts:
        rows = [idle(binaries, *case) for case in SERVER_CASES]
        idle_rows += rows
        show("Idle, by engines", rows)
        fit("idle, 2 instances", rows[:3], ["owned"],
            ["processor", "rss", "anon", "pss", "platform", "engine_bytes"])
    if len(idle_rows) > len(PEER_COUNTS):
        fit("idle, all rows", idle_rows, ["peer", "owned", "listed"],
            ["processor", "rss", "anon", "pss", "threads", "peers", "platform", "engine_bytes"])
    if "load" in parts:
        rows = under_load(binaries, 4, LOADS)
        show("Under load, each instance owns an engine", rows)
        fit("under load, 4 instances and 4 engines", rows, ["requests", "tokens"],
            ["processor", "peers", "engine_bytes", "callers"])
    if "forwards" in parts:
        rows = under_load(binaries, 1, FORWARD_LOADS)
        show("Under load, one instance owns the only engine", rows)


if __name__ == "__main__":
    main()
