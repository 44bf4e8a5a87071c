"""Two operators change a configuration that has grown by many routes, hundreds of times, while the platform keeps its
limit on memory."""

import concurrent.futures
import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import rig as standin  # noqa: E402  pylint: disable=wrong-import-position

SERVICES = ["orders", "stock"]
HOST = "shop.example"
BIG_CONFIGS = 4
ROUTES_MORE = 350  # of one `big_config`, the largest count of the sites
PAIRS = 500
PLAY_SECONDS = 105
ORDER_SECONDS = 20
MEMORY_MB = 256    # of a `core` machine
ENDS_OF_A_FAULT = 3
CHECK_SECONDS = 0.05


def tenants():
    return [standin.tenant(f"pulo{i}", [f"6wsjnbanfqasnmgkcuy{i}", f"8pjbvk9m68k7b2ex5wa{i}"], 150, 150)
            for i in range(8)]


def base_routes():
    return [standin.route("dyelot-order", HOST, "/order/", "non_idempotent", "orders"),
            standin.route("stock-check", HOST, "/stock/", "idempotent", "stock")]


def more_routes(turn):
    split = [{"service": "orders", "weight": 90}, {"service": "stock", "weight": 10}]
    return [standin.route(f"r-{turn}x{i:05d}", f"hulo{turn}.example", f"/leny{i}/", "idempotent", split)
            for i in range(ROUTES_MORE)]


class Platform:
    """Kills a process of the core that uses more than its machine's memory, and starts it again."""

    def __init__(self, rig):
        self.rig = rig
        self.ends = {process.name: 0 for process in rig.controls}
        self.most = {process.name: 0.0 for process in rig.controls}
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.over.wait(CHECK_SECONDS):
            for process in self.rig.controls:
                used = standin.rss_mb(process)
                self.most[process.name] = max(self.most[process.name], used)
                if used > MEMORY_MB:
                    self.rig.record(f"{process.name} uses {used:.0f} MB of private memory, {MEMORY_MB} allowed")
                    process.kill()
                    self.ends[process.name] += 1
                    time.sleep(standin.RESTART_SECONDS)
                    process.start()

    def is_fault(self):
        """Whether processes have ended three times on half of the core."""
        machines = [name for name, count in self.ends.items() if count >= ENDS_OF_A_FAULT]
        return 2 * len(machines) >= len(self.ends)

    def stop(self):
        self.over.set()
        self.thread.join()


class Operators:
    """Two operators who change the configuration at once, each on top of the same version; one of them wins."""

    def __init__(self, rig, routes):
        self.rig, self.routes = rig, routes
        self.pool = concurrent.futures.ThreadPoolExecutor(2)
        self.sent = self.acknowledged = 0

    def order(self, timeout_ms):
        routes = [self.routes[0], dict(self.routes[1], timeout_ms=timeout_ms)] + self.routes[2:]
        document = standin.configuration(self.rig.version + 1, self.rig.version, SERVICES, routes, tenants())
        answer = self.rig.order("config.replace", json.dumps(document).encode(), ORDER_SECONDS)
        return None if answer is None else answer.status

    def change(self, turn):
        statuses = list(self.pool.map(self.order, (5000 + 2 * turn, 5001 + 2 * turn)))
        self.sent += 2
        if sorted(map(str, statuses)) != ["200", "412"]:
            raise standin.CannotRun(f"two orders on the same version got {statuses}")
        self.acknowledged += 1
        self.rig.version += 1


def play(rig, trouble):
    standin.Endpoint(rig, rig.nodes[0])
    routes = base_routes()
    rig.configure(SERVICES, routes, tenants())
    rig.await_ready()
    if trouble:
        for turn in range(BIG_CONFIGS):
            routes += more_routes(turn)
            rig.configure(SERVICES, routes, tenants())
    platform = Platform(rig)
    operators = Operators(rig, routes)
    start = time.monotonic()
    try:
        for turn in range(PAIRS):
            if time.monotonic() - start > PLAY_SECONDS or platform.is_fault():
                break
            operators.change(turn)
            if turn % 25 == 24:
                rig.record(f"{operators.sent} orders, {operators.acknowledged} acknowledged; MB now "
                           f"{[round(standin.rss_mb(process)) for process in rig.controls]}; ends {platform.ends}")
    finally:
        platform.stop()
    rig.record(f"{operators.sent} orders, {operators.acknowledged} acknowledged in {time.monotonic() - start:.0f} s; "
               f"most MB {platform.most}; ends {platform.ends}")
    if not platform.is_fault():
        return []
    return [f"{name}: its process was ended {count} times for memory over the limit, without a disruption there"
            for name, count in platform.ends.items()]


standin.run_case(FOLDER, ["orders"], play)
