"""The only tenant is taken out of the configuration while its clients are connected."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import rig as standin  # noqa: E402  pylint: disable=wrong-import-position

SERVICES = ["orders", "stock"]
HOST = "shop.example"
KEY = "6wsjnbanfqasnmgkcuyj"
NEVER_HELD = "0000000000notakey000"
REVOKE_SECONDS = standin.BOUNDS["revoke_ms"] / 1000
SLACK_SECONDS = 0.5
ROUNDS = 5


def send(rig, connection, key, path):
    """Sends an order on a kept connection; returns when it was sent and its id."""
    request_id = standin.new_id()
    sent = time.monotonic()
    connection.send("POST", path, standin.request_fields(HOST, key, request_id), b"2 bolts of cloth")
    answer = connection.receive(8)
    rig.record(f"client sends {request_id} POST {path} with key {key}, gets {answer.status}")
    return sent, request_id, answer


def play(rig, trouble):
    endpoints = [standin.Endpoint(rig, node) for node in rig.nodes]
    routes = [standin.route("dyelot-order", HOST, "/order/", "non_idempotent", "orders"),
              standin.route("stock-check", HOST, "/stock/", "idempotent", "stock")]
    rig.configure(SERVICES, routes, [standin.tenant("pulo780", [KEY], 150, 150)])
    rig.await_ready()
    time.sleep(1)
    connections = [standin.Connection(node.address("outbound"), 5) for node in rig.nodes]
    for connection in connections:
        if send(rig, connection, KEY, "/order/1")[2].status != 200:
            raise standin.CannotRun("an order with the tenant's key is not served")
    acked = time.monotonic()
    if trouble:
        acked = rig.configure(SERVICES, routes, [])
    binds = acked + REVOKE_SECONDS + SLACK_SECONDS
    late = {}
    while time.monotonic() < binds:
        for connection in connections:  # they stay connected and busy
            send(rig, connection, KEY, "/order/2")
        time.sleep(0.5)
    for _ in range(ROUNDS):
        for connection in connections:
            if trouble:
                sent, request_id, _ = send(rig, connection, KEY, "/order/3")
                late[request_id] = f"the withdrawn key, sent {sent - acked:.1f} s after the acknowledgement"
            _, request_id, _ = send(rig, connection, NEVER_HELD, "/order/4")
            late[request_id] = "a key that no configuration held"
        time.sleep(0.2)
    breaks = []
    for endpoint in endpoints:
        for request_id, what in late.items():
            for run in endpoint.runs_of(request_id):
                tenant = run["fields"].get("acaciapulley-tenant-id")
                breaks.append(f"{endpoint.id} of {endpoint.node.service} ran {request_id} with {what}; "
                              f"Acaciapulley-Tenant-Id: {tenant}")
    return breaks


standin.run_case(FOLDER, ["orders", "orders", "stock"], play)
