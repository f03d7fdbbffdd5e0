"""A reclaimed worker whose answer has no length: see claim.txt."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import Worker, config, main, read_head, Message, read_body

EVENTS = 60
STREAMS = 40
UNFRAMED = 2  # Of 40, five in a hundred.
LEAVES_MS = 2500
WORKERS = {}
STOPPED = {}
REACHED = {}


async def stream(worker, request, reader, writer):
    """Sends 60 events. Ends earlier only if a move stops the run."""
    attempt = request.get("X-Attempt-Id")
    worker.runs[attempt] += 1
    stopped = STOPPED[attempt] = asyncio.Event()
    framed = not (worker.spot and worker.unframed < UNFRAMED)
    if framed:
        writer.write(worker.head(request, Content_Type="text/event-stream",
                                 Transfer_Encoding="chunked"))
    else:
        worker.unframed += 1
        writer.write(worker.head(request, Content_Type="text/event-stream", Connection="close"))
    for number in range(1, EVENTS + 1):
        if stopped.is_set():
            # "The run stops first, and its stream is closed without its end."
            worker.record(worker.name, "stops", attempt, "after event", number - 1,
                          "chunked" if framed else "no length")
            return False
        event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
        await writer.drain()
        REACHED[attempt] = number
        await asyncio.sleep(0.1)
    if framed:
        writer.write(b"0\r\n\r\n")
    return framed


async def move(worker, request, writer):
    """Stops the run and answers 503, because the destination has no room for the copy."""
    call = json.loads(request.body)
    if call["id"] not in STOPPED:
        status, body = 404, b"{}"
    else:
        STOPPED[call["id"]].set()
        status, body = 503, json.dumps({"kvHandle": "h-" + call["id"]}).encode()
    worker.record(worker.name, "answers", status, "to a move of", call["id"], "after event",
                  call.get("lastSeq"))
    writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                 % (status, len(body)) + body)
    await writer.drain()


async def client(deployment, gateway, number, results):
    reader, writer = await asyncio.open_connection(gateway.address, gateway.ports[0])
    attempt = f"5e{number:06x}"
    writer.write((f"POST /query/{number}/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n"
                  "X-Model-Name: m\r\nX-Token-Count: 628,400\r\n"
                  f"X-Prompt-Prefix: a1:119,{number + 16:x}:509\r\nX-Deadline-Ms: 12000\r\n"
                  "Content-Length: 5\r\n\r\nquery").encode())
    head = await read_head(reader)
    answer = Message(head.first, head.fields, b"")
    try:
        await asyncio.wait_for(read_body(reader, answer), 12)
        complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.TimeoutError):
        complete = False
    writer.close()
    ids = [int(line.split()[1]) for line in answer.body.decode().split("\n")
           if line.startswith("id:")]
    status = int(head.first.split()[1])
    results.append((attempt, status, complete, len(ids)))
    deployment.record("client", attempt, "gets", status, "events", len(ids), "of", EVENTS,
                      "ends as complete" if complete else "is cut")


async def case(deployment):
    store, record = deployment.store, deployment.record
    engine = {"slotCount": 64, "kvCapacity": 563070, "moves": True, "kvBytes": 18432,
              "linkMbps": 130000}
    store.put("op", "config", config(3, [
        {"name": "query", "host": "a.example", "prefix": "/query/", "routeType": "streaming",
         "timeoutMs": 12000, "targetLatencyMs": 1000, "targetGapMs": 400, "priority": 1,
         "service": "lm", "maxAttempts": 1, "streamResume": False, "sessionAffinity": True}],
        [{"name": "lm", "healthPath": "/healthz", "engine": engine}]))
    for name, spot in (("i-spot", True), ("i-kept", False)):
        worker = WORKERS[name] = Worker(store, record, name, "lm", stream, slots=64,
                                        calls={"/v1/kv-move": move}, spot=spot)
        worker.spot, worker.unframed = spot, 0
        await worker.start()
    gateway = deployment.add_gateways(1)[0]
    gateway.start()
    await gateway.until_ready()
    await asyncio.sleep(2)
    results = []
    clients = [asyncio.create_task(client(deployment, gateway, number, results))
               for number in range(STREAMS)]
    await asyncio.sleep(1)
    record({name: len(worker.runs) for name, worker in WORKERS.items()}, "streams run")
    if not WORKERS["i-spot"].runs:
        raise RuntimeError("no stream runs at the reclaimable worker")
    if deployment.trouble:
        record("i-spot is being reclaimed, leaves in", LEAVES_MS, "ms")
        WORKERS["i-spot"].list(state="draining", leaves_ms=LEAVES_MS)
    await asyncio.gather(*clients)
    broken = [each for each in results if each[1] == 200 and each[2] and each[3] < EVENTS]
    record(len(broken), "streams end as complete before their last event:", broken)
    return bool(broken)


main(os.path.dirname(os.path.abspath(__file__)), case)
