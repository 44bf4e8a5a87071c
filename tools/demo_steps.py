"""Steps of tools/demo: starts a fleet of both deployments and checks its behaviour."""

import argparse
import http.client
import os
import shutil
import sys
import tempfile
import threading
import time

import fleet

ASSOCIATION = ("members", "orders", "patterns", "catalogue")
KILOMETERBOEK = ("addresses", "trips", "clients", "declarations")
WORKSHOPS = ("batik-solo", "blangkon-laweyan", "felt-surabaya", "jerami-gresik", "kopiah-kudus",
             "peci-bandung", "topi-jogja", "udeng-malang")
TRADES = ("aerts-sanitair", "maes-loodgieter")
REVOCATION_SECONDS = 5.0
DRAIN_SECONDS = 3.0

# Node, service, data centre and flags of the stub upstream. The speeds differ deliberately.
NODES = (
    ("members-1", "members", "surabaya", "--slots 15 --max-connections 200 --service-us 2000"),
    ("orders-1", "orders", "surabaya",
     "--service-us 5000 --next /members/listings/1"),
    ("patterns-1", "patterns", "surabaya", "--service-us 2000 --next /members/listings/1"),
    ("patterns-2", "patterns", "solo", "--service-us 8000 --next /members/listings/1"),
    ("catalogue-1", "catalogue", "solo", "--service-us 3000"),
    ("addresses-1", "addresses", "gent", "--slots 25 --max-connections 250 --service-us 2000"),
    ("trips-1", "trips", "gent", "--slots 110 --max-connections 800 --service-us 3000 "
                                 "--next /addresses/find/1"),
    ("trips-2", "trips", "brugge", "--slots 110 --max-connections 800 --service-us 9000 "
                                   "--exponential --next /addresses/find/1"),
    ("clients-1", "clients", "brugge", "--slots 110 --max-connections 800 --service-us 2000"),
    ("declarations-1", "declarations", "gent",
     "--slots 110 --max-connections 800 --service-us 4000 --next /clients/list/1"),
)


class Table:
    """Expected and observed result of each step."""

    def __init__(self):
        self.rows = []

    def add(self, step, expected, seen, has_passed):
        self.rows.append((step, expected, seen, bool(has_passed)))
        print(f"  {'ok' if has_passed else 'WRONG':<6} {step}", flush=True)

    def all_passed(self):
        return bool(self.rows) and all(row[3] for row in self.rows)

    def show(self):
        rows = [("step", "expected", "seen", "")]
        rows += [(step, expected, seen, "ok" if passed else "WRONG")
                 for step, expected, seen, passed in self.rows]
        widths = [max(len(row[column]) for row in rows) for column in range(4)]
        print()
        for row in rows:
            print("  ".join(text.ljust(width) for text, width in zip(row, widths)).rstrip())


def describe(result):
    """Returns the counts of all results of a load as one line."""
    total = {}
    for account in result["accounts"].values():
        for name, count in account["results"].items():
            total[name] = total.get(name, 0) + count
    return ", ".join(f"{count}x {name}" for name, count in sorted(total.items()))


class Demo:
    """A running fleet and the table of results."""

    def __init__(self, started, table):
        self.fleet = started
        self.table = table
        self.nodes = {node.name: node for node in started.nodes}
        self.key_files = {name: started.give_key(name) for name in WORKSHOPS + TRADES}

    def ports(self, service):
        return [node.ingress for node in self.fleet.nodes if node.service == service]

    def load(self, service, path, *flags, accounts=("batik-solo",)):
        return self.fleet.load(self.ports(service), f"/{service}{path}", *flags,
                               key_files=[self.key_files[name] for name in accounts])

    def check_all_good(self, step, count, service, path, *flags, accounts):
        result, code = self.load(service, path, "--requests", count, "--connections", 4, *flags,
                                 accounts=accounts)
        self.table.add(step, f"{count}x 200 ran", describe(result),
                       result["good"] == count and code == 0)

    def lookups(self):
        self.check_all_good("pattern lookups, two nodes", 80, "patterns", "/sheets/7",
                            accounts=("batik-solo", "blangkon-laweyan"))
        self.check_all_good("trip history, two nodes", 80, "trips", "/history/2025-11",
                            accounts=("aerts-sanitair",))

    def call_through_another_services_node(self):
        port = self.nodes["trips-1"].ingress
        result, _ = self.fleet.load([port], "/catalogue/prices/1", "--requests", 10,
                                    key_files=[self.key_files["kopiah-kudus"]])
        self.table.add("price through a node of another service", "10x 200 ran", describe(result),
                       result["good"] == 10)

    def check_single_execution(self, step, service, path, node, accounts):
        """Sends each request three times with its idempotency key; checks that it runs once."""
        count = 10
        result, code = self.load(service, path, "--method", "POST", "--body-bytes", 300,
                                 "--requests", count, "--resends", 2, accounts=accounts)
        stats = self.nodes[node].stats()
        runs = stats["executions"].values()
        seen = f"{result['good']} good, {len(runs)} keys run, most {max(runs, default=0)}x"
        self.table.add(step, f"{count} good, {count} keys run, most 1x", seen,
                       result["good"] == count and len(runs) == count and max(runs) == 1
                       and code == 0)

    def writes(self):
        self.check_single_execution("dye-lot orders, each sent 3 times", "orders", "/dye-lots",
                                    "orders-1", ("blangkon-laweyan",))
        self.check_single_execution("declarations, each sent 3 times", "declarations", "/monthly",
                                    "declarations-1", ("aerts-sanitair",))

    def downloads(self):
        for step, service, path, account in (
                ("bundle of 8 MB, whole", "catalogue", "/bundles/spring?bytes=8000000&chunked",
                 "batik-solo"),
                ("yearly export of 4 MB, whole", "declarations", "/exports/2025?bytes=4000000",
                 "maes-loodgieter")):
            self.check_all_good(step, 3, service, path, accounts=(account,))

    def truncated_download(self):
        self.nodes["catalogue-1"].behave("cut=1")
        result, _ = self.load("catalogue", "/bundles/spring?bytes=2000000", "--requests", 2)
        self.nodes["catalogue-1"].behave("cut=0")
        self.table.add("bundle cut by its upstream", "2x truncated", describe(result),
                       fleet.count_results(result, "truncated") == 2)

    def rate(self):
        """peci-bandung has a purchased rate of 50 per second with a burst of 50."""
        result, _ = self.load("patterns", "/sheets/7", "--rate", 200, "--duration-ms", 2000,
                              "--requests", 0, "--connections", 32, accounts=("peci-bandung",))
        refused = fleet.count_results(result, "429 not-run rate_exceeded")
        max_good = 50 + 50 * (result["seconds"] + 0.1)
        self.table.add("400 lookups in 2 s by an account with 50/s",
                       f"1 to {max_good:.0f} good, the others 429 not-run",
                       f"{result['good']} good, {refused}x 429",
                       0 < result["good"] <= max_good and result["good"] + refused == 400)

    def shed_load(self):
        """Slows the member directory to 15 slots / 100 ms = 150 calls/s, half of the load."""
        self.nodes["members-1"].behave("service_us=100000")
        orders = {}

        def order():
            orders["result"], _ = self.load("orders", "/dye-lots", "--method", "POST", "--rate", 5,
                                            "--requests", 0, "--duration-ms", 5000,
                                            "--connections", 16, accounts=("topi-jogja",))

        sender = threading.Thread(target=order)
        sender.start()
        lookups, _ = self.load("patterns", "/sheets/7", "--rate", 300, "--duration-ms", 5000,
                               "--requests", 0, "--connections", 200,
                               accounts=("batik-solo", "blangkon-laweyan"))
        sender.join()
        self.nodes["members-1"].behave("service_us=2000")
        refused = fleet.count_results(lookups, "503 not-run")
        total = sum(fleet.count_results(lookups, digit) for digit in "12345")
        self.table.add("lookups at twice the capacity of the directory",
                       "some good, the others 503 not-run",
                       f"{lookups['good']} good, {refused} refused of {total}: "
                       + describe(lookups),
                       lookups["good"] > 0 and refused > 0
                       and lookups["good"] + refused == total)
        count = sum(fleet.count_results(orders["result"], digit) for digit in "12345")
        self.table.add("dye-lot orders meanwhile", "25 of 25 good",
                       f"{orders['result']['good']} of {count} good: "
                       + describe(orders["result"]),
                       orders["result"]["good"] == 25)

    def revocation(self):
        """Checks that a revoked key is refused on a connection that stays open."""
        key_file = self.fleet.give_key("udeng-malang")
        key = self.fleet.keys["udeng-malang"]
        listed = self.fleet.acpctl("key", "list", "udeng-malang")
        key_ids = [word.strip('",:{}[]') for word in listed.replace(",", " ").replace(":", " ").split()]
        key_ids = [word for word in key_ids
                   if len(word) == 16 and all(c in "0123456789abcdef" for c in word)]
        connection = http.client.HTTPConnection(fleet.HOST, self.nodes["patterns-1"].ingress)

        def status():
            connection.request("GET", "/patterns/sheets/1", headers={"Acp-Key": key})
            response = connection.getresponse()
            response.read()
            return response.status

        deadline = time.monotonic() + REVOCATION_SECONDS
        before = status()
        while before != 200 and time.monotonic() < deadline:
            time.sleep(0.1)
            before = status()
        withdrawer = threading.Thread(target=lambda: [
            self.fleet.acpctl("key", "withdraw", "udeng-malang", key_id) for key_id in key_ids])
        start = time.monotonic()
        withdrawer.start()
        while status() == 200 and time.monotonic() - start < 2 * REVOCATION_SECONDS:
            time.sleep(0.05)
        took = time.monotonic() - start
        withdrawer.join()
        after = status()
        connection.close()
        os.remove(key_file)
        self.table.add("withdrawn key on an open connection", "200, then 401 within 5 s",
                       f"{before}, then {after} after {took:.1f} s",
                       before == 200 and after == 401 and took <= REVOCATION_SECONDS)
        self.check_all_good("another account's key meanwhile", 5, "patterns", "/sheets/7",
                            accounts=("kopiah-kudus",))

    def refusals(self):
        port = self.nodes["patterns-1"].ingress
        key = self.fleet.keys["kopiah-kudus"]
        for step, path, headers, expected in (
                ("no key", "/patterns/sheets/1", {}, (401, "missing_key")),
                ("invalid key", "/patterns/sheets/1", {"Acp-Key": "acp_0"}, (401, "invalid_key")),
                ("key in the URL", f"/patterns/sheets/1?key={key}", {"Acp-Key": key},
                 (400, "key_in_url")),
                ("account without a rate there", "/trips/history/1", {"Acp-Key": key},
                 (403, "account_not_listed"))):
            status, answer, _ = fleet.get(port, path, headers)
            seen = (status, answer.get("Acp-Reason"))
            self.table.add(step, f"{expected[0]} not-run {expected[1]}",
                           f"{status} {answer.get('Acp-Outcome')} {answer.get('Acp-Reason')}",
                           seen == expected and answer.get("Acp-Outcome") == "not-run")

    def drain(self):
        """Stops the upstream of patterns-2 while lookups run through patterns-1 and patterns-2."""
        node = self.nodes["patterns-2"]
        outcome = {}

        def send():
            outcome["result"], outcome["code"] = self.load(
                "patterns", "/sheets/7", "--rate", 60, "--requests", 0, "--duration-ms", 5000,
                "--connections", 32, accounts=("batik-solo", "blangkon-laweyan"))

        sender = threading.Thread(target=send)
        sender.start()
        time.sleep(1)
        start = time.monotonic()
        node.upstream_process.terminate()
        node.upstream_process.wait(fleet.STOP_SECONDS)
        took = time.monotonic() - start
        sender.join()
        result = outcome["result"]
        self.table.add("lookups while an upstream drains", "300x 200 ran", describe(result),
                       result["good"] == 300)
        self.table.add("the drained upstream ends", f"code 0 within {DRAIN_SECONDS:.0f} s",
                       f"code {node.upstream_process.returncode} after {took:.1f} s",
                       node.upstream_process.returncode == 0 and took <= DRAIN_SECONDS)

    def no_key_arrived(self):
        found = []
        requests = 0
        for node in self.fleet.nodes:
            with open(node.record_file, encoding="utf-8") as file:
                text = file.read()
            requests += text.count("\n")
            if "acp-key" in text.lower() or any(key in text for key in self.fleet.keys.values()):
                found.append(node.name)
        self.table.add("keys in all that upstreams received", "none in more than 500 requests",
                       f"{', '.join(found) or 'none'} in {requests} requests",
                       not found and requests > 500)

    def metrics(self):
        text = "".join(fleet.get(node.admin, "/metrics")[2] for node in self.fleet.nodes)
        has_counts = "acp_requests_total" in text
        has_key = any(key in text for key in self.fleet.keys.values())
        self.table.add("metrics of all nodes", "counts, no keys",
                       f"{'counts' if has_counts else 'no counts'}, "
                       f"{'a key' if has_key else 'no keys'}", has_counts and not has_key)

    def run(self):
        for step in (self.lookups, self.call_through_another_services_node, self.writes,
                     self.downloads, self.truncated_download, self.refusals, self.rate,
                     self.shed_load, self.revocation, self.drain, self.metrics,
                     self.no_key_arrived):
            try:
                step()
            except Exception as error:  # An exception fails only its own step.
                self.table.add(step.__name__, "no error", f"{type(error).__name__}: {error}", False)


def start(folder, build):
    started = fleet.Fleet(folder, build)
    try:
        started.start_control()
        for deployment, services in (("association", ASSOCIATION),
                                     ("kilometerboek", KILOMETERBOEK)):
            for service in services:
                started.put_document(
                    os.path.join(fleet.ROOT, "examples", deployment, service + ".json"))
        for name, service, data_centre, flags in NODES:
            started.start_node(name, service, data_centre, flags.split())
        started.wait_until_ready()
    except BaseException:
        started.stop()
        raise
    return started


def main():
    parser = argparse.ArgumentParser(description="Starts a fleet and checks its behaviour.")
    parser.add_argument("--keep", action="store_true", help="leave the fleet running")
    arguments = parser.parse_args()
    build = os.path.abspath(os.environ.get("ACP_BUILD_DIR", os.path.join(fleet.ROOT, "build")))
    folder = tempfile.mkdtemp(prefix="acp-demo-")
    table = Table()
    started = start(folder, build)
    print(f"{len(NODES)} nodes and their upstreams are running; logs in {folder}", flush=True)
    try:
        demo = Demo(started, table)
        time.sleep(2.5)  # Within two polls all nodes have received the keys.
        demo.run()
    finally:
        if not arguments.keep:
            unclean = started.stop()
            table.add("end of all processes", "all with code 0", ", ".join(unclean) or
                      "all with code 0", not unclean)
    table.show()
    if arguments.keep:
        for node in started.nodes:
            print(f"{node.name:<16} {node.data_centre:<10} ingress {fleet.HOST}:{node.ingress} "
                  f"admin {fleet.HOST}:{node.admin}")
        print(f"control (operators) {started.operator}, logs and keys in {folder}, to stop all:\n  kill "
              + " ".join(str(process.pid) for _, process in started.processes))
    elif table.all_passed():
        shutil.rmtree(folder)
    else:
        print(f"\nlogs: {folder}")
    return 0 if table.all_passed() else 1


if __name__ == "__main__":
    sys.exit(main())
