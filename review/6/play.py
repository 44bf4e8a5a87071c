"""The disk of a control process that does not vote is lost; later a voter freezes, and another voter's disk is lost."""

import json
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import rig as standin  # noqa: E402  pylint: disable=wrong-import-position

SERVICES = ["orders", "stock"]
HOST = "shop.example"
KEY = "6wsjnbanfqasnmgkcuyj"
CORE = 4            # three seeds, which found the cluster, and one that learns
DARK_SECONDS = 0.5
CATCH_UP_SECONDS = standin.BOUNDS["catch_up_s"] + 0.3
FREEZE_SECONDS = 5.0
RECOVERY_SECONDS = standin.BOUNDS["recovery_s"]
READ_SECONDS = standin.BOUNDS["contact_ms"] / 1000 + 2


def lose_disk(process):
    process.kill()
    shutil.rmtree(os.path.join(process.folder, "data"))
    process.rig.record(f"{process.name} has lost its disk")
    time.sleep(DARK_SECONDS)
    process.start()


def read_back(rig):
    """Asks every control process again and again; returns the versions read."""
    versions = set()
    statuses = {}
    deadline = time.monotonic() + READ_SECONDS
    while time.monotonic() < deadline:
        for process in rig.controls:
            try:
                answer = standin.rpc(process.address("control"), "config.describe", {})
            except (OSError, EOFError, ConnectionError) as error:
                answer = None
                statuses[process.name] = type(error).__name__
            if answer is not None:
                statuses[process.name] = answer.status
                if answer.status == 200:
                    versions.add(json.loads(answer.body)["version"])
        time.sleep(0.1)
    rig.record(f"read back: versions {sorted(versions)}, last answers {statuses}")
    return versions


def order_status(rig):
    fields = standin.request_fields(HOST, KEY, standin.new_id())
    try:
        return standin.call(rig.nodes[0].address("outbound"), "POST", "/order/1", fields, b"cloth", 7).status
    except (OSError, EOFError, ConnectionError) as error:
        return type(error).__name__


def play(rig, trouble):
    standin.Endpoint(rig, rig.nodes[0])
    routes = [standin.route("dyelot-order", HOST, "/order/", "non_idempotent", "orders")]
    tenants = [standin.tenant("pulo780", [KEY])]
    rig.configure(SERVICES, routes, tenants)
    rig.await_ready()
    time.sleep(2)
    leader = rig.leader()
    frozen, wiped = [process for process in rig.controls[:3] if process is not leader]
    if trouble:
        lose_disk(rig.controls[3])
        time.sleep(CATCH_UP_SECONDS)
        frozen.signal(signal.SIGSTOP)
        time.sleep(FREEZE_SECONDS)
    routes.append(standin.route("stock-check", HOST, "/stock/", "idempotent", "stock"))
    rig.configure(SERVICES, routes, tenants)
    newest = f"{rig.version:08x}"
    if trouble:
        lose_disk(wiped)
        frozen.signal(signal.SIGCONT)
    rig.record("all machines are back")
    time.sleep(RECOVERY_SECONDS if trouble else 1)
    versions = read_back(rig)
    rig.record(f"an order gets {order_status(rig)}")
    if not versions:
        return [f"no control process returns the configuration, though version {newest} was acknowledged"]
    return [] if versions == {newest} else [f"versions {sorted(versions)} are read, {newest} was acknowledged"]


standin.run_case(FOLDER, ["orders"], play, controls=CORE)
