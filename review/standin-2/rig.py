"""A small deployment of the deploy file's programs on loopback addresses, with its operator, endpoints and clients.

The programs run as separate processes with the commands of deploy/system.toml and a settings file as the platform
writes it. Endpoints, clients and the operator are stand-ins that speak what PROTOCOL.md says and no more.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ("z-a", "z-b", "z-c", "z-d")
REGION = "r-1"
# Those of the deployments' sheets.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
          "max_stretch_ms": 5000, "strict_revoke": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
          "budget_window_s": 10, "retry_budget_slack": 47, "quota_window_s": 5, "quota_overage": 0.1,
          "quota_slack": 20, "recovery_s": 15}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota"]
HEARTBEAT_SECONDS = 1.5
RESTART_SECONDS = 0.3
MAX_SHOWN = 2000


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Lines with seconds since the start, also written to a file."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")  # pylint: disable=consider-using-with

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():8.3f} {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def recv_line(stream):
    line = stream.readline(65536)
    if not line.endswith(b"\r\n"):
        raise ConnectionError("the message ended early")
    return line[:-2].decode("latin-1")


def read_head(stream):
    """Returns the first line and the fields, with lower-case names; raises EOFError at the end of the input."""
    first = stream.readline(65536)
    if not first:
        raise EOFError
    if not first.endswith(b"\r\n"):
        raise ConnectionError("the message ended early")
    fields = {}
    while line := recv_line(stream):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first[:-2].decode("latin-1"), fields


def read_exactly(stream, count):
    data = stream.read(count)
    if data is None or len(data) != count:
        raise ConnectionError("the message ended early")
    return data


def read_chunks(stream):
    body = b""
    while True:
        size = int(recv_line(stream).split(";")[0], 16)
        if size == 0:
            while recv_line(stream):
                pass
            return body
        body += read_exactly(stream, size)
        if recv_line(stream):
            raise ConnectionError("a chunk is longer than it says")


def read_body(stream, fields, until_close):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        return read_chunks(stream)
    if "content-length" in fields:
        return read_exactly(stream, int(fields["content-length"]))
    return stream.read() if until_close else b""


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class Connection:
    """A kept connection of a client."""

    def __init__(self, address, timeout, source=None):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=timeout,
                                               source_address=(source, 0) if source else None)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")

    def send(self, method, path, fields, body=b""):
        head = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            head.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join(head + ["", ""]).encode("latin-1") + body)

    def receive(self, timeout=None):
        if timeout is not None:
            self.socket.settimeout(timeout)
        while True:
            first, fields = read_head(self.stream)
            status = int(first.split(" ")[1])
            if status >= 200:
                break
        if status in (204, 304):
            return Answer(status, fields, b"")
        return Answer(status, fields, read_body(self.stream, fields, True))

    def close(self):
        for action in (self.stream.close, self.socket.close):
            try:
                action()
            except OSError:
                pass

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.close()


def call(address, method, path, fields, body=b"", timeout=1.0):
    connection = Connection(address, timeout)
    try:
        connection.send(method, path, {"Host": address, **fields}, body)
        return connection.receive()
    finally:
        connection.close()


def rpc(address, name, body, subject=None, timeout=1.0):
    path = f"/rpc?call={name}" + (f"&of={subject}" if subject else "")
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    return call(address, "POST", path, {"Content-Type": "application/json"}, text, timeout)


def route(name, host, prefix, kind, service, timeout_ms=6000, target_ms=1500, **more):
    where = {"traffic_split": service} if isinstance(service, list) else {"service": service}
    return {"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1, "max_attempts": 2, "public": False, **where, **more}


def tenant(name, keys, rate=0, burst=0):
    return {"name": name, "api_keys": list(keys), "priority": 1, "rate_per_s": rate, "burst": burst}


def configuration(version, base, services, routes, tenants):
    return {"version": f"{version:08x}", "base_version": f"{base:08x}", "routes": routes,
            "services": [{"name": s, "health_check_path": "/health", "max_connections": 400, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": tenants}


class Process:
    """A program of the deploy file on one machine."""

    def __init__(self, rig, name, role, machine_class, ip, zone, service=None):
        self.rig, self.name, self.role, self.ip, self.zone, self.service = rig, name, role, ip, zone, service
        self.machine_class = machine_class
        self.folder = os.path.join(rig.folder, name)
        os.makedirs(self.folder)
        self.settings = os.path.join(self.folder, "local.json")
        self.popen = None
        self.starts = 0

    def address(self, port):
        return f"{self.ip}:{self.rig.ports[port]}"

    def write_settings(self, bootstrap):
        rig, is_control = self.rig, self.role == "control"
        listen = {"control": self.address("control")}
        if not is_control:
            listen |= {name: self.address(name) for name in ("inbound", "outbound", "ready")}
        data = os.path.join(self.folder, "data") if is_control else None
        text = {"node": self.name, "role": self.role, "machine_class": self.machine_class,
                "serves": ["control_plane"] if is_control else ["sidecar"], "ip": self.ip, "zone": self.zone,
                "region": REGION, "zones": {zone: REGION for zone in ZONES}, "listen_addrs": listen,
                "internal_ports": [rig.ports["internal"], rig.ports["internal"] + 15],
                "seed_nodes": [c.address("control") for c in rig.controls[:3]], "bootstrap": bootstrap,
                "counts_as_loss": is_control,
                "limits": {"cpu_share": 0.15 if is_control else 0.4, "vcpus": 1,
                           "memory_mb": 256 if is_control else 260, "max_fds": 4100, "bandwidth_mbps": 1000.0,
                           "disk_mb": 256 if is_control else 0},
                "data_dir": data, "discovery": "local", "entry": "local",
                "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000), "contracts": CONTRACTS,
                "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS}
        if not is_control:
            text |= {"app_addr": self.address("app"), "service": self.service}
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            json.dump(text, file)
        os.replace(self.settings + ".new", self.settings)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ACACIAPULLEY_SETTINGS"] = self.settings
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.popen = subprocess.Popen(self.rig.commands[self.role], cwd=ROOT, env=environment,  # pylint: disable=consider-using-with
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.rig.record(f"{self.name} started, pid {self.popen.pid}")

    def signal(self, number):
        self.rig.record(f"{self.name} gets {signal.Signals(number).name}")
        self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Rig:
    """The machines, the operator and what ends them."""

    def __init__(self, record, services, controls=3):
        """@param services names the service of each sidecar machine"""
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="acp-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: [os.path.join(ROOT, part) if i == 0 else part
                                for i, part in enumerate(role["run"].split())] for name, role in roles.items()}
        for command in self.commands.values():
            if not os.access(command[0], os.X_OK):
                raise CannotRun(f"{command[0]} is not built")
        net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.ports = self.free_ports(net)
        self.controls = []
        for i in range(controls):
            self.controls.append(Process(self, f"core-{i}", "control", "core", f"{net}.{i + 1}", ZONES[i % 4]))
        self.nodes = [Process(self, f"side-{i}", "node", "sidecar", f"{net}.{i + 21}", ZONES[i % 4], service)
                      for i, service in enumerate(services)]
        self.endpoints = []
        self.proxies = []
        self.version = 0
        self.answered_by = None

    @staticmethod
    def free_ports(net):
        """Returns ports that no process of this machine listens on, at any address."""
        for _ in range(50):
            first = random.randrange(20000, 30000, 50)
            ports = {"internal": first, "control": first + 20, "inbound": first + 21, "outbound": first + 22,
                     "ready": first + 23, "app": first + 24}
            try:
                for port in list(range(first, first + 25)):
                    with socket.socket() as probe:
                        probe.bind(("0.0.0.0", port))
            except OSError:
                continue
            return ports
        raise CannotRun(f"no free ports at {net}")

    def start(self):
        for process in self.controls + self.nodes:
            process.start(bootstrap=True)

    def stop(self):
        for endpoint in self.endpoints:
            endpoint.stop()
        for process in self.controls + self.nodes:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGKILL)
        for process in self.controls + self.nodes:
            if process.popen is not None:
                process.popen.wait()

    def remove(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator

    def order(self, name, body, seconds, first=None):
        """Sends a call until it gets a clear answer, first to the process that answered last; moves on to another
        control process after each failure."""
        deadline = time.monotonic() + seconds
        addresses = [process.address("control") for process in self.controls]
        turn = addresses.index(self.answered_by) if self.answered_by and first is None else first or 0
        while time.monotonic() < deadline:
            address = addresses[turn % len(addresses)]
            turn += 1
            for _ in range(3):
                try:
                    answer = rpc(address, name, body)
                except (OSError, EOFError, ConnectionError, ValueError):
                    break
                if answer.status != 307:
                    if answer.status < 500 and answer.status not in (408, 429):
                        self.answered_by = address
                        return answer
                    break
                address = answer.fields["location"].split("/")[2]
            time.sleep(0.05)
        return None

    def configure(self, services, routes, tenants, seconds=20, first=None):
        """Puts a configuration on top of the newest one; returns when it was acknowledged."""
        document = configuration(self.version + 1, self.version, services, routes, tenants)
        text = json.dumps(document)
        shown = text if len(text) <= MAX_SHOWN else f"version {self.version + 1}, {len(text)} bytes"
        self.record(f"operator sends {shown}")
        answer = self.order("config.replace", text.encode(), seconds, first)
        if answer is None or answer.status != 200:
            raise CannotRun(f"the configuration got {answer and answer.status}")
        acked = time.monotonic()
        self.version += 1
        self.record(f"version {self.version} acknowledged")
        return acked

    def describe(self):
        return self.order("config.describe", {}, 10)

    def leader(self):
        """Returns the control process that answers the operator itself."""
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            for process in self.controls:
                try:
                    if rpc(process.address("control"), "config.describe", {}).status == 200:
                        return process
                except (OSError, EOFError, ConnectionError):
                    pass
            time.sleep(0.1)
        raise CannotRun("no control process answers a read")

    # Readiness

    def is_ready(self, node):
        try:
            return call(node.address("ready"), "GET", "/readiness", {}).status == 200
        except (OSError, EOFError, ConnectionError):
            return False

    def await_ready(self, seconds=20):
        deadline = time.monotonic() + seconds
        while not all(self.is_ready(node) for node in self.nodes):
            if time.monotonic() > deadline:
                raise CannotRun("the nodes do not get ready")
            time.sleep(0.1)


class Endpoint:
    """An endpoint beside a node, with heartbeats. Answers echo the id and bear a signature.

    @param work called with the run; returns (status, body) or None to send nothing and close
    """

    def __init__(self, rig, node, slots=50, work=None, heartbeats=True):
        self.rig, self.node, self.slots, self.work = rig, node, slots, work
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.sends_heartbeats = heartbeats
        self.lock = threading.Lock()
        self.runs = []  # of all requests: dicts with time, id, method, path, fields, body
        self.running = 0
        self.over = threading.Event()
        self.sockets = set()
        host, port = node.address("app").split(":")
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((host, int(port)))
        self.server.listen(1024)
        rig.endpoints.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def accept(self):
        while not self.over.is_set():
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            with self.lock:
                self.sockets.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while not self.over.is_set() and self.serve_one(connection, stream):
                pass
        except (OSError, EOFError, ConnectionError, ValueError):
            pass
        finally:
            with self.lock:
                self.sockets.discard(connection)
            stream.close()
            connection.close()

    def load(self):
        return f"{min(self.running, self.slots)},{max(self.running - self.slots, 0)},{self.slots}"

    def serve_one(self, connection, stream):
        first, fields = read_head(stream)
        method, path, _ = first.split(" ")
        body = read_body(stream, fields, False)
        request_id = fields.get("acaciapulley-request-id")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            self.send(connection, status, {"Acaciapulley-Instance-Id": self.id,
                                           "Acaciapulley-Server-Load": self.load()}, b"")
            return True
        if fields.get("acaciapulley-expected-instance", self.id) != self.id:
            self.send(connection, 421, {"Acaciapulley-Not-Executed": "1", "Acaciapulley-Request-Id": request_id}, b"")
            return True
        run = {"at": time.monotonic(), "id": request_id, "method": method, "path": path, "fields": fields,
               "body": body, "connection": connection}
        with self.lock:
            self.runs.append(run)
            self.running += 1
        self.rig.record(f"{self.id} of {self.node.service} runs {request_id} {method} {path}")
        try:
            result = self.work(run) if self.work else (200, b"done")
        finally:
            with self.lock:
                self.running -= 1
        if result is None:
            return False
        status, answer = result
        run["status"] = status
        self.send(connection, status, {"Acaciapulley-Request-Id": request_id,
                                       "Acaciapulley-Server-Signature": f"{self.id}.{request_id}.{len(answer)}",
                                       "Acaciapulley-Server-Load": self.load()}, answer)
        return True

    @staticmethod
    def send(connection, status, fields, body):
        head = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
        head += [f"Content-Length: {len(body)}", "", ""]
        connection.sendall("\r\n".join(head).encode("latin-1") + body)

    def heartbeat(self, state=None):
        """Returns the next heartbeat."""
        with self.lock:
            self.sequence += 1
            return {"service": self.node.service, "address": self.node.address("app"), "zone": self.node.zone,
                    "version": "v1", "concurrency": self.slots, "state": state or self.state, "warmup_left_ms": 0,
                    "sequence": self.sequence, "born": self.born}

    def send_heartbeat(self, beat):
        try:
            answer = rpc(self.node.address("control"), "instances.heartbeat", beat, self.id)
            return answer.status
        except (OSError, EOFError, ConnectionError):
            return None

    def deregister(self):
        try:
            status = rpc(self.node.address("control"), "instances.deregister", {"born": self.born}, self.id).status
        except (OSError, EOFError, ConnectionError):
            status = None
        self.rig.record(f"{self.id} sends deregister, gets {status}")
        return status

    def send_heartbeats(self):
        while not self.over.is_set():
            if self.sends_heartbeats:
                self.send_heartbeat(self.heartbeat())
            self.over.wait(HEARTBEAT_SECONDS)

    def stop(self):
        self.over.set()
        try:
            self.server.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.server.close()
        with self.lock:
            open_sockets = list(self.sockets)
        for connection in open_sockets:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def runs_of(self, request_id):
        with self.lock:
            return [run for run in self.runs if run["id"] == request_id]


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_fields(host, key, request_id, deadline_ms=6000):
    fields = {"Host": host, "Acaciapulley-Request-Id": request_id, "Acaciapulley-Deadline-Ms": deadline_ms}
    return fields | ({"Acaciapulley-Credential": key} if key else {})


# How a case is played

CASE_SECONDS = 115


def rss_mb(process):
    """Returns the private memory of a process in MB, or 0 if it has ended."""
    try:
        with open(f"/proc/{process.popen.pid}/status", encoding="utf-8") as status:
            lines = dict(line.split(":", 1) for line in status)
        return int(lines["RssAnon"].split()[0]) / 1024
    except (OSError, KeyError, ValueError):
        return 0


def run_case(folder, services, play, controls=3):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    @param play called with the rig and whether the disruption is to come; returns the breaks found
    """
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    rig, code = None, 2

    def give_up(_signal, _frame):
        raise CannotRun(f"not at its end after {CASE_SECONDS} s")

    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(CASE_SECONDS)
    try:
        rig = Rig(record, services, controls)
        rig.start()
        breaks = play(rig, trouble)
        for text in breaks:
            record(f"BROKEN {text}")
        record(f"result: {'broken' if breaks else 'held'}")
        code = 1 if breaks else 0
    except (CannotRun, OSError, EOFError) as error:
        record(f"could not run: {error!r}")
    finally:
        signal.alarm(0)
        if rig is not None:
            rig.stop()
            rig.remove()
        record.close()
    with open(os.path.join(folder, "record.txt"), encoding="utf-8") as file:
        print("".join(line for line in file if "result:" in line or "BROKEN" in line or "could not run" in line), end="")
    os._exit(code)
