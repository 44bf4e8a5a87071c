"""What cases 11 to 15 share: a small deployment, endpoints that answer piece by piece, kept clients.

Uses the project's own stand-ins of the platform (tests/soak/platform_rig.py) for the machines, the
operator and plain endpoints. Standard library only.
"""

import os
import secrets
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
import platform_rig as platform  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_SECONDS = platform.BOUNDS["contact_ms"] / 1000
APPLY_SECONDS = platform.BOUNDS["config_apply_ms"] / 1000
START_SECONDS = 30


class PiecewiseEndpoint(platform.Endpoint):
    """An endpoint that sends an answer in pieces, as the subclass of a case says.

    It stops work at the deadline that it receives, as the pages say, and closes the connection then.
    """

    def pieces(self, request_id, target):
        """Yields (seconds to work before the piece, bytes); the first piece follows the head."""
        yield 0, self.run(request_id, target)

    def length(self, target):
        """Returns the length of the body of the answer."""
        raise NotImplementedError

    def respond(self, handler, method, target, headers):
        if target == "/health":
            return super().respond(handler, method, target, headers)
        request_id = headers.get("acaciapulley-request-id")
        common = {"Acaciapulley-Request-Id": request_id,
                  "Acaciapulley-Server-Load": f"{self.running},0,{self.slots}"}
        self.read_body(handler, headers)
        if headers.get("acaciapulley-expected-instance", self.id) != self.id:
            self.send(handler, 421, {**common, "Acaciapulley-Not-Executed": "1"})
            return True
        until = time.monotonic() + int(headers.get("acaciapulley-deadline-ms", "60000")) / 1000
        self.rig.record(f"{self.machine.name}: {self.id} runs {request_id} {method} {target}")
        with self.lock:
            self.running += 1
            self.runs.append((time.monotonic(), request_id, headers, method, target, 0))
        sent = 0
        try:
            head = (f"HTTP/1.1 200 OK\r\nContent-Length: {self.length(target)}\r\n"
                    f"Acaciapulley-Server-Signature: {self.id}.{request_id}\r\n")
            head += "".join(f"{name}: {value}\r\n" for name, value in common.items()) + "\r\n"
            handler.wfile.write(head.encode())
            for pause, part in self.pieces(request_id, target):
                self.work(pause)
                if time.monotonic() >= until:
                    self.rig.record(f"{self.machine.name}: the deadline of {request_id} has passed")
                    return False
                handler.wfile.write(part)
                sent += len(part)
        except OSError as error:
            self.rig.record(f"{self.machine.name}: the connection of {request_id} has ended after "
                            f"{sent} bytes: {error}")
            raise
        finally:
            with self.lock:
                self.running -= 1
        self.rig.record(f"{self.machine.name}: {self.id} has answered {request_id} with {sent} bytes")
        return True

    def work(self, seconds):
        time.sleep(seconds)


class Answer:
    """What a client has read."""

    def __init__(self, request_id, sent_at):
        self.request_id = request_id
        self.sent_at = sent_at
        self.status = None
        self.headers = {}
        self.length = None
        self.read = 0
        self.ended_at = None
        self.end = "no answer"

    @property
    def is_whole(self):
        return self.status is not None and self.length is not None and self.read == self.length


class KeptClient:
    """A client that sends its requests one after the other on one connection."""

    def __init__(self, rig, machine, receive_buffer=None):
        self.rig = rig
        self.machine = machine
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(5)
        self.socket.connect((machine.ip, rig.ports["outbound"]))
        self.buffer = b""

    def request(self, host, target, method="GET", deadline_ms=5000, headers=None, body=None,
                bytes_per_read=65536, pause=0.0):
        """Sends a request and reads its answer, @p bytes_per_read each @p pause seconds, until the
        deadline; returns an Answer."""
        request_id = secrets.token_hex(8)
        fields = {"Host": host, "Acaciapulley-Request-Id": request_id,
                  "Acaciapulley-Deadline-Ms": str(deadline_ms), **(headers or {})}
        if body is not None:
            fields["Content-Length"] = str(len(body))
        text = f"{method} {target} HTTP/1.1\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
        answer = Answer(request_id, time.monotonic())
        self.rig.record(f"client {request_id} sends {method} {target} to {self.machine.name}, a head of "
                        f"{len(text)} bytes")
        try:
            self.socket.settimeout(deadline_ms / 1000)
            self.socket.sendall(text.encode() + (body or b""))
            self._read(answer, answer.sent_at + deadline_ms / 1000, bytes_per_read, pause)
        except socket.timeout:
            answer.end = "the client's deadline"
        except OSError as error:
            answer.end = f"connection lost: {error}"
        answer.ended_at = time.monotonic()
        self.rig.record(f"client {request_id}: status {answer.status}, {answer.read} of {answer.length} "
                        f"bytes, signature {answer.headers.get('acaciapulley-server-signature')}, "
                        f"{answer.end} after {answer.ended_at - answer.sent_at:.3f} s")
        return answer

    def _fill(self, until, size=65536):
        left = until - time.monotonic()
        if left <= 0:
            raise socket.timeout()
        self.socket.settimeout(left)
        part = self.socket.recv(size)
        if not part:
            raise OSError("closed by the node")
        self.buffer += part

    def _read(self, answer, until, bytes_per_read, pause):
        while b"\r\n\r\n" not in self.buffer:
            self._fill(until, min(bytes_per_read, 4096))
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        answer.headers = {name.lower(): value.strip() for name, value in
                          (line.split(":", 1) for line in lines[1:])}
        if answer.headers.get("transfer-encoding") == "chunked":
            raise platform.CannotRun("the answer is in chunks")
        answer.length = int(answer.headers.get("content-length", 0))
        while answer.read < answer.length:
            if not self.buffer:
                self._fill(until, bytes_per_read)
                if pause:
                    time.sleep(pause)
            taken = min(len(self.buffer), answer.length - answer.read)
            self.buffer = self.buffer[taken:]
            answer.read += taken
        answer.end = "whole"

    def close(self):
        self.socket.close()


def start(rig, machines, make_endpoint, routes, timeout_ms):
    """Starts three control processes and the nodes of @p machines, a list of services, with their
    endpoints, and sends the first configuration; returns the endpoints when all routes are served and
    the machines have been in touch for contact_ms."""
    for zone in rig.zones:
        rig.add_control(zone)
    for index, service in enumerate(machines):
        rig.add_node(rig.zones[index % len(rig.zones)], service)
    rig.start()
    time.sleep(1.0)
    endpoints = [make_endpoint(rig, machine) for machine in rig.nodes]
    entries = [platform.route(name, host, prefix, kind, service, timeout_ms=timeout_ms, public=True)
               for name, host, prefix, kind, service in routes]
    document = platform.configuration(1, 0, sorted(set(machines)), entries)
    if rig.put(document) != 200:
        raise platform.CannotRun("the first configuration was not acknowledged")
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        served = [platform.send_request(rig, machine, host, prefix + "ready")[1] == 200
                  for machine in rig.nodes for _, host, prefix, _, _ in routes]
        if all(served):
            time.sleep(CONTACT_SECONDS + APPLY_SECONDS)
            return endpoints
        time.sleep(0.3)
    raise platform.CannotRun("not all routes are served")


def run(case_folder, play):
    """Plays a case; returns its exit code."""
    try:
        with platform.Rig(case_folder) as rig:
            rig.record(f"TROUBLE={1 if TROUBLE else 0}")
            problems = play(rig)
            for problem in problems:
                rig.record(f"BROKEN: {problem}")
            rig.record("the rule was broken" if problems else "the rule held")
            print("\n".join(problems) if problems else "the rule held")
            return 1 if problems else 0
    except (platform.CannotRun, OSError) as error:
        print(f"cannot run: {error}")
        return 2
