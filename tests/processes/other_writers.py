"""Heartbeats of another writer beside those of upstreams that run.

other_writers.py CASE plays one case with the programs in ACP_BUILD_DIR: the odd heartbeats are heard
before the first configuration, by a node that is killed and started again, or all the while.
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

SERVICES = ["orders", "orders", "stock", "stock"]
HOST = "shop.example"
ODD_HEARTBEATS = 12
KINDS = {  # service and state of the odd heartbeats
    "unknown_service": ("of-nobody", "ready"),
    "draining": ("of-nobody", "draining"),
    "other_service": ("stock", "ready"),
    "other_service_draining": ("stock", "draining"),
}
SERVED_SECONDS = 10.0  # for an upstream to get requests
BESIDE_SECONDS = 8.0
WINDOW_SECONDS = 2.0


def send_odd_heartbeats(rig, machine, kind, count=ODD_HEARTBEATS):
    """Sends heartbeats of different instances, each with a later start, until they are answered."""
    service, state = KINDS[kind]
    for number in range(count):
        writer = rigs.Endpoint.__new__(rigs.Endpoint)
        writer.rig, writer.machine = rig, machine
        writer.id, writer.born = f"i-odd-{number}", int(time.time() * 1000) + 10_000 + number
        body = {"service": service, "address": f"{machine.ip}:{rig.ports['app']}", "zone": machine.zone,
                "version": "v1", "concurrency": 8, "state": state, "warmup_left_ms": 0, "sequence": 1}
        until = time.monotonic() + 5
        while (status := writer.say("instances.heartbeat", body)) is None:
            if time.monotonic() > until:
                raise rigs.CannotRun("an odd heartbeat was not answered")
            time.sleep(0.01)
        rig.record(f"{machine.name}: odd heartbeat {number} of {service}, {state}: {status}")


def configure(rig):
    routes = [rigs.route(service, HOST, f"/{service}/", "idempotent", service, public=True)
              for service in sorted(set(SERVICES))]
    if rig.put(rigs.configuration(1, 0, sorted(set(SERVICES)), routes), 30) != 200:
        raise rigs.CannotRun("the configuration was not accepted")


def start(folder):
    rig = rigs.Rig(folder)
    rig.commands = rigs.built_commands()
    for zone in rig.zones:
        rig.add_control(zone)
    for index, service in enumerate(SERVICES):
        rig.add_node(rig.zones[index % len(rig.zones)], service)
    rig.start()
    return rig


class Callers:
    """Send requests for both services at all nodes until they are stopped."""

    def __init__(self, rig):
        self.rig = rig
        self.over = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(node, service), daemon=True)
                        for node in rig.nodes for service in set(SERVICES)]
        for thread in self.threads:
            thread.start()

    def _run(self, node, service):
        while not self.over.is_set():
            rigs.send_request(self.rig, node, HOST, f"/{service}/list")
            self.over.wait(0.02)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def left_out(upstreams, seconds, counts):
    """Returns the upstreams that get no more runs than in @p counts within @p seconds."""
    until = time.monotonic() + seconds
    while True:
        idle = [u for u, count in zip(upstreams, counts) if len(u.runs) <= count]
        if not idle or time.monotonic() > until:
            return [f"{u.machine.name} ({u.service})" for u in idle]
        time.sleep(0.05)


def before_configuration(rig, kind):
    """The odd heartbeats come first; the upstreams and the configuration follow."""
    for node in rig.nodes:
        send_odd_heartbeats(rig, node, kind)
    upstreams = [rigs.Endpoint(rig, node) for node in rig.nodes]
    configure(rig)
    callers = Callers(rig)
    idle = left_out(upstreams, SERVED_SECONDS, [0] * len(upstreams))
    callers.stop()
    return idle


def started(rig):
    upstreams = [rigs.Endpoint(rig, node) for node in rig.nodes]
    configure(rig)
    callers = Callers(rig)
    if left_out(upstreams, 30, [0] * len(upstreams)):
        raise rigs.CannotRun("not all upstreams get requests")
    return upstreams, callers


def after_restart(rig, kind):
    """One node after the other is killed and hears the odd heartbeats as soon as it answers."""
    upstreams, callers = started(rig)
    idle = []
    for node, upstream in zip(rig.nodes, upstreams):
        starts = node.starts
        node.signal(signal.SIGKILL)
        while node.starts == starts or not node.is_running():
            time.sleep(0.01)
        send_odd_heartbeats(rig, node, kind)
        idle += left_out([upstream], SERVED_SECONDS, [len(upstream.runs)])
    callers.stop()
    return idle


def beside_running(rig, kind):
    """The odd heartbeats come all the while, at all nodes."""
    upstreams, callers = started(rig)
    idle = []
    until = time.monotonic() + BESIDE_SECONDS
    while time.monotonic() < until and not idle:
        counts = [len(upstream.runs) for upstream in upstreams]
        window = time.monotonic() + WINDOW_SECONDS
        while time.monotonic() < window:
            for node in rig.nodes:
                send_odd_heartbeats(rig, node, kind, 1)
            time.sleep(0.3)
        idle += left_out(upstreams, 0, counts)
    callers.stop()
    return idle


CASES = {f"{name}_{kind}": (play, kind)
         for name, play in (("before_configuration", before_configuration),
                            ("after_restart", after_restart), ("beside_running", beside_running))
         for kind in KINDS}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("case", choices=sorted(CASES))
    case = parser.parse_args().case
    with tempfile.TemporaryDirectory(prefix="acp-writers-") as folder:
        with start(folder) as rig:
            play, kind = CASES[case]
            idle = play(rig, kind)
        if idle:
            with open(os.path.join(folder, "record.txt"), encoding="utf-8") as file:
                print("".join(file.readlines()[-200:]))
            print(f"{case}: no requests for {', '.join(idle)}")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
