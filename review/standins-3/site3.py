"""A small site of stand-ins and of the project's own processes, each process with a loopback address of its own."""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http1
import store as store_module

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
ZONES = ["a", "b", "c"]


def free_ports(count):
    """Returns ports below the ephemeral range that are free on 127.0.0.1."""
    found, port = [], 20000 + os.getpid() * 37 % 8000
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                found.append(port)
            except OSError:
                pass
    return found


class Site:
    def __init__(self, net):
        """`net` is the third number of the addresses 127.0.NET.x of this site."""
        self.net, self.dir = net, Path(tempfile.mkdtemp(prefix="review-3-"))
        self.ports = dict(zip(["front", "ready", "directory", "first", "last", "store", "origin", "replica"], free_ports(8)))
        self.processes, self.entries, self.replicas, self.agents = {}, [], [], []
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.config = None
        self.clock = time.monotonic()
        self.lines = []

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.clock:8.3f}  {text}")

    async def start_platform(self):
        self.store = store_module.Store()
        await self.store.open("127.0.0.1", self.ports["store"], "replicas")
        await store_module.open_origin("127.0.0.1", self.ports["origin"])

    def settings(self, name, ip, zone, serves, extra, listen, store_port):
        zones = "\n".join(f'{it} = "region-{it}"' for it in ZONES)
        return f'''node = "{name}"
serves = {json.dumps(serves)}
ip = "{ip}"
zone = "{zone}"
region = "region-{zone}"
portRange = [{self.ports["first"]},{self.ports["last"]}]
bootstrap = true
heartbeatMs = 1200
{extra}
[zones]
{zones}
[listen]
{listen}
[limits]
cpuShare = 0.25
cores = 1
ramMb = 260
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
rollbackSlackMs = 250
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 104
version_ms = 8000
ttl_max_s = 5
[provider]
addr = "127.0.0.1:{store_port}"
'''

    def spawn(self, name, role, settings):
        path = self.dir / f"{name}.toml"
        path.write_text(settings)
        words = self.deploy["roles"][role]["run"].split()
        log = open(self.dir / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, env={
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "FULMARLINE_BOOT": str(path)})

    async def start_entry(self, index, zone):
        name, ip = f"edge-{index}", f"127.0.{self.net}.{10 + index}"
        if len(self.entries) <= index:
            (port,) = free_ports(1)
            await self.store.open("127.0.0.1", port, name)
            self.entries.append((name, ip, zone, port))
        port = self.entries[index][3]
        listen = "\n".join(f'{it} = "{ip}:{self.ports[it]}"' for it in ["front", "ready", "directory"])
        self.spawn(name, "entry", self.settings(name, ip, zone, ["edge", "directory"], "", listen, port))

    def start_replica(self, name, zone, service, kind, agent=False, **options):
        index = len(self.replicas)
        ip = f"127.0.{self.net}.{60 + index}"
        options = {"id": name, "ip": ip, "port": self.ports["replica"], "service": service, "zone": zone, "kind": kind,
                   "store": ["127.0.0.1", self.ports["store"]], "log": str(self.dir / f"{name}.runs"), **options}
        self.replicas.append(name)
        log = open(self.dir / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([sys.executable, str(HERE / "replica.py"), json.dumps(options)], stdout=log, stderr=log)
        if agent:
            extra = f'app = "{ip}:{self.ports["replica"]}"\nservice = "{service}"'
            self.agents.append(f"side-{name}")
            self.spawn(f"side-{name}", "agent", self.settings(f"side-{name}", ip, zone, ["side"], extra, "", self.ports["store"]))

    async def configure(self, routes, services, tenants):
        version = (self.config or {"version": 4})["version"] + 3
        self.config = {"version": version, "routes": routes, "services": services, "tenants": tenants,
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        await self.store.put_json("op", "config", self.config)
        self.note(f"configuration {version} acknowledged")

    async def wait_ready(self, timeout=30):
        end = time.monotonic() + timeout
        waiting = list(self.entries)
        while waiting:
            name, ip, _, _ = waiting[0]
            answer = await http1.call(ip, self.ports["ready"], "GET", "/fulmarline/ready", [("Host", "x")], timeout=1)
            if answer.status == 200:
                waiting.pop(0)
            elif time.monotonic() > end:
                raise RuntimeError(f"{name} isn't ready")
            else:
                await asyncio.sleep(0.1)

    async def request(self, entry, method, path, request_id, key=None, deadline_ms=3000, fields=(), body=b"", host="shop.example"):
        """Sends one request of a client; returns what it received."""
        sent = [("Host", host), ("Request-Id", request_id), ("Deadline-Ms", deadline_ms)] + list(fields)
        if key:
            sent.append(("Authorization", f"Token {key}"))
        return await http1.call(self.entries[entry][1], self.ports["front"], method, path, sent, body, deadline_ms / 1000 + 1)

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)
        self.note(f"{signal.Signals(number).name} to {name}")

    def runs(self):
        """Returns what the replicas have written, in the order of time."""
        found = []
        for name in self.replicas:
            path = self.dir / f"{name}.runs"
            if path.exists():
                found += [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(found, key=lambda it: it["at"])

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def write_record(self, folder, verdict):
        runs = [f"{it['at'] - self.clock:8.3f}  {json.dumps({key: value for key, value in it.items() if key != 'at'})}" for it in self.runs()]
        logs = []
        for name in self.processes:
            if name.startswith(("edge", "side")):
                text = (self.dir / f"{name}.log").read_text(errors="replace").splitlines()
                logs += [f"--- {name}: {len(text)} lines, the last ones:"] + text[-5:]
        content = ["What was sent and answered (seconds)", *self.lines, "", "What the replicas noted", *runs, "", *logs, "", verdict]
        Path(folder, "record.txt").write_text("\n".join(content) + "\n")
        shutil.rmtree(self.dir)
