"""Case 3; see claim.txt."""

import collections
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import rig as r  # noqa: E402

TENANTS = 8
CALM_SECONDS = 6.0
TRAFFIC_SECONDS = 8.0    # before and after the change
MEMBER_WORK_MS, MEMBER_DEADLINE_MS = 640, 8000    # as member-lookup on the sheet of the site
ORDER_WORK_MS, ORDER_DEADLINE_MS = 210, 5000      # as dyelot-order
MEAN_PAUSE_SECONDS = 0.4
CLIENTS_EACH = 2          # of each tenant and class at each node


def document(version, base, with_tenants):
    routes = [
        r.route("member-lookup", "shop.example", "/members/", "idempotent", "members",
                timeout_ms=MEMBER_DEADLINE_MS),
        r.route("order", "shop.example", "/orders/", "non_idempotent", "orders",
                timeout_ms=ORDER_DEADLINE_MS),
    ]
    tenants = [{"name": f"tenant-{n}", "api_keys": [f"key-of-{n}"], "priority": 1,
                "rate_per_s": 0, "burst": 0} for n in range(TENANTS)]
    return r.configuration(version, base, ["members", "orders"], routes,
                           tenants=tenants if with_tenants else None)


class Client(threading.Thread):
    """Sends requests of one tenant and class, one after the other."""

    def __init__(self, rig, node, tenant, target, method, deadline_ms, stop, sent):
        super().__init__(daemon=True)
        self.arguments = (rig, node, "shop.example", target, method, f"key-of-{tenant}", deadline_ms)
        self.tenant, self.stop, self.sent = tenant, stop, sent

    def run(self):
        while not self.stop.is_set():
            time.sleep(random.uniform(0, 2 * MEAN_PAUSE_SECONDS))
            request_id, _, _ = r.send_request(*self.arguments)
            self.sent[request_id] = f"tenant-{self.tenant}"


def play(rig):
    for zone in rig.zones:
        rig.add_control(zone)
    endpoints = [
        r.Endpoint(rig, rig.add_node("z-a", "members"), work_ms=MEMBER_WORK_MS),
        r.Endpoint(rig, rig.add_node("z-b", "orders"), work_ms=ORDER_WORK_MS),
    ]
    rig.start()
    if rig.put(document(1, 0, True), 20) != 200:
        raise r.CannotRun("the first configuration was not accepted")
    time.sleep(CALM_SECONDS)
    stop, sent = threading.Event(), {}
    clients = []
    for node in rig.nodes:
        for tenant in list(range(TENANTS)) * CLIENTS_EACH:
            clients.append(Client(rig, node, tenant, "/members/1", "GET", MEMBER_DEADLINE_MS, stop, sent))
            clients.append(Client(rig, node, tenant, "/orders/1", "POST", ORDER_DEADLINE_MS, stop, sent))
    for client in clients:
        client.start()
    time.sleep(TRAFFIC_SECONDS)
    if rig.put(document(2, 1, not r.TROUBLE), 10) != 200:
        raise r.CannotRun("the second configuration was not accepted")
    time.sleep(TRAFFIC_SECONDS)
    stop.set()
    for client in clients:
        client.join()
    seen = collections.Counter()
    for endpoint in endpoints:
        for _, request_id, headers, _, target, _ in endpoint.runs:
            tenant = headers.get("acaciapulley-tenant-id")
            # Version 1 names the tenant of the key, version 2 none; no version names another one.
            kind = "none" if tenant is None else "own" if tenant == sent[request_id] else "foreign"
            seen[kind] += 1
            if kind == "foreign":
                rig.record(f"{request_id} {target}: the client's key is {sent[request_id]}'s, the "
                           f"endpoint got Acaciapulley-Tenant-Id: {tenant}")
    rig.record(f"runs by tenant id: {dict(seen)}")
    if seen["own"] < 20:
        raise r.CannotRun("too few requests ran")
    return f"{seen['foreign']} of {sum(seen.values())} runs bore a foreign tenant" if seen["foreign"] else ""


sys.exit(r.main(HERE, play))
