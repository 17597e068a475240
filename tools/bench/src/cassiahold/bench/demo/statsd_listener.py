"""A fake statsd server that sums the counters it receives over UDP."""

import collections
import re
import socket
import threading
import typing

_COUNTER_PATTERN: typing.Final = re.compile(r'^([\w.-]+):(\d+)\|c')
_MAX_DATAGRAM_BYTES: typing.Final = 65_536


class StatsdListener:
    """Receives datagrams in a thread until it is closed."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._lock = threading.Lock()
        self._count_by_name: collections.Counter[str] = collections.Counter()
        threading.Thread(target=self._receive_counters, daemon=True).start()

    def bytes_by_role(self) -> dict[str, int]:
        """Return the sum of the ``*_bytes`` counters of each role."""
        total: collections.Counter[str] = collections.Counter()
        with self._lock:
            for name, count in self._count_by_name.items():
                _, role, metric = name.split('.', 2)
                if metric.endswith('_bytes'):
                    total[role] += count
        return dict(total)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _receive_counters(self) -> None:
        while True:
            try:
                payload = self._socket.recv(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            with self._lock:
                for line in payload.decode().splitlines():
                    match = _COUNTER_PATTERN.match(line)
                    if match:
                        self._count_by_name[match.group(1)] += int(
                            match.group(2)
                        )
