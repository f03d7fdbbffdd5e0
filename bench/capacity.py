"""Measures the resource use of snipestalld. Started by capacity.sh, which describes the parts."""

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

IDLE_WINDOW_S = 7.0
LOAD_WINDOW_S = 6.0
SETTLE_S = 2.5
SAMPLE_INTERVAL_S = 1.0
MAX_PROCESSES = 120
PEER_COUNTS = [2, 4, 8, 16, 32]
SERVER_SIZES = [(2, 5), (2, 20), (2, 60), (8, 60), (16, 60)]  # numbers of instances and engines
LOADS = [(20, 16), (60, 16), (20, 64), (60, 64)]  # requests per second, tokens per request
FORWARD_LOADS = [(20, 16), (60, 16), (60, 64)]
BOOTSTRAP_KEY = "bench-bootstrap"
CUSTOMER_KEY = "bench-customer"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


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


def find_port_range(count):
    """Returns the first of `count` free consecutive ports, below the range of ephemeral ports."""
    for first_port in range(12000, 30000, 400):
        reserved = []
        try:
            for port in range(first_port, first_port + count):
                reserved.append(socket.socket())
                reserved[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                reserved[-1].bind(("127.0.0.1", port))
            return first_port
        except OSError:
            continue
        finally:
            for sock in reserved:
                sock.close()
    raise SystemExit("no free range of ports between 12000 and 30000")


def get(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as response:
        return response.read().decode()


def sum_metric(text, name):
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if re.match(name + r"[ {]", line))


class Cluster:
    """One data centre. All its processes are stopped at the end of the with block."""

    def __init__(self, bin_dir, instances, engines):
        assert instances + engines + 2 <= MAX_PROCESSES
        self.bin_dir = bin_dir
        self.instances = instances
        self.engines = engines
        self.processes = []
        self.nodes = []
        self.work_dir = tempfile.TemporaryDirectory(prefix="capacity-")
        self.first_port = find_port_range(300)
        self.platform = f"127.0.0.1:{self.first_port}"

    def caller_address(self, number):
        return f"127.0.0.1:{self.first_port + 1 + number}"

    def operator_address(self, number):
        return f"127.0.0.1:{self.first_port + 41 + number}"

    def peer_address(self, number):
        return f"127.0.0.1:{self.first_port + 81 + number}"

    def start(self, name, *command):
        log = open(pathlib.Path(self.work_dir.name) / f"{name}.log", "wb")
        process = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.processes.append(process)
        return process

    def wait_for(self, target, is_ready):
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            try:
                if is_ready():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        for log in sorted(pathlib.Path(self.work_dir.name).glob("*.log"))[:3]:
            print(log.name, log.read_text()[-400:], file=sys.stderr)
        raise SystemExit(f"timed out waiting for {target}")

    def __enter__(self):
        try:
            self.launch()
        except BaseException:
            self.__exit__()
            raise
        return self

    def launch(self):
        self.start("platform", f"{self.bin_dir}/standin-platform", "--listen", self.platform)
        self.wait_for("platform", lambda: get(self.platform, "/control/counters"))
        seeds = "".join(f'    - {{instance: entry-{n}, data_centre: bench-hall, '
                        f'address: "{self.peer_address(n)}"}}\n' for n in range(2))
        for n in range(self.instances):
            path = pathlib.Path(self.work_dir.name) / f"entry-{n}.yaml"
            path.write_text(f'instance: entry-{n}\ndata_centre: bench-hall\n'
                            f'callers: {{listen: "{self.caller_address(n)}"}}\n'
                            f'operators: {{listen: "{self.operator_address(n)}", '
                            f'bootstrap_key_sha256: {sha256(BOOTSTRAP_KEY)}}}\n'
                            f'peers:\n  listen: {self.peer_address(n)}\n  seeds:\n{seeds}'
                            f'platform: {{address: "{self.platform}"}}\n')
            self.nodes.append(self.start(f"entry-{n}", f"{self.bin_dir}/snipestalld",
                                         "--settings", str(path)))
        for n in range(self.engines):
            self.start(f"engine-{n}", f"{self.bin_dir}/standin-engine", "--listen",
                       f"127.0.0.1:{self.first_port + 121 + n}", "--platform", self.platform,
                       "--name", f"engine-{n}", "--data_centre", "bench-hall",
                       "--service", "language", "--class", "spot",
                       "--models", "airtime-writer", "--slots", "32",
                       "--token_ms", "5", "--batch_slope", "0")
        for n in range(self.instances):
            self.wait_for(f"entry-{n}", lambda n=n: get(self.operator_address(n), "/metrics"))
        path = pathlib.Path(self.work_dir.name) / "settings.yaml"
        path.write_text(SETTINGS)
        applied = subprocess.run([f"{self.bin_dir}/snipestallctl", "apply", "-f", str(path),
                                  "--server", self.operator_address(0), "--reason", "capacity"],
                                 timeout=15,
                                 env={**os.environ, "SNIPESTALL_OPERATOR_KEY": BOOTSTRAP_KEY},
                                 capture_output=True, text=True)
        if applied.returncode != 0:
            raise SystemExit(f"snipestallctl apply failed: {applied.stdout}{applied.stderr}")
        for n in range(self.instances):
            self.wait_for(f"settings on entry-{n}", lambda n=n: sum_metric(
                get(self.operator_address(n), "/metrics"), "snipestall_settings_version") > 0)
        time.sleep(SETTLE_S)

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + 3
        for process in self.processes:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.work_dir.cleanup()

    def classify_connection(self, local, remote):
        for port in (remote - self.first_port, local - self.first_port):
            if port == 0:
                return "platform"
            if 81 <= port < 121:
                return "peers"
            if 121 <= port < 300:
                return "engine_bytes"
            if 1 <= port < 41:
                return "callers"
        return "other"

    def socket_bytes(self):
        """Returns the payload bytes sent and received by each socket of the instances."""
        pids = {node.pid for node in self.nodes}
        text = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, timeout=10).stdout
        bytes_by_socket = {}
        lines = text.splitlines()
        for address_line, counter_line in zip(lines, lines[1:]):
            pid = re.search(r"pid=(\d+)", address_line)
            if not pid or int(pid[1]) not in pids:
                continue
            local, remote = (int(word.rsplit(":", 1)[1]) for word in address_line.split()[3:5])
            total = sum(int(count) for count in
                        re.findall(r"bytes_(?:sent|received):(\d+)", counter_line))
            bytes_by_socket[int(pid[1]), local, remote] = total
        return bytes_by_socket

    def processor_seconds(self):
        total = 0
        for node in self.nodes:
            fields = pathlib.Path(f"/proc/{node.pid}/stat").read_text().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
        return total / CLOCK_TICKS_PER_S

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
        texts = [get(self.operator_address(n), "/metrics") for n in range(self.instances)]
        names = {"requests": "snipestall_requests_arrived_total",
                 "tokens": "snipestall_tokens_generated_total",
                 "forwards": "snipestall_forwards_total",
                 "reads": "snipestall_platform_reads_total",
                 "writes": "snipestall_platform_row_writes_total"}
        return {column: sum(sum_metric(text, name) for text in texts)
                for column, name in names.items()}

    def measure(self, window):
        """Returns the means per instance over `window` seconds."""
        bytes_by_kind = dict.fromkeys(["peers", "platform", "engine_bytes", "callers", "other"], 0)
        counters = self.counters()
        previous = self.socket_bytes()
        seconds = self.processor_seconds()
        started_at = time.monotonic()
        while time.monotonic() - started_at < window:
            time.sleep(min(SAMPLE_INTERVAL_S, max(0.0, started_at + window - time.monotonic())))
            current = self.socket_bytes()
            for connection, total in current.items():
                bytes_by_kind[self.classify_connection(*connection[1:])] += max(
                    0, total - previous.get(connection, 0))
            previous = current
        elapsed = time.monotonic() - started_at
        seconds = self.processor_seconds() - seconds
        row = {"instances": self.instances, "engines": self.engines,
               "processor": 100 * seconds / elapsed / self.instances, **self.memory()}
        for kind, total in bytes_by_kind.items():
            row[kind] = total / elapsed / self.instances
        for name, value in self.counters().items():
            row[name] = (value - counters[name]) / elapsed / self.instances
        return row


def least_squares(rows, names, target):
    """Returns the constant and the slopes of the fit, by the normal equations."""
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
           ("callers", "callers B/s", ".0f"),
           ("reads", "reads/s", ".2f"), ("writes", "rows/s", ".2f")]


def print_table(title, rows):
    print(f"\n## {title} (per instance)\n")
    print("| " + " | ".join(heading for _, heading, _ in COLUMNS) + " |")
    print("|" + "---|" * len(COLUMNS))
    for row in rows:
        print("| " + " | ".join(format(row[name], spec) for name, _, spec in COLUMNS) + " |")
    sys.stdout.flush()


def print_fit(title, rows, names, targets):
    print(f"\n### Fit: {title}\n\n| figure | constant | " + " | ".join(f"per {n}" for n in names)
          + " |\n|" + "---|" * (len(names) + 2))
    for target in targets:
        values = least_squares(rows, names, target)
        print(f"| {target} | " + " | ".join(f"{value:.4g}" for value in values) + " |")
    sys.stdout.flush()


def measure_idle(bin_dir, instances, engines):
    with Cluster(bin_dir, instances, engines) as cluster:
        row = cluster.measure(IDLE_WINDOW_S)
        row["peer"] = instances - 1
        row["owned"] = engines / instances
        row["listed"] = engines
        return row


def measure_under_load(bin_dir, engines, loads):
    rows = []
    with Cluster(bin_dir, 4, engines) as cluster:
        rows.append(cluster.measure(LOAD_WINDOW_S))
        targets = ",".join(cluster.caller_address(n) for n in range(4))
        for rate, tokens in loads:
            mix = pathlib.Path(cluster.work_dir.name) / "mix.yaml"
            mix.write_text(f"rate: {rate}\n"
                           f"duration_ms: {int(LOAD_WINDOW_S * 1000) + 3000}\nseed: 7\n"
                           "classes:\n  - {name: chat, model: airtime-writer, deadline_ms: 20000, "
                           f"prompt_characters: [200, 400], max_tokens: [{tokens}, {tokens}]}}\n")
            load_process = subprocess.Popen(
                [f"{cluster.bin_dir}/snipestall-load", "--targets", targets, "--key", CUSTOMER_KEY,
                 "--mix", str(mix), "--output", "json"], stdout=subprocess.PIPE, text=True)
            cluster.processes.append(load_process)
            time.sleep(2)
            rows.append(cluster.measure(LOAD_WINDOW_S))
            load_output = load_process.communicate(timeout=30)[0]
            print(f"load {rate}/s x {tokens} tokens: exit {load_process.returncode}; "
                  f"{load_output.strip()[:300]}", file=sys.stderr)
            time.sleep(1)
    return rows


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    bin_dir, sections = sys.argv[1], sys.argv[2:] or ["peers", "servers", "load", "forwards"]
    load_average = " ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"{time.strftime('%Y-%m-%d %H:%M')} UTC, {os.cpu_count()} processors, "
          f"load average {load_average}")
    idle_rows = []
    if "peers" in sections:
        rows = [measure_idle(bin_dir, count, 4) for count in PEER_COUNTS]
        idle_rows += rows
        print_table("Idle, by instances", rows)
        print_fit("idle, 4 engines", rows, ["peer"],
                  ["processor", "rss", "anon", "pss", "threads", "peers", "platform"])
    if "servers" in sections:
        rows = [measure_idle(bin_dir, *sizes) for sizes in SERVER_SIZES]
        idle_rows += rows
        print_table("Idle, by engines", rows)
        print_fit("idle, 2 instances", rows[:3], ["owned"],
                  ["processor", "rss", "anon", "pss", "platform", "engine_bytes"])
    if len(idle_rows) > len(PEER_COUNTS):
        print_fit("idle, all rows", idle_rows, ["peer", "owned", "listed"],
                  ["processor", "rss", "anon", "pss", "threads", "peers", "platform",
                   "engine_bytes"])
    if "load" in sections:
        rows = measure_under_load(bin_dir, 4, LOADS)
        print_table("Under load, each instance owns an engine", rows)
        print_fit("under load, 4 instances and 4 engines", rows, ["requests", "tokens"],
                  ["processor", "peers", "engine_bytes", "callers"])
    if "forwards" in sections:
        rows = measure_under_load(bin_dir, 1, FORWARD_LOADS)
        print_table("Under load, one instance owns the only engine", rows)


if __name__ == "__main__":
    main()
