"""Stand-in of a worker: an engine with a phase, or a plain service. One process a worker.

Options (JSON, first argument): id, port, born, phase (None, "prefill" or "decode"), runs (file with a line for each
run and event), event_ms, events, start_ms, unframed (whether answers have neither a length nor chunks), work_ms, body_bytes.
"""

import asyncio
import json
import signal
import sys
import time

OPTIONS = json.loads(sys.argv[1])
# Speed of the engines of the site.
PREFILL_TOKENS_PER_S = 56600
STATE = {"sequence": 0, "phase": OPTIONS.get("phase"), "handle": 0, "running": 0, "leaving": False}


def note(**fields):
    with open(OPTIONS["runs"], "a", encoding="utf-8") as file:
        file.write(json.dumps({"worker": OPTIONS["id"], "at": time.time(), **fields}) + "\n")


async def read_request(reader):
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
    method, target, _ = lines[0].split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} {'OK' if status < 300 else 'Error'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    lines += leaving_lines()
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def leaving_lines():
    return ["Server-Leaving: 1"] if STATE["leaving"] else []


def report():
    return json.dumps({
        "phase": STATE["phase"], "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
        "sequence": STATE["sequence"], "queued": 0, "running": STATE["running"], "kvUsed": 0, "kvTotal": 533740,
        "kvHandles": 0, "born": OPTIONS["born"],
    }).encode()


async def serve(reader, writer):
    try:
        while True:
            request = await read_request(reader)
            if request is None:
                break
            if not await handle(writer, *request):
                break
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def handle(writer, method, target, headers, body):
    """Answers a request. Returns whether the connection goes on."""
    wanted = headers.get("x-galenarail-expect-instance")
    attempt = headers.get("x-galenarail-attempt-id")
    json_type = {"Content-Type": "application/json"}
    if wanted and wanted != OPTIONS["id"]:
        writer.write(answer(421, {"X-Galenarail-Not-Processed": "1", **({"X-Galenarail-Attempt-Id": attempt} if attempt else {})}, b""))
    elif target == "/report":
        writer.write(answer(200, json_type, report()))
    elif target == "/healthz":
        writer.write(answer(200, {"X-Galenarail-Instance-Id": OPTIONS["id"]}, b""))
    elif target == "/kv-list":
        writer.write(answer(200, json_type, b'{"epoch":1,"next":1,"held":[]}'))
    elif method == "DELETE":
        writer.write(answer(200, {}, b""))
    elif target == "/order":
        order = json.loads(body)
        STATE["sequence"] += 1
        STATE["phase"] = order.get("phase")
        note(order=order)
        writer.write(answer(202, {}, b""))
    elif STATE["phase"] is None:
        return await run_plain(writer, method, target, headers, attempt)
    elif headers.get("x-galenarail-inference-phase") == "prefill":
        STATE["handle"] += 1
        text = json.dumps({"kvHandle": f"{OPTIONS['id']}-{STATE['handle']}", "tokens": 100, "version": 1}).encode()
        tokens = int(headers.get("x-galenarail-token-usage", "100").split(",")[0])
        await asyncio.sleep(tokens / PREFILL_TOKENS_PER_S)
        writer.write(answer(200, {**json_type, "X-Galenarail-Attempt-Id": attempt}, text))
    elif STATE["phase"] != "decode":
        writer.write(answer(421, {"X-Galenarail-Not-Processed": "1", "X-Galenarail-Attempt-Id": attempt}, b""))
    else:
        return await run_stream(writer, headers, attempt)
    await writer.drain()
    return True


async def run_plain(writer, method, target, headers, attempt):
    note(run=attempt, method=method, target=target)
    body = b"x" * OPTIONS.get("body_bytes", 800)
    if OPTIONS.get("unframed"):
        writer.write((
            f"HTTP/1.1 200 OK\r\nX-Galenarail-Attempt-Id: {attempt}\r\n"
            "X-Galenarail-Server-Signature: 3e1b.07.5a2\r\nConnection: close\r\n\r\n"
        ).encode() + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(OPTIONS["work_ms"] / 1000)
        writer.write(body[len(body) // 2 :])
        await writer.drain()
        return False
    await asyncio.sleep(OPTIONS.get("work_ms", 30) / 1000)
    writer.write(answer(200, {"X-Galenarail-Attempt-Id": attempt, "X-Galenarail-Server-Signature": "3e1b.07.5a2"}, body))
    await writer.drain()
    return True


async def run_stream(writer, headers, attempt):
    """Sends the events after `Last-Event-Id`. The last one is that with the number `events`."""
    first = int(headers.get("last-event-id", "0")) + 1
    note(run=attempt, first=first, leaving=STATE["leaving"])
    STATE["running"] += 1
    try:
        await asyncio.sleep(OPTIONS.get("start_ms", 0) / 1000)
        is_unframed = OPTIONS.get("unframed", False)
        framing = "Connection: close\r\n" if is_unframed else "Transfer-Encoding: chunked\r\n"
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Galenarail-Attempt-Id: {attempt}\r\nX-Galenarail-Server-Signature: 3e1b.07.5a2\r\n"
            f"X-Galenarail-Weight-Versions: 1\r\n{framing}" + "".join(line + "\r\n" for line in leaving_lines()) + "\r\n"
        ).encode())
        for number in range(first, OPTIONS["events"] + 1):
            await asyncio.sleep(OPTIONS["event_ms"] / 1000)
            event = f"id: {number}\ndata: {OPTIONS['id']} piece {number} of {OPTIONS['events']}\n\n".encode()
            writer.write(event if is_unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            note(event=attempt, number=number)
        if is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
    finally:
        STATE["running"] -= 1


def set_leaving(*_):
    STATE["leaving"] = True


async def main():
    signal.signal(signal.SIGUSR1, set_leaving)
    server = await asyncio.start_server(serve, "127.0.0.1", OPTIONS["port"], limit=1 << 22)
    async with server:
        await server.serve_forever()


asyncio.run(main())
