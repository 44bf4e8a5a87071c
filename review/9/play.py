"""A node starts again while its endpoint, which has deregistered, still serves; an older heartbeat arrives late."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import rig as standin  # noqa: E402  pylint: disable=wrong-import-position

SERVICES = ["orders", "stock"]
HOST = "shop.example"
KEY = "6wsjnbanfqasnmgkcuyj"
WORK_SECONDS = 0.25
LATE_SECONDS = 2.0    # of the heartbeat
SERVES_SECONDS = 10.0  # of the endpoint after the acknowledgement
DRAIN_SECONDS = standin.BOUNDS["drain_ms"] / 1000
CONTACT_SECONDS = standin.BOUNDS["contact_ms"] / 1000
SLACK_SECONDS = 0.2


def work(_run):
    time.sleep(WORK_SECONDS)
    return 200, b"placed"


class Clients:
    """Send orders from one machine that nothing disturbs."""

    def __init__(self, rig, node, count):
        self.rig, self.node = rig, node
        self.over = threading.Event()
        self.statuses = {}
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while not self.over.is_set():
            request_id = standin.new_id()
            fields = standin.request_fields(HOST, KEY, request_id)
            try:
                answer = standin.call(self.node.address("outbound"), "POST", "/order/1", fields, b"cloth", 7)
                status = answer.status
            except (OSError, EOFError, ConnectionError) as error:
                status = type(error).__name__
            self.statuses[request_id] = status
            if status != 200:
                self.rig.record(f"order {request_id} ends with {status}")

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def play(rig, trouble):
    endpoints = [standin.Endpoint(rig, node, work=work) for node in rig.nodes]
    rig.configure(SERVICES, [standin.route("dyelot-order", HOST, "/order/", "non_idempotent", "orders")],
                  [standin.tenant("pulo780", [KEY])])
    rig.await_ready()
    clients = Clients(rig, rig.nodes[4], 6)  # in the zone of the first node
    time.sleep(2)
    leaving, node = endpoints[0], rig.nodes[0]
    late_heartbeat = leaving.heartbeat()
    rig.record(f"{leaving.id} sends heartbeat {late_heartbeat['sequence']} (ready), which is held up on its way")
    leaving.sends_heartbeats = False
    leaving.state = "leaving"
    if leaving.deregister() != 200:
        raise standin.CannotRun("the deregistration is not acknowledged")
    acked = in_touch = time.monotonic()
    if trouble:
        node.kill()
        time.sleep(standin.RESTART_SECONDS)
        node.start()
        in_touch = time.monotonic() + CONTACT_SECONDS
    time.sleep(max(0.0, acked + LATE_SECONDS - time.monotonic()))
    status = leaving.send_heartbeat(late_heartbeat)
    rig.record(f"heartbeat {late_heartbeat['sequence']} of {leaving.id} arrives, gets {status}")
    time.sleep(max(0.0, acked + SERVES_SECONDS - time.monotonic()))
    with leaving.lock:
        cut = [run["id"] for run in leaving.runs if "status" not in run]
    rig.record(f"{leaving.id} exits")
    leaving.stop()
    time.sleep(1)
    clients.stop()
    rig.record(f"{len(clients.statuses)} orders; orders in progress at the exit: "
               f"{[(request_id, clients.statuses.get(request_id)) for request_id in cut]}")
    binds = max(acked + DRAIN_SECONDS + SLACK_SECONDS, in_touch)
    late = [run for run in leaving.runs if run["at"] > binds]
    return [f"{leaving.id} got {run['id']} {run['at'] - acked:.2f} s after its deregistration was acknowledged"
            for run in late]


standin.run_case(FOLDER, ["orders"] * 3 + ["stock"] * 4, play)
