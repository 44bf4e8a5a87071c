"""The leader of the platform's control processes runs out of descriptors, for a moment or for good.

Guards against a leader that keeps its connections and its leadership, but accepts no operator. Plays
with the programs in ACP_BUILD_DIR.
"""

import os
import resource
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
import platform_rig as rigs  # noqa: E402  pylint: disable=wrong-import-position

SHORT_SECONDS = 1.0
LONGEST_WAIT = 40.0


def document(version):
    return rigs.configuration(version, version - 1, ["orders"],
                              [rigs.route(f"order-{version}", "shop.example", "/order/", "non_idempotent", "orders")])


def await_leader(rig):
    until = time.monotonic() + LONGEST_WAIT
    while time.monotonic() < until:
        leader = rig.leader()
        if leader:
            return leader
        time.sleep(0.1)
    raise rigs.CannotRun("no leader")


def take_descriptors(process):
    """Leaves the process no descriptor beyond those that are open."""
    most = max(int(name) for name in os.listdir(f"/proc/{process.pid}/fd")) + 1
    hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1]
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (most, hard))
    return hard


def main():
    with tempfile.TemporaryDirectory(prefix="acp-descriptors-") as folder:
        rig = rigs.Rig(folder)
        rig.commands = rigs.built_commands()
        for zone in rig.zones:
            rig.add_control(zone)
        rig.start()
        with rig:
            if rig.put(document(1), LONGEST_WAIT) != 200:
                raise rigs.CannotRun("the configuration was not accepted")
            leader = await_leader(rig)
            # Descriptors that are free below the highest open one are used up by waiting connections.
            holders = []
            hard = take_descriptors(leader.process)
            for _ in range(40):
                holders.append(rigs.socket.create_connection((leader.ip, rig.ports["control"])))
            time.sleep(SHORT_SECONDS)
            resource.prlimit(leader.process.pid, resource.RLIMIT_NOFILE, (hard, hard))
            for holder in holders:
                holder.close()
            if rig.put(document(2), LONGEST_WAIT) != 200 or leader.exits:
                print(f"after a short shortage: ends {leader.exits}")
                return 1
            leader = await_leader(rig)
            starts = leader.starts
            take_descriptors(leader.process)
            holders = [rigs.socket.create_connection((leader.ip, rig.ports["control"])) for _ in range(40)]
            accepted = rig.put(document(3), LONGEST_WAIT)
            for holder in holders:
                holder.close()
            rig.log.flush()
            with open(rig.log.name, encoding="utf-8") as file:
                named = "no connection could be accepted for too long" in file.read()
            if accepted != 200 or leader.exits[-1:] != [1] or leader.starts == starts or not named:
                print(f"after a lasting shortage: a change got {accepted}, ends {leader.exits}, named {named}")
                return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
