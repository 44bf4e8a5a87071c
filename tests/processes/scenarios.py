"""Failure scenarios with real processes: each starts a fleet, injects a failure, checks a property.

Usage: scenarios.py NAME. All waits have a time-out, but no check depends on how long they take.
P5, P6 and so on are the properties in docs/requirements.md.
"""

import concurrent.futures
import contextlib
import json
import os
import secrets
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools"))
import fleet  # noqa: E402  pylint: disable=wrong-import-position

ORDERS = os.path.join(ROOT, "examples", "association", "orders.json")
ACCOUNT = "batik-solo"


def require(condition, message):
    if not condition:
        raise AssertionError(message)


def idempotency_key():
    return f"{int(time.time())}-{secrets.token_hex(12)}"


class Scenario:
    """A fleet of three control replicas and two nodes of the service `orders`."""

    def __init__(self, folder, upstream_flags="--service-us 2000"):
        build = os.environ.get("ACP_BUILD_DIR", os.path.join(ROOT, "build"))
        self.fleet = fleet.Fleet(folder, os.path.abspath(build))
        self.upstream_flags = upstream_flags.split()

    def start(self):
        self.fleet.start_control()
        self.fleet.put_document(ORDERS)
        self.key_file = self.fleet.give_key(ACCOUNT)
        for index, data_centre in ((1, "solo"), (2, "surabaya")):
            self.fleet.start_node(f"orders-{index}", "orders", data_centre, self.upstream_flags)
        self.fleet.wait_until_ready()
        self.first, self.second = self.fleet.nodes

    def order(self, node, key=None, timeout=30, account=ACCOUNT):
        """Sends a dye-lot order; returns status, outcome and reason, or None without a response."""
        headers = {"Acp-Key": self.fleet.keys[account],
                   "Idempotency-Key": key or idempotency_key()}
        try:
            status, answer, _ = fleet.get(node.ingress, "/orders/dye-lots", headers, "POST", timeout)
        except (OSError, fleet.http.client.HTTPException):
            return None
        return status, answer.get("Acp-Outcome"), answer.get("Acp-Reason")

    def order_until_answered(self, node, key):
        """Resends until the response is the upstream's or reports an unknown outcome."""
        seen = []

        def is_final():
            seen.append(self.order(node, key))
            return seen[-1] and (seen[-1][1] == "unknown" or seen[-1][0] == 200)

        self.fleet.wait_for(f"a final response to order {key}", is_final)
        return seen[-1]

    def executions(self):
        """Returns how often each idempotency key reached an upstream, in total over both."""
        total = {}
        for node in self.fleet.nodes:
            with open(node.record_file, encoding="utf-8") as file:
                heads = [json.loads(line) for line in file if line.endswith("\n")]
            for head in heads:
                key = dict(head["headers"]).get("Idempotency-Key")
                if key:
                    total[key] = total.get(key, 0) + 1
        return total

    def leader(self):
        """Returns the index of the replica that leads."""
        for index, address in enumerate(self.fleet.operators):
            try:
                status = json.loads(self.fleet.acpctl("--json", "--control", address, "control",
                                                      "status"))
            except fleet.FleetError:
                continue
            if status["leads"]:
                return index
        raise fleet.FleetError("no replica leads")

    def wait_for_leader(self):
        self.fleet.wait_for("control has a leader", lambda: self.leader() is not None)
        return self.leader()

    def document(self):
        return json.loads(self.fleet.acpctl("--json", "config", "get", "orders"))

    def process(self, name):
        return next(process for other, process in self.fleet.processes if other == name)

    def kill(self, name):
        """Ends a process with SIGKILL and removes it from the processes that the fleet watches."""
        process = self.process(name)
        self.fleet.processes.remove((name, process))
        process.kill()
        process.wait()

    def freeze(self, name):
        os.kill(self.process(name).pid, signal.SIGSTOP)

    def resume(self, name):
        os.kill(self.process(name).pid, signal.SIGCONT)

    def kill_leader(self):
        index = self.wait_for_leader()
        self.kill(f"control-{index + 1}")
        return index

    def require_once(self, keys):
        """P9: checks that no order reached an upstream twice; returns the keys that ran once."""
        ran = self.executions()
        twice = {key: count for key, count in ran.items() if count > 1}
        require(not twice, f"ran more than once: {twice}")
        return [key for key in keys if ran.get(key) == 1]

    def require_never_accepted(self, account, rounds):
        """Checks that no node accepts the account's key, with @p rounds requests per node."""
        for _ in range(rounds):
            for node in self.fleet.nodes:
                answer = self.order(node, account=account)
                require(answer is None or answer[1] == "not-run", f"key accepted: {answer}")


def leader_killed_during_orders(run):
    """P9 when the leader is killed while it handles claims; P12 after its restart."""
    run.start()
    keys = [idempotency_key() for _ in range(40)]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        answers = [pool.submit(run.order_until_answered, run.fleet.nodes[index % 2], key)
                   for index, key in enumerate(keys)]
        run.fleet.wait_for("a few orders are answered", lambda: sum(a.done() for a in answers) > 8)
        killed = run.kill_leader()
        finals = [answer.result() for answer in answers]
    ran = run.require_once(keys)
    good = sum(final[0] == 200 for final in finals)
    require(len(ran) >= good, f"{good} orders answered with 200, but only {len(ran)} ran")
    run.fleet.start_replica(killed)
    run.wait_for_leader()
    require(run.document()["version"] == 1, "the version of the document changed")


def node_killed_during_order(run):
    """P8 and P9: after a node is killed, a resend through the other does not run it again."""
    run.start()
    run.first.behave("service_us=3000000")
    key = idempotency_key()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(run.order, run.first, key)
        run.fleet.wait_for("the order runs", lambda: run.executions().get(key) == 1)
        run.kill("orders-1")
        require(sent.result() is None, f"response from a killed node: {sent.result()}")
    final = run.order_until_answered(run.second, key)
    require(final[1] == "unknown", f"expected an unknown outcome, got {final}")
    require(run.require_once([key]) == [key], "the order did not run")


def upstream_killed_during_order(run):
    """P8 and P9: after an upstream is killed, the outcome is unknown, and a resend does not run."""
    run.start()
    run.first.behave("service_us=3000000")
    key = idempotency_key()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(run.order, run.first, key)
        run.fleet.wait_for("the order runs", lambda: run.executions().get(key) == 1)
        run.kill("orders-1-upstream")
        require(sent.result()[1] == "unknown", f"expected an unknown outcome, got {sent.result()}")
    final = run.order_until_answered(run.second, key)
    require(final[1] == "unknown", f"expected an unknown outcome for the resend, got {final}")
    require(run.require_once([key]) == [key], "the order did not run")


def resends_through_two_nodes(run):
    """P9: an order that is sent to two nodes at the same time runs once."""
    run.start()
    keys = [idempotency_key() for _ in range(30)]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        for key in keys:
            answers = list(pool.map(lambda node, k=key: run.order(node, k), run.fleet.nodes))
            require(any(answer and answer[0] == 200 for answer in answers), f"not run: {answers}")
    require(run.require_once(keys) == keys, "an order did not run")


def frozen_node_and_withdrawn_key(run):
    """P5: a node that was frozen while a key was revoked refuses it from the moment it resumes."""
    run.start()
    run.fleet.give_key("felt-surabaya")
    run.fleet.wait_for("the key works", lambda: all(
        run.order(node, account="felt-surabaya")[0] == 200 for node in run.fleet.nodes))
    run.freeze("orders-1")
    run.fleet.withdraw_key("felt-surabaya")
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        waiting = [pool.submit(run.order, run.first, account="felt-surabaya") for _ in range(8)]
        time.sleep(0.5)  # Lets the requests reach the socket of the frozen node.
        run.resume("orders-1")
        for answer in waiting:
            require(answer.result()[1] == "not-run", f"revoked key accepted: {answer.result()}")
    run.require_never_accepted("felt-surabaya", 50)
    run.fleet.wait_for("the node serves another account", lambda: run.order(run.first)[0] == 200)


def frozen_leader(run):
    """P12: a leader that resumes after a freeze does not bring back an older configuration."""
    run.start()
    leader = run.wait_for_leader()
    run.freeze(f"control-{leader + 1}")
    run.fleet.wait_for("the others elect a leader", lambda: run.leader() != leader)
    with open(ORDERS, encoding="utf-8") as file:
        document = json.load(file)
    document["accounts"] = [entry for entry in document["accounts"] if entry["name"] != ACCOUNT]
    path = os.path.join(run.fleet.folder, "orders-2.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document, file)
    run.fleet.wait_for("the new document is stored", lambda: run.fleet.acpctl(
        "config", "put", path, "--if-version", str(run.document()["version"])))
    run.fleet.wait_for("the new document is in force at both nodes", lambda: all(
        run.order(node)[2] == "account_not_listed" for node in run.fleet.nodes))
    run.resume(f"control-{leader + 1}")
    run.require_never_accepted(ACCOUNT, 100)


def lost_disk_then_second_host(run):
    """Acknowledged changes survive a lost disk, its replica's replacement and another lost host."""
    run.start()
    lost = run.kill_leader()
    status = json.loads(run.fleet.acpctl("--json", "control", "status"))
    lost_id = next(replica["id"] for replica in status["replicas"]
                   if replica["rpc_address"] == run.fleet.rpc[lost])
    run.fleet.start_replica(lost, os.path.join(run.fleet.folder, "new-disk"))

    def learner():
        # Only the leader lists learners.
        leader = run.fleet.operators[run.wait_for_leader()]
        now = json.loads(run.fleet.acpctl("--json", "--control", leader, "control", "status"))
        return [replica["id"] for replica in now["replicas"]
                if replica["rpc_address"] == run.fleet.rpc[lost] and not replica["voter"]]

    run.fleet.wait_for("the new replica is a learner", learner)
    new_id = learner()[0]
    run.fleet.wait_for("the new replica has caught up and replaces the lost one",
                       lambda: run.fleet.acpctl("control", "replace", lost_id, new_id))
    run.fleet.put_document(os.path.join(ROOT, "examples", "association", "patterns.json"))
    run.kill_leader()
    run.wait_for_leader()
    require(run.document()["version"] == 1, "the document of orders was lost")
    require(run.fleet.acpctl("config", "get", "patterns"), "the document of patterns was lost")
    run.fleet.wait_for("orders run", lambda: run.order(run.second)[0] == 200)


def full_disks_in_turn(run):
    """P12: a replica whose disk is full ends with an error, also at each start, and works again once
    there is room."""
    run.fleet.pipes_logs = True
    run.start()

    def put_next():
        run.fleet.acpctl("config", "put", ORDERS, "--if-version", str(run.document()["version"]))

    def has_ended(process):
        with contextlib.suppress(fleet.FleetError):
            put_next()
        return process.poll() is not None

    def last_line(name):
        with open(os.path.join(run.fleet.folder, name + ".log"), encoding="utf-8") as file:
            return (file.read().splitlines() or [""])[-1]

    def require_failed(name, process):
        require(process.wait(fleet.START_SECONDS) == 1, f"{name} ended with {process.returncode}")
        run.fleet.wait_for(f"the last line of {name} names the error",
                           lambda: "event=control_failed error=\"[804 storage_failed]" in last_line(name))

    for index in range(3):
        name = f"control-{index + 1}"
        process = run.process(name)
        fleet.set_disk_full(process.pid)
        run.fleet.processes.remove((name, process))
        run.fleet.wait_for(f"{name} ends", lambda ended=process: has_ended(ended))
        require_failed(name, process)
        for _ in range(4):
            process = run.fleet.start_replica(index, disk_full=True)
            run.fleet.processes.remove((name, process))
            require_failed(name, process)
        run.fleet.start_replica(index)
        run.wait_for_leader()
    version = run.document()["version"]
    put_next()
    require(run.document()["version"] == version + 1, "the last change was lost")
    run.fleet.wait_for("both nodes serve orders", lambda: all(
        run.order(node)[0] == 200 for node in run.fleet.nodes))


def restart_after_hundreds_of_changes(run):
    """P5 and P12: restarting killed replicas after hundreds of changes restores no older state."""
    run.start()
    run.fleet.give_key("felt-surabaya")
    run.fleet.withdraw_key("felt-surabaya")
    for version in range(1, 200):
        run.fleet.acpctl("config", "put", ORDERS, "--if-version", str(version))
    for index in range(3):
        run.kill(f"control-{index + 1}")
    for index in range(3):
        run.fleet.start_replica(index)
    run.wait_for_leader()
    require(run.document()["version"] == 200, f"version is {run.document()['version']}, not 200")
    run.fleet.wait_for("both nodes serve orders", lambda: all(
        run.order(node)[0] == 200 for node in run.fleet.nodes))
    run.require_never_accepted("felt-surabaya", 20)


def racing_operators(run):
    """P12: exactly one of several concurrent edits succeeds, and its resend changes nothing."""
    run.start()
    for version in range(1, 11):
        request_ids = [secrets.token_hex(8) for _ in range(6)]

        def put(request_id, base=version):
            try:
                run.fleet.acpctl("config", "put", ORDERS, "--if-version", str(base),
                                 "--request-id", request_id)
                return True
            except fleet.FleetError:
                return False

        with concurrent.futures.ThreadPoolExecutor(len(request_ids)) as pool:
            won = list(pool.map(put, request_ids))
        require(won.count(True) == 1, f"{won.count(True)} operators wrote version {version + 1}")
        require(put(request_ids[won.index(True)]), "the resend of the successful edit was refused")
        require(run.document()["version"] == version + 1, "the version was not incremented by one")


def rate_through_failover(run):
    """P6: an account stays within its rate and burst while a leader is killed and one is frozen."""
    run.start()
    rate, burst = 80, 80
    start = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        load = pool.submit(run.fleet.load, [node.ingress for node in run.fleet.nodes],
                           "/orders/dye-lots/7", "--rate", 400, "--requests", 0,
                           "--duration-ms", 9000, "--connections", 64,
                           key_files=[run.key_file])
        time.sleep(2)
        run.kill_leader()
        run.wait_for_leader()
        time.sleep(2)
        frozen = f"control-{run.wait_for_leader() + 1}"
        run.freeze(frozen)
        time.sleep(2)
        run.resume(frozen)
        result, _ = load.result()
    max_admitted = burst + rate * (time.monotonic() - start)
    admitted = sum(node.stats()["arrived"] for node in run.fleet.nodes)
    require(0 < result["good"], "no request was admitted")
    require(admitted <= max_admitted, f"{admitted} requests admitted, limit {max_admitted:.0f}")


def graceful_stop_of_node(run):
    """P11: a graceful stop completes all requests in progress."""
    run.start()
    run.first.behave("service_us=1500000")
    run.second.behave("service_us=1500000")
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        orders = [pool.submit(run.order, run.first) for _ in range(20)]
        run.fleet.wait_for("all orders run", lambda: len(run.executions()) == 20)
        process = run.process("orders-1")
        process.terminate()
        answers = [order.result() for order in orders]
    cut = [answer for answer in answers if answer is None or answer[0] != 200]
    require(not cut, f"interrupted by the graceful stop: {cut}")
    process.wait(fleet.STOP_SECONDS)
    require(process.returncode == 0, f"the node exited with code {process.returncode}")


def silent_upstream(run):
    """An upstream that stops responding is ejected; lookups continue through the other one."""
    run.start()
    run.freeze("orders-1-upstream")
    key = {"Acp-Key": run.fleet.keys[ACCOUNT]}

    def ten_lookups():
        return all(fleet.get(run.first.ingress, "/orders/dye-lots/7", key, timeout=30)[0] == 200
                   for _ in range(10))

    run.fleet.wait_for("ten lookups in a row are answered", ten_lookups)
    run.resume("orders-1-upstream")


def main():
    name = sys.argv[1]
    folder = tempfile.mkdtemp(prefix="acp-scenario-")
    run = Scenario(folder)
    try:
        globals()[name](run)
    except Exception as error:
        print(f"{name} FAILED: {type(error).__name__}: {error}; logs: {folder}")
        raise
    finally:
        for name_, process in run.fleet.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        run.fleet.stop()
    shutil.rmtree(folder)
    print(f"{name} passed")


if __name__ == "__main__":
    main()
