"""A small deployment of the platform on loopback addresses, for the soaks.

Starts the programs of deploy/system.toml as separate processes with the settings of the platform's
pages, restarts those that end, and offers an operator, endpoints and clients. Standard library only.
"""

import contextlib
import http.client
import itertools
import json
import os
import random
import secrets
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import tomllib

import links

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_SECONDS = 1.5
RESTART_SECONDS = 0.5
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": True,
          "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
          "retry_budget_slack": 47, "quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20,
          "recovery_s": 15}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota"]


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


def run_commands():
    """Returns the command of each role of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {name: role["run"].split() for name, role in roles.items()}


def built_commands():
    """Returns the commands of the programs in ACP_BUILD_DIR."""
    build = os.path.abspath(os.environ.get("ACP_BUILD_DIR", os.path.join(ROOT, "build")))
    commands = {role: [os.path.join(build, "platform", f"acp-platform-{role}")] for role in ("node", "control")}
    for program, in commands.values():
        if not os.access(program, os.X_OK):
            raise SystemExit(f"{program} is missing; build it, or name its build folder in ACP_BUILD_DIR")
    return commands


def is_free(address, port):
    with contextlib.closing(socket.socket()) as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Machine:
    """A machine with one process of the system, which is restarted when it ends."""

    def __init__(self, rig, name, role, zone, number, service=None):
        self.rig = rig
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = f"127.{rig.net[0]}.{rig.net[1]}.{number}"
        self.service = service
        self.disk_full = False
        self.process = None
        self.supervisor = None
        self.starts = 0
        self.exits = []
        self.folder = os.path.join(rig.folder, name)
        os.makedirs(self.folder)
        self.settings = os.path.join(self.folder, "local.json")

    def write_settings(self, bootstrap):
        ports = self.rig.ports
        is_core = self.role == "control"
        listen = {"control": f"{self.ip}:{ports['control']}"}
        if not is_core:
            listen.update({key: f"{self.ip}:{ports[key]}" for key in ("inbound", "outbound", "ready")})
        settings = {
            "node": self.name, "role": self.role, "machine_class": "core" if is_core else "sidecar",
            "serves": ["control_plane" if is_core else "sidecar"], "ip": self.ip, "zone": self.zone,
            "region": "r", "zones": {zone: "r" for zone in self.rig.zones}, "listen_addrs": listen,
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seed_nodes": [f"{m.ip}:{ports['control']}" for m in self.rig.controls][:3],
            "bootstrap": bootstrap, "counts_as_loss": is_core,
            "limits": {"cpu_share": 0.4, "vcpus": 1, "memory_mb": 256, "max_fds": 4096,
                       "bandwidth_mbps": 1000.0, "disk_mb": 256 if is_core else 0},
            "data_dir": os.path.join(self.folder, "data") if is_core else None,
            "discovery": "local", "entry": "local", "heartbeat_interval_ms": 1500,
            "contracts": CONTRACTS, "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        if not is_core:
            settings["app_addr"] = f"{self.ip}:{ports['app']}"
            settings["service"] = self.service
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        self.supervisor = threading.Thread(target=self._supervise, daemon=True)
        self.supervisor.start()

    def _supervise(self):
        while not self.rig.closing:
            self._run_once()
            time.sleep(RESTART_SECONDS)
            if not self.rig.closing:
                # The whole system starts for the first time only once.
                self.write_settings(False)

    def end(self):
        """Ends the process for good; the rig is closing."""
        while self.supervisor is not None and self.supervisor.is_alive():
            if self.is_running():
                self.process.kill()
            self.supervisor.join(0.1)

    def _run_once(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ACACIAPULLEY_SETTINGS"] = self.settings
        if self.rig.links:
            environment |= self.rig.links.environment(self.ip) | {"LD_PRELOAD": self.rig.preload}
        # A full disk sends no signal: SIGXFSZ stays ignored, as it is in this process.
        process = subprocess.Popen(self.rig.commands[self.role], cwd=ROOT, env=environment,
                                   stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                                   stderr=subprocess.STDOUT, restore_signals=False,
                                   preexec_fn=self._limit_files if self.disk_full else None)
        self.process = process
        self.starts += 1
        self.rig.record(f"{self.name} starts (pid {process.pid})")
        for line in process.stdout:
            text = line.decode("utf-8", "replace").rstrip().replace(self.rig.folder + "/", "")
            with self.rig.log_lock:
                self.rig.log.write(f"{self.rig.record.now():9.3f} {self.name} {text}\n")
            if "level=error" in text:
                self.rig.record(f"{self.name} logs: {text[:300]}")
        code = process.wait()
        self.exits.append(code)
        self.rig.record(f"{self.name} ended with {code}")

    @staticmethod
    def _limit_files():
        import resource
        resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))

    def set_disk_full(self, full):
        """Makes each write that would add a byte to a file of the process fail, or undoes that."""
        import resource
        self.disk_full = full
        limit = 0 if full else resource.RLIM_INFINITY
        self.rig.record(f"{self.name}: the disk takes {'no more bytes' if full else 'bytes again'}")
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def signal(self, number):
        self.rig.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Rig:
    """The machines, the operator and the temporary folder of one case."""

    def __init__(self, case_folder, zones=("z-a", "z-b", "z-c")):
        self.record = Record(case_folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="acp-soak-")
        self.folder = self.temporary.name
        self.log = open(os.path.join(self.folder, "log.txt"), "w", encoding="utf-8")
        self.log_lock = threading.Lock()
        self.zones = zones
        self.commands = run_commands()
        self.closing = False
        self.net = (random.randrange(10, 250), random.randrange(1, 250))
        self.controls = []
        self.nodes = []
        self.version = 0
        self.links = None  # faults between hosts; needs the library of redirected_connect.cpp
        self.preload = None
        self._choose_ports()

    def _choose_ports(self):
        addresses = [f"127.{self.net[0]}.{self.net[1]}.{n}" for n in range(1, 30)]
        for _ in range(100):
            base = random.randrange(20000, 30000)
            numbers = range(base, base + 24)
            if all(is_free(addresses[0], number) for number in numbers):
                break
        else:
            raise CannotRun("no free ports")
        self.ports = {"inbound": base, "outbound": base + 1, "ready": base + 2, "control": base + 3,
                      "app": base + 4, "internal": base + 5, "links": base + 22}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.closing = True
        for machine in self.controls + self.nodes:
            machine.end()
        if self.links:
            self.links.close()
        keep = os.environ.get("KEEP_LOG")
        if keep:
            self.log.flush()
            with open(self.log.name, encoding="utf-8") as file, open(keep, "w", encoding="utf-8") as out:
                out.write(file.read())
        self.log.close()
        self.temporary.cleanup()

    def add_control(self, zone):
        number = 1 + len(self.controls)
        self.controls.append(Machine(self, f"core-{number}", "control", zone, number))
        return self.controls[-1]

    def add_node(self, zone, service):
        number = 10 + len(self.nodes)
        self.nodes.append(Machine(self, f"sidecar-{len(self.nodes) + 1}", "node", zone, number, service))
        return self.nodes[-1]

    def use_links(self, preload):
        """Puts a proxy in front of the internal port of each machine added so far."""
        self.preload = preload
        self.links = links.Links([m.ip for m in self.controls + self.nodes], self.ports["internal"],
                                 self.ports["links"])

    def start(self):
        for machine in self.controls + self.nodes:
            machine.start(bootstrap=True)

    # The operator

    def call(self, machine, name, body=b"", timeout=1.0):
        """Sends one call to a control process, follows 307 twice; returns (status, body) or None."""
        address = (machine.ip, self.ports["control"])
        path = f"/rpc?call={name}"
        for _ in range(3):
            connection = http.client.HTTPConnection(*address, timeout=timeout)
            try:
                connection.request("POST", path, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                text = response.read()
            except (OSError, http.client.HTTPException):
                return None
            finally:
                connection.close()
            if response.status != 307:
                return response.status, text
            location = response.getheader("Location").removeprefix("http://")
            host, path = location.split("/", 1)
            path = "/" + path
            address = (host.split(":")[0], int(host.split(":")[1]))
        return None

    def put(self, document, seconds=10.0):
        """Sends a configuration until it has a clear answer; returns its status, or None."""
        body = json.dumps(document).encode()
        self.record(f"operator sends version {document['version']}")
        until = time.monotonic() + seconds
        pause = 0.1
        # After a failure a caller moves on to another node.
        order = itertools.cycle(random.sample(self.controls, len(self.controls)))
        while time.monotonic() < until:
            machine = next(order)
            answer = self.call(machine, "config.replace", body)
            if answer and answer[0] in (200, 400, 409, 412, 413, 422):
                self.record(f"{machine.name} answers version {document['version']}: {answer[0]} "
                            f"{answer[1][:200].decode() if answer[0] != 200 else ''}")
                return answer[0]
            time.sleep(pause)
            pause = min(2 * pause, 1.0)
        self.record(f"version {document['version']}: no clear answer in {seconds} s")
        return None

    def read_back(self, seconds):
        """Asks all control processes in turn for the configuration; returns it, or None."""
        until = time.monotonic() + seconds
        last = {}
        while time.monotonic() < until:
            for machine in self.controls:
                answer = self.call(machine, "config.describe")
                last[machine.name] = answer[0] if answer else "no answer"
                if answer and answer[0] == 200:
                    return json.loads(answer[1])
            time.sleep(0.2)
        self.record(f"config.describe for {seconds} s: {last}")
        return None

    def leader(self):
        """Returns the control process that answers config.describe itself."""
        for machine in self.controls:
            connection = http.client.HTTPConnection(machine.ip, self.ports["control"], timeout=1)
            try:
                connection.request("POST", "/rpc?call=config.describe", b"")
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    return machine
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
        return None


def configuration(version, base, services, routes, tenants=None, limits=None):
    """Returns a configuration in the platform's format."""
    document = {
        "version": f"{version:08x}", "base_version": f"{base:08x}",
        "routes": routes,
        "services": [{"name": name, "health_check_path": "/health", "max_connections": 430,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document


def route(name, host, prefix, kind, service=None, split=None, timeout_ms=5000, public=False, **more):
    entry = {"name": name, "host": host, "path_prefix": prefix, "type": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": 1500, "priority": 0, "max_attempts": 2,
             "public": public}
    if split:
        entry["traffic_split"] = split
    else:
        entry["service"] = service
    entry.update(more)
    return entry


class Endpoint:
    """An application endpoint beside a node: runs requests, answers health checks, sends heartbeats."""

    def __init__(self, rig, machine, slots=55, work_ms=20, own_id=None):
        self.rig = rig
        self.machine = machine
        self.service = machine.service
        self.slots = slots
        self.work_ms = work_ms
        self.id = own_id or "i-" + secrets.token_hex(5)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.runs = []
        self.lock = threading.Lock()
        self.running = 0
        self.connections = set()
        self.closed = threading.Event()
        endpoint = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                endpoint.serve_connection(self)

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 512

        self.server = Server((machine.ip, rig.ports["app"]), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def say(self, call, more=None, address=None):
        """Calls the node beside this endpoint, or a proxy of it; returns the status, or None without
        an answer within a second."""
        body = json.dumps({"born": self.born, **(more or {})}).encode()
        address = address or (self.machine.ip, self.rig.ports["control"])
        connection = http.client.HTTPConnection(*address, timeout=1)
        try:
            connection.request("POST", f"/rpc?call={call}&of={self.id}", body,
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def heartbeat_body(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.machine.ip}:{self.rig.ports['app']}",
                "zone": self.machine.zone, "version": "v1", "concurrency": self.slots,
                "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence}

    def _beat(self):
        while not self.closed.is_set():
            status = self.say("instances.heartbeat", self.heartbeat_body()) if self.beating else 200
            self.closed.wait(HEARTBEAT_SECONDS if status == 200 else 0.3)

    def serve_connection(self, handler):
        with self.lock:
            self.connections.add(handler.connection)
        try:
            self._serve_requests(handler)
        finally:
            with self.lock:
                self.connections.discard(handler.connection)

    def _serve_requests(self, handler):
        while not self.closed.is_set():
            try:
                line = handler.rfile.readline(65536)
                if not line:
                    return
                method, target, _ = line.decode("latin-1").split(" ", 2)
                headers = {}
                while True:
                    line = handler.rfile.readline(65536)
                    if line in (b"\r\n", b""):
                        break
                    name, value = line.decode("latin-1").split(":", 1)
                    headers[name.lower()] = value.strip()
                if not self.respond(handler, method, target, headers):
                    return
            except (OSError, ValueError):
                return

    def read_body(self, handler, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(handler.rfile.readline().split(b";")[0], 16)
                part = handler.rfile.read(size)
                handler.rfile.readline()
                if size == 0:
                    return body
                body += part
        return handler.rfile.read(int(headers.get("content-length", 0)))

    def send(self, handler, status, headers, body=b""):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n"
        handler.wfile.write(head.encode() + body)
        handler.wfile.flush()

    def run(self, request_id, target):
        """Returns the body of the answer."""
        return f"{request_id} {target}\n".encode()

    def respond(self, handler, method, target, headers):
        load = f"{self.running},0,{self.slots}"
        if target == "/health":
            self.send(handler, 200 if self.state == "ready" else 503,
                      {"Acaciapulley-Instance-Id": self.id, "Acaciapulley-Server-Load": load})
            return True
        request_id = headers.get("acaciapulley-request-id")
        common = {"Acaciapulley-Request-Id": request_id, "Acaciapulley-Server-Load": load}
        body = self.read_body(handler, headers)
        if headers.get("acaciapulley-expected-instance", self.id) != self.id:
            self.send(handler, 421, {**common, "Acaciapulley-Not-Executed": "1"})
            return True
        with self.lock:
            full = self.running >= self.slots
            if not full:
                self.running += 1
                self.runs.append((time.monotonic(), request_id, headers, method, target, len(body)))
        if full:
            self.send(handler, 503, {**common, "Acaciapulley-Not-Executed": "1"})
            return True
        try:
            self.rig.record(f"{self.machine.name}: {self.id} runs {request_id} "
                            f"tenant={headers.get('acaciapulley-tenant-id')}")
            time.sleep(self.work_ms / 1000)
        finally:
            with self.lock:
                self.running -= 1
        answer = self.run(request_id, target)
        self.send(handler, 200, {**common, "Acaciapulley-Server-Signature": f"{self.id}.{request_id}"},
                  answer)
        return True

    def close(self):
        """Ends the endpoint; its connections are closed."""
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()
        with self.lock:
            connections, self.connections = self.connections, set()
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def send_request(rig, machine, host, target, method="GET", key=None, deadline_ms=5000, body=None,
                 headers=None, timeout=None):
    """Sends one client attempt on a new connection; returns (id, status, headers) with status None
    when there was no complete answer."""
    request_id = secrets.token_hex(8)
    sent = {"Host": host, "Acaciapulley-Request-Id": request_id,
            "Acaciapulley-Deadline-Ms": str(deadline_ms), **(headers or {})}
    if key:
        sent["Acaciapulley-Credential"] = key
    connection = http.client.HTTPConnection(machine.ip, rig.ports["outbound"],
                                            timeout=timeout or deadline_ms / 1000 + 1)
    started = time.monotonic()
    status, answer = None, {}
    try:
        connection.request(method, target, body, sent)
        response = connection.getresponse()
        response.read()
        status, answer = response.status, {k.lower(): v for k, v in response.getheaders()}
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    rig.record(f"client {request_id} {method} {target} at {machine.name}: "
               f"{status if status else 'no answer'} in {time.monotonic() - started:.3f} s")
    return request_id, status, answer
