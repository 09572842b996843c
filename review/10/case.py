"""Workers leave as planned while a gateway is stopped: whole streams that end with their channel are cut."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins_4 as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES = 6
LEAVING = 2
PIECES = 40
PIECE_MS = 100
STREAMS_PER_S = 30
LENGTH_S = 6.0
LEAVE_AT_S = 3.0
TERM_AT_S = 3.5


async def main():
    record = s.Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        store = s.Store("127.20.250.1")
        await store.start()
        gateways = [s.Gateway(folder, n, "shawinigan", store) for n in (1, 2)]
        engines = [
            s.Worker(store, f"i-{n}", "redaction", n, "shawinigan", 64, phase="decode", pieces=PIECES,
                     piece_ms=PIECE_MS, drain_s=2.0, linger_s=0.5)
            for n in range(1, ENGINES + LEAVING + 1)
        ]
        try:
            store.put("op/config", s.config(1, [
                s.route("note", "/note/", "streaming", "redaction", 8000, 1, False, 500),
            ], [s.engine_service("redaction")]))
            for engine in engines[:ENGINES]:
                await engine.start()
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                await gateway.wait_ready()
            return await play(record, gateways, engines)
        finally:
            for gateway in gateways:
                gateway.end()
            for engine in engines:
                if hasattr(engine, "process"):
                    engine.end()
            store.close()


async def client(record, gateway, answers):
    request_id = s.new_id()
    headers = [
        ("X-Galenarail-Attempt-Id", request_id), ("X-Galenarail-Deadline-Ms", "8000"),
        ("X-Galenarail-Model", "m"), ("X-Galenarail-Token-Usage", f"60,{PIECES}"),
        ("X-Galenarail-Prompt-Prefix", f"5c1e07a2:40,{request_id[:8]}:20"),
    ]
    record.write(f"client sends {request_id} to {gateway.name}")
    answer = await s.send(gateway.listen, "POST", "/note/2f", headers, b"note", 8.5)
    answers.append((request_id, gateway, answer))
    record.write(f"client got {request_id}: {answer.status} complete={answer.is_complete} "
                 f"events={answer.body.count(b'data:')} {answer.cause}")


async def play(record, gateways, engines):
    answers, clients = [], []
    began = s.time.monotonic()
    has_joined = has_left = has_termed = False
    number = 0
    while (elapsed := s.time.monotonic() - began) < LENGTH_S:
        # The balancer sends the leaving gateway no new channels from two misses on.
        takers = [gateways[1]] if has_termed and elapsed > TERM_AT_S + 2.0 else gateways
        clients.append(asyncio.ensure_future(client(record, takers[number % len(takers)], answers)))
        number += 1
        if TROUBLE and not has_joined and elapsed >= LEAVE_AT_S - 1.0:
            has_joined = True
            for engine in engines[ENGINES:]:
                await engine.start()
                record.write(f"{engine.name} starts and is ready")
        if TROUBLE and not has_left and elapsed >= LEAVE_AT_S:
            has_left = True
            for engine in engines[:LEAVING]:
                engine.leave()
                record.write(f"{engine.name} reports draining, and the store has accepted it")
        if TROUBLE and not has_termed and elapsed >= TERM_AT_S:
            has_termed = True
            termed_at = s.time.monotonic()
            gateways[0].signal(signal.SIGTERM)
            record.write(f"SIGTERM to {gateways[0].name}")
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*clients)
    done = {}
    for engine in engines:
        for at, line in engine.lines:
            record.write(f"worker {engine.name}: {line}", at)
            word, _, rest = line.partition(" ")
            if word == "done":
                done[rest] = (engine.name, at)
    lost = others = whole = 0
    for request_id, gateway, answer in answers:
        if answer.status == 200 and answer.is_complete:
            whole += answer.body.count(b"data:") == PIECES
            continue
        if request_id not in done:
            record.write(f"not counted: {request_id} was not completed by a worker: {answer.status} {answer.cause}")
            continue
        engine, at = done[request_id]
        is_stopped = TROUBLE and gateway is gateways[0]
        is_planned = is_stopped and termed_at <= answer.ended_at <= termed_at + s.BOUNDS["graceS"] + 1
        lost += is_planned
        others += not is_planned
        record.write(f"{'LOST' if is_planned else 'also cut'} {request_id} at {gateway.name}: {engine} had written the "
                     f"whole stream, {answer.body.count(b'data:')} of {PIECES} events arrived, and the channel ended "
                     f"{answer.ended_at - at:.3f} s later without the end of the answer")
    text = f"{len(answers)} streams, whole {whole}, lost at the stopped gateway {lost}, cut at the other one {others}"
    record.write(text)
    print(text)
    if whole < len(answers) // 2:
        return 2
    return 1 if lost else 0


try:
    code = asyncio.run(main())
except Exception:
    # Otherwise Python would end with 1, which means that the rule was broken.
    traceback.print_exc()
    code = 2
sys.stdout.flush()
sys.stderr.flush()
os._exit(code)
