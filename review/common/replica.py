"""A stand-in for a model replica of the platform, as a process of its own.

Usage: python3 -m review.common.replica PORT ID LOG EVENTS PAUSE_MS UNFRAMED_EVERY [PART]

It streams EVENTS events, PAUSE_MS apart, and honours Last-Event-Id. Of its answers, one
in UNFRAMED_EVERY has neither a length nor chunks and ends with its connection (0: none).
Each request that it runs is a line in the file LOG. It crashes as it begins to write an
answer to a request with PART in its prompt, unless that is the last part. The variable
COLD_MS says for how long it is cold after its start.
"""

import asyncio
import json
import os
import sys
import time


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


class Replica:
    def __init__(self, own_id, log, events, pause, unframed_every, deadly_part):
        self.own_id = own_id
        self.log = open(log, "a", buffering=1, encoding="utf-8")
        self.events = events
        self.pause = pause
        self.unframed_every = unframed_every
        self.deadly_part = deadly_part
        self.answers = 0
        self.cold_until = time.monotonic() + int(os.environ.get("COLD_MS", "0")) / 1000

    async def accept(self, reader, writer):
        try:
            while await self.serve(reader, writer):
                continue
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        method, target, headers, body = await read_request(reader)
        if target == "/lynxchute/report":
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
            report.update(busy=False, sequence=1, waiting=0, running=0, handles=0)
            report.update(kv_used=0, kv_total=400000, cold_remaining_ms=self.cold_ms())
            return await self.send_json(writer, 200, report)
        if target == "/lynxchute/kv-list":
            return await self.send_json(writer, 200, {"epoch": 1, "next": 0, "held": []})
        if target == "/health":
            return await self.send_json(writer, 200, {})
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.own_id) != self.own_id:
            return await self.send_json(writer, 421, {}, request_id)
        first = int(headers.get("last-event-id") or 0) + 1
        self.answers += 1
        every = self.unframed_every
        unframed = bool(every) and self.answers % every == 0
        line = {"replica": self.own_id, "runs": request_id, "first_event": first}
        line.update(at=round(time.monotonic(), 3), is_cold=self.cold_ms() > 0)
        self.log.write(json.dumps({**line, "unframed": unframed}) + "\n")
        parts = [item.split(":")[0] for item in headers.get("x-prompt-prefix", "").split(",")]
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            f"X-Response-Stamp: {self.own_id}.{request_id}",
            "Connection: close" if unframed else "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        if self.deadly_part and self.deadly_part in parts[:-1]:
            await writer.drain()
            await asyncio.sleep(0.04)
            os._exit(1)
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause)
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            if not unframed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
        if unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def cold_ms(self):
        return max(int((self.cold_until - time.monotonic()) * 1000), 0)

    async def send_json(self, writer, status, value, request_id=""):
        body = json.dumps(value).encode()
        head = [f"HTTP/1.1 {status} X", "Content-Type: application/json"]
        head += [f"Content-Length: {len(body)}", f"X-Instance-Id: {self.own_id}"]
        head.append(f"X-Cold-Ms: {self.cold_ms()}")
        if request_id:
            head.append(f"X-Request-Id: {request_id}")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return True


async def main():
    port, own_id, log, events, pause_ms, unframed_every, *deadly = sys.argv[1:]
    replica = Replica(
        own_id, log, int(events), int(pause_ms) / 1000, int(unframed_every), "".join(deadly)
    )
    server = await asyncio.start_server(replica.accept, "127.0.0.1", int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
