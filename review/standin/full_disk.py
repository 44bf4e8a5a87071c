"""Control machines whose disk is full for a few seconds, one machine after the other."""

import time

import rig as r

SERVICE = "orders"
ZONES = ("z-a", "z-b", "z-c", "z-d")
EPISODES = 3
FULL_SECONDS = 5.0      # as long as `kinds` says by default
CALM_SECONDS = 8.0      # more than catch_up_s (4 s) and contact_ms (3 s) together
FINAL_SECONDS = 12.0    # more than twice contact_ms, and more than ack_ms


def document(version, base):
    order = r.route("order", "shop.example", "/o/", "non_idempotent", SERVICE,
                    timeout_ms=5000 + version)
    tenant = {"name": "t1", "api_keys": ["key-one"], "priority": 1, "rate_per_s": 0, "burst": 0}
    return r.configuration(version, base, [SERVICE], [order], tenants=[tenant])


def order_status(rig):
    return r.send_request(rig, rig.nodes[0], "shop.example", "/o/1", "POST", "key-one")[1]


def play(rig, kill):
    """Fills the disk of a control machine for some seconds, three times; returns what is broken."""
    for zone in ZONES:
        rig.add_control(zone)
    r.Endpoint(rig, rig.add_node(ZONES[0], SERVICE))
    rig.start()
    if rig.put(document(1, 0), 20) != 200:
        raise r.CannotRun("the first configuration was not accepted")
    time.sleep(CALM_SECONDS)
    if order_status(rig) != 200:
        raise r.CannotRun("no service before the disruption")
    acknowledged = 1
    hit = []
    for _ in range(EPISODES):
        machine = rig.leader()
        if machine is None or machine in hit:
            machine = next(m for m in rig.controls if m not in hit)
        hit.append(machine)
        begin = time.monotonic()
        if r.TROUBLE:
            machine.set_disk_full(True)
            if kill:
                machine.signal(9)
        version = acknowledged + 1
        status = rig.put(document(version, acknowledged), FULL_SECONDS - 0.5)
        time.sleep(max(0.0, begin + FULL_SECONDS - time.monotonic()))
        if r.TROUBLE:
            machine.set_disk_full(False)
        calm = time.monotonic()
        if status != 200:
            status = rig.put(document(version, acknowledged), CALM_SECONDS)
        if status == 200:
            acknowledged = version
        time.sleep(max(0.0, calm + CALM_SECONDS - time.monotonic()))
        rig.record(f"{machine.name}: {CALM_SECONDS} s after its disk takes bytes again: "
                   f"running={machine.is_running()} starts={machine.starts} exits={machine.exits[-3:]}")
    time.sleep(FINAL_SECONDS)
    found = rig.read_back(10.0)
    rig.record(f"orders at the end: {[order_status(rig) for _ in range(3)]}")
    version = None if found is None else int(found["version"], 16)
    rig.record(f"newest acknowledged version: {acknowledged}; read back: {version}")
    if version is None:
        return (f"version {acknowledged} was acknowledged, and reading it back for 10 s, with all "
                "disks sound for 20 s, gave no configuration")
    return f"read back version {version}, older than {acknowledged}" if version < acknowledged else ""
