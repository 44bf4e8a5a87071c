"""Checks that two builds understand each other's stored data, settings and messages.

Usage: compatibility.py OLD_BUILD NEW_BUILD

Exits with 0 only if every check passes. All processes run on loopback and are stopped at the end.
"""

import http.client
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time

import fleet

EXAMPLES = os.path.join(fleet.ROOT, "examples", "association")
PROGRAMS = ("acp-control", "acp-node", "acp-upstream", "acp-load", "acpctl")
ACCOUNT = "batik-solo"
LIMITED = "peci-bandung"
ORDER_PATH = "/orders/dye-lots"
LOOKUP_PATH = "/patterns/sheets/1"
PROPAGATION_SECONDS = 2.5  # two polls of each node
RECORD_SECONDS = 125  # a minute of counts is complete after 60 s and stored at most 60 s later

failures = []


def check(text, is_right, seen=""):
    print(f"  {'ok' if is_right else 'WRONG':<6} {text}{'' if is_right else ': ' + str(seen)}", flush=True)
    if not is_right:
        failures.append(text)


class MixedFleet(fleet.Fleet):
    """A fleet whose processes come from two builds."""

    def __init__(self, folder, builds):
        os.makedirs(folder, exist_ok=True)
        super().__init__(folder, builds["old"])
        self.builds = builds

    def use(self, build):
        self.bin = os.path.join(self.builds[build], "src")

    def start_mixed_control(self, replica_builds):
        """Starts one replica for each entry of @p replica_builds."""
        original = self.start_replica

        def start(index, folder=None):
            self.use(replica_builds[index])
            return original(index, folder)

        self.start_replica = start
        self.start_control(len(replica_builds))

    def restart_control(self):
        for index in range(3):
            self.start_replica(index)
        self.wait_for("control has a leader", lambda: self.acpctl("members"))

    def put(self, service, version=0):
        path = os.path.join(EXAMPLES, service + ".json")
        self.acpctl("config", "put", path, "--if-version", str(version))

    def leading_control(self):
        """Returns the name and the process of the control replica that leads, or None."""
        for name, process in self.processes:
            if name.startswith("control-"):
                address = self.operators[int(name[len("control-"):]) - 1]
                status = self.acpctl("--json", "--control", address, "control", "status")
                if json.loads(status)["leads"]:
                    return name, process
        return None

    def kill_control_leader(self):
        """Kills the leader and starts that replica again under a new leader."""
        self.wait_for("control has a leader", self.leading_control)
        name, process = self.leading_control()
        self.processes.remove((name, process))
        process.kill()
        process.wait()
        self.wait_for("the others elect a leader", self.leading_control)
        self.start_replica(int(name[len("control-"):]) - 1)

    def stop_nodes(self):
        """Stops nodes and upstreams; returns the names of unclean ends."""
        rows = [row for row in self.processes if not row[0].startswith("control-")]
        for row in rows:
            row[1].terminate()
        for row in rows:
            row[1].wait(fleet.STOP_SECONDS)
            self.processes.remove(row)
        self.nodes.clear()
        return [row[0] for row in rows if row[1].returncode != 0]


def order(target, key, node, idempotency_key):
    status, answer, _ = fleet.get(node.ingress, target, {
        "Acp-Key": key, "Idempotency-Key": idempotency_key}, "POST", timeout=30)
    return status, answer.get("Acp-Outcome"), answer.get("Acp-Reason")


def stored_state(run, accounts):
    """Returns what acpctl shows of the stored state, without what changes from poll to poll."""
    state = {}
    for service in ("orders", "patterns", "members"):
        state["config get " + service] = json.loads(run.acpctl("--json", "config", "get", service))
        state["history " + service] = run.acpctl("config", "history", service)
    for account in accounts:
        state["keys " + account] = json.loads(run.acpctl("--json", "key", "list", account))
    state["audit"] = json.loads(run.acpctl("--json", "audit", "--from", "1"))
    state["report"] = json.loads(run.acpctl("--json", "report"))
    return state


def order_keys(count):
    return [f"{int(time.time())}-compatibility{index:04}{time.monotonic_ns():020}"
            for index in range(count)]


def add_order_node(run, name, build):
    run.use(build)
    node = run.start_node(name, "orders", "solo", ["--service-us", "2000"])
    run.wait_until_ready()
    return node


def stored_data(folder, builds):
    """The new build reads what the old one stored, and the old one what the new one added."""
    run = MixedFleet(folder, builds)
    try:
        run.use("old")
        run.start_control()
        for service in ("members", "orders", "patterns"):
            run.put(service)
        for account in (ACCOUNT, LIMITED, "felt-surabaya"):
            run.give_key(account)
        run.withdraw_key("felt-surabaya")
        node = add_order_node(run, "orders-old", "old")
        key, ids = run.keys[ACCOUNT], order_keys(10)
        run.wait_for("orders run", lambda: order(ORDER_PATH, key, node, ids[0])[0] == 200)
        first = [order(ORDER_PATH, key, node, one) for one in ids]
        check("old build runs orders", all(answer[0] == 200 for answer in first), first)
        run.wait_for("traffic is in the report", lambda: "batik-solo" in run.acpctl("report"))
        accounts = (ACCOUNT, LIMITED, "felt-surabaya")
        for writer, reader, service in (("old", "new", "members"), ("new", "old", "patterns")):
            check(f"processes of the {writer} build stop cleanly", not run.stop_nodes())
            time.sleep(RECORD_SECONDS)
            before = stored_state(run, accounts)
            check(f"control of the {writer} build stops cleanly", not run.stop())
            run.processes.clear()
            run.use(reader)
            shutil.copytree(folder, folder + "-" + writer)
            run.restart_control()
            after = stored_state(run, accounts)
            for part, value in before.items():
                check(f"{reader} build reads '{part}' of the {writer} build", after[part] == value,
                      f"{value} became {after[part]}")
            node = add_order_node(run, "orders-" + reader, reader)
            run.wait_for("the node serves", lambda: order(ORDER_PATH, key, node, order_keys(1)[0])[0] == 200)
            again = [order(ORDER_PATH, key, node, one) for one in ids]
            check(f"orders claimed under the {writer} build run no second time under the {reader} one",
                  again == first and not set(ids) & set(node.stats()["executions"]), again)
            withdrawn = order(ORDER_PATH, run.keys["felt-surabaya"], node, order_keys(1)[0])
            check("a withdrawn key stays withdrawn", withdrawn[0] == 401, withdrawn)
            run.put(service, 1)
            ids = order_keys(10)
            first = [order(ORDER_PATH, key, node, one) for one in ids]
            check(f"{reader} build runs orders", all(answer[0] == 200 for answer in first), first)
    finally:
        run.stop()


def count(run, nodes, path, *flags, accounts=(ACCOUNT,)):
    files = [os.path.join(run.folder, account + ".key") for account in accounts]
    result, _ = run.load([node.ingress for node in nodes], path, *flags, key_files=files)
    return result


def totals(nodes):
    """Returns how many requests arrived and were executed at the upstreams of orders."""
    stats = [node.stats() for name, node in nodes.items() if name.startswith("orders")]
    return sum(one["arrived"] for one in stats), sum(one["executed"] for one in stats)


def mixed(folder, builds, replica_builds):
    """Replicas and nodes of both builds serve one fleet."""
    label = "+".join(replica_builds)
    run = MixedFleet(folder, builds)
    try:
        run.start_mixed_control(replica_builds)
        for service in ("members", "orders", "patterns"):
            run.put(service)
        for account in (ACCOUNT, LIMITED):
            run.give_key(account)
        nodes = {}
        for name, service, build in (("orders-old", "orders", "old"), ("orders-new", "orders", "new"),
                                     ("patterns-new", "patterns", "new"),
                                     ("members-old", "members", "old")):
            run.use(build)
            nodes[name] = run.start_node(name, service, "solo", ["--service-us", "2000"])
        run.wait_until_ready()
        time.sleep(PROPAGATION_SECONDS)
        for entry in ("patterns-new", "members-old"):
            result = count(run, [nodes[entry]], ORDER_PATH, "--method", "POST", "--body-bytes", 300,
                           "--requests", 60, "--connections", 4, "--resends", 1)
            check(f"{label}: orders through {entry} over a hop, each sent twice", result["good"] == 60,
                  result)
        runs = [node.stats()["executions"] for name, node in nodes.items() if name.startswith("orders")]
        check(f"{label}: both order nodes served, no order ran twice",
              all(runs) and all(number == 1 for one in runs for number in one.values()), runs)
        result = count(run, [nodes["members-old"]], LOOKUP_PATH, "--requests", 60, "--connections", 4)
        check(f"{label}: lookups from an old to a new node", result["good"] == 60, result)
        result = count(run, [nodes["patterns-new"]], "/members/listings/1", "--requests", 60,
                       "--connections", 4)
        check(f"{label}: lookups from a new to an old node", result["good"] == 60, result)
        for entry in ("members-old", "patterns-new"):
            # Both upstreams refuse 30% of the attempts as not run, so that the nodes retry them.
            for name in ("orders-old", "orders-new"):
                nodes[name].behave("refuse=0.3")
            before = totals(nodes)
            result = count(run, [nodes[entry]], ORDER_PATH + "/7", "--requests", 60, "--connections", 2)
            arrived, executed = (after - was for after, was in zip(totals(nodes), before))
            check(f"{label}: refused attempts through {entry} are retried or passed on as not run",
                  arrived > 60 and result["good"] == executed
                  and executed + fleet.count_results(result, "503 not-run") == 60,
                  (arrived, executed, result))
        for name in ("orders-old", "orders-new"):
            nodes[name].behave("refuse=0")
        result = count(run, [nodes["orders-old"], nodes["orders-new"]], ORDER_PATH + "/7", "--rate", 200,
                       "--duration-ms", 2000, "--requests", 0, "--connections", 32, accounts=(LIMITED,))
        refused = fleet.count_results(result, "429 not-run rate_exceeded")
        most = 20 + 20 * (result["seconds"] + 0.1)
        check(f"{label}: leases keep an account within its rate over nodes of both builds",
              0 < result["good"] <= most and result["good"] + refused == 400, result)
        for change in range(2):
            run.kill_control_leader()
            key = run.keys[ACCOUNT]
            for name, node in nodes.items():
                run.wait_for(f"{name} serves under the new leader",
                             lambda entry=node: order(ORDER_PATH, key, entry, order_keys(1)[0])[0] == 200)
            check(f"{label}: all nodes serve after leader change {change + 1}", True)
        run.put("orders", 1)
        unclean = run.stop()
        check(f"{label}: all processes end cleanly", not unclean, unclean)
    finally:
        run.stop()


def settings(builds):
    """Both builds have the same flags and environment variables, as --help prints them."""
    for program in PROGRAMS:
        texts = [subprocess.run([os.path.join(builds[build], "src", program), "--help"],
                                capture_output=True, text=True, check=False).stdout
                 for build in ("old", "new")]
        flags = [re.findall(r"--[a-z][a-z-]*(?: [A-Za-z]\S*| arg)?(?: \(=.*?\))?|ACP_[A-Z_]+", text)
                 for text in texts]
        check(f"{program} has the same flags and variables", flags[0] and flags[0] == flags[1], flags)


PLATFORM_CONFIGURATION = {
    "version": "00000001", "base_version": 0,
    "routes": [{"name": "catalogue", "host": "shop.example", "path_prefix": "/catalogue/",
                "type": "idempotent", "service": "catalogue", "public": True, "priority": 3,
                "timeout_ms": 1000, "target_latency_ms": 300, "max_attempts": 2}],
    "services": [{"name": "catalogue", "health_check_path": "/health", "max_connections": 64}],
    "tenants": [{"name": ACCOUNT, "api_keys": ["compatibility-key"], "rate_per_s": 50, "burst": 50}],
    "limits": {"max_body_bytes": 65536, "header_timeout_ms": 2000, "idle_timeout_ms": 20000}}


def fleet_document(folder, builds):
    """A configuration of the platform that the old build stored is described by the new one."""
    ip = fleet.HOST.rsplit(".", 2)[0] + ".254.254"
    settings_file = os.path.join(folder, "settings.json")
    address = f"{ip}:8540"
    os.makedirs(folder)
    with open(settings_file, "w", encoding="utf-8") as file:
        json.dump({"node": "core-1", "zone": "solo", "ip": ip, "bootstrap": True,
                   "data_dir": os.path.join(folder, "data"), "listen_addrs": {"control": address},
                   "internal_ports": [7000, 7015], "seed_nodes": [address],
                   "fault_tolerance": {"machines": 0, "zones": 0}, "bounds": {"grace_s": 6}}, file)

    def call(name, body=""):
        connection = http.client.HTTPConnection(ip, 8540, timeout=10)
        connection.request("POST", "/rpc?call=" + name, body)
        response = connection.getresponse()
        seen = response.status, response.read().decode()
        connection.close()
        return seen

    def with_control(build, work):
        log = open(os.path.join(folder, build + ".log"), "a", encoding="utf-8")
        process = subprocess.Popen(
            [os.path.join(builds[build], "platform", "acp-platform-control")], stdout=log, stderr=log,
            env={**os.environ, "ACACIAPULLEY_SETTINGS": settings_file})
        deadline = time.monotonic() + fleet.START_SECONDS
        try:
            while True:
                try:
                    seen = work()
                    if seen[0] != 503 or time.monotonic() > deadline:
                        return seen
                except OSError:
                    if time.monotonic() > deadline:
                        raise
                time.sleep(0.1)
        finally:
            process.terminate()
            check(f"platform control of the {build} build ends cleanly",
                  process.wait(fleet.STOP_SECONDS) == 0, process.returncode)
            log.close()

    text = json.dumps(PLATFORM_CONFIGURATION)
    stored = with_control("old", lambda: call("config.replace", text))
    check("the old build accepts a platform configuration", stored[0] == 200, stored)
    described = with_control("new", lambda: call("config.describe"))
    check("the new build describes it", described == (200, text), described)
    newer = json.dumps({**PLATFORM_CONFIGURATION, "version": "00000002", "base_version": "00000001"})
    stored = with_control("new", lambda: call("config.replace", newer))
    check("the new build replaces it", stored[0] == 200, stored)
    described = with_control("old", lambda: call("config.describe"))
    check("the old build describes the replacement", described == (200, newer), described)


def main():
    builds = {"old": os.path.abspath(sys.argv[1]), "new": os.path.abspath(sys.argv[2])}
    folder = tempfile.mkdtemp(prefix="acp-compatibility-")
    settings(builds)
    stored_data(os.path.join(folder, "data"), builds)
    fleet_document(os.path.join(folder, "platform"), builds)
    mixed(os.path.join(folder, "one-old"), builds, ("old", "new", "new"))
    mixed(os.path.join(folder, "two-old"), builds, ("old", "old", "new"))
    print("all checks passed" if not failures else f"{len(failures)} checks failed; logs in {folder}")
    if not failures:
        shutil.rmtree(folder)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
