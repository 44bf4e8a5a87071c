"""Callers that keep their connections, send ahead, cut their requests between segments and read slowly.

Writes one JSON object: counts, and each request that ended without a complete answer. Ends after --seconds.
"""

import argparse
import asyncio
import collections
import json
import random
import secrets
import socket
import sys
import time

import scripted_upstream

ANSWER_SECONDS = 20
READ_LIMIT = 65536
SLOW_WINDOW = 131072
# Smaller than one segment of the loopback interface.
SMALL_WINDOW = 8192
# Behaviour of the upstream, method, service class and weight.
KINDS = (("plain", "GET", "read", 30), ("chunked", "GET", "read", 8), ("nolength", "GET", "read", 6),
         ("interim", "GET", "read", 4), ("close", "GET", "read", 4), ("reset", "GET", "read", 6),
         ("split", "GET", "read", 4), ("plain", "PUT", "store", 8), ("early", "PUT", "store", 6),
         ("reset", "PUT", "store", 4), ("reset_unread", "PUT", "store", 4),
         ("chunked", "PUT", "store", 4), ("nolength", "PUT", "store", 2),
         ("empty", "GET", "read", 2), ("empty", "PUT", "store", 2), ("http10", "GET", "read", 2),
         ("plain", "POST", "order", 6), ("nolength", "POST", "order", 2), ("early", "POST", "order", 2))
CUT_KINDS = (("cut", "GET", "read", 2), ("cut_late", "GET", "read", 2))
STYLES = (("serial", 5), ("pipelined", 4), ("segmented", 2), ("slow", 2), ("slow_pipelined", 3),
          ("halfclose", 1), ("close", 1))


class Ended(Exception):
    """The connection ended; `text` says how, `got` is the number of bytes of the current answer."""

    def __init__(self, text, got=0):
        super().__init__(text)
        self.text = text
        self.got = got


class Stream:
    """A socket; unlike asyncio's streams, it still reads what arrived before a write failed."""

    def __init__(self, sock):
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.buffer = bytearray()

    async def send(self, data):
        await self.loop.sock_sendall(self.sock, data)

    async def fill(self, got):
        try:
            data = await asyncio.wait_for(self.loop.sock_recv(self.sock, READ_LIMIT), ANSWER_SECONDS)
        except asyncio.TimeoutError as error:
            raise Ended("no answer in time", got + len(self.buffer)) from error
        except OSError as error:
            raise Ended(type(error).__name__, got + len(self.buffer)) from error
        if not data:
            raise Ended("end of stream", got + len(self.buffer))
        self.buffer += data

    async def until(self, mark, got):
        while (end := self.buffer.find(mark)) < 0:
            await self.fill(got)
        return self.take(end + len(mark))

    async def upto(self, size, got):
        if not self.buffer:
            await self.fill(got)
        return self.take(size)

    def take(self, size):
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data


class Request:
    """One request and what its answer must be."""

    def __init__(self, rng, number, options, idempotent_only, big_share):
        kinds = KINDS + (CUT_KINDS if options.cut else ())
        kinds = [kind for kind in kinds if kind[0] not in options.without.split(",")]
        if idempotent_only:
            kinds = [kind for kind in kinds if kind[1] != "POST"]
        self.behaviour, self.method, self.name, _ = rng.choices(kinds, [kind[3] for kind in kinds])[0]
        self.id = f"{options.name}-{number}"
        self.size = rng.choice((0, 10, 200, 3000))
        # A reset discards what the upstream's kernel has not sent yet.
        is_big = self.behaviour == "cut_late" or rng.random() < big_share
        if is_big and not self.behaviour.startswith("reset"):
            self.size = rng.randrange(100_000, 2_000_000)
        wait = rng.choice((0, 0, 0, rng.randrange(1, 60)))
        if rng.random() < 0.003:
            wait = rng.randrange(500, 4500)
        self.target = f"/soak/{self.name}/{self.behaviour}?bytes={self.size}&ms={wait}"
        self.body = b""
        self.sent_at = 0.0
        head = [f"{self.method} {self.target} HTTP/1.1", "Host: soak", f"Acp-Key: {options.key}",
                f"X-Request-Id: {self.id}"]
        if self.method != "GET":
            big = rng.random() < 0.15
            self.body = b"x" * rng.randrange(20_000 if big else 0, 600_000 if big else 3000)
        if self.method == "POST":
            head.append(f"Idempotency-Key: {int(time.time())}-{secrets.token_hex(12)}")
        if self.method == "PUT" and rng.random() < 0.3:
            head.append("Transfer-Encoding: chunked")
            chunk = f"{len(self.body):x}\r\n".encode() + self.body + b"\r\n" if self.body else b""
            self.body = chunk + b"0\r\n\r\n"
        elif self.method != "GET":
            head.append(f"Content-Length: {len(self.body)}")
        if self.method != "GET" and rng.random() < 0.1:
            head.append("Expect: 100-continue")
        self.head = "\r\n".join(head).encode() + b"\r\n"

    def bytes(self, closes):
        return self.head + (b"Connection: close\r\n" if closes else b"") + b"\r\n" + self.body

    def expected(self):
        return scripted_upstream.body_of(self.id, self.size)


class Caller:
    """One caller: opens connection after connection and uses each for many requests."""

    def __init__(self, soak, number):
        self.soak = soak
        self.options = soak.options
        self.random = random.Random(self.options.seed * 1000 + number)

    async def run(self):
        while time.monotonic() < self.soak.end:
            node = self.random.choice(self.options.nodes.split(","))
            self.style = self.random.choices([style[0] for style in STYLES],
                                             [style[1] for style in STYLES])[0]
            self.depth = self.random.randrange(2, 9) if "pipelined" in self.style else 1
            self.slow = self.style.startswith("slow")
            try:
                stream = await self.connect(*node.split("=")[1].split(":"))
            except OSError:
                self.soak.counts["not_connected"] += 1
                await asyncio.sleep(0.05)
                continue
            await self.use(node.split("=")[0], stream)

    async def connect(self, host, port):
        sock = socket.socket()
        sock.setblocking(False)
        if self.slow:
            size = SMALL_WINDOW if self.options.small_windows else SLOW_WINDOW
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except OSError:
            sock.close()
            raise
        return Stream(sock)

    async def use(self, node, stream):
        self.soak.counts["connections"] += 1
        self.waiting = collections.deque()
        self.changed = asyncio.Event()
        self.arrived = asyncio.Event()
        self.over = False
        began = time.time()
        sending = asyncio.create_task(self.send(stream))
        sending.add_done_callback(lambda _: self.arrived.set())
        ended = Ended("done")
        try:
            await self.receive(stream, sending)
        except Ended as error:
            ended = error
        self.over = True
        self.changed.set()
        sending.cancel()
        try:
            await sending
        except asyncio.CancelledError:
            pass
        stream.sock.close()
        for index, request in enumerate(self.waiting):
            self.soak.unanswered.append(
                {"id": request.id, "node": node, "style": self.style, "began": began,
                 "sent": request.sent_at, "ended": time.time(), "behaviour": request.behaviour,
                 "method": request.method, "end": ended.text, "got": ended.got if index == 0 else 0})

    async def send(self, stream):
        count = self.random.randrange(5, 300)
        try:
            for number in range(1, count + 1):
                while len(self.waiting) >= self.depth:
                    self.changed.clear()
                    await self.changed.wait()
                if self.over or time.monotonic() > self.soak.end:
                    return
                self.soak.number += 1
                request = Request(self.random, self.soak.number, self.options, self.depth > 1,
                                  0.12 if self.slow else 0.03)
                request.sent_at = time.time()
                self.waiting.append(request)
                self.arrived.set()
                self.soak.counts["sent"] += 1
                self.soak.counts["sent_on_kept"] += number > 1
                await self.write(stream, request, self.style == "close" and number == count)
            if self.style == "halfclose":
                stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    async def write(self, stream, request, closes):
        data = request.bytes(closes)
        if self.style == "segmented" or (self.depth > 1 and self.random.random() < 0.1):
            start = 0
            for cut in sorted(self.random.randrange(1, len(data)) for _ in range(3)):
                await stream.send(data[start:cut])
                await asyncio.sleep(self.random.random() * 0.01)
                start = cut
            data = data[start:]
        await stream.send(data)

    async def receive(self, stream, sending):
        while not (sending.done() and not self.waiting):
            if not self.waiting:
                self.arrived.clear()
                await self.arrived.wait()
                continue
            closes = await self.answer(stream, self.waiting[0])
            self.waiting.popleft()
            self.changed.set()
            if closes:
                raise Ended("an answer said close")

    async def answer(self, stream, request):
        """Reads the answer to @p request; returns whether the node closes the connection."""
        head = b"HTTP/1.1 1"
        while head.startswith(b"HTTP/1.1 1"):
            head = await stream.until(b"\r\n\r\n", 0)
        if not head.startswith(b"HTTP/1.1 "):
            raise Ended(f"wrong answer: {head[:300]!r}", len(head))
        _, headers = scripted_upstream.parse_head(head)
        status = int(head[9:12])
        # The node allows 5 s more than the bytes take at 64 KiB/s.
        self.pauses = 3.5 / self.depth if request.size > 50_000 or self.random.random() < 0.2 else 0
        if headers.get("transfer-encoding") == "chunked":
            body = await self.read_chunked(stream, len(head))
        else:
            body = await self.read(stream, int(headers.get("content-length", 0)), len(head))
        is_right = status != 200 or (body == request.expected()
                                     and headers.get("x-request-id") == request.id)
        if not is_right:
            raise Ended(f"wrong answer: {head[:300]!r}, {len(body)} bytes", len(head))
        self.soak.counts["answered"] += 1
        reason = "" if status == 200 else " " + headers.get("acp-reason", "?")
        self.soak.answers[f"{request.behaviour} {status}{reason}"] += 1
        return headers.get("connection") == "close"

    async def read(self, stream, size, got):
        parts = []
        left = size
        while left > 0:
            if self.slow and self.pauses > 0:
                pause = min(self.pauses, self.random.choice((0.0, 0.005, 0.02, 0.3, 1.5)))
                self.pauses -= pause
                await asyncio.sleep(pause)
            part = await stream.upto(left, got + size - left)
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    async def read_chunked(self, stream, got):
        parts = []
        while True:
            size = int(await stream.until(b"\r\n", got), 16)
            parts.append(await self.read(stream, size, got) if size else b"")
            got += size + 2
            end = await stream.until(b"\r\n", got)
            while size == 0 and end != b"\r\n":  # A trailer.
                end = await stream.until(b"\r\n", got)
            if size == 0:
                return b"".join(parts)


class Callers:
    """All callers of this process."""

    def __init__(self, options):
        self.options = options
        self.end = time.monotonic() + options.seconds
        self.number = 0
        self.counts = collections.Counter()
        self.answers = collections.Counter()
        self.unanswered = []

    async def run(self):
        await asyncio.gather(*(Caller(self, number).run() for number in range(self.options.callers)))
        return {"counts": self.counts, "answers": self.answers, "unanswered": self.unanswered}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", required=True, help="NAME=HOST:PORT,...")
    parser.add_argument("--name", required=True, help="prefix of the request ids")
    parser.add_argument("--key", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--without", default="", help="behaviours to leave out")
    parser.add_argument("--small-windows", action="store_true", help="of callers that read slowly")
    parser.add_argument("--cut", action="store_true", help="some answers end early")
    json.dump(asyncio.run(Callers(parser.parse_args()).run()), sys.stdout)


if __name__ == "__main__":
    main()
