"""An engine that rests crashes while it writes streams that end with their channel."""

import asyncio
import os
import sys
import tempfile
import traceback

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins_4 as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFILL, DECODE = 3, 6
SLOTS = 16
PIECES = 42
PIECE_MS = 60
BURST = 130
BURST_S = 1.0
CRASH_AT_S = 1.6
REST_S = 2.0


async def main():
    record = s.Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        store = s.Store("127.20.250.1")
        await store.start()
        gateways = [s.Gateway(folder, n, "shawinigan", store) for n in (1, 2)]
        engines = [
            s.Worker(store, f"i-{n}", "redaction", n, "shawinigan", SLOTS, pieces=PIECES, piece_ms=PIECE_MS,
                     rest_s=REST_S, phase="prefill" if n <= PREFILL else "decode")
            for n in range(1, PREFILL + DECODE + 1)
        ]
        try:
            store.put("op/config", s.config(1, [
                s.route("note", "/note/", "streaming", "redaction", 8000, 1, False, 500),
                s.route("rapport", "/rapport/", "streaming", "redaction", 10000, 2, True, 800),
            ], [s.engine_service("redaction")]))
            for engine in engines:
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


async def client(record, gateway, path, delay, answers):
    await asyncio.sleep(delay)
    request_id = s.new_id()
    headers = [
        ("X-Galenarail-Attempt-Id", request_id), ("X-Galenarail-Deadline-Ms", "8000"),
        ("X-Galenarail-Model", "m"), ("X-Galenarail-Token-Usage", f"60,{PIECES}"),
        ("X-Galenarail-Prompt-Prefix", f"5c1e07a2:40,{request_id[:8]}:20"),
    ]
    record.write(f"client sends {request_id} {path} to {gateway.name}")
    answer = await s.send(gateway.listen, "POST", path, headers, b"prompt " + request_id.encode(), 8.5)
    answers.append((request_id, path, answer))
    is_signed = "x-galenarail-server-signature" in answer.headers
    record.write(f"client got {request_id}: {answer.status} signed={is_signed} complete={answer.is_complete} "
                 f"events={answer.body.count(b'data:')} {answer.cause}")


async def play(record, gateways, engines):
    answers = []
    # Some quiet traffic first.
    for n in range(6):
        await client(record, gateways[n % 2], "/note/2f", 0, answers)
    clients = [
        asyncio.ensure_future(client(record, gateways[n % 2], ("/note/2f", "/rapport/2f")[n // 2 % 2],
                                     n * BURST_S / BURST, answers))
        for n in range(BURST)
    ]
    await asyncio.sleep(CRASH_AT_S)
    full = [engine for engine in engines if any(line.startswith("full ") for _, line in engine.lines)]
    if not full:
        record.write("no engine was full; the case can't run")
        return 2
    victim = full[0]
    record.write(f"{victim.name} has turned requests away with Retry-After: {REST_S}")
    if TROUBLE:
        victim.kill()
        record.write(f"{victim.name} is killed (SIGKILL)")
    await asyncio.gather(*clients)
    for engine in engines:
        for at, line in engine.lines:
            record.write(f"worker {engine.name}: {line}", at)
    short = whole = 0
    for request_id, path, answer in answers:
        events = answer.body.count(b"data:")
        if answer.status != 200 or not answer.is_complete:
            continue
        whole += events == PIECES
        if events < PIECES:
            short += 1
            record.write(f"ORDER {request_id} {path}: the stream ends as complete after {events} of {PIECES} events")
    statuses = sorted(f"{answer.status}{'' if answer.is_complete else ' cut'}" for _, _, answer in answers)
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    text = f"answers {counts}, whole streams {whole}, short ones that look complete {short}"
    record.write(text)
    print(text)
    if whole < 6:
        return 2
    return 1 if short else 0


try:
    code = asyncio.run(main())
except Exception:
    # Otherwise Python would end with 1, which means that the rule was broken.
    traceback.print_exc()
    code = 2
sys.stdout.flush()
sys.stderr.flush()
os._exit(code)
