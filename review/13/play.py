"""Starved: a heartbeat of another writer, heard before an endpoint is confirmed, shuts the endpoint out."""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-3"))
import case_rig  # noqa: E402  pylint: disable=wrong-import-position

platform = case_rig.platform
PLAY_SECONDS = 30.0
DEADLINE_MS = 2_000
SERVICES = ["trips", "trips", "clients", "clients"]
ROUTES = [("r-trips", "trips.example", "/trips/", "idempotent", "trips"),
          ("r-clients", "clients.example", "/clients/", "idempotent", "clients")]


def send_odd_heartbeat(rig, machine):
    """Sends a heartbeat of another writer: its service is named by no configuration."""
    writer = platform.Endpoint.__new__(platform.Endpoint)
    writer.rig, writer.machine = rig, machine
    writer.id, writer.born = "i-other-writer", int(time.time() * 1000) + 10_000
    body = {"service": "svc-of-nobody", "address": f"{machine.ip}:{rig.ports['app'] + 10}",
            "zone": machine.zone, "version": "v1", "concurrency": 8, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1}
    until = time.monotonic() + 5
    while time.monotonic() < until:
        status = writer.say("instances.heartbeat", body)
        if status is not None:
            rig.record(f"{machine.name}: the odd heartbeat is answered {status}: {json.dumps(body)}")
            return
        time.sleep(0.05)
    raise platform.CannotRun("the odd heartbeat was not answered")


def play(rig):
    for zone in rig.zones:
        rig.add_control(zone)
    for index, service in enumerate(SERVICES):
        rig.add_node(rig.zones[index % len(rig.zones)], service)
    rig.start()
    if case_rig.TROUBLE:
        for machine in rig.nodes:
            if machine.service == "clients":
                send_odd_heartbeat(rig, machine)
    time.sleep(1.0)
    for machine in rig.nodes:
        platform.Endpoint(rig, machine)
    entries = [platform.route(name, host, prefix, kind, service, timeout_ms=DEADLINE_MS, public=True)
               for name, host, prefix, kind, service in ROUTES]
    if rig.put(platform.configuration(1, 0, sorted(set(SERVICES)), entries)) != 200:
        raise platform.CannotRun("the first configuration was not acknowledged")
    time.sleep(case_rig.CONTACT_SECONDS + case_rig.APPLY_SECONDS)
    asked = {name: 0 for name, *_ in ROUTES}
    served = dict(asked)
    until = time.monotonic() + PLAY_SECONDS
    while time.monotonic() < until:
        for machine in rig.nodes:
            for name, host, prefix, _, _ in ROUTES:
                asked[name] += 1
                served[name] += platform.send_request(rig, machine, host, prefix + "list",
                                                      deadline_ms=DEADLINE_MS)[1] == 200
        time.sleep(0.5)
    rig.record(f"asked {asked}, served {served}")
    share = sum(served.values()) / sum(asked.values())
    return [f"Starved: {served[name]} of {asked[name]} requests of {name} were served, {share:.0%} of all, although both "
            f"endpoints beat and say that they are ready" for name in asked if served[name] / asked[name] < share / 4]


sys.exit(case_rig.run(HERE, play))
