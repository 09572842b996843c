"""Stand-ins for the scripts of the third review: the platform's store, processes and a caller.

The store and the processes follow PROTOCOL.md. All addresses are loopback addresses; ports are chosen free.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "release", "galenarail-gateway")
HEARTBEAT_S = 1.2


def free_port():
    with socket.socket() as tcp:
        tcp.bind(("127.0.0.1", 0))
        return tcp.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


async def read_head(reader):
    """Reads the head of a message. Returns its first line and its headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: keys with revisions, leases, transactions and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.server = None
        self.era = 1
        self.is_away = False
        self.connections = set()
        self.written_at = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self.expire())

    def copy(self):
        """Returns a copy, from which the store may come back."""
        return self.revision, {key: dict(item) for key, item in self.items.items()}, dict(self.leases)

    async def come_back_from(self, copy, away_s):
        """Is away for a moment and comes back from a copy, in the next era."""
        self.is_away = True
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.revision, self.items, self.leases = copy
        self.events = [event for event in self.events if event[0] <= self.revision]
        now = time.monotonic()
        self.written_at = {key: now for key in self.items}
        self.era += 1
        self.is_away = False
        self.notify()

    def remove_silent_servers(self):
        """Removes the entries of servers that have been silent for three ping intervals."""
        limit = time.monotonic() - 3 * HEARTBEAT_S
        for key in [key for key in self.items if key.startswith("servers/")]:
            if self.written_at.get(key, 0) < limit:
                self.remove(key)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, puts, removes):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            created = old["created"] if old else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
            self.items[key] = item
            self.written_at[key] = time.monotonic()
            self.events.append((self.revision, dict(item)))
        for key in removes:
            if self.items.pop(key, None):
                gone = {"key": key, "revision": self.revision, "tombstone": True}
                self.events.append((self.revision, gone))
        self.notify()
        return self.revision

    def put_json(self, key, value):
        text = json.dumps(value).encode()
        return self.write([(key, base64.b64encode(text).decode(), 0)], [])

    def remove(self, key):
        if key in self.items:
            self.write([], [key])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.write([], keys)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [l for l, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)
            self.remove_silent_servers()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        if self.is_away:
            writer.transport.abort()
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                reason = "OK" if status == 200 else "Error"
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\nstore-era: {self.era}\r\n"
                    f"content-length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if method == "GET" and path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if method == "GET" and path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "morePages": len(keys) > 500, "storeRevision": self.revision}
        if method == "GET" and path == "/kv-watch":
            after, prefix = int(query["after"]), query["prefix"]
            if after > self.revision:
                return 410, {}
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [e for r, e in self.events if r > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(self.changed.wait())), left)
                except asyncio.TimeoutError:
                    pass
        if method == "POST" and path == "/kv-txn":
            call = json.loads(body)
            failed = False
            current = []
            for row in call.get("precondition", []):
                item = self.items.get(row["key"])
                current.append(item or {"key": row["key"], "revision": 0})
                failed |= (item["revision"] if item else 0) != row["revision"]
            if failed:
                return 412, {"items": current}
            puts = [(p["key"], p["value"], p.get("lease", 0)) for p in call.get("puts", [])]
            if any(lease and lease not in self.leases for _, _, lease in puts):
                return 404, {}
            return 200, {"revision": self.write(puts, call.get("remove", []))}
        if method == "POST" and path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if method == "POST" and path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            known = lease in self.leases
            self.end_lease(lease)
            return (200 if known else 404), {}
        return 404, {}


class Processes:
    """Processes that a script has started; all are ended with it."""

    def __init__(self, record):
        self.record = record
        self.started = []
        self.folder = tempfile.mkdtemp(prefix="review-3-")

    def start(self, name, command, environment=None):
        output = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = environment or {"PATH": os.environ.get("PATH", "/usr/bin:/bin")}
        process = subprocess.Popen(
            command, stdout=output, stderr=output, env=environment, cwd=ROOT, start_new_session=True
        )
        self.started.append(process)
        self.record.write(f"started {name}, process {process.pid}")
        return process

    def end_all(self):
        for process in self.started:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.started:
            process.wait()
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)


class Gateway:
    """One gateway, started as the deploy file starts it, with its template filled in."""

    def __init__(self, processes, name, zone, store_port, **changes):
        self.processes, self.name = processes, name
        self.port, self.ready_port = free_port(), free_port()
        self.settings = {
            "instance": name,
            "data_centre": zone,
            "listen": f"127.0.0.1:{self.port}",
            "readiness": f"127.0.0.1:{self.ready_port}",
            "metrics": f"127.0.0.1:{free_port()}",
            "exchange": f"127.0.0.1:{free_port()}",
            "store": f"127.0.0.1:{store_port}",
            "grace_s": 8.0,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "repeat_allowance": 52,
            "order_turn_ms": 3000,
            "descriptors": 4100,
            **changes,
        }
        self.path = os.path.join(processes.folder, name + ".json")
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "GALENARAIL_SETTINGS": self.path,
            "GALENARAIL_DUTIES": " ",
        }
        self.process = self.processes.start(self.name, [GATEWAY], environment)

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                answer = await call(self.ready_port, "GET", "/readyz", {}, b"", 1)
                if answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def log(self):
        with open(os.path.join(self.processes.folder, self.name + ".log"), errors="replace") as file:
            return file.read()


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False


async def call(port, method, path, headers, body, seconds, on_data=None):
    """Sends a request on a new connection. The answer is complete if its framing says so."""
    answer = Answer()
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection("127.0.0.1", port, limit=1 << 22), seconds
    )

    async def run():
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    return
                size = int(line.split(b";")[0], 16)
                data = await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    answer.is_complete = True
                    return
                answer.body += data
                if on_data:
                    on_data(data)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
            answer.is_complete = True

    try:
        await asyncio.wait_for(run(), seconds)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()
    return answer


def route(name, kind, service, attempts, resumable, timeout_ms, target_ms):
    return {
        "name": name, "host": "visites.example", "prefix": f"/{name}/", "routeType": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1, "service": service,
        "maxAttempts": attempts, "resumable": resumable, "gapTargetMs": 250, "sticky": kind == "streaming",
    }


def configuration(version, routes):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "assist", "healthPath": "/healthz", "maxConnections": 360,
             "engine": {"slots": 64, "kvCapacityTokens": 533740, "roleSwitchS": 3.0}},
            {"name": "orders", "healthPath": "/healthz", "maxConnections": 96},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 15000},
    }


class Worker:
    """A worker as a process of its own, with its entry in the store and its heartbeats."""

    def __init__(self, processes, store, name, service, phase=None, version="1.0", zone="trois-rivieres", **options):
        self.processes, self.store, self.name = processes, store, name
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.options = {"id": name, "port": self.port, "born": self.born, "phase": phase, **options}
        self.entry = {
            "service": service, "address": f"127.0.0.1:{self.port}", "zone": zone, "version": version,
            "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": self.born,
        }
        if phase:
            self.entry["phase"] = phase
        self.run_log = os.path.join(processes.folder, name + ".runs")
        self.beats = None

    def start(self):
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "worker_3.py")
        options = json.dumps({**self.options, "runs": self.run_log})
        self.process = self.processes.start(self.name, [sys.executable, script, options])
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while not await self.listens():
            await asyncio.sleep(0.02)
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def listens(self):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.close()
        return True

    def write_entry(self):
        orders = [run["order"] for run in self.runs() if "order" in run]
        if orders:
            self.entry["phase"] = orders[-1]["phase"]
        self.sequence += 1
        self.entry["sequence"] = self.sequence
        self.store.put_json(f"servers/{self.name}", self.entry)

    def set_draining(self):
        self.entry["state"] = "draining"
        self.write_entry()

    def set_leaving(self):
        """From now on its answers say that it leaves."""
        self.process.send_signal(signal.SIGUSR1)

    def remove_entry(self):
        if self.beats:
            self.beats.cancel()
        self.store.remove(f"servers/{self.name}")

    def phase(self):
        return self.entry.get("phase")

    def kill(self):
        self.process.kill()
        self.process.wait()
        if self.beats:
            self.beats.cancel()

    def runs(self):
        if not os.path.exists(self.run_log):
            return []
        with open(self.run_log, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]
