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


class Client:
    """A kept connection that reads only when told to."""

    def __init__(self, running):
        self.key = running.keys[kept_connections.ACCOUNT]
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        self.sock.settimeout(20)
        self.sock.connect((kept_connections.fleet.HOST, running.nodes[0].ingress))

    def send(self, request_id, size, behaviour="plain"):
        head = (f"GET /soak/read/{behaviour}?bytes={size} HTTP/1.1\r\nHost: soak\r\n"
                f"Acp-Key: {self.key}\r\nX-Request-Id: {request_id}\r\n\r\n")
        try:
            self.sock.sendall(head.encode())
        except OSError as error:
            print(f"{request_id} not sent: {type(error).__name__}")

    def require_answer(self, request_id, size):
        data = b""
        expected = scripted_upstream.body_of(request_id, size)
        try:
            while len(data.partition(b"\r\n\r\n")[2]) < len(expected):
                part = self.sock.recv(1 << 20)
                if not part:
                    break
                data += part
        except OSError as error:
            print(type(error).__name__)
        body = data.partition(b"\r\n\r\n")[2]
        if not body.startswith(expected):
            raise AssertionError(f"{len(body)} of {len(expected)} bytes of the answer came")


def next_request_on_the_connection(_, client):
    """Without a stop."""
    client.send("first", SIZE)
    time.sleep(0.5)
    client.send("second", 10)
    time.sleep(0.2)


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
        client = Client(running)
        globals()[sys.argv[1]](running, client)
        client.require_answer("first", SIZE)
    finally:
        running.stop()
        shutil.rmtree(folder)
    print(f"{sys.argv[1]} passed")


if __name__ == "__main__":
    main()
