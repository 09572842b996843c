"""In a release, the last engine of the old software version is full while the store is down; streams of the new
version begin without a record. All gateways are killed, and streams that are taken up go on at the old version."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from standins import *  # noqa: E402,F403

SLOTS = 8
EVENTS, STEP_S = 80, 0.11
REST_S = 3  # what a full engine names in Retry-After
DOWN_S = 5.2  # the site file has platform_down "silent" for 8 s
NEW_STREAMS = 6


class Engine(Server):
    """An engine that turns requests away with 503 and `Retry-After` while its slots are taken."""

    def __init__(self, record, name, version, born):
        super().__init__()
        self.record, self.name, self.version, self.born, self.running = record, name, version, born, 0

    async def handle(self, r, reader, writer):
        if r.path in ("/report", "/kv-list"):
            body = {"phase": "decode", "models": [], "busy": False, "sequence": 0, "queued": 0,
                    "running": self.running, "kvUsed": 0, "kvTotal": 90000, "kvHandles": 0, "born": self.born,
                    "epoch": 1, "next": 1, "held": []}
            writer.write(response(200, {"content-type": "application/json"}, json.dumps(body).encode()))
            return True
        rid = r.headers.get("x-galenarail-attempt-id")
        if not rid or r.headers.get("x-galenarail-expect-instance") != self.name:
            writer.write(response(421, {"X-Galenarail-Not-Processed": "1", "X-Galenarail-Attempt-Id": rid or ""}))
            return True
        if self.running >= SLOTS:
            self.record(f"{self.name} ({self.version}) is full, turns {rid} away with Retry-After: {REST_S}")
            writer.write(response(503, {"X-Galenarail-Not-Processed": "1", "X-Galenarail-Attempt-Id": rid,
                                        "Retry-After": str(REST_S)}))
            return True
        last = int(r.headers.get("last-event-id", "0"))
        self.running += 1
        gone = asyncio.ensure_future(reader.read(1))
        try:
            self.record(f"{self.name} ({self.version}) runs {rid} after event {last}, "
                        f"Resumes: {r.headers.get('resumes')}")
            writer.write(("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
                          f"connection: close\r\nX-Galenarail-Attempt-Id: {rid}\r\n"
                          f"X-Galenarail-Server-Signature: sig-{self.name}\r\n\r\n").encode())
            for number in range(last + 1, EVENTS + 1):
                if gone.done():
                    self.record(f"{self.name}: the channel of {rid} closed")
                    return False
                data = event(number, self.version)
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                await asyncio.sleep(STEP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
            gone.cancel()
        return False


class DownableStore(Store):
    """While it is down, it accepts connections and calls and answers nothing; leases pause."""

    def __init__(self):
        super().__init__()
        self.is_up = asyncio.Event()
        self.is_up.set()

    async def handle(self, r, reader, writer):
        if not self.is_up.is_set():
            await asyncio.sleep(60)
            return False
        return await super().handle(r, reader, writer)

    def _answer(self, writer, status, body):
        if self.is_up.is_set():
            super()._answer(writer, status, body)

    async def go_down(self, seconds):
        self.is_up.clear()
        await asyncio.sleep(seconds)
        for lease, (ttl, until) in list(self.leases.items()):
            self.leases[lease] = (ttl, until + seconds)
        for writer in list(self.writers):
            writer.transport.abort()
        self.is_up.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until) in list(self.leases.items()):
                if self.is_up.is_set() and time.monotonic() > until:
                    await self._end(lease)


async def main():
    record = Record(FOLDER)
    store = DownableStore()
    await store.start()
    gateways = [Gateway(record, store.address, f"edge-{zone}-1", zone=f"zone-{zone}") for zone in "ab"]
    old = Engine(record, "i-old1", "v1", 1000)
    new = [Engine(record, f"i-new{i}", "v2", 2000) for i in (1, 2)]
    try:
        await old.listen()
        await store.put("servers/i-old1", entry("assist", old.address, slots=SLOTS, phase="decode", born=1000))
        await store.put("op/config", configuration(1, [
            route("draft", "streaming", "assist", 10000, 800, attempts=2, resumable=True),
        ], [{"name": "assist", "healthPath": "/healthz", "maxConnections": 360,
             "engine": {"slots": SLOTS, "kvCapacityTokens": 500000, "roleSwitchS": 3.0}}]))
        for gateway in gateways:
            await gateway.start()
        await asyncio.sleep(1)

        def headers(number):
            return {"X-Galenarail-Model": "m", "X-Galenarail-Token-Usage": "300,80",
                    "X-Galenarail-Prompt-Prefix": f"c0:64,a{number:02x}:200"}

        # Streams that fill the old engine; their clients do not come back.
        fill = [asyncio.create_task(Channel(record, gateways[i % 2].listen).send(f"f{i}", "/draft/1", headers(i)))
                for i in range(SLOTS)]
        await asyncio.sleep(0.5)
        for engine in new:
            await engine.listen()
            record(f"release: {engine.name} (v2) starts")
            await store.put(f"servers/{engine.name}", entry("assist", engine.address, version="v2", slots=SLOTS,
                                                            phase="decode", born=2000))
        await asyncio.sleep(2)
        record(f"versions in the store: "
               f"{[base64.b64decode(i['value']) for k, i in store.items.items() if k.startswith('galenarail/versions')]}")
        down = None
        if TROUBLE:
            record("store: down, answers nothing")
            down = asyncio.create_task(store.go_down(DOWN_S))
        await asyncio.sleep(3)
        deadline = record.now() + 10

        async def client(number):
            """Begins a stream, and takes it up once after a broken channel."""
            gateway, begun, events = gateways[number % 2], None, b""
            for attempt in (1, 2):
                rid = f"n{number}-{attempt}"
                own = headers(0x80 + number)
                ids = event_ids(events)
                if ids:
                    own.update({"Last-Event-Id": str(ids[-1]), "Resumes": begun})
                left = int((deadline - record.now()) * 1000)
                if left < 500:
                    break
                try:
                    answer = await Channel(record, gateway.listen).send(rid, "/draft/2", own, deadline_ms=left)
                except (OSError, asyncio.TimeoutError) as error:
                    record(f"client's {rid}: {type(error).__name__}")
                    await asyncio.sleep(0.4)
                    continue
                if answer.status == 200:
                    if not begun and event_ids(answer.body):
                        begun = rid
                    whole = re.findall(rb"id: \d+\n[^\n]*\n\n", answer.body)
                    events += b"".join(whole)
                if answer.complete and answer.status == 200:
                    break
                # The channel broke: come back when a gateway takes new channels again.
                wait = float(answer.headers.get("retry-after", "0.3"))
                await asyncio.sleep(wait)
                while answer.error and not (TROUBLE and back.is_set()) and record.now() < deadline - 1:
                    await asyncio.sleep(0.05)
            return events

        back = asyncio.Event()
        # Two other clients learn that the old engine is full, and with them the gateways.
        others = [asyncio.create_task(Channel(record, gateway.listen).send(f"p{i}", "/draft/3", headers(0x70 + i)))
                  for i, gateway in enumerate(gateways)]
        await asyncio.sleep(0.2)
        clients = [asyncio.create_task(client(n)) for n in range(NEW_STREAMS)]
        if TROUBLE:
            await asyncio.sleep(DOWN_S - 3.2 - 0.5)
            for gateway in gateways:
                gateway.signal(signal.SIGKILL)
            for gateway in gateways:
                await gateway.process.wait()
            for gateway in gateways:
                await gateway.start(wait=False)
            await down
            record("store: answers again")
            for gateway in gateways:
                await gateway.wait_ready()
            back.set()
        streams = await asyncio.gather(*clients)
        for task in fill + others:
            task.cancel()
        return judge(record, streams)
    finally:
        for gateway in gateways:
            await gateway.kill()
        store.stop()
        for engine in [old, *new]:
            engine.stop()


def judge(record, streams):
    """ORDER: more than two streams hold events from workers of two software versions of one service."""
    mixed = 0
    for number, events in enumerate(streams):
        made = [(int(i), v.decode()) for i, v in re.findall(rb"id: (\d+)\ndata: (v\d)-", events)]
        versions = sorted({v for _, v in made})
        spans = ", ".join(f"{v}: {min(i for i, w in made if w == v)} to {max(i for i, w in made if w == v)}" for v in versions)
        record(f"judge: stream {number}: {len(made)} of {EVENTS} events, by version: {spans}")
        mixed += len(versions) > 1
    record(f"judge: {len(streams)} streams, {mixed} hold events of two versions")
    return mixed > 2


run_case(main)
