"""Starts and stops the processes of a fleet on loopback, for tests, benchmarks and the demo."""

import hashlib
import http.client
import itertools
import json
import os
import re
import resource
import secrets
import subprocess
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KEY_PATTERN = re.compile(r"acp_[0-9a-f]{64}")
START_SECONDS = 60
STOP_SECONDS = 40


class FleetError(Exception):
    """A process did not start or ended early, a wait timed out, or a command failed."""


def own_address():
    """Returns a loopback address that is unique among live processes, derived from the process id.

    Fleets that run at the same time therefore have no ports in common. Ephemeral ports of outgoing
    connections do not collide either, since those use the address 127.0.0.1.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{(pid >> 8) % 256}.{pid % 256}"


HOST = own_address()
_next_port = itertools.count(10000)


def free_ports(count):
    """Returns ports that this process has not returned before."""
    return [next(_next_port) for _ in range(count)]


def copy_lines(source, log):
    with log:
        for line in source:
            log.write(line.decode("utf-8", "replace"))
            log.flush()


def set_disk_full(pid=0):
    """Makes each write of a process fail that would add a byte to a file, by its own limit; 0: this
    process."""
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))


def get(port, path, headers=None, method="GET", timeout=5):
    """Sends one request; returns status, headers and body of the response."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read().decode()
    finally:
        connection.close()


class Node:
    """A node and its local stub upstream."""

    def __init__(self, name, service, data_centre):
        self.name = name
        self.service = service
        self.data_centre = data_centre
        ports = free_ports(6)
        self.ingress, self.egress, self.peer, self.admin = ports[:4]
        self.upstream, self.upstream_admin = ports[4:]
        self.record_file = None
        self.upstream_process = None

    def stats(self):
        return json.loads(get(self.upstream_admin, "/stats")[2])

    def behave(self, settings):
        status, _, body = get(self.upstream_admin, "/behaviour?" + settings, method="PUT")
        if status != 200:
            raise FleetError(f"upstream of {self.name} rejected '{settings}': {body}")


class Fleet:
    """Control replicas and any number of nodes, with all files in one folder."""

    def __init__(self, folder, build):
        self.folder = folder
        self.bin = os.path.join(build, "src")
        self.nodes = []
        self.keys = {}
        self.processes = []
        self.pipes_logs = False  # so that a limit of file sizes does not reach the logs
        self._secrets = os.path.join(folder, "fleet.secret")
        self._operator_key = os.path.join(folder, "operator.key")
        self._write(self._secrets, secrets.token_hex(32))
        self._write(self._operator_key, secrets.token_hex(32))

    def _write(self, path, text):
        with open(path, "w", encoding="ascii") as file:
            file.write(text)
        os.chmod(path, 0o600)

    def _start(self, name, program, *flags, disk_full=False):
        log = open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8")
        command = [os.path.join(self.bin, program)] + [str(flag) for flag in flags]
        process = subprocess.Popen(command, stdout=subprocess.PIPE if self.pipes_logs else log,
                                   stderr=subprocess.STDOUT,
                                   preexec_fn=set_disk_full if disk_full else None)
        if self.pipes_logs:
            threading.Thread(target=copy_lines, args=(process.stdout, log), daemon=True).start()
        else:
            log.close()
        self.processes.append((name, process))
        return process

    def wait_for(self, what, check):
        """Waits until @p check returns a true value; connection and fleet errors count as false."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            for name, process in self.processes:
                if process.poll() not in (None, 0):
                    raise FleetError(f"{name} exited with code {process.returncode}; see its log")
            try:
                if check():
                    return
            except (OSError, http.client.HTTPException, FleetError):
                pass
            time.sleep(0.05)
        raise FleetError(f"timed out after {START_SECONDS} s: {what}")

    def start_control(self, replicas=3):
        ports = free_ports(2 * replicas)
        self.rpc = [f"{HOST}:{port}" for port in ports[:replicas]]
        self.operators = [f"{HOST}:{port}" for port in ports[replicas:]]
        self.control = ",".join(self.rpc)
        self.operator = ",".join(self.operators)
        with open(self._operator_key, encoding="ascii") as file:
            digest = hashlib.sha256(file.read().encode()).hexdigest()
        self._operators_file = os.path.join(self.folder, "operators")
        self._write(self._operators_file, f"lead:{digest}\n")
        self.controls = [self.start_replica(index) for index in range(replicas)]
        self.wait_for("control has a leader", lambda: self.acpctl("members"))

    def start_replica(self, index, folder=None, disk_full=False):
        """Starts a control replica with its data folder, or with @p folder if that is given; its
        files take no byte if @p disk_full is true."""
        folder = folder or os.path.join(self.folder, f"control-{index + 1}")
        return self._start(f"control-{index + 1}", "acp-control", "--rpc", self.rpc[index],
                           "--operator", self.operators[index], "--replicas", self.control,
                           "--data-folder", folder, "--bootstrap",
                           "--operator-key-hash-file", self._operators_file,
                           disk_full=disk_full)

    def acpctl(self, *words):
        command = [os.path.join(self.bin, "acpctl"), "--control", self.operator,
                   "--operator-key-file", self._operator_key] + list(words)
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        if done.returncode != 0:
            raise FleetError(f"acpctl {' '.join(words)}: {done.stderr.strip()}")
        return done.stdout

    def leader_pid(self):
        """Returns the process id of the control replica that leads."""
        for index, address in enumerate(self.operators):
            if json.loads(self.acpctl("--json", "--control", address, "control", "status"))["leads"]:
                return next(p.pid for name, p in self.processes if name == f"control-{index + 1}")
        raise FleetError("no replica leads")

    def put_document(self, path):
        self.acpctl("config", "put", path, "--if-version", "0")

    def give_key(self, account):
        """Issues a key for @p account and returns the path of the file that contains it."""
        key = KEY_PATTERN.search(self.acpctl("key", "give", account)).group()
        path = os.path.join(self.folder, account + ".key")
        self._write(path, key)
        self.keys[account] = key
        return path

    def withdraw_key(self, account):
        """Revokes all keys of @p account; returns when each node has confirmed that or the maximum
        revocation time has passed."""
        listed = json.loads(self.acpctl("--json", "key", "list", account))
        for key in listed["keys"]:
            self.acpctl("key", "withdraw", account, key["id"])

    def start_node(self, name, service, data_centre, upstream_flags, records=True):
        """Starts a node and, if it has a service, its local upstream.

        If @p records is true, the upstream writes all request heads to node.record_file.
        """
        node = Node(name, service, data_centre)
        if records:
            node.record_file = os.path.join(self.folder, name + ".requests")
            upstream_flags = upstream_flags + ["--record-file", node.record_file]
        self._start(
            name, "acp-node", "--node-id", name, "--data-centre", data_centre,
            "--fleet-secret-file", self._secrets, "--control", self.control,
            "--ingress", f"{HOST}:{node.ingress}", "--egress", f"{HOST}:{node.egress}",
            "--peer", f"{HOST}:{node.peer}", "--admin", f"{HOST}:{node.admin}")
        if service:
            node.upstream_process = self._start(
                name + "-upstream", "acp-upstream", "--service", service,
                "--listen", f"{HOST}:{node.upstream}", "--egress", f"{HOST}:{node.egress}",
                "--admin", f"{HOST}:{node.upstream_admin}", *upstream_flags)
        self.nodes.append(node)
        return node

    def wait_until_ready(self):
        """Waits until each node has fresh state and control lists each announced upstream."""
        for node in self.nodes:
            self.wait_for(f"{node.name} is fresh", lambda: get(node.admin, "/healthz")[0] == 200)
        names = [node.name for node in self.nodes if node.service]
        self.wait_for("all members are known",
                      lambda: all(name in self.acpctl("members") for name in names))
        # The nodes receive the members with their next poll.
        time.sleep(2.5)

    def load(self, targets, path, *flags, key_files=()):
        """Runs acp-load; returns its JSON result and its exit code (0 or 3)."""
        command = [os.path.join(self.bin, "acp-load"), "--json", "--path", path,
                   "--target", ",".join(f"{HOST}:{port}" for port in targets)]
        if key_files:
            command += ["--key-file", ",".join(key_files)]
        done = subprocess.run(command + [str(flag) for flag in flags], capture_output=True,
                              text=True, timeout=180, check=False)
        if done.returncode not in (0, 3):
            raise FleetError(f"acp-load: {done.stderr.strip()}")
        return json.loads(done.stdout), done.returncode

    def stop(self):
        """Stops all processes, last started first; returns those that did not exit with code 0."""
        for _, process in reversed(self.processes):
            if process.poll() is None:
                process.terminate()
        unclean = []
        deadline = time.monotonic() + STOP_SECONDS
        for name, process in reversed(self.processes):
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.returncode != 0:
                unclean.append(f"{name} ({process.returncode})")
        return unclean


def cpu_seconds(pid):
    """Returns the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def count_results(result, prefix):
    """Counts the results of a load, over all accounts, whose names start with @p prefix."""
    return sum(count for account in result["accounts"].values()
               for name, count in account["results"].items() if name.startswith(prefix))
