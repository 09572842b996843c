"""Stand-ins for the cases: the platform's store, workers, clients and the gateway processes.

Python's standard library only. All addresses are loopback addresses.
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
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def free_udp_port(ip):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def loopback_ip():
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = target.split("?")[0]
        self.query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """HTTP/1.1 server; subclasses answer in `handle`."""

    def __init__(self):
        self.writers = set()
        self.server = None

    async def listen(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, backlog=1024)
        ip, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: keys, watches, transactions and leases."""

    def __init__(self, era=1):
        super().__init__()
        self.era, self.revision, self.items, self.history = era, 10, {}, []
        self.leases, self.next_lease = {}, 1
        self.changed = asyncio.Condition()

    async def start(self):
        await self.listen()
        self.expiry = asyncio.create_task(self._expire())

    def _put(self, key, value, lease=0):
        old = self.items.get(key)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
            "created": old["created"] if old else self.revision, "lease": lease,
        }
        self.history.append(dict(self.items[key]))

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0):
        """A write of the operator or of a worker."""
        self.revision += 1
        self._put(key, json.dumps(value).encode(), lease)
        await self._notify()

    async def remove(self, key):
        self.revision += 1
        self._remove(key)
        await self._notify()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until) in list(self.leases.items()):
                if time.monotonic() > until:
                    await self._end(lease)

    async def _end(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            await self._notify()

    def _answer(self, writer, status, body):
        writer.write(response(status, {"content-type": "application/json", "Store-Era": self.era},
                              json.dumps(body).encode()))

    async def handle(self, r, reader, writer):
        if r.path == "/kv-key":
            item = self.items.get(r.query.get("key"))
            self._answer(writer, 200 if item else 404, {**(item or {}), "storeRevision": self.revision})
        elif r.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(r.query.get("prefix", "")))
            keys = [k for k in keys if k > r.query.get("after", "")]
            page = keys[:500]
            self._answer(writer, 200, {"items": [self.items[k] for k in page],
                                       "morePages": len(keys) > 500, "storeRevision": self.revision})
        elif r.path == "/kv-watch":
            after, until = int(r.query["after"]), time.monotonic() + int(r.query["waitMs"]) / 1000
            prefix = r.query.get("prefix", "")
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            self._answer(writer, 200, {"events": events, "storeRevision": self.revision})
        elif r.path == "/kv-txn":
            body = json.loads(r.body)
            rows = body.get("precondition", [])
            current = {row["key"]: self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in rows}
            if any(current[row["key"]]["revision"] != row["revision"] for row in rows):
                self._answer(writer, 412, {"items": list(current.values())})
            elif any(p.get("lease", 0) and p["lease"] not in self.leases for p in body.get("puts", [])):
                self._answer(writer, 404, {})
            else:
                self.revision += 1
                for p in body.get("puts", []):
                    self._put(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
                for key in body.get("remove", []):
                    self._remove(key)
                revision = self.revision
                await self._notify()
                self._answer(writer, 200, {"revision": revision})
        elif r.path == "/kv-lease":
            ttl = max(1000, min(600_000, json.loads(r.body)["ttlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            self._answer(writer, 200, {"lease": self.next_lease, "ttlMs": ttl})
        elif r.path.startswith("/kv-keep/"):
            lease = int(r.path.rsplit("/", 1)[1])
            if lease in self.leases:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            self._answer(writer, 200 if lease in self.leases else 404, {})
        elif r.path.startswith("/kv-lease-end/"):
            lease = int(r.path.rsplit("/", 1)[1])
            known = lease in self.leases
            await self._end(lease)
            self._answer(writer, 200 if known else 404, {})
        else:
            self._answer(writer, 404, {})
        await writer.drain()
        return True


def route(name, kind, service, timeout_ms, target_ms, attempts=1, resumable=False):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "routeType": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "priority": 0, "service": service, "maxAttempts": attempts,
            "resumable": resumable, "gapTargetMs": 250, "sticky": kind == "streaming"}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 15000,
                       "idleTimeoutMs": 15000}}


class Gateway:
    """One gateway process, started with the command and the template of the deploy file."""

    def __init__(self, record, store, name, zone="zone-a", log_folder=None, grace_s=8):
        self.record, self.store, self.name, self.zone, self.grace_s = record, store, name, zone, grace_s
        self.ip = loopback_ip()
        self.listen = f"{self.ip}:{free_port(self.ip)}"
        self.readiness = f"{self.ip}:{free_port(self.ip)}"
        self.udp = free_udp_port(self.ip)
        self.folder = log_folder or tempfile.mkdtemp()
        self.is_temporary = log_folder is None
        self.process = None

    def write_settings(self):
        deploy = open(os.path.join(ROOT, "deploy/system.toml")).read()
        template = re.search(r'template = "(.*)"', deploy).group(1)
        self.command = re.search(r'run = "(.*)"', deploy).group(1).split(" ")
        fields = {
            "nodeName": self.name, "zone": self.zone, "listen.frontend": self.listen, "ip": self.ip,
            "listen.readiness": self.readiness, "internalPorts.1": self.udp,
            "platform.address": self.store, "bounds.graceS": self.grace_s, "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetWindowS": 10, "bounds.retryAllowance": 52, "bounds.leaseMs": 3000,
            "limits.maxFds": 4200,
        }
        text = open(os.path.join(ROOT, template)).read()
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: str(fields[m.group(1)]), text)
        self.settings = os.path.join(self.folder, f"{self.name}.json")
        open(self.settings, "w").write(text)

    async def start(self, wait=True):
        self.write_settings()
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        env = {"GALENARAIL_SETTINGS": self.settings, "PATH": os.environ.get("PATH", ""),
               "HOME": self.folder, "LANG": "C"}
        program = os.path.join(ROOT, self.command[0])
        if not os.path.exists(program):
            print("the gateway is not built", file=sys.stderr)
            raise NotRun()
        self.process = await asyncio.create_subprocess_exec(
            program, *self.command[1:], cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.record(f"{self.name} started, pid {self.process.pid}, clients at {self.listen}")
        if wait:
            await self.wait_ready()

    async def is_ready(self):
        try:
            ip, port = self.readiness.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        for _ in range(int(seconds / 0.1)):
            if await self.is_ready():
                self.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        print(f"{self.name} did not become ready", file=sys.stderr)
        raise NotRun()

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()
        if self.is_temporary:
            shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    """The case could not run."""


class Answer:
    """What a client got: status (None without a head), body, and how the answer ended."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.complete, self.error = False, None
        self.sent_at = self.ended_at = None
        self.events = []


class Channel:
    """A client's channel to a gateway, kept open between requests."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.reader = self.writer = None

    async def open(self):
        ip, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)

    async def send(self, request_id, path, headers=None, body=b"{}", deadline_ms=10000, method="POST"):
        """Sends one request and reads its answer to the end."""
        answer = Answer()
        if self.writer is None:
            await self.open()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Galenarail-Attempt-Id: {request_id}",
                 f"X-Galenarail-Deadline-Ms: {deadline_ms}"]
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer.sent_at = self.record.now()
        self.record(f"client sends {request_id} {method} {path} {headers or ''}")
        try:
            await asyncio.wait_for(self._read(answer), deadline_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer.error = "deadline"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            answer.error = f"channel closed ({type(error).__name__})"
        answer.ended_at = self.record.now()
        if answer.error or answer.headers.get("connection", "").lower() == "close":
            self.writer.close()
            self.writer = None
        self.record(f"client's {request_id} ends: status {answer.status}, complete {answer.complete}, "
                    f"{answer.error or 'ok'}, {len(answer.body)} bytes, events {event_ids(answer.body)}")
        return answer

    async def _read(self, answer):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            if line:
                name, value = line.split(":", 1)
                answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    raise asyncio.IncompleteReadError(line, None)
                size = int(line.split(b";")[0], 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.complete = True

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


def event_ids(body):
    """Ids of the complete events in a stream."""
    return [int(m) for m in re.findall(rb"id: (\d+)\n[^\n]*\n\n", body)]


def event(number, text="token"):
    return f"id: {number}\ndata: {text}-{number}\n\n".encode()


def entry(service, address, zone="zone-a", version="v1", slots=4, state="ready", phase=None, born=None, sequence=1):
    value = {"service": service, "address": address, "zone": zone, "version": version, "slots": slots,
             "state": state, "coldRemainingMs": 0, "sequence": sequence}
    if phase:
        value["phase"] = phase
    if born:
        value["born"] = born
    return value


def run_case(main):
    """Runs the case within its time and maps its result to the exit code."""
    async def limited():
        return await asyncio.wait_for(main(), 115)
    try:
        broken = asyncio.run(limited())
    except (NotRun, asyncio.TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        os._exit(2)
    print("rule broken" if broken else "rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
