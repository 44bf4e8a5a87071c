"""An upstream that answers each request as its target says, and records what it saw.

Targets are /CLASS/BEHAVIOUR?bytes=N&ms=N. SIGUSR1 drains it for a moment; SIGTERM drains and ends it.
"""

import argparse
import asyncio
import json
import random
import signal
import socket
import struct
import sys
import time

ANNOUNCE_SECONDS = 0.5
LEAVE_SECONDS = 8.0
PIECE_BYTES = 65536


def body_of(request_id, size):
    """Returns the body of the answer to a request; callers check it."""
    line = f"id={request_id}\n".encode()
    return (line * (size // len(line) + 1))[:size - len(line)] + line if size > len(line) else line


def reset(writer):
    """Closes the connection with a reset instead of the end of the stream."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            await reader.readexactly(size + 2)
            if size == 0:
                return
    left = int(headers.get("content-length", 0))
    while left > 0:
        part = await reader.read(min(left, PIECE_BYTES))
        if not part:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(part)


def parse_head(text):
    lines = text.decode("latin-1").split("\r\n")
    fields = (line.split(":", 1) for line in lines[1:] if line)
    return lines[0].split(" ")[1], {name.lower(): value.strip() for name, value in fields}


class Upstream:
    """One service endpoint beside a node."""

    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.record = open(options.record, "a", encoding="ascii", buffering=1 << 16)
        self.draining = False
        self.in_progress = 0

    def note(self, event, request_id, behaviour):
        self.record.write(f"{time.time():.4f} {event} {request_id} {behaviour}\n")

    async def connection(self, reader, writer):
        try:
            while await self.request(reader, writer):
                # The node may reuse the connection just now.
                if self.random.random() < self.options.idle_close:
                    await asyncio.sleep(self.random.random() * 0.02)
                    break
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def request(self, reader, writer):
        """Serves one request; returns whether the connection is kept."""
        target, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        path, _, query = target.partition("?")
        values = dict(item.split("=") for item in query.split("&") if item)
        behaviour = path.rsplit("/", 1)[1]
        request_id = headers.get("x-request-id", "none")
        self.note("seen", request_id, behaviour)
        self.in_progress += 1
        try:
            return await self.answer(reader, writer, behaviour, headers, values)
        finally:
            self.in_progress -= 1
            self.note("ended", request_id, behaviour)

    async def answer(self, reader, writer, behaviour, headers, values):
        answers_early = behaviour in ("early", "reset_unread")
        if not answers_early:
            await read_body(reader, headers)
        if "ms" in values:
            await asyncio.sleep(int(values["ms"]) / 1000)
        head = f"X-Request-Id: {headers.get('x-request-id', 'none')}\r\n"
        if "acp-attempt" in headers and self.random.random() < 0.5:
            head += f"Acp-Attempt: {headers['acp-attempt']}\r\n"
        body = body_of(headers.get("x-request-id", "none"), int(values.get("bytes", 0)))
        if behaviour == "interim":
            for _ in range(2):
                writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
                await asyncio.sleep(0.002)
        if behaviour == "chunked":
            await self.write_chunked(writer, head, body)
            return True
        if behaviour in ("close", "nolength"):
            head += "Connection: close\r\n" if self.random.random() < 0.7 or behaviour == "close" else ""
        if behaviour == "empty":
            writer.write(f"HTTP/1.1 204 No Content\r\n{head}\r\n".encode())
            return True
        if behaviour not in ("nolength", "http10"):
            head += f"Content-Length: {len(body)}\r\n"
        version = "1.0" if behaviour == "http10" else "1.1"
        start = f"HTTP/{version} 200 OK\r\n{head}\r\n".encode()
        if behaviour in ("cut", "cut_late"):  # The only unsound behaviours.
            writer.write(start + (body[:len(body) // 2] if behaviour == "cut_late" else b""))
            return False
        if behaviour == "split":
            writer.write(start[:-3])
            await asyncio.sleep(0.003)
            writer.write(start[-3:])
            await asyncio.sleep(0.003)
            start = b""
        writer.write(start + body)
        await writer.drain()
        if behaviour in ("reset", "reset_unread"):
            reset(writer)
            return False
        if answers_early:
            await asyncio.sleep(0.01)
            await read_body(reader, headers)
        return behaviour not in ("close", "nolength", "http10")

    @staticmethod
    async def write_chunked(writer, head, body):
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for start in range(0, len(body), PIECE_BYTES):
            part = body[start:start + PIECE_BYTES]
            writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\nX-Trailer: end\r\n\r\n")
        await writer.drain()

    async def announce(self):
        host, port = self.options.egress.split(":")
        body = json.dumps({"service": self.options.service, "address": self.options.listen,
                           "slots": self.options.slots, "draining": self.draining,
                           "max_connections": self.options.max_connections})
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"PUT /.acp/upstream HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            await asyncio.wait_for(reader.read(), 2)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass

    async def drain_for_a_moment(self):
        self.draining = True
        await self.announce()
        await asyncio.sleep(0.2 + self.random.random())
        self.draining = False
        await self.announce()

    async def run(self):
        loop = asyncio.get_running_loop()
        leaving = asyncio.Event()
        tasks = set()
        loop.add_signal_handler(signal.SIGTERM, leaving.set)
        loop.add_signal_handler(signal.SIGUSR1,
                                lambda: tasks.add(loop.create_task(self.drain_for_a_moment())))
        host, port = self.options.listen.split(":")
        server = await asyncio.start_server(self.connection, host, int(port), limit=PIECE_BYTES,
                                            backlog=512)
        while not leaving.is_set():
            await self.announce()
            try:
                await asyncio.wait_for(leaving.wait(), ANNOUNCE_SECONDS)
            except asyncio.TimeoutError:
                pass
        self.draining = True
        await self.announce()
        # Members reach the other nodes with their next poll.
        deadline = time.monotonic() + LEAVE_SECONDS
        await asyncio.sleep(1.0)
        while self.in_progress > 0 and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        server.close()
        self.record.flush()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("service", "listen", "egress", "record"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--slots", type=int, default=40)
    parser.add_argument("--max-connections", type=int, default=60)
    parser.add_argument("--idle-close", type=float, default=0.005)
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(Upstream(parser.parse_args()).run())


if __name__ == "__main__":
    sys.exit(main())
