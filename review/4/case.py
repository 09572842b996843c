"""SIGTERM of a gateway while accepted requests still wait in the queue of a sound, busy worker."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from standins import *  # noqa: E402,F403

GRACE_S = 8.0
SLOTS, QUEUE = 4, 12  # as on the sheets: the queue holds three times the slots (64 and 192)
EVENTS, STEP_S = 25, 0.096  # a stream lasts 2.4 s
CLIENTS = SLOTS + QUEUE  # as many as the worker takes; each sends its next request when it has its answer
DEADLINE_S = 10.0  # the route's timeout too
WARM_UP_S = 21.0


class Engine(Server):
    """A worker that runs `SLOTS` requests at once and queues a few more, first come, first served."""

    def __init__(self, record, name):
        super().__init__()
        self.record, self.name = record, name
        self.slots = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.arrived, self.began, self.ended, self.left = {}, {}, {}, {}

    async def handle(self, r, reader, writer):
        if r.path == "/report":
            writer.write(response(200, {"content-type": "application/json"}, json.dumps(
                {"phase": "decode", "models": [], "busy": False, "sequence": 0, "queued": 0, "running": 0,
                 "kvUsed": 0, "kvTotal": 90000, "kvHandles": 0, "born": 1000}).encode()))
            return True
        if r.path == "/kv-list":
            writer.write(response(200, {"content-type": "application/json"}, b'{"epoch":1,"next":1,"held":[]}'))
            return True
        rid = r.headers.get("x-galenarail-attempt-id")
        if not rid:
            writer.write(response(400, {"X-Galenarail-Not-Processed": "1"}))
            return True
        if r.headers.get("x-galenarail-expect-instance") != self.name:
            writer.write(response(421, {"X-Galenarail-Not-Processed": "1", "X-Galenarail-Attempt-Id": rid}))
            return True
        if self.present >= SLOTS + QUEUE:
            self.record(f"{self.name} is full, turns {rid} away")
            writer.write(response(503, {"X-Galenarail-Not-Processed": "1", "X-Galenarail-Attempt-Id": rid}))
            return True
        self.present += 1
        self.arrived[rid] = self.record.now()
        self.record(f"{self.name} gets {rid}")
        gone = asyncio.ensure_future(reader.read(1))
        try:
            waiting = asyncio.ensure_future(self.slots.acquire())
            await asyncio.wait({waiting, gone}, return_when=asyncio.FIRST_COMPLETED)
            if gone.done():
                self.left[rid] = self.record.now()
                self.record(f"{self.name}: the channel of {rid} closed; it had not begun to run")
                if waiting.done():
                    self.slots.release()
                waiting.cancel()
                return False
            try:
                await self.run(rid, writer, gone)
            finally:
                self.slots.release()
        finally:
            self.present -= 1
            if not gone.done():
                gone.cancel()
        return False

    async def run(self, rid, writer, gone):
        self.began[rid] = self.record.now()
        self.record(f"{self.name} begins to run {rid}")
        writer.write(("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
                      f"connection: close\r\nX-Galenarail-Attempt-Id: {rid}\r\n"
                      f"X-Galenarail-Server-Signature: sig-{self.name}\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            if gone.done():
                self.left[rid] = self.record.now()
                self.record(f"{self.name}: the channel of {rid} closed while it ran")
                return
            data = event(number)
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(STEP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.ended[rid] = self.record.now()
        self.record(f"{self.name} has run {rid} to its end")


class Balancer:
    """Forwards new channels to the gateway while it is in rotation: two misses of /readyz take it out."""

    def __init__(self, record, gateway):
        self.record, self.gateway, self.in_rotation = record, gateway, True

    async def run(self):
        misses = 0
        while True:
            ready = await self.gateway.is_ready()
            misses = 0 if ready else misses + 1
            if self.in_rotation and misses >= 2:
                self.record("balancer: two misses, no new channels for edge-a-1")
            self.in_rotation = misses < 2
            await asyncio.sleep(1)


async def main():
    record = Record(FOLDER)
    store = Store()
    await store.start()
    engine = Engine(record, "i-engine1")
    await engine.listen()
    gateway = Gateway(record, store.address, "edge-a-1", grace_s=8)
    answers = {}
    try:
        await store.put("op/config", configuration(
            1, [route("question", "streaming", "assist", int(DEADLINE_S * 1000), 500)],
            [{"name": "assist", "healthPath": "/healthz", "maxConnections": 360,
              "engine": {"slots": SLOTS, "kvCapacityTokens": 500000, "roleSwitchS": 3.0}}]))
        await store.put("servers/i-engine1", entry("assist", engine.address, slots=SLOTS, phase="decode", born=1000))
        await gateway.start()
        await asyncio.sleep(1)
        balancer = Balancer(record, gateway)
        balancing = asyncio.create_task(balancer.run())
        running = True

        async def client(number):
            await asyncio.sleep(number * 0.6)
            channel, count = Channel(record, gateway.listen), 0
            while running and (channel.writer or balancer.in_rotation):
                count += 1
                rid = f"c{number:02}-{count}"
                headers = {"X-Galenarail-Model": "m", "X-Galenarail-Token-Usage": "400,25",
                           "X-Galenarail-Prompt-Prefix": f"a{number:03x}{count:x}:400"}
                try:
                    answers[rid] = await channel.send(rid, "/question/1", headers, deadline_ms=int(DEADLINE_S * 1000))
                except (OSError, asyncio.TimeoutError):
                    record(f"client {number}: no channel to edge-a-1")
                    return
                await asyncio.sleep(0.01)

        clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
        await asyncio.sleep(WARM_UP_S)
        term = record.now() if TROUBLE else None
        if TROUBLE:
            gateway.signal(signal.SIGTERM)
        await asyncio.sleep(3)
        running = False
        await asyncio.gather(*clients)
        if TROUBLE:
            try:
                await asyncio.wait_for(gateway.process.wait(), 4)
                record(f"edge-a-1 has ended by {record.now() - term:.3f} s after SIGTERM")
            except asyncio.TimeoutError:
                record("edge-a-1 still runs")
        balancing.cancel()
        return judge(record, engine, answers, term)
    finally:
        await gateway.kill()
        store.stop()
        engine.stop()


def judge(record, engine, answers, term):
    """LOST, planned work: SIGTERM of the machine that took the request, with the excuses of the rule."""
    lost = 0
    for rid, answer in answers.items():
        if answer.complete:
            continue  # also a refusal or a failure is a complete answer
        arrived, began = engine.arrived.get(rid), engine.began.get(rid)
        if arrived is None and answer.ended_at - answer.sent_at < 0.2:
            record(f"judge: {rid} excused, crossed the close")
            continue
        if answer.ended_at - answer.sent_at >= DEADLINE_S - 0.1:
            record(f"judge: {rid} excused, deadline and timeout were reached")
            continue
        if term is None or not term <= answer.ended_at <= term + GRACE_S + 1:
            record(f"judge: {rid} has no complete answer, outside planned work")
            continue
        late = (term + GRACE_S * 5 / 6, term + GRACE_S)
        left = engine.ended.get(rid, engine.left.get(rid, float("inf")))
        if began is not None and began < late[1] and left >= late[0] and answer.sent_at <= term + 3:
            record(f"judge: {rid} excused, its worker was at work on it in the last sixth of graceS")
            continue
        lost += 1
        record(f"judge: LOST: {rid}, sent {answer.sent_at - term:.3f} s after SIGTERM, "
               f"{'passed on to a worker' if arrived else 'not passed on'}, not begun there; channel closed "
               f"{answer.ended_at - answer.sent_at:.3f} s after it was sent, without a status")
    served = sum(a.complete and a.status == 200 for a in answers.values())
    refused = sum(a.complete and a.status == 503 for a in answers.values())
    record(f"judge: {len(answers)} requests, {served} served whole, {refused} refused, {lost} lost")
    return lost > 0


run_case(main)
