"""Stand-ins of the platform's store, of plain back ends and of clients, and a starter of gateways.

They follow the users' pages. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
T0 = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic() - T0


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, *words):
        line = f"{now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def loopback_address(host):
    """Returns an address of the loopback network for one machine."""
    return f"127.{random.randrange(10, 250)}.{random.randrange(10, 250)}.{host}"


def common_port(ips):
    """Returns a port that is free at all of the addresses, for TCP and UDP."""
    while True:
        port = random.randrange(20000, 60000)
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    held.append(probe)
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()


async def read_message(reader):
    """Reads a request or response with a length or chunks. Returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response_bytes(status, headers, body):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class HttpServer:
    """Serves HTTP/1.1 on kept connections. `answer` returns (status, headers, body), or None to close."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answered = await self.answer(peer, method, target, headers, body)
                if answered is None:
                    break
                writer.write(response_bytes(*answered))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, record, ip="127.0.0.1"):
        super().__init__(ip, 0)
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.lease_count = 1, 0
        self.is_down = False
        self.changed = asyncio.Event()

    def _change(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._change(item)

    def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
        del self.items[key]
        self._change({"key": key, "revision": self.revision, "tombstone": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.record("store: key", key, "removed with its lease")
            self.remove(key)

    def lapse(self):
        """All leases run out."""
        for lease in list(self.leases):
            self.end_lease(lease)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (ends, _) in list(self.leases.items()):
                if now() >= ends:
                    self.end_lease(lease)

    async def answer(self, peer, method, target, headers, body):
        if self.is_down:
            return 503, {"Store-Era": 1}, b"{}"
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        status, value = await self.call(peer, method, url.path, query, body)
        headers = {"Content-Type": "application/json", "Store-Era": 1}
        return status, headers, json.dumps(value).encode()

    async def call(self, peer, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(
                k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "morePages": more, "storeRevision": self.revision}
        if path == "/kv-watch":
            after = int(query["after"])
            ends = now() + int(query["waitMs"]) / 1000
            while True:
                events = [
                    e
                    for e in self.history
                    if e["revision"] > after and e["key"].startswith(query["prefix"])
                ]
                left = ends - now()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                if self.is_down:
                    return 503, {}
        if path == "/kv-txn":
            txn = json.loads(body)
            rows = txn["precondition"]
            for row in rows:
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    items = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                    return 412, {"items": items}
            if any(p["lease"] and p["lease"] not in self.leases for p in txn["puts"]):
                return 404, {}
            self.revision += 1
            for put in txn["puts"]:
                value = base64.b64decode(put["value"])
                self.put(put["key"], value, put["lease"], self.revision)
                self.record("store:", peer, "writes", put["key"])
            for key in txn["remove"]:
                self.remove(key, self.revision)
            return 200, {"revision": self.revision}
        if path == "/kv-lease":
            self.lease_count += 1
            ttl = json.loads(body)["ttlMs"] / 1000
            self.leases[self.lease_count] = (now() + ttl, ttl)
            return 200, {"lease": self.lease_count, "ttlMs": int(ttl * 1000)}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl, ttl)
            return 200, {"ttlMs": int(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}


PING_S = 1.2


class PlainServer(HttpServer):
    """A back end of a plain service, which keeps its entry in the store."""

    def __init__(self, record, store, name, service, zone, slots, queue, work_s, ip="127.0.0.1"):
        super().__init__(ip, 0)
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.sequence, self.busy, self.waiting = 0, 0, 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_cut = self.is_down = False
        self.arrivals = []
        self.crashes_on = None
        # Number of requests that its memory holds; one more ends it.
        self.room = None
        # When its first process ended.
        self.ended_at = None
        self.limit = None
        self.refuses = None
        self.free = asyncio.Condition()

    async def start(self):
        await super().start()
        self.heartbeat = asyncio.create_task(self.beat())

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def crash(self, down_s):
        """Ends all connections and listens no more; a new process of the same id starts later."""
        if self.is_down:
            return
        self.record(self.name, "crashes")
        self.is_down, self.ended_at = True, now()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.busy = self.waiting = 0
        await asyncio.sleep(down_s)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.born, self.sequence = int(time.time() * 1000), 0
        self.is_down, self.limit, self.room = False, None, None
        self.record(self.name, "has started again")
        self.write_entry()

    def write_entry(self):
        self.sequence += 1
        self.store.put(f"servers/{self.name}", json.dumps(self.entry()).encode())

    async def beat(self):
        """Writes the entry; the store removes it after three silent intervals."""
        key = f"servers/{self.name}"
        silent = 0
        while True:
            if self.is_cut or self.is_down:
                silent += 1
                if silent == 3 and key in self.store.items:
                    self.record("store: entry of", self.name, "removed after three silent intervals")
                    self.store.remove(key)
            elif not self.store.is_down:
                if silent >= 3 or key not in self.store.items:
                    self.record("store: entry of", self.name, "written")
                silent = 0
                self.write_entry()
            await asyncio.sleep(PING_S)

    async def answer(self, peer, method, target, headers, body):
        if target.startswith("/healthz"):
            return 200, {"X-Galenarail-Instance-Id": self.name}, b""
        request = headers.get("x-galenarail-attempt-id", "")
        base = {"X-Galenarail-Attempt-Id": request}
        if self.limit is not None:
            base["Server-Limit"] = self.limit
        if headers.get("x-galenarail-expect-instance", self.name) != self.name:
            return 421, base, b""
        arrived = now()
        self.arrivals.append((arrived, peer, request))
        if self.crashes_on is not None and self.crashes_on(target):
            self.record(self.name, "begins to run", request, target)
            asyncio.get_running_loop().create_task(self.crash(3.0))
            return None
        if self.refuses is not None:
            return await self.refuses(peer, request, base)
        return await self.run(peer, request, base)

    async def run(self, peer, request, base):
        """Runs a request in a slot, or rejects it if slots and queue are full."""
        if self.busy >= self.slots and self.waiting >= self.queue + self.slots - self.busy:
            self.record(self.name, "is full and rejects", request, "from", peer)
            return 503, {**base, "X-Galenarail-Not-Processed": "1"}, b""
        self.waiting += 1
        if self.room is not None and self.busy + self.waiting > self.room:
            self.record(self.name, "holds", self.busy + self.waiting, "requests, more than its memory")
            asyncio.get_running_loop().create_task(self.crash(3.0))
            return None
        async with self.free:
            await self.free.wait_for(lambda: self.busy < self.slots)
            self.waiting -= 1
            self.busy += 1
        self.record(self.name, "runs", request, "from", peer)
        await asyncio.sleep(self.work_s)
        async with self.free:
            self.busy -= 1
            self.free.notify()
        return 200, {**base, "X-Galenarail-Server-Signature": f"{self.name}.{request}"}, b"whole " * 20


def settings_text(fields):
    """Fills in the template of the deploy file as the platform does: `{{a.b}}` returns a value."""
    with open(os.path.join(ROOT, "deploy/gateway.json")) as file:
        template = file.read()
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(fields[match.group(1)]), template)


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, record, name, zone, ip, ports, store, folder, **fields):
        self.record, self.name, self.ip = record, name, ip
        self.listen = f"{ip}:{ports[0]}"
        self.fields = {
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "listen.frontend": self.listen,
            "listen.readiness": f"{ip}:{ports[1]}",
            "internalPorts.0": ports[2],
            "internalPorts.1": ports[2],
            "platform.address": store,
            "bounds.graceS": 8,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetWindowS": 10,
            "bounds.retryAllowance": 52,
            "bounds.leaseMs": 3000,
            "limits.maxFds": 4200,
            **fields,
        }
        self.path = os.path.join(folder, f"{name}.json")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.process = None

    def start(self):
        with open(self.path, "w") as file:
            file.write(settings_text(self.fields))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GALENARAIL_SETTINGS"] = self.path
        environment["GALENARAIL_DUTIES"] = " "
        command = ["target/release/galenarail-gateway"]
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record("start", self.name, "at", self.listen)

    def end(self, number=signal.SIGKILL):
        """Stops the process and waits for its end."""
        if self.process and self.process.poll() is None:
            self.record("signal", number, "to", self.name)
            self.process.send_signal(number)
            self.process.wait()

    async def is_ready(self):
        try:
            host, port = self.fields["listen.readiness"].split(":")
            status, _, _ = await call(host, int(port), "GET", "/readyz", {"Host": "ready"}, b"", 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def await_ready(self):
        for _ in range(100):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")


async def call(host, port, method, path, headers, body, timeout):
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            text = f"{method} {path} HTTP/1.1\r\n"
            for name, value in headers.items():
                text += f"{name}: {value}\r\n"
            writer.write((text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            line, answered, content = await read_message(reader)
            return int(line.split(" ")[1]), answered, content
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Client:
    """Sends requests of one route through a gateway."""

    def __init__(self, record):
        self.record = record
        self.sent, self.answers = [], {}

    async def send(self, gateway, method, host, path, deadline_ms, body=b""):
        request = f"{random.getrandbits(64):016x}"
        self.sent.append((now(), request, gateway.name))
        self.record("client sends", request, method, path, "to", gateway.name)
        headers = {
            "Host": host,
            "X-Galenarail-Attempt-Id": request,
            "X-Galenarail-Deadline-Ms": deadline_ms,
        }
        ip, port = gateway.listen.split(":")
        try:
            status, answered, _ = await call(
                ip, int(port), method, path, headers, body, deadline_ms / 1000
            )
            self.answers[request] = (now(), status, answered)
            self.record("client gets", status, "for", request)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.answers[request] = (now(), None, {})
            self.record("client gets nothing for", request, type(error).__name__)

    async def load(self, gateways, per_s, for_s, method, host, path, deadline_ms):
        """Sends requests evenly to the gateways in turn, and awaits their answers."""
        tasks, started = [], now()
        for number in range(int(per_s * for_s)):
            wait = started + number / per_s - now()
            if wait > 0:
                await asyncio.sleep(wait)
            gateway = gateways[number % len(gateways)]
            tasks.append(
                asyncio.create_task(self.send(gateway, method, host, path, deadline_ms))
            )
        await asyncio.gather(*tasks)


    def statuses(self):
        """Returns the number of answers by status; None stands for no answer."""
        counts = {}
        for _, status, _ in self.answers.values():
            counts[status] = counts.get(status, 0) + 1
        return counts


HOST = "office.example"


def plain_config(version=1, max_attempts=3, timeout_ms=1500, kind="idempotent"):
    return {
        "version": version,
        "routes": [
            {
                "name": "lookup",
                "host": HOST,
                "prefix": "/lookup/",
                "service": "office",
                "routeType": kind,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": 150,
                "maxAttempts": max_attempts,
                "priority": 2,
            }
        ],
        "services": [{"name": "office", "healthPath": "/healthz", "maxConnections": 96}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }


def run(folder, case):
    """Runs a case with a record. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    scratch = tempfile.mkdtemp()
    gateways = []

    def end_early():
        for gateway in gateways:
            gateway.end()
        shutil.rmtree(scratch, ignore_errors=True)
        os._exit(2)

    async def main():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end_early)
        try:
            is_broken = await asyncio.wait_for(case(record, scratch, gateways), 105)
            code = 1 if is_broken else 0
        except Exception as error:
            record("the case could not run:", repr(error))
            code = 2
        finally:
            for gateway in gateways:
                gateway.end()
            shutil.rmtree(scratch, ignore_errors=True)
        record("exit", code)
        print(f"exit {code}", flush=True)
        # Connections that are still open need no orderly end.
        os._exit(code)

    asyncio.run(main())
