#!/usr/bin/env python3
"""Stand-ins of the platform's store, of workers and of clients, as the users' pages describe them.

Standard library only. Every address is a loopback address; one machine is one address of 127.0.0.0/8.
`python3 review/standins_4.py worker JSON` runs one worker as a process of its own.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "release", "galenarail-gateway")
HOST = "ficu95.example"
# Bounds of the sheet of beauchemin-visites.
BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryAllowance": 52, "leaseMs": 3000}
MAX_FDS = 4200


def now_ms():
    return int(time.time() * 1000)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# --- HTTP ---------------------------------------------------------------------------------------


class Closed(Exception):
    """The peer has closed or reset the channel."""


async def read_head(reader):
    """Returns the start line and the headers, or raises Closed."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed(type(error).__name__) from error
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), []).append(value.strip())
    return lines[0], headers


def first(headers, name, default=None):
    return headers.get(name.lower(), [default])[0]


async def read_request(reader):
    """Returns the method, target, headers and body of a request."""
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    length = int(first(headers, "content-length", "0"))
    try:
        if first(headers, "transfer-encoding"):
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed("body") from error
    return method, target, headers, body


async def read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return b"".join(parts)
        parts.append(data[:-2])


def head_text(status, headers):
    lines = [f"HTTP/1.1 {status} x"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Answer:
    """Answer as a client has seen it."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.cause = ""
        self.began_at = self.last_at = time.monotonic()
        self.ended_at = None
        self.widest_gap = 0.0


async def send(address, method, path, headers, body=b"", timeout=10.0, gap=None):
    """Sends one request on a new channel and returns the answer, also if it breaks off.

    A stream is given up after `gap` seconds without a byte.
    """
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        fields = [("Host", HOST)] + headers + [("Content-Length", len(body))]
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])
        answer.last_at = time.monotonic()
        if first(answer.headers, "transfer-encoding", "").lower() == "chunked":
            while True:
                line = await asyncio.wait_for(reader.readuntil(b"\r\n"), gap)
                size = int(line.split(b";")[0], 16)
                data = await asyncio.wait_for(reader.readexactly(size + 2), gap)
                if size == 0:
                    break
                answer.body += data[:-2]
                at = time.monotonic()
                answer.widest_gap = max(answer.widest_gap, at - answer.last_at)
                answer.last_at = at
            answer.is_complete = True
        elif first(answer.headers, "content-length") is not None:
            length = int(first(answer.headers, "content-length"))
            while len(answer.body) < length:
                data = await reader.read(length - len(answer.body))
                if not data:
                    raise Closed("body")
                answer.body += data
            answer.is_complete = True
        else:
            answer.body = await reader.read()
            answer.is_complete = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        answer.cause = "given up by the client: deadline, or no byte for too long"
    except (Closed, OSError, asyncio.IncompleteReadError) as error:
        answer.cause = f"channel closed: {error!r}"
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = time.monotonic()
    return answer


# --- The platform's store -----------------------------------------------------------------------


class Store:
    """The platform's metadata store: linearizable, one revision counter, leases, watches."""

    def __init__(self, ip):
        self.address = (ip, free_port(ip))
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.lease_count = 0
        self.changed = asyncio.Event()
        self.is_down = False

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.address, limit=1 << 22)
        self.ticker = asyncio.ensure_future(self._expire())

    def close(self):
        self.ticker.cancel()
        self.server.close()

    def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._apply_put(key, data, lease)
        self._notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._apply_remove(key)
            self._notify()

    def _apply_put(self, key, data, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(data).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, item))

    def _apply_remove(self, key):
        del self.items[key]
        self.history.append((self.revision, {"key": key, "revision": self.revision, "tombstone": True}))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [lease for lease, (_, until) in self.leases.items() if until <= time.monotonic()]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._apply_remove(key)
            self._notify()

    async def _serve(self, reader, writer):
        try:
            while True:
                method, target, _, body = await read_request(reader)
                while self.is_down:
                    await asyncio.sleep(0.05)
                status, document = await self._answer(method, target, body)
                data = json.dumps(document).encode()
                fields = [("Content-Type", "application/json"), ("Content-Length", len(data))]
                writer.write(head_text(status, fields) + data)
                await writer.drain()
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        document = json.loads(body) if body else {}
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if parts.path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")))
            keys = [key for key in keys if key > query.get("after", "")] if "after" in query else keys
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "morePages": len(keys) > 500, "storeRevision": self.revision}
        if parts.path == "/kv-watch":
            return 200, await self._watch(query)
        if parts.path == "/kv-txn":
            return self._commit(document)
        if parts.path == "/kv-lease":
            self.lease_count += 1
            ttl = document["ttlMs"]
            self.leases[self.lease_count] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.lease_count, "ttlMs": ttl}
        name, _, number = parts.path.strip("/").partition("/")
        lease = int(unquote(number)) if number.isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            after = int(query["after"])
            events = [item for revision, item in self.history if revision > after]
            events = [item for item in events if item["key"].startswith(query.get("prefix", ""))]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, document):
        rows = document.get("precondition", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        for row in rows:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in current.values() if item]}
        puts = document.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._apply_put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in document.get("remove", []):
            if key in self.items:
                self._apply_remove(key)
        self._notify()
        return 200, {"revision": self.revision}


# --- Gateways -----------------------------------------------------------------------------------


class Gateway:
    """One gateway as the deploy file starts it, with a settings file from the template's fields."""

    def __init__(self, folder, number, zone, store):
        self.ip = f"127.20.{number}.1"
        self.name = f"edge-{zone}-{number}"
        self.listen = (self.ip, free_port(self.ip))
        self.readiness = (self.ip, free_port(self.ip))
        self.path = os.path.join(folder, f"{self.name}.json")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "wb")
        settings = {
            "instance": self.name,
            "data_centre": zone,
            "listen": "%s:%d" % self.listen,
            "readiness": "%s:%d" % self.readiness,
            "metrics": f"{self.ip}:{free_port(self.ip)}",
            "exchange": f"{self.ip}:{free_port(self.ip)}",
            "store": "%s:%d" % store.address,
            "grace_s": BOUNDS["graceS"],
            "repeat_ratio": BOUNDS["retryBudgetRatio"],
            "repeat_window_s": BOUNDS["budgetWindowS"],
            "repeat_allowance": BOUNDS["retryAllowance"],
            "order_turn_ms": BOUNDS["leaseMs"],
            "descriptors": MAX_FDS,
        }
        with open(self.path, "w") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment.update(GALENARAIL_SETTINGS=self.path, GALENARAIL_DUTIES="")
        self.process = subprocess.Popen(
            [GATEWAY], cwd=ROOT, env=environment, stdout=self.log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )

    async def is_ready(self):
        answer = await send(self.readiness, "GET", "/readyz", [], timeout=1.0)
        return answer.status == 200

    async def wait_ready(self, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready; see {self.log.name}")

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


# --- Workers ------------------------------------------------------------------------------------


class Worker:
    """One worker as a process, and its entry in the store."""

    def __init__(self, store, name, service, number, zone, slots, **options):
        self.store, self.name, self.service, self.zone, self.slots = store, name, service, zone, slots
        self.ip = f"127.21.{number}.1"
        self.port = free_port(self.ip)
        self.options = options
        self.public_port = self.port
        self.lines = []
        self.sequence = 0
        self.state = "ready"
        self.phase = options.get("phase")

    async def start(self, registers=True):
        self.born = now_ms()
        settings = dict(
            self.options, ip=self.ip, port=self.port, id=self.name, born=self.born, slots=self.slots
        )
        self.process = subprocess.Popen(
            [sys.executable, os.path.abspath(__file__), "worker", json.dumps(settings)],
            stdout=subprocess.PIPE, stdin=subprocess.PIPE, text=True, bufsize=1,
        )
        is_listening = asyncio.Event()
        notify = (asyncio.get_running_loop(), is_listening)
        threading.Thread(target=self._collect, args=(self.process.stdout, notify), daemon=True).start()
        await asyncio.wait_for(is_listening.wait(), 10.0)
        if registers:
            self.register()

    def _collect(self, lines, notify):
        loop, is_listening = notify
        for line in lines:
            if line.strip() == "listening":
                loop.call_soon_threadsafe(is_listening.set)
            elif line.startswith("phase "):
                loop.call_soon_threadsafe(self._change_phase, line.split()[1])
            else:
                self.lines.append((time.monotonic(), line.strip()))

    def _change_phase(self, phase):
        self.phase = phase
        self.register(self.state)

    def register(self, state="ready"):
        self.sequence += 1
        self.state = state
        entry = {
            "service": self.service, "address": f"{self.ip}:{self.public_port}", "zone": self.zone,
            "version": self.options.get("version", "v1"), "slots": self.slots, "state": state,
            "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        }
        if self.phase:
            entry.update(phase=self.phase, models=[{"name": "m", "version": 1, "adapters": []}])
        self.store.put(f"servers/{self.name}", entry)

    def leave(self):
        """The worker reports that it drains, and is told that the store has accepted the report."""
        self.register("draining")
        self.process.stdin.write("leave\n")
        self.process.stdin.flush()

    def unregister(self):
        self.store.remove(f"servers/{self.name}")

    def kill(self):
        self.process.kill()
        self.process.wait()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Link:
    """Link to a worker that can be cut: what is sent meanwhile, the ends of channels too, arrives afterwards."""

    def __init__(self, worker):
        self.worker = worker
        self.port = free_port(worker.ip)
        worker.public_port = self.port
        self.is_up = asyncio.Event()
        self.is_up.set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.worker.ip, self.port, limit=1 << 20)

    def close(self):
        self.server.close()

    def cut(self):
        self.is_up.clear()

    def heal(self):
        self.is_up.set()

    async def _serve(self, reader, writer):
        await self.is_up.wait()
        try:
            inner_reader, inner_writer = await asyncio.open_connection(self.worker.ip, self.worker.port)
        except OSError:
            writer.transport.abort()
            return
        forth = asyncio.ensure_future(self._pump(reader, inner_writer))
        await self._pump(inner_reader, writer)
        forth.cancel()
        inner_writer.close()
        writer.close()

    async def _pump(self, reader, writer):
        """Passes bytes on until the channel ends, then ends the other side in the same way."""
        is_reset = False
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                data, is_reset = b"", True
            await self.is_up.wait()
            try:
                if is_reset:
                    writer.transport.abort()
                    return
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
            except (OSError, RuntimeError):
                return


class WorkerProcess:
    """What runs in the process of a worker."""

    def __init__(self, settings):
        self.settings = settings
        self.running = 0
        self.orders = 0
        self.fence = 0
        self.handles = 0
        self.is_leaving = False
        self.is_over = False

    def log(self, text):
        print(text, flush=True)

    async def run(self):
        settings = self.settings
        self.server = await asyncio.start_server(self.serve, settings["ip"], settings["port"], limit=1 << 20)
        self.log("listening")
        loop = asyncio.get_running_loop()
        orders = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
        async for line in orders:
            if line.strip() == b"leave":
                asyncio.ensure_future(self.leave())
        os._exit(0)

    async def leave(self):
        """Serves on for drainMs and a little longer, completes what it has begun, and exits."""
        self.is_leaving = True
        await asyncio.sleep(self.settings.get("drain_s", 2.0) + self.settings.get("linger_s", 0.5))
        # No new channels; those that are open are served to the end.
        self.server.close()
        self.is_over = True
        while self.running:
            await asyncio.sleep(0.001)
        self.log("exit")
        os._exit(0)

    def fields(self, request_id):
        fields = [("X-Galenarail-Attempt-Id", request_id)]
        if self.is_leaving and self.settings.get("tells_leaving", True):
            fields.append(("Server-Leaving", "1"))
        return fields

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                if not await self.answer(writer, method, target, headers, body):
                    break
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def reply(self, writer, status, fields, data=b""):
        writer.write(head_text(status, fields + [("Content-Length", len(data))]) + data)
        await writer.drain()
        return True

    async def answer(self, writer, method, target, headers, body):
        settings = self.settings
        request_id = first(headers, "X-Galenarail-Attempt-Id", "")
        expected = first(headers, "X-Galenarail-Expect-Instance")
        fields = self.fields(request_id)
        if expected is not None and expected != settings["id"]:
            return await self.reply(writer, 421, fields + [("X-Galenarail-Not-Processed", "1")])
        own = json.dumps({"born": settings["born"], "phase": settings.get("phase"), "busy": False,
                          "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.orders,
                          "queued": 0, "running": self.running, "kvUsed": 0, "kvTotal": 500000,
                          "kvHandles": 0}).encode()
        if target in ("/healthz", "/report"):
            own_fields = [("X-Galenarail-Instance-Id", settings["id"]), ("Content-Type", "application/json")]
            if self.is_leaving:
                own_fields.append(("Server-Leaving", "1"))
            status = 503 if self.is_leaving and target == "/healthz" else 200
            return await self.reply(writer, status, own_fields, own)
        if target.startswith("/kv-list"):
            return await self.reply(writer, 200, [], json.dumps({"epoch": 1, "next": 1, "held": [], "born": settings["born"]}).encode())
        if target == "/order":
            return await self.reply(writer, self.accept_order(json.loads(body)), [])
        if method == "DELETE":
            return await self.reply(writer, 200, [])
        if not request_id:
            return await self.reply(writer, 400, [("X-Galenarail-Not-Processed", "1")])
        if self.running >= settings["slots"]:
            rejection = [("X-Galenarail-Not-Processed", "1")]
            if settings.get("rest_s"):
                rejection.append(("Retry-After", str(settings["rest_s"])))
            self.log(f"full {request_id}")
            return await self.reply(writer, 503, fields + rejection)
        phase = settings.get("phase")
        is_prefill = first(headers, "X-Galenarail-Inference-Phase") == "prefill"
        if phase and is_prefill != (phase == "prefill"):
            return await self.reply(writer, 421, fields + [("X-Galenarail-Not-Processed", "1")])
        if is_prefill:
            await asyncio.sleep(0.02)
            self.handles += 1
            handle = {"kvHandle": f"{settings['born']:x}{self.handles:x}", "tokens": 60, "version": 1}
            return await self.reply(writer, 200, fields, json.dumps(dict(handle, born=settings["born"])).encode())
        self.running += 1
        self.log(f"run {request_id} {method} {target}")
        try:
            return await self.work(writer, request_id, fields, headers)
        finally:
            self.running -= 1

    def accept_order(self, order):
        """Changes the stage, as the pages tell. Returns the status."""
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        if order["phase"] == self.settings.get("phase"):
            return 200
        if order.get("precondition") not in (None, self.orders):
            return 409
        self.orders += 1
        asyncio.get_running_loop().call_later(1.0, self.change_phase, order["phase"])
        return 202

    def change_phase(self, phase):
        self.settings["phase"] = phase
        self.log(f"phase {phase}")

    async def work(self, writer, request_id, fields, headers):
        """Writes the answer in pieces. Without a length, its end is that of the channel."""
        settings = self.settings
        pieces = settings.get("pieces", 4)
        gap = settings.get("piece_ms", 100) / 1000
        is_stream = bool(settings.get("phase"))
        fields = fields + [("X-Galenarail-Server-Signature", f"sig.{settings['id']}.{request_id}")]
        is_framed = settings.get("framed", False)
        if is_stream:
            fields = fields + [("Content-Type", "text/event-stream"), ("X-Galenarail-Weight-Versions", "1")]
        if is_framed:
            fields = fields + [("Transfer-Encoding", "chunked")]
        else:
            fields = fields + [("Connection", "close")]
        start = int(first(headers, "Last-Event-Id", "0"))
        writer.write(head_text(200, fields))
        for number in range(start + 1, pieces + 1):
            if is_stream:
                text = f"id: {number}\ndata: {request_id} {number}/{pieces}\n\n"
            else:
                text = f"{request_id} part {number} of {pieces};"
            data = text.encode()
            if is_framed:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            if number < pieces:
                await asyncio.sleep(gap)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.log(f"done {request_id}")
        return is_framed


def whole_body(request_id, pieces):
    """Returns the whole body of a worker's answer that is no stream."""
    return "".join(f"{request_id} part {number} of {pieces};" for number in range(1, pieces + 1)).encode()


# --- Configurations and records -----------------------------------------------------------------


def route(name, prefix, kind, service, timeout_ms=10000, attempts=2, resumable=False, target_ms=800):
    return {
        "name": name, "host": HOST, "prefix": prefix, "routeType": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms, "priority": 1, "service": service, "maxAttempts": attempts,
        "sticky": kind == "streaming", "resumable": resumable, "gapTargetMs": 250,
    }


def config(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 96}


def engine_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 360,
            "engine": {"slots": 64, "kvCapacityTokens": 533740, "roleSwitchS": 3.0}}


def new_id():
    return "%016x" % random.getrandbits(64)


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.began:8.3f} {text}\n")
        self.file.flush()


if __name__ == "__main__":
    if len(sys.argv) == 3 and sys.argv[1] == "worker":
        asyncio.run(WorkerProcess(json.loads(sys.argv[2])).run())
    else:
        sys.exit("usage: standins_4.py worker SETTINGS")
