"""Soak of control processes: the programs of the deploy file under faults and racing operators, from a seed.

Judged from answers and runs
only, with the bounds of the platform's pages: an acknowledged change is in force in time and never
older, no two changes follow one version, withdrawn keys and quotas hold, and each process that failed
has ended with an error and works again. Rules for machines in touch are judged in calm only.
"""

import argparse
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import links
import platform_rig as standin

SERVICES = ("orders", "stock")
HOST = "shop.example"
CATCH_UP_SECONDS = standin.BOUNDS["catch_up_s"]
CONTACT_SECONDS = standin.BOUNDS["contact_ms"] / 1000
APPLY_SECONDS = standin.BOUNDS["config_apply_ms"] / 1000
REVOKE_SECONDS = standin.BOUNDS["revoke_ms"] / 1000
RESTART_SECONDS = standin.RESTART_SECONDS
GRACE_SECONDS = standin.BOUNDS["grace_s"]
RECOVERY_SECONDS = standin.BOUNDS["recovery_s"]
QUOTA_SECONDS = standin.BOUNDS["quota_window_s"]
QUOTA_RATE = QUOTA_BURST = 20
QUOTA_RUNS = ((QUOTA_RATE * QUOTA_SECONDS + QUOTA_BURST) * (1 + standin.BOUNDS["quota_overage"])
              + standin.BOUNDS["quota_slack"])
CLEAR_STATUSES = (200, 400, 409, 412, 413, 422)
CLEAR_SECONDS = 30
MAX_SHOWN = 12


class History:
    """The configurations sent, and when they were acknowledged."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = []     # entries in the order of their first sending
        self.newest = None  # entry that the next change follows

    def begin(self, document):
        entry = {"document": document, "version": int(document["version"], 16), "sent": time.monotonic(),
                 "acked": None, "refused": False}
        with self.lock:
            self.sent.append(entry)
        return entry

    def acked_before(self, moment):
        """Returns the newest entry acknowledged before @p moment."""
        acked = [e for e in self.sent if e["acked"] is not None and e["acked"] < moment]
        return max(acked, key=lambda e: e["version"], default=None)

    def possible(self, age):
        """Returns the documents that may be in force for a request that is sent now, where an
        acknowledged one binds from @p age seconds on."""
        with self.lock:
            oldest = self.acked_before(time.monotonic() - age)
            return [e["document"] for e in self.sent
                    if not e["refused"] and (oldest is None or e["version"] >= oldest["version"])]


def make_document(version, base, routes, keys):
    tenants = [{"name": "t1", "api_keys": ["key-one"] + keys, "priority": 1, "rate_per_s": 0, "burst": 0},
               {"name": "t2", "api_keys": ["key-two"], "priority": 1, "rate_per_s": QUOTA_RATE,
                "burst": QUOTA_BURST}]
    entries = [standin.route("base", HOST, "/base/", "non_idempotent", SERVICES[0])]
    entries += [standin.route(name, HOST, f"/{name}/", "idempotent", service)
                for name, service in sorted(routes.items())]
    return standin.configuration(version, base, SERVICES, entries, tenants)


def routes_of(document):
    return {r["name"]: r["service"] for r in document["routes"] if r["name"] != "base"}


def keys_of(document):
    return [key for key in document["tenants"][0]["api_keys"] if key != "key-one"]


class Soak:
    """One play: a deployment, its operators, callers and faults."""

    def __init__(self, seed, options, folder):
        self.options = options
        self.random = random.Random(seed)
        self.rig = standin.Rig(folder, zones=tuple(f"z-{i}" for i in range(4)))
        self.rig.commands = standin.built_commands()
        build = os.path.dirname(os.path.dirname(self.rig.commands["control"][0]))
        self.preload = os.path.join(build, "tests", "soak", "libredirected_connect.so")
        if options.links and not os.access(self.preload, os.R_OK):
            sys.exit(f"{self.preload} is missing; build it, or play with --no-links")
        self.history = History()
        self.lock = threading.Lock()
        self.over = threading.Event()
        self.violations = []
        self.counts = {"requests": 0, "served": 0, "changes": 0, "reads": 0, "calm": 0}
        self.faults = {}
        self.disturbed_until = 0.0
        self.disturbances = 0
        self.excuses = {}  # machine name: (exit codes, until when)
        self.names = 0

    # What is judged

    def violation(self, text):
        with self.lock:
            self.violations.append(f"{self.rig.record.now():.3f} {text}")
        self.rig.record(f"VIOLATION {text}")

    def count(self, name):
        with self.lock:
            self.counts[name] += 1

    def disturb(self, seconds=CONTACT_SECONDS):
        with self.lock:
            self.disturbances += 1
            self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def calm(self):
        """Returns a mark that stays equal as long as no disturbance begins, or None."""
        with self.lock:
            return self.disturbances if time.monotonic() > self.disturbed_until else None

    # Operators

    def change(self, rng):
        """Returns the next document on top of the newest one."""
        with self.history.lock:
            base = self.history.newest["document"]
            self.names += 1
            name = f"r{self.names}"
        routes, keys = routes_of(base), keys_of(base)
        action = rng.choice(("add", "add", "remove", "move", "give", "withdraw"))
        if action == "add" or not routes:
            routes[name] = rng.choice(SERVICES)
        elif action == "remove":
            routes.pop(rng.choice(sorted(routes)))
        elif action == "move":
            routes[rng.choice(sorted(routes))] = rng.choice(SERVICES)
        elif action == "withdraw" and keys:
            keys.pop(rng.randrange(len(keys)))
        else:
            keys.append(f"key-{name}")
        base_version = int(base["version"], 16)
        return make_document(base_version + rng.randrange(1, 4), base_version, routes, keys[-6:])

    def send(self, entry, rng):
        """Sends a change until it has a clear answer; returns its status, or None."""
        body = json.dumps(entry["document"]).encode()
        until = time.monotonic() + CLEAR_SECONDS
        while time.monotonic() < until and not self.over.is_set():
            answer = self.rig.call(rng.choice(self.rig.controls), "config.replace", body)
            if answer and answer[0] in CLEAR_STATUSES:
                return answer[0]
            time.sleep(0.05)
        return None

    def acknowledge(self, entry):
        with self.history.lock:
            base = entry["document"]["base_version"]
            others = [e for e in self.history.sent if e is not entry and e["acked"] is not None
                      and e["document"]["base_version"] == base
                      and e["document"] != entry["document"]]
            entry["acked"] = time.monotonic()
            newest = self.history.newest
            if newest is None or entry["version"] > newest["version"]:
                self.history.newest = entry
        if others:
            self.violation(f"CONFIG two changes on version {base} were acknowledged")
        self.count("changes")

    def resend(self, entry, rng):
        """Sends an acknowledged change once more, which must not be refused unless another followed."""
        status = self.send(entry, rng)
        with self.history.lock:
            followed = any(e["sent"] >= entry["sent"] and e is not entry for e in self.history.sent)
        if status not in (None, 200) and not followed:
            self.violation(f"CONFIG resend of acknowledged version {entry['version']} got {status}")

    def learn(self, rng):
        """Reads the newest configuration, which the next change follows."""
        answer = self.read(rng.choice(self.rig.controls))
        if answer is None:
            return
        with self.history.lock:
            known = [e for e in self.history.sent if e["document"] == answer]
            if known and known[0]["version"] > self.history.newest["version"]:
                self.history.newest = known[0]

    def operate(self, seed):
        rng = random.Random(seed)
        while not self.over.wait(rng.random() * 0.6):
            entry = self.history.begin(self.change(rng))
            status = self.send(entry, rng)
            if status == 200:
                self.acknowledge(entry)
                if rng.random() < 0.3:
                    self.resend(entry, rng)
            elif status in (409, 412):
                with self.history.lock:
                    entry["refused"] = True
                self.learn(rng)
            elif status is not None:
                self.violation(f"CONFIG a valid change got {status}")
            else:
                self.learn(rng)

    def read(self, machine):
        """Reads the configuration at @p machine and judges its age; returns it, or None."""
        begin = time.monotonic()
        answer = self.rig.call(machine, "config.describe")
        if not answer or answer[0] != 200:
            return None
        self.count("reads")
        document = json.loads(answer[1])
        version = int(document["version"], 16)
        with self.history.lock:
            bound = self.history.acked_before(begin - APPLY_SECONDS)
            sent = [e for e in self.history.sent if e["version"] == version
                    and e["document"] == document]
        if bound is not None and version < bound["version"]:
            self.violation(f"CONFIG {machine.name} read back {version}, {bound['version']} was "
                           f"acknowledged {begin - bound['acked']:.1f} s before")
        if not sent:
            self.violation(f"CONFIG {machine.name} read back {version}, which was not sent so")
        elif all(e["refused"] for e in sent):
            self.violation(f"CONFIG refused version {version} is in force at {machine.name}")
        return document

    def read_often(self, seed):
        rng = random.Random(seed)
        while not self.over.wait(0.05 + rng.random() * 0.1):
            self.read(rng.choice(self.rig.controls))

    # Callers

    def request(self, node, name, key, method="GET"):
        self.count("requests")
        status = standin.send_request(self.rig, node, HOST, f"/{name}/1", method, key,
                                      deadline_ms=3000)[1]
        if status == 200:
            self.count("served")
        return status

    def check_route(self, node, rng):
        """A route that each possible configuration has is served; one that none has is not."""
        mark = self.calm()
        documents = self.history.possible(APPLY_SECONDS)
        names = sorted({name for e in self.history.sent[-12:] for name in routes_of(e["document"])})
        if not names:
            return
        name = rng.choice(names)
        has_it = [name in routes_of(document) for document in documents]
        status = self.request(node, name, "key-one")
        if mark is None or mark != self.calm():
            return
        self.count("calm")
        if all(has_it) and status in (401, 403, 404):
            self.violation(f"CONFIG {node.name}: route {name} is in force and got {status}")
        elif not any(has_it) and status == 200:
            self.violation(f"CONFIG {node.name}: route {name} was removed and served")

    def check_key(self, node, rng):
        """A key that no configuration has any more does not run anywhere, in touch or not."""
        documents = self.history.possible(REVOKE_SECONDS)
        keys = sorted({key for e in self.history.sent[-30:] for key in keys_of(e["document"])})
        if not keys:
            return
        key = rng.choice(keys)
        is_withdrawn = not any(key in keys_of(document) for document in documents)
        if self.request(node, "base", key, "POST") == 200 and is_withdrawn:
            self.violation(f"CONFIG {node.name}: withdrawn key {key} ran")

    def call(self, node, seed):
        rng = random.Random(seed)
        while not self.over.wait(rng.random() * 0.06):
            kind = rng.random()
            if kind < 0.3:
                status = self.request(node, "base", "key-one", "POST")
                if status in (401, 403, 404):
                    self.violation(f"DENIED {node.name}: the first route got {status}")
            elif kind < 0.55:
                self.check_route(node, rng)
            elif kind < 0.7:
                self.check_key(node, rng)
            else:
                self.request(node, "base", "key-two", "POST")

    def check_quota(self, endpoints):
        runs = sorted(run[0] for endpoint in endpoints for run in endpoint.runs
                      if run[2].get("acaciapulley-tenant-id") == "t2")
        first = 0
        for last, moment in enumerate(runs):
            while runs[first] < moment - QUOTA_SECONDS:
                first += 1
            if last - first + 1 > QUOTA_RUNS:
                self.violation(f"QUOTA {last - first + 1} runs in {QUOTA_SECONDS} s")
                return

    # Faults

    def excuse(self, machine, codes, seconds):
        self.excuses[machine.name] = (codes, time.monotonic() + seconds)

    def watch_ends(self):
        """A process ends only by a fault of its machine, and then as the fault makes it."""
        seen = {machine.name: 0 for machine in self.rig.controls + self.rig.nodes}
        while not self.over.wait(0.02):
            for machine in self.rig.controls + self.rig.nodes:
                for code in machine.exits[seen[machine.name]:]:
                    seen[machine.name] += 1
                    codes, until = self.excuses.get(machine.name, ((), 0))
                    if code not in codes or time.monotonic() > until:
                        self.violation(f"Fault {machine.name} ended by itself with {code}")

    def full_disk(self, machine):
        seconds = 1 + self.random.random() * 5
        self.excuse(machine, (1, 0, -9), seconds + 2)
        machine.set_disk_full(True)
        action = self.random.choice((None, None, signal.SIGKILL, signal.SIGTERM))
        if action and machine.is_running():
            machine.signal(action)
        time.sleep(seconds)
        machine.set_disk_full(False)

    def kill(self, machine):
        for _ in range(self.random.choice((1, 1, 3))):
            self.excuse(machine, (-9,), 2)
            if machine.is_running():
                machine.signal(signal.SIGKILL)
            time.sleep(0.6 + self.random.random() * 0.4)

    def stop(self, machine):
        self.excuse(machine, (0,), GRACE_SECONDS)
        ended = len(machine.exits)
        machine.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        while len(machine.exits) == ended and time.monotonic() < until:
            time.sleep(0.02)
        if len(machine.exits) == ended:
            self.violation(f"LOST {machine.name} has not ended {GRACE_SECONDS} s after SIGTERM")

    def freeze(self, machine):
        process = machine.process
        machine.signal(signal.SIGSTOP)
        time.sleep(0.3 + self.random.random() * 5)
        process.send_signal(signal.SIGCONT)

    def lose_disk(self, machine):
        self.excuse(machine, (-9,), 2)
        ended = len(machine.exits)
        machine.signal(signal.SIGKILL)
        while len(machine.exits) == ended:
            time.sleep(0.005)
        shutil.rmtree(os.path.join(machine.folder, "data"), ignore_errors=True)

    def lose_disk_then_silence_another(self, machine):
        """The machine is back and has had its time when another one falls silent, at times for long
        enough to be replaced."""
        self.lose_disk(machine)
        time.sleep(CATCH_UP_SECONDS + RESTART_SECONDS + self.random.random() * 4)
        other = self.random.choice([m for m in self.rig.controls if m is not machine])
        self.rig.record(f"{machine.name} has lost its disk, now {other.name}")
        self.random.choice((self.freeze, self.full_disk))(other)

    # Faults of links. A host that is cut off counts as lost; nodes that are cut off do not.

    def pairs(self, machine, others):
        return [pair for other in others for pair in ((machine.ip, other.ip), (other.ip, machine.ip))]

    def other_controls(self, machine):
        return [m for m in self.rig.controls if m is not machine]

    def hold_links(self, pairs, fault, seconds):
        self.rig.links.set(pairs, fault)
        time.sleep(seconds)
        self.rig.links.set(pairs, links.NONE)

    def cut_off(self, machine):
        """From all other control hosts, in both directions or in one."""
        fault = self.random.choice((links.SILENT, links.SILENT, links.FORTH_ONLY, links.BACK_ONLY))
        others = self.other_controls(machine)
        pairs = self.random.choice((self.pairs(machine, others), [(machine.ip, m.ip) for m in others],
                                    [(m.ip, machine.ip) for m in others]))
        self.hold_links(pairs, fault, 0.3 + self.random.random() * 6)

    def delay_links(self, machine):
        seconds = self.random.choice((0.02, 0.1, 0.4))
        self.hold_links(self.pairs(machine, self.other_controls(machine)), links.Fault(seconds, seconds),
                        1 + self.random.random() * 4)

    def reset_links(self, machine):
        for _ in range(self.random.choice((1, 3, 8))):
            self.rig.links.reset(self.pairs(machine, self.rig.controls + self.rig.nodes))
            time.sleep(self.random.random() * 0.6)

    def cut_from_nodes(self, machine):
        nodes = self.random.sample(self.rig.nodes, max(1, len(self.rig.nodes) // 2))
        self.rig.record(f"{machine.name} is cut from {[node.name for node in nodes]}")
        self.hold_links(self.pairs(machine, nodes), links.SILENT, 1 + self.random.random() * 5)

    def freeze_in_series(self, machine):
        """Pauses that follow each other or overlap; service may be suspended, nothing is lost."""
        for other in self.random.sample(self.rig.controls, min(3, len(self.rig.controls))):
            process = other.process
            other.signal(signal.SIGSTOP)
            time.sleep(0.2 + self.random.random() * 1.5)
            threading.Timer(self.random.random(), process.send_signal, (signal.SIGCONT,)).start()
        time.sleep(1.1)

    def freeze_leader(self, _):
        """Over changes that are sent to it."""
        leader = self.rig.leader()
        if leader:
            self.freeze(leader)

    def lose_disk_then_cut_another(self, machine):
        self.lose_disk(machine)
        time.sleep(CATCH_UP_SECONDS + RESTART_SECONDS + self.random.random() * 4)
        other = self.random.choice(self.other_controls(machine))
        self.rig.record(f"{machine.name} has lost its disk, now {other.name} is cut off")
        self.cut_off(other)

    def kill_all(self, _):
        for machine in self.rig.controls:
            self.excuse(machine, (-9,), 2)
            if machine.is_running():
                machine.signal(signal.SIGKILL)

    def reload(self, machine):
        """The settings name other seeds."""
        if machine.is_running():
            machine.write_settings(False)
            machine.signal(signal.SIGHUP)

    def run_fault(self, fault, machine):
        self.faults[fault.__name__] = self.faults.get(fault.__name__, 0) + 1
        self.disturb(3600)
        fault(machine)
        with self.lock:
            self.disturbed_until = time.monotonic() + CONTACT_SECONDS

    def play_control_faults(self):
        """One machine is lost at a time, until catch_up_s after it is back."""
        kinds = ((self.full_disk, 5), (self.kill, 2), (self.stop, 2), (self.freeze, 3),
                 (self.lose_disk, 2), (self.lose_disk_then_silence_another, 4), (self.kill_all, 1))
        if self.options.links:
            # Seeds that failed before there were links are drawn again without them.
            kinds += ((self.freeze_in_series, 2), (self.freeze_leader, 2), (self.cut_off, 4),
                      (self.delay_links, 2), (self.reset_links, 2), (self.cut_from_nodes, 2),
                      (self.lose_disk_then_cut_another, 3))
        until = time.monotonic() + self.options.seconds
        while time.monotonic() < until:
            machine = self.random.choice(self.rig.controls)
            fault = self.random.choices([k[0] for k in kinds], [k[1] for k in kinds])[0]
            self.rig.record(f"fault {fault.__name__} {machine.name}")
            self.run_fault(fault, machine)
            time.sleep(CATCH_UP_SECONDS + self.random.random() * 3)
            self.check_works([machine])

    def check_works(self, machines):
        """Each control process answers, or sends the caller on to the leader."""
        until = time.monotonic() + CONTACT_SECONDS
        waiting = list(machines)
        while waiting and time.monotonic() < until:
            waiting = [machine for machine in waiting if not self.rig.call(machine, "config.describe")
                       or self.rig.call(machine, "config.describe")[0] != 200]
            time.sleep(0.1)
        for machine in waiting:
            self.violation(f"CONFIG {machine.name} does not work: {self.rig.call(machine, 'config.describe')}, "
                           f"running={machine.is_running()} starts={machine.starts}")

    def play_node_faults(self, seed):
        """Beside those of control; nodes don't count as lost machines."""
        rng = random.Random(seed)
        while not self.over.wait(2 + rng.random() * 4):
            machine = rng.choice(self.rig.nodes)
            kind = rng.choice(("kill", "term", "hup", "hup"))
            self.disturb()
            if kind == "hup":
                self.reload(rng.choice(self.rig.nodes + self.rig.controls[:1]))
            elif machine.is_running():
                code, number = ((-9, signal.SIGKILL) if kind == "kill" else (0, signal.SIGTERM))
                self.excuse(machine, (code,), GRACE_SECONDS)
                machine.signal(number)
                self.disturb(GRACE_SECONDS + CONTACT_SECONDS if kind == "term" else CONTACT_SECONDS)
            self.faults[f"node_{kind}"] = self.faults.get(f"node_{kind}", 0) + 1

    # The play

    def start(self):
        for index in range(self.options.controls):
            self.rig.add_control(self.rig.zones[index % 4])
        endpoints = [standin.Endpoint(self.rig, self.rig.add_node(
            self.rig.zones[index % 4], SERVICES[index % len(SERVICES)]))
                     for index in range(self.options.nodes)]
        if self.options.links:
            self.rig.use_links(self.preload)
        self.rig.start()
        first = self.history.begin(make_document(1, 0, {}, []))
        if self.rig.put(first["document"], CLEAR_SECONDS) != 200:
            raise standin.CannotRun("the first configuration was not accepted")
        self.acknowledge(first)
        time.sleep(CATCH_UP_SECONDS)
        return endpoints

    def finish(self, endpoints):
        """After the last fault everything works and what was acknowledged is there."""
        until = time.monotonic() + RECOVERY_SECONDS
        waiting = set(self.rig.nodes)
        while waiting and time.monotonic() < until:
            waiting = {node for node in waiting if self.request(node, "base", "key-one", "POST") != 200}
            time.sleep(0.1)
        for node in waiting:
            self.violation(f"RECOVER {node.name} serves nothing {RECOVERY_SECONDS} s after the last fault")
        self.check_works(self.rig.controls)
        acked = self.history.acked_before(time.monotonic())
        found = self.rig.read_back(2 * CONTACT_SECONDS)
        version = None if found is None else int(found["version"], 16)
        if version is None or version < acked["version"]:
            self.violation(f"CONFIG read back {version} at the end, {acked['version']} was acknowledged")
        self.check_quota(endpoints)
        self.check_reasons()

    def check_reasons(self):
        """Each process that failed has named its error."""
        self.rig.log.flush()
        with open(self.rig.log.name, encoding="utf-8") as file:
            lines = file.read().splitlines()
        for machine in self.rig.controls + self.rig.nodes:
            reasons = sum(f" {machine.name} " in line and "level=error" in line
                          and "_failed error=" in line for line in lines)
            failed = sum(code not in (0, -9) for code in machine.exits)
            if reasons < failed:
                self.violation(f"Fault {machine.name} failed {failed} times and named {reasons} errors")

    def play(self):
        with self.rig:
            endpoints = self.start()
            seeds = iter(lambda: self.random.randrange(1 << 30), None)
            work = [(self.watch_ends, ()), (self.play_node_faults, (next(seeds),)),
                    (self.read_often, (next(seeds),))]
            work += [(self.operate, (next(seeds),)) for _ in range(2)]
            work += [(self.call, (node, next(seeds))) for node in self.rig.nodes]
            threads = [threading.Thread(target=run, args=arguments) for run, arguments in work]
            for thread in threads:
                thread.start()
            try:
                self.play_control_faults()
            finally:
                time.sleep(GRACE_SECONDS)
                self.over.set()
                for thread in threads:
                    thread.join()
            self.finish(endpoints)


def play(options, seed):
    """Plays one seed; returns whether no rule was broken."""
    folder = tempfile.mkdtemp(prefix="acp-control-soak-")
    try:
        if options.keep_logs:
            os.makedirs(options.keep_logs, exist_ok=True)
            os.environ["KEEP_LOG"] = os.path.join(options.keep_logs, f"seed-{seed}.log")
        soak = Soak(seed, options, folder)
        soak.play()
        if options.keep_logs:
            shutil.copy(os.path.join(folder, "record.txt"),
                        os.path.join(options.keep_logs, f"seed-{seed}.record"))
    finally:
        shutil.rmtree(folder)
    print(f"seed {seed}: {options.controls} control processes, {options.nodes} nodes, {soak.counts}, "
          f"faults {dict(sorted(soak.faults.items()))}, {len(soak.violations)} violations", flush=True)
    for text in soak.violations[:MAX_SHOWN]:
        print(f"  {text}")
    return not soak.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=30, help="of control faults")
    parser.add_argument("--controls", type=int, default=4)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--no-links", dest="links", action="store_false",
                        help="no proxies between the hosts, and no faults of links")
    parser.add_argument("--keep-logs", metavar="DIR")
    options = parser.parse_args()
    return 0 if all([play(options, seed) for seed in options.seed or [1]]) else 1


if __name__ == "__main__":
    sys.exit(main())
