"""Links between the hosts of a soak: loopback proxies that delay, reset, silence or cut one direction."""

import contextlib
import select
import socket
import struct
import threading
import time

RESET = struct.pack("ii", 1, 0)
PART_BYTES = 65536
POLL_SECONDS = 0.05


class Fault:
    """What a link does to bytes, by direction: seconds of delay, or None for silence."""

    def __init__(self, forth=0.0, back=0.0):
        self.forth, self.back = forth, back


NONE = Fault()
SILENT = Fault(None, None)
FORTH_ONLY = Fault(0.0, None)
BACK_ONLY = Fault(None, 0.0)


class Links:
    """The proxies in front of one port of several hosts.

    A link goes from the host that connects to the one that is connected to. Its fault holds for open
    and for new connections.
    """

    def __init__(self, hosts, port, proxy_port):
        self.port, self.proxy_port = port, proxy_port
        self.faults = {}       # (from, to): Fault
        self.connections = {}  # (from, to): pairs of sockets
        self.lock = threading.Lock()
        self.over = threading.Event()
        self.listeners = []
        for host in hosts:
            listener = socket.create_server((host, proxy_port), backlog=256)
            self.listeners.append(listener)
            threading.Thread(target=self._accept, args=(listener, host), daemon=True).start()

    def environment(self, host):
        """Returns what a program on @p host needs beside the preloaded library."""
        return {"ACP_SOAK_ADDRESS": host, "ACP_SOAK_PORT": str(self.port),
                "ACP_SOAK_PROXY_PORT": str(self.proxy_port)}

    def set(self, pairs, fault):
        with self.lock:
            for pair in pairs:
                self.faults[pair] = fault

    def reset(self, pairs):
        """Resets the open connections of links."""
        with self.lock:
            ends = [end for pair in pairs for both in self.connections.get(pair, ()) for end in both]
        for end in ends:
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                end.shutdown(socket.SHUT_RDWR)

    def close(self):
        self.over.set()
        for listener in self.listeners:
            listener.close()

    def _accept(self, listener, host):
        while not self.over.is_set():
            try:
                outer, (source, _) = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(outer, source, host), daemon=True).start()

    def _fault(self, pair):
        with self.lock:
            return self.faults.get(pair, NONE)

    def _await_way(self, pair):
        """A new connection over a silent link hangs until the link works again."""
        while self._fault(pair).forth is None or self._fault(pair).back is None:
            if self.over.wait(POLL_SECONDS):
                return False
        return True

    def _serve(self, outer, source, host):
        pair = (source, host)
        if not self._await_way(pair):
            outer.close()
            return
        try:
            inner = socket.create_connection((host, self.port), timeout=5)
        except OSError:
            outer.close()
            return
        inner.settimeout(None)
        for end in (outer, inner):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.connections.setdefault(pair, []).append((outer, inner))
        back = threading.Thread(target=self._pump, args=(inner, outer, pair, "back"), daemon=True)
        back.start()
        self._pump(outer, inner, pair, "forth")
        back.join()
        with self.lock:
            self.connections[pair].remove((outer, inner))
        outer.close()
        inner.close()

    def _pump(self, source, sink, pair, direction):
        try:
            while not self.over.is_set():
                if not select.select([source], [], [], POLL_SECONDS)[0]:
                    continue
                delay = getattr(self._fault(pair), direction)
                if delay is None:
                    time.sleep(POLL_SECONDS)
                    continue
                part = source.recv(PART_BYTES)
                if not part:
                    break
                time.sleep(delay)
                sink.sendall(part)
        except (OSError, ValueError):
            pass
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
