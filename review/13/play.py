"""CONFIG: an endpoint falls silent in the middle of its answers; they outlast the route's timeout."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-3"))
import case_rig  # noqa: E402  pylint: disable=wrong-import-position

CLIENTS = 24
PART = b"0123456789abcdef" * 1024
PARTS = 20
PART_SECONDS = 0.15  # 3 s for an answer
DARK_AFTER = 1.5     # from the first download
DARK_SECONDS = 5.0
TIMEOUT_MS = 4_000   # of the route
DEADLINE_MS = 8_000  # of the client
LATE_SECONDS = 0.5
ROUTES = [("r-export", "exports.example", "/export/", "download", "exports")]


class Exporter(case_rig.PiecewiseEndpoint):
    """Sends an export part by part; while it is dark it sends and reads nothing."""

    def __init__(self, rig, machine):
        self.dark = threading.Event()
        self.ended = threading.Event()
        super().__init__(rig, machine)

    def length(self, target):
        return len(PART) * (1 if target.endswith("ready") else PARTS)

    def pieces(self, request_id, target):
        for _ in range(1 if target.endswith("ready") else PARTS):
            yield PART_SECONDS, PART

    def work(self, seconds):
        time.sleep(seconds)
        if self.dark.is_set():
            self.ended.wait()
            raise OSError("the endpoint has crashed")

    def respond(self, handler, method, target, headers):
        if self.dark.is_set():
            self.ended.wait()
            return False
        return super().respond(handler, method, target, headers)

    def crash(self):
        """Goes dark: its connections stay open and silent until it is started again."""
        self.rig.record(f"{self.machine.name}: {self.id} crashes; nothing comes from it any more")
        self.beating = False
        self.dark.set()

    def end_crash(self):
        self.rig.record(f"{self.machine.name}: {self.id} has ended; its connections are reset")
        self.ended.set()
        self.close()


def make_endpoint(rig, machine):
    return (Exporter if machine.service == "exports" else case_rig.platform.Endpoint)(rig, machine)


def download(rig, machine, answers):
    client = case_rig.KeptClient(rig, machine)
    answers.append(client.request("exports.example", "/export/year", deadline_ms=DEADLINE_MS))
    client.close()


def play(rig):
    endpoints = case_rig.start(rig, ["trips", "trips"] + 6 * ["exports"], make_endpoint, ROUTES, TIMEOUT_MS)
    exporters = [endpoint for endpoint in endpoints if endpoint.machine.service == "exports"]
    answers = []
    threads = [threading.Thread(target=download, args=(rig, rig.nodes[index % 2], answers))
               for index in range(4 * CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(DARK_AFTER)
    if case_rig.TROUBLE:
        busiest = max(exporters, key=lambda endpoint: endpoint.running)
        busiest.crash()
        time.sleep(DARK_SECONDS)
        busiest.end_crash()
    for thread in threads:
        thread.join()
    if len(answers) != len(threads):
        raise case_rig.platform.CannotRun("not all downloads ended")
    lasted = [answer for answer in answers if answer.ended_at - answer.sent_at > TIMEOUT_MS / 1000]
    late = [answer for answer in lasted
            if answer.ended_at - answer.sent_at > TIMEOUT_MS / 1000 + LATE_SECONDS]
    rig.record(f"{len(lasted)} of {len(answers)} requests outlasted timeout_ms, {len(late)} of them by more "
               f"than {LATE_SECONDS} s")
    if len(late) < 8 or len(late) <= len(lasted) / 4:
        return []
    longest = max(answer.ended_at - answer.sent_at for answer in late)
    return [f"CONFIG: {len(late)} of {len(lasted)} requests that lasted longer than timeout_ms "
            f"({TIMEOUT_MS / 1000:.0f} s) had no final answer {LATE_SECONDS} s after it; the longest "
            f"lasted {longest:.1f} s"]


sys.exit(case_rig.run(HERE, play))
