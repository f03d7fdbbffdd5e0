"""A worker that fails with 503 after it has run a payment: see claim.txt."""

import asyncio
import collections
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import Worker, config, main, read_head, read_body

REQUESTS = 120
FAILED_SHARE = 0.45
RANDOM = random.Random(7)
PAYMENTS = collections.Counter()


async def top_up(worker, request, reader, writer):
    """Books the payment, then answers; a failing worker answers some with 503."""
    await asyncio.sleep(0.015)
    worker.runs[request.get("X-Attempt-Id")] += 1
    PAYMENTS[request.body] += 1
    fails = worker.fails and RANDOM.random() < FAILED_SHARE
    body = b"booked, receipt service down" if fails else b"booked"
    status = "503 Service Unavailable" if fails else "200 OK"
    writer.write(worker.head(request, status, Content_Length=len(body)) + body)


async def send(gateway, payment, attempt):
    reader, writer = await asyncio.open_connection(gateway.address, gateway.ports[0])
    body = f"payment {payment}".encode()
    writer.write((f"POST /topup/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n"
                  f"X-Deadline-Ms: 1500\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
    answer = await asyncio.wait_for(read_head(reader), 3)
    await read_body(reader, answer)
    writer.close()
    return answer


async def case(deployment):
    store, record = deployment.store, deployment.record
    store.put("op", "config", config(3, [
        {"name": "topup", "host": "a.example", "prefix": "/topup/", "routeType": "non_idempotent",
         "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": "ledger",
         "maxAttempts": 1}], [{"name": "ledger", "healthPath": "/healthz"}]))
    workers = [Worker(store, record, f"i-{i}", "ledger", top_up) for i in range(1, 5)]
    for worker in workers:
        worker.fails = False
        await worker.start()
    gateway = deployment.add_gateways(1)[0]
    gateway.start()
    await gateway.until_ready()
    await asyncio.sleep(1)
    if deployment.trouble:
        record("i-1 fails", FAILED_SHARE, "of its requests with 503 from now on")
        workers[0].fails = True
    broken = []
    for payment in range(REQUESTS):
        for retry in range(2):  # Clients retry once, and only after a promise.
            attempt = f"70{retry}{payment:05x}"
            answer = await send(gateway, payment, attempt)
            status = int(answer.first.split()[1])
            ran = [worker.name for worker in workers if worker.runs[attempt]]
            if status != 200 or retry:
                record("payment", payment, "attempt", attempt, "answered", status, "seal",
                       answer.get("X-Server-Seal"), "not executed", answer.get("X-Not-Executed"),
                       "run at", ran)
            if status in (429, 503, 408, 421) and ran:
                broken.append(attempt)
            if status not in (429, 503):
                break
            await asyncio.sleep(min(float(answer.get("Retry-After") or 0), 0.5))
    twice = [body.decode() for body, count in PAYMENTS.items() if count > 1]
    record(len(broken), "attempts were answered with a promise and had run:", broken)
    record("booked twice in the end:", twice)
    return bool(broken)


main(os.path.dirname(os.path.abspath(__file__)), case)
