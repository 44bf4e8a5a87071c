"""Soak of kept connections: a fleet of real processes under faults and planned work, from a seed.

A violation is a request that an upstream saw and that got no complete answer, or an answer that began
and did not end, judged from what callers and upstreams saw only. Exempt are connections to a node that
was killed, answers with bytes sent whose node behind was killed or frozen, and callers that shut down
their sending side, which count as gone.
"""

import argparse
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from datetime import datetime

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tools"))
import fleet  # noqa: E402  pylint: disable=wrong-import-position

ACCOUNT = "batik-solo"
CALLER_PROCESSES = 2
CALLERS = 40
END_SECONDS = 60
LOG_EVENTS = re.compile("event=(request_unanswered|handler_failed|stop_cut|node_closing)")
LOG_LINES = 3
LOG_SECONDS = 0.05
MAX_SHOWN = 10


def document(deadline_ms):
    classes = (("read", "GET", True), ("store", "PUT", True), ("order", "POST", False))
    return {"service": "soak",
            "classes": [{"name": name, "methods": [method], "path": f"/{name}/*", "priority": 5,
                         "idempotent": idempotent, "deadline_ms": deadline_ms,
                         **({} if method == "GET" else {"max_body_bytes": 4_000_000})}
                        for name, method, idempotent in classes],
            "accounts": [{"name": ACCOUNT, "rate": 50_000, "burst": 50_000}]}


def time_of(line):
    return datetime.fromisoformat(line.split()[0].removeprefix("time=")).timestamp()


def wait_until_listening(port):
    """Waits until the process has set up its signals and listens."""
    deadline = time.monotonic() + fleet.START_SECONDS
    while time.monotonic() < deadline:
        try:
            socket.create_connection((fleet.HOST, port), 1).close()
            return
        except OSError:
            time.sleep(0.02)
    raise fleet.FleetError(f"nothing listens on port {port}")


class SoakFleet(fleet.Fleet):
    """A fleet whose nodes and scripted upstreams can be stopped and started again."""

    def __init__(self, folder, build, seed):
        super().__init__(folder, build)
        self.seed = seed
        self.running = {}
        self.unclean = []

    def add_node(self, index):
        node = fleet.Node(f"node-{index}", "soak", ("solo", "surabaya")[index % 2])
        node.record_file = os.path.join(self.folder, node.name + ".seen")
        # The last node's listeners are at their limit at times, and its pool is smaller than its gate.
        node.max_connections, node.pool = (24, 8) if index == 2 else (1024, 60)
        node.starts = 0
        self.nodes.append(node)
        self.run_node(node)
        self.run_upstream(node)

    def run_node(self, node):
        node.starts += 1
        self.running[node.name] = self._start(
            f"{node.name}.{node.starts}", "acp-node", "--node-id", node.name, "--data-centre",
            node.data_centre, "--fleet-secret-file", self._secrets, "--control", self.control,
            "--ingress", f"{fleet.HOST}:{node.ingress}", "--egress", f"{fleet.HOST}:{node.egress}",
            "--peer", f"{fleet.HOST}:{node.peer}", "--admin", f"{fleet.HOST}:{node.admin}",
            "--max-connections", node.max_connections)
        wait_until_listening(node.ingress)

    def run_upstream(self, node):
        command = [sys.executable, os.path.join(HERE, "scripted_upstream.py"), "--service", "soak",
                   "--listen", f"{fleet.HOST}:{node.upstream}", "--record", node.record_file,
                   "--egress", f"{fleet.HOST}:{node.egress}", "--slots", "40", "--max-connections",
                   str(node.pool), "--seed", str(self.seed)]
        with open(os.path.join(self.folder, node.name + "-upstream.log"), "a", encoding="utf-8") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append((node.name + "-upstream", process))
        self.running[node.name + "-upstream"] = process
        wait_until_listening(node.upstream)

    def end(self, name, number):
        """Ends a process by @p number and forgets it; an exit other than expected is reported."""
        process = self.running[name]
        process.send_signal(number)
        try:
            process.wait(END_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        if number == signal.SIGTERM and process.returncode != 0:
            self.unclean.append(f"{name} ({process.returncode})")
        self.processes = [entry for entry in self.processes if entry[1] is not process]

    def signal(self, name, number):
        self.running[name].send_signal(number)


class Faults:
    """Faults and planned work in an order that the seed gives; at most one node is affected at a time."""

    def __init__(self, running, seed):
        self.fleet = running
        self.random = random.Random(seed)
        self.log = []
        self.over = threading.Event()

    def note(self, name, node, start):
        self.log.append({"fault": name, "node": node.name, "start": start, "end": time.time()})

    def stop_node(self, node):
        start = time.time()
        self.fleet.end(node.name, signal.SIGTERM)
        self.note("stopped", node, start)
        self.over.wait(self.random.random() * 0.5)
        self.fleet.run_node(node)

    def kill_node(self, node):
        start = time.time()
        self.fleet.end(node.name, signal.SIGKILL)
        self.note("killed", node, start)
        self.over.wait(self.random.random() * 0.8)
        self.fleet.run_node(node)

    def freeze_node(self, node):
        start = time.time()
        self.fleet.signal(node.name, signal.SIGSTOP)
        self.over.wait(0.1 + self.random.random() * 1.5)
        self.fleet.signal(node.name, signal.SIGCONT)
        self.note("frozen", node, start)

    def reload_node(self, node):
        self.fleet.signal(node.name, signal.SIGHUP)

    def drain_upstream(self, node):
        self.fleet.signal(node.name + "-upstream", signal.SIGUSR1)

    def leave_upstream(self, node):
        self.fleet.end(node.name + "-upstream", signal.SIGTERM)
        self.over.wait(self.random.random() * 0.5)
        self.fleet.run_upstream(node)

    def change_document(self, _):
        path = os.path.join(self.fleet.folder, "soak.json")
        with open(path, "w", encoding="ascii") as file:
            json.dump(document(self.random.randrange(3000, 5000)), file)
        try:
            now = json.loads(self.fleet.acpctl("--json", "config", "get", "soak"))["version"]
            self.fleet.acpctl("config", "put", path, "--if-version", str(now))
        except (fleet.FleetError, subprocess.TimeoutExpired):
            pass  # Control has no leader just now.

    def freeze_replica(self, _):
        name = f"control-{self.random.randrange(1, 4)}"
        self.fleet.signal(name, signal.SIGSTOP)
        self.over.wait(0.3 + self.random.random() * 2)
        self.fleet.signal(name, signal.SIGCONT)

    def kill_replica(self, _):
        index = self.random.randrange(3)
        self.fleet.end(f"control-{index + 1}", signal.SIGKILL)
        self.fleet.running[f"control-{index + 1}"] = self.fleet.start_replica(index)
        wait_until_listening(int(self.fleet.operators[index].split(":")[1]))

    def play(self, kinds, pause):
        while not self.over.wait(pause * (0.3 + self.random.random())):
            kind = self.random.choices([entry[0] for entry in kinds], [entry[1] for entry in kinds])[0]
            kind(self.random.choice(self.fleet.nodes))

    def start(self):
        """Plays the faults of nodes, upstreams and control beside each other."""
        lanes = (((self.stop_node, 5), (self.kill_node, 2), (self.freeze_node, 2)), 1.2), (
            ((self.reload_node, 2), (self.drain_upstream, 3), (self.change_document, 2),
             (self.leave_upstream, 2)), 0.7), (
                 ((self.freeze_replica, 3), (self.kill_replica, 1)), 3)
        self.threads = [threading.Thread(target=self.play, args=lane) for lane in lanes]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


class Judge:
    """Joins what the callers and the upstreams saw."""

    def __init__(self, running, faults):
        self.fleet = running
        self.faults = faults
        self.seen = collections.defaultdict(list)
        for node in running.nodes:
            with open(node.record_file, encoding="ascii") as file:
                for line in file:
                    at, event, request_id, _ = line.split()
                    if event == "seen":
                        self.seen[request_id].append((float(at), node.name))

    def was(self, kinds, node, start, end):
        return any(fault["fault"] in kinds and fault["node"] == node and fault["start"] <= end
                   and start <= fault["end"] for fault in self.faults)

    def kind_of(self, request):
        """Returns the class of a request without a complete answer; None: it never arrived."""
        seen = self.seen.get(request["id"], [])
        start, end = request["sent"], request["ended"]
        if not seen and not request["got"]:
            return "hung" if request["end"] == "no answer in time" else None
        if self.was(("killed",), request["node"], request["began"], end + 0.2):
            return "own_node_killed"
        if request["half_closed"]:
            return "half_closed"
        crossed = any(self.was(("killed", "frozen"), node, start - 0.2, end + 0.2)
                      for _, node in seen if node != request["node"])
        if crossed and request["got"]:
            return "cut_behind_kill_or_freeze"
        if request["behaviour"] == "cut_late" and request["got"]:
            return "cut_by_its_upstream"
        if request["end"].startswith("wrong answer"):
            return "VIOLATION wrong answer"
        around = " around a stop" if self.was(("stopped",), request["node"], start, end) else ""
        return f"VIOLATION {'partial' if request['got'] else 'no'} answer{around}"

    def node_lines(self, request):
        """Returns the node's lines of requests that ended unanswered, from around the connection's end."""
        lines = []
        for name in sorted(os.listdir(self.fleet.folder)):
            if name.startswith(request["node"] + ".") and name.endswith(".log"):
                with open(os.path.join(self.fleet.folder, name), encoding="utf-8") as file:
                    lines += [line.strip() for line in file if LOG_EVENTS.search(line)
                              and abs(time_of(line) - request["ended"]) < LOG_SECONDS]
        return lines[:LOG_LINES]

    def describe(self, kind, request):
        near = [f"{fault['fault']} {fault['node']} {fault['start'] - request['sent']:+.3f}.."
                f"{fault['end'] - request['sent']:+.3f}" for fault in self.faults
                if abs(fault["start"] - request["sent"]) < 5 or abs(fault["end"] - request["sent"]) < 5]
        arrivals = [f"{node} {at - request['sent']:+.3f}" for at, node in self.seen[request["id"]]]
        return (f"  {kind}: {request['id']} {request['method']} {request['behaviour']} at "
                f"{request['sent']:.3f} by a {request['style']} caller of {request['node']}, ended "
                f"{request['ended'] - request['sent']:+.3f} ({request['end']}, {request['got']} bytes), "
                f"seen by {arrivals or 'none'}, faults {near or 'none'}"
                + "".join("\n    " + line for line in self.node_lines(request)))


def start_callers(running, options, seed):
    nodes = ",".join(f"{node.name}={fleet.HOST}:{node.ingress}" for node in running.nodes)
    return [subprocess.Popen(
        [sys.executable, os.path.join(HERE, "kept_callers.py"), "--nodes", nodes, "--name",
         f"s{seed}c{number}", "--key", running.keys[ACCOUNT], "--seed", str(seed * 10 + number),
         "--seconds", str(options.seconds), "--callers", str(CALLERS),
         "--without", options.without]
        + ["--cut"] * options.cut + ["--small-windows"] * options.small_windows,
        stdout=subprocess.PIPE, text=True)
            for number in range(CALLER_PROCESSES)]


def start_fleet(running, options):
    running.start_control()
    running.running = {f"control-{index + 1}": control
                       for index, control in enumerate(running.controls)}
    path = os.path.join(running.folder, "soak.json")
    with open(path, "w", encoding="ascii") as file:
        json.dump(document(4000), file)
    running.put_document(path)
    running.give_key(ACCOUNT)
    for index in range(options.nodes):
        running.add_node(index)
    running.wait_until_ready()


def play(options, seed, folder):
    """Plays one seed; returns whether no rule was broken."""
    build = os.path.abspath(os.environ.get("ACP_BUILD_DIR", os.path.join(ROOT, "build")))
    running = SoakFleet(folder, build, seed)
    callers = []
    try:
        start_fleet(running, options)
        faults = Faults(running, seed)
        callers = start_callers(running, options, seed)
        if not options.calm:
            faults.start()
        results = [json.loads(caller.communicate(timeout=options.seconds + 3 * END_SECONDS)[0])
                   for caller in callers]
        if not options.calm:
            faults.stop()
    finally:
        for process in callers:
            if process.poll() is None:
                process.kill()
        running.unclean += running.stop()
    return report(running, faults.log, results, seed)


def report(running, faults, results, seed):
    judge = Judge(running, faults)
    counts = sum((collections.Counter(result["counts"]) for result in results), collections.Counter())
    answers = sum((collections.Counter(result["answers"]) for result in results), collections.Counter())
    kinds = collections.Counter()
    lines = []
    for request in (request for result in results for request in result["unanswered"]):
        kind = judge.kind_of(request) or "not_passed_on"
        kinds[kind] += 1
        if kind.startswith("VIOLATION") or kind == "hung":
            lines.append(judge.describe(kind, request))
    played = collections.Counter(fault["fault"] for fault in faults)
    print(f"seed {seed}: {counts['sent']} requests, {counts['sent_on_kept']} on kept connections of "
          f"{counts['connections']}, {len(judge.seen)} seen by upstreams, {counts['answered']} answered, "
          f"{len(lines)} violations; without a complete answer {dict(kinds)}; faults {dict(played)}"
          + (f"; unclean exits {running.unclean}" if running.unclean else ""))
    print("\n".join(lines[:MAX_SHOWN]), end="\n" if lines else "")
    with open(os.path.join(running.folder, "summary.json"), "w", encoding="utf-8") as file:
        json.dump({"seed": seed, "counts": counts, "answers": answers, "unanswered": kinds,
                   "faults": faults, "lines": lines}, file, indent=1)
    return not lines and not running.unclean


def failed_before(options):
    """Returns the plays in failed_seeds.txt: lines of `SEED NODES SECONDS FLAGS CAUSE`, FLAGS `-` or
    such as `calm,cut`."""
    plays = []
    with open(os.path.join(HERE, "failed_seeds.txt"), encoding="ascii") as file:
        for line in file:
            seed, nodes, seconds, flags, _ = line.split(" ", 4)
            chosen = {flag: True for flag in flags.split(",") if flag != "-"}
            plays.append((int(seed), argparse.Namespace(**{
                **vars(options), **chosen, "nodes": int(nodes), "seconds": float(seconds)})))
    return plays


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--keep-logs", metavar="DIR")
    parser.add_argument("--calm", action="store_true", help="no faults, no planned work")
    parser.add_argument("--without", default="", metavar="BEHAVIOUR,...", help="leave these out")
    parser.add_argument("--small-windows", action="store_true",
                        help="slow callers have receive buffers of 8 KiB")
    parser.add_argument("--cut", action="store_true",
                        help="some upstream answers end early")
    parser.add_argument("--failed", action="store_true", help="play the seeds of failed_seeds.txt")
    arguments = parser.parse_args()
    passed = True
    plays = failed_before(arguments) if arguments.failed else [
        (seed, arguments) for seed in arguments.seed or [1]]
    for seed, options in plays:
        folder = tempfile.mkdtemp(prefix="acp-soak-")
        try:
            passed = play(options, seed, folder) and passed
        finally:
            if options.keep_logs:
                shutil.copytree(folder, os.path.join(options.keep_logs, f"seed-{seed}"),
                                dirs_exist_ok=True)
            shutil.rmtree(folder)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
