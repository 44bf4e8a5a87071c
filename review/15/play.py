"""DENIED: request heads within max_header_bytes that cross to another node."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-3"))
import case_rig  # noqa: E402  pylint: disable=wrong-import-position

MAX_HEADER_BYTES = 16_384  # of the configuration; see platform_rig.configuration
HEAD_BYTES = 16_200 if case_rig.TROUBLE else 1_000
REQUESTS = 30  # of each kind
ROUTES = [("r-sheet", "sheets.example", "/sheet/", "idempotent", "polaan"),
          ("r-order", "orders.example", "/order/", "non_idempotent", "pesanan")]


def fill(host, target, method, body):
    """Returns a header field that makes the head HEAD_BYTES long."""
    head = (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nAcaciapulley-Request-Id: {'0' * 16}\r\n"
            f"Acaciapulley-Deadline-Ms: 5000\r\n")
    head += f"Content-Length: {len(body)}\r\n" if body is not None else ""
    return {"Cookie": "c" * (HEAD_BYTES - len(head) - len("Cookie: \r\n\r\n"))}


def play(rig):
    case_rig.start(rig, ["polaan", "polaan", "pesanan", "pesanan"], case_rig.platform.Endpoint, ROUTES, 5000)
    polaan, pesanan = rig.nodes[0], rig.nodes[2]
    denied = []
    for _ in range(REQUESTS):
        for machine, host, target, method, body in (
                (pesanan, "sheets.example", "/sheet/blangkon", "GET", None),
                (polaan, "orders.example", "/order/dyelot", "POST", b"order")):
            # A new connection for each request, as after an answer that closes it.
            client = case_rig.KeptClient(rig, machine)
            answer = client.request(host, target, method, headers=fill(host, target, method, body), body=body)
            client.close()
            own = "acaciapulley-server-signature" not in answer.headers
            if answer.status is not None and 300 <= answer.status < 500 and own and \
                    answer.status not in (408, 421, 429):
                denied.append((answer.status, method, target))
    total = 2 * REQUESTS
    if len(denied) <= 5 + total / 500:
        return []
    counts = {entry: denied.count(entry) for entry in sorted(set(denied))}
    return [f"DENIED: {len(denied)} of {total} requests with a head of {HEAD_BYTES} bytes, of "
            f"{MAX_HEADER_BYTES} allowed, ended with a status of the node's own: {counts}"]


sys.exit(case_rig.run(HERE, play))
