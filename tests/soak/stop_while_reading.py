"""Answers that are still being read when their node stops or closes the connection must arrive whole.

Usage: stop_while_reading.py CASE. Each case fails if the answer ends early, with the bytes that came.
"""

import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import types

import kept_connections
import scripted_upstream

SIZE = 1_500_000
WINDOW = 131072
# Smaller than one segment of the loopback interface.
SMALL_WINDOW = 8192


def wait_until_served(running):
    headers = {"Acp-Key": running.keys[kept_connections.ACCOUNT]}
    port = running.nodes[0].ingress
    running.wait_for("a request is served", lambda: kept_connections.fleet.get(
        port, "/soak/read/plain?bytes=1", headers)[0] == 200)


class Client:
    """A kept connection that reads only when told to."""

    def __init__(self, running, window=WINDOW):
        self.data = b""
        self.has_sent = False
        self.key = running.keys[kept_connections.ACCOUNT]
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.settimeout(20)
        self.sock.connect((kept_connections.fleet.HOST, running.nodes[0].ingress))

    def send(self, request_id, size, behaviour="plain"):
        head = (f"GET /soak/read/{behaviour}?bytes={size} HTTP/1.1\r\nHost: soak\r\n"
                f"Acp-Key: {self.key}\r\nX-Request-Id: {request_id}\r\n\r\n")
        self.has_sent = True
        try:
            self.sock.sendall(head.encode())
        except OSError as error:
            print(f"{request_id} not sent: {type(error).__name__}")

    def read_slowly(self, pauses, seconds):
        """Reads what has come after each of @p pauses pauses."""
        try:
            for _ in range(pauses):
                time.sleep(seconds)
                self.data += self.sock.recv(1 << 20)
        except OSError as error:
            print(type(error).__name__)

    def require_answer(self, request_id, size):
        expected = scripted_upstream.body_of(request_id, size)
        try:
            while len(self.data.partition(b"\r\n\r\n")[2]) < len(expected):
                part = self.sock.recv(1 << 20)
                if not part:
                    break
                self.data += part
        except OSError as error:
            print(type(error).__name__)
        body = self.data.partition(b"\r\n\r\n")[2]
        if not body.startswith(expected):
            raise AssertionError(f"{self.data[:30]!r}: {len(body)} of {len(expected)} bytes came")


def next_request_on_the_connection(_, client):
    """Without a stop."""
    client.send("first", SIZE)
    time.sleep(0.5)
    client.send("second", 10)
    time.sleep(0.2)


def reader_with_a_small_window_pauses_briefly(running, _):
    """Each pause is a tenth of what a slow reader may take."""
    client = Client(running, SMALL_WINDOW)
    client.send("slow", SIZE)
    client.read_slowly(20, 0.5)
    client.require_answer("slow", SIZE)


def idle_connection_is_closed_by_a_stop(running, client):
    """The answer's end is in the node's send buffer, the connection idle; the next request crosses."""
    client.send("first", SIZE)
    time.sleep(0.5)
    running.signal("node-0", signal.SIGTERM)
    time.sleep(0.5)
    client.send("second", 10)
    time.sleep(0.2)


def answer_says_close_and_the_next_request_follows(running, client):
    """The second answer says close; the third request arrives after the node has closed."""
    client.send("first", SIZE)
    time.sleep(0.5)
    running.signal("node-0", signal.SIGTERM)
    time.sleep(0.03)
    client.send("second", 10)
    time.sleep(0.3)
    client.send("third", 10)
    time.sleep(0.2)


def input_goes_on_for_longer_than_the_linger_time(running, client):
    """Requests sent ahead arrive for longer than the node lingers."""
    client.send("first", SIZE)
    time.sleep(0.5)
    running.signal("node-0", signal.SIGTERM)
    for number in range(15):
        client.send(f"ahead-{number}", 10)
        time.sleep(0.1)


def refused_expectation_closes_the_connection(_, client):
    """Without a stop: the refusal says close, requests sent ahead arrive for longer than the linger time."""
    client.send("first", SIZE)
    time.sleep(0.5)
    client.sock.sendall(b"PUT /none HTTP/1.1\r\nHost: soak\r\nExpect: 100-continue\r\n"
                        b"Content-Length: 10\r\n\r\n0123456789")
    for number in range(15):
        client.send(f"ahead-{number}", 10)
        time.sleep(0.1)


def later_answer_is_cut_by_its_upstream(_, client):
    """The second answer is cut; the first, complete one is still being read."""
    client.send("first", SIZE)
    client.send("second", SIZE // 10, "cut_late")
    client.send("third", 10)
    time.sleep(0.5)
    client.send("fourth", 10)
    time.sleep(0.2)


def main():
    folder = tempfile.mkdtemp(prefix="acp-soak-")
    build = os.path.abspath(os.environ.get("ACP_BUILD_DIR",
                                           os.path.join(kept_connections.ROOT, "build")))
    running = kept_connections.SoakFleet(folder, build, 1)
    try:
        kept_connections.start_fleet(running, types.SimpleNamespace(nodes=1))
        wait_until_served(running)
        client = Client(running)
        globals()[sys.argv[1]](running, client)
        if client.has_sent:
            client.require_answer("first", SIZE)
    finally:
        running.stop()
        shutil.rmtree(folder)
    print(f"{sys.argv[1]} passed")


if __name__ == "__main__":
    main()
