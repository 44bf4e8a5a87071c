"""A data centre is evacuated while control processes and nodes of it are killed and started again.

Guards against an order that is lost when its replicas restart, and against a node that starts during
the evacuation and sends requests to its upstream. Plays with the programs in ACP_BUILD_DIR.
"""

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
EVACUATE_SECONDS = 5.0   # from the acknowledgement until no request reaches the data centre
ACKNOWLEDGE_SECONDS = 4.0
SETTLE_SECONDS = 6.0     # of a restart under load
LONGEST_WAIT = 40.0


class Callers:
    """Read at two nodes of the evacuated data centre and one of another one; count the answers."""

    def __init__(self, rig, nodes):
        self.rig, self.over, self.lock = rig, threading.Event(), threading.Lock()
        self.statuses = {}
        self.threads = [threading.Thread(target=self._run, args=(node,), daemon=True) for node in nodes]
        for thread in self.threads:
            thread.start()

    def _run(self, node):
        while not self.over.is_set():
            _, status, _ = rigs.send_request(self.rig, node, HOST, "/item/1")
            with self.lock:
                counts = self.statuses.setdefault(node.name, {})
                counts[status] = counts.get(status, 0) + 1
            self.over.wait(0.01)

    def answered(self, node):
        with self.lock:
            return self.statuses.get(node.name, {}).get(200, 0)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def order(rig, name, zone):
    """Resends an order until it is acknowledged, and returns after how many seconds it was."""
    started = time.monotonic()
    while time.monotonic() - started < ACKNOWLEDGE_SECONDS:
        for machine in rig.controls:
            answer = rig.call(machine, f"evacuations.{name}&of={zone}")
            if answer and answer[0] == 200:
                seconds = time.monotonic() - started
                rig.record(f"evacuations.{name} is acknowledged after {seconds:.3f} s")
                return seconds
            if answer and answer[0] in (400, 409, 412, 413, 422):
                raise AssertionError(f"evacuations.{name} is refused with {answer[0]}")
        time.sleep(0.1)
    raise AssertionError(f"evacuations.{name} is not acknowledged in {ACKNOWLEDGE_SECONDS} s")


def await_growth(count, seconds):
    """Returns whether @p count() grows within @p seconds."""
    first, until = count(), time.monotonic() + seconds
    while time.monotonic() < until:
        if count() > first:
            return True
        time.sleep(0.01)
    return False


def expect(condition, problem):
    if not condition:
        raise AssertionError(problem)


def play(rig, upstreams, callers):
    evacuated, zone = upstreams[0], rig.zones[0]
    def count():
        return len(evacuated.runs)
    expect(await_growth(count, LONGEST_WAIT), "the upstream gets no requests before the evacuation")
    order(rig, "start", zone)
    acknowledged = time.monotonic()
    order(rig, "start", zone)
    time.sleep(max(0.0, acknowledged + EVACUATE_SECONDS - time.monotonic()))
    runs = count()
    for name, machines in (("the leader", [rig.leader()]), ("the node", [rig.nodes[0]]),
                           ("all control processes", rig.controls),
                           ("control and the node", [*rig.controls, rig.nodes[0]])):
        expect(None not in machines, "there is no leader")
        for machine in machines:
            machine.signal(signal.SIGKILL)
        time.sleep(SETTLE_SECONDS)
        expect(count() == runs, f"{count() - runs} requests after {name} restarted")
        for node in (rig.nodes[0], rig.nodes[3]):
            expect(await_growth(lambda node=node: callers.answered(node), LONGEST_WAIT),
                   f"{node.name} answers no caller after {name} restarted")
    expect(count() == runs, f"{count() - runs} requests in the evacuation")
    order(rig, "finish", zone)
    expect(await_growth(count, LONGEST_WAIT), "the upstream gets no requests after the evacuation")


def main():
    with tempfile.TemporaryDirectory(prefix="acp-evacuation-") as folder:
        rig = rigs.Rig(folder)
        rig.commands = rigs.built_commands()
        for zone in rig.zones:
            rig.add_control(zone)
        for zone in rig.zones:
            rig.add_node(zone, SERVICE)
        rig.add_node(rig.zones[0], "stock")
        rig.start()
        upstreams = [rigs.Endpoint(rig, node, slots=20, work_ms=20) for node in rig.nodes]
        problem = None
        with rig:
            document = rigs.configuration(
                1, 0, [SERVICE, "stock"],
                [rigs.route("item", HOST, "/item/", "idempotent", SERVICE, public=True)])
            if rig.put(document, 30) != 200:
                raise rigs.CannotRun("the configuration was not accepted")
            callers = Callers(rig, [rig.nodes[0], rig.nodes[3], rig.nodes[1]])
            try:
                play(rig, upstreams, callers)
            except AssertionError as error:
                problem = error
            callers.stop()
            rig.record(f"answers by status: {callers.statuses}")
        with open(os.path.join(folder, "record.txt"), encoding="utf-8") as file:
            lines = file.readlines()
        print("".join(line for line in lines if "evacuations." in line or "answers by" in line), end="")
        if problem:
            print("".join(lines[-200:]))
            print(f"evacuation: {problem}")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
