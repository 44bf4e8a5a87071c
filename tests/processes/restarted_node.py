"""A node of the platform is killed and started again beside an upstream that goes on running.

restarted_node.py CASE plays one case with the programs in ACP_BUILD_DIR; --report prints how long the
upstream was left out after the start. The upstream's health answers tell the cases apart.
"""

import argparse
import os
import signal
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
import platform_rig as rigs  # noqa: E402  pylint: disable=wrong-import-position

SERVICE = "orders"
HOST = "shop.example"
KEY = "key-one"
CALLERS = 6
LATE_HEARTBEATS = (2.0, 2.5)  # seconds after the deregistration
SERVES_SECONDS = 10.0         # of an upstream that has deregistered
LONGEST_WAIT = 40.0


class Upstream(rigs.Endpoint):
    """An upstream whose answers to health checks can be chosen."""

    def __init__(self, rig, machine):
        super().__init__(rig, machine, slots=20, work_ms=100)
        self.health = "stated"

    def respond(self, handler, method, target, headers):
        if target != "/health" or self.health == "stated":
            return super().respond(handler, method, target, headers)
        if self.health == "full":
            self.send(handler, 503, {"Acaciapulley-Not-Executed": "1",
                                     "Acaciapulley-Server-Load": f"{self.slots},3,{self.slots}"})
            return True
        if self.health == "slow":
            time.sleep(1.5)
            return super().respond(handler, method, target, headers)
        self.closed.wait(LONGEST_WAIT)  # silent
        return False


class Callers:
    """Place orders at a node that nothing disturbs."""

    def __init__(self, rig, node):
        self.rig, self.node = rig, node
        self.over = threading.Event()
        self.threads = [threading.Thread(target=self._run, daemon=True) for _ in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def _run(self):
        while not self.over.is_set():
            rigs.send_request(self.rig, self.node, HOST, "/order/1", "POST", KEY, body=b"cloth")
            self.over.wait(0.01)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def start(folder):
    rig = rigs.Rig(folder)
    rig.commands = rigs.built_commands()
    for zone in rig.zones:
        rig.add_control(zone)
    for i in range(3):
        rig.add_node(rig.zones[i], SERVICE)
    rig.add_node(rig.zones[0], "stock")
    rig.start()
    upstreams = [Upstream(rig, node) for node in rig.nodes]
    document = rigs.configuration(
        1, 0, [SERVICE, "stock"],
        [rigs.route("order", HOST, "/order/", "non_idempotent", SERVICE)],
        [{"name": "t1", "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0}])
    if rig.put(document, 30) != 200:
        raise rigs.CannotRun("the configuration was not accepted")
    return rig, upstreams


def await_runs(upstream, count, seconds):
    """Returns whether @p upstream has got more than @p count requests within @p seconds."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if len(upstream.runs) > count:
            return True
        time.sleep(0.01)
    return False


def restart(node):
    """Kills a node and waits until it has been started again."""
    starts = node.starts
    node.signal(signal.SIGKILL)
    while node.starts == starts or not node.is_running():
        time.sleep(0.01)


def left(rig, upstreams, health):
    """Returns what went wrong when an upstream that has deregistered outlives its node."""
    leaving = upstreams[0]
    late = [leaving.heartbeat_body() for _ in LATE_HEARTBEATS]
    leaving.beating = False
    leaving.state = "leaving"
    leaving.health = health
    if leaving.say("instances.deregister") != 200:
        raise rigs.CannotRun("the deregistration is not acknowledged")
    left_at = time.monotonic()
    restart(rig.nodes[0])
    runs = len(leaving.runs)
    for seconds, body in zip(LATE_HEARTBEATS, late):
        time.sleep(max(0.0, left_at + seconds - time.monotonic()))
        rig.record(f"late heartbeat {body['sequence']} gets {leaving.say('instances.heartbeat', body)}")
    time.sleep(max(0.0, left_at + SERVES_SECONDS - time.monotonic()))
    got = len(leaving.runs) - runs
    leaving.close()
    return f"{got} requests after the deregistration" if got else None


def stays(rig, upstreams, health, seconds):
    """Returns what went wrong when a running upstream answers no health check for @p seconds after
    the start of its node."""
    running = upstreams[0]
    running.health = health
    restart(rig.nodes[0])
    started = time.monotonic()
    runs = len(running.runs)
    if seconds:
        time.sleep(seconds)
        running.health = "stated"
    if not await_runs(running, runs, LONGEST_WAIT):
        return f"no request in {LONGEST_WAIT:.0f} s"
    rig.record(f"first request {time.monotonic() - started:.2f} s after the start")
    return None


CASES = {
    "left_while_full": lambda rig, upstreams: left(rig, upstreams, "full"),
    "left_with_slow_health_answers": lambda rig, upstreams: left(rig, upstreams, "slow"),
    "left_without_health_answers": lambda rig, upstreams: left(rig, upstreams, "silent"),
    "left_and_says_so": lambda rig, upstreams: left(rig, upstreams, "stated"),
    "ready_upstream": lambda rig, upstreams: stays(rig, upstreams, "stated", 0),
    "full_upstream_gets_room": lambda rig, upstreams: stays(rig, upstreams, "full", 4),
    "upstream_with_slow_health_answers": lambda rig, upstreams: stays(rig, upstreams, "slow", 0),
    "upstream_without_health_answers": lambda rig, upstreams: stays(rig, upstreams, "silent", 0),
}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("case", choices=sorted(CASES))
    parser.add_argument("--report", action="store_true", help="print the record's line on the first request")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="acp-restarted-") as folder:
        rig, upstreams = start(folder)
        with rig:
            callers = Callers(rig, rig.nodes[3])  # in the data centre of the first upstream
            if not await_runs(upstreams[0], 0, LONGEST_WAIT):
                raise rigs.CannotRun("the upstream gets no requests")
            time.sleep(2)
            problem = CASES[options.case](rig, upstreams)
            callers.stop()
        with open(os.path.join(folder, "record.txt"), encoding="utf-8") as file:
            lines = file.readlines()
        if options.report:
            print("".join(line for line in lines if "first request" in line), end="")
        if problem:
            print("".join(lines[-200:]))
            print(f"{options.case}: {problem}")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
