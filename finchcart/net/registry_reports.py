"""Sends a node's reports to the registry as UDP datagrams.

A `RegistryReporter` owns its UDP socket and the thread that writes to it. It must never wait for the
registry, or report the loss of a datagram: the next report follows soon.
"""

import socket
from contextlib import suppress
from queue import SimpleQueue

from finchcart.net.sockets import start_thread
from finchcart.net.transient_errors import retry_at_start


class RegistryReporter:
    """Sends reports in the order in which they are posted, until the process ends."""

    def __init__(self) -> None:
        self._reports: SimpleQueue[tuple[tuple[str, int], bytes]] = SimpleQueue()
        self._sock: socket.socket | None = None  # opened for the first report, or later if that fails
        retry_at_start(lambda: start_thread(self._run, "reports"), "registry reports")

    def post(self, address: tuple[str, int], data: bytes) -> None:
        """Queue a report; never blocks."""
        self._reports.put((address, data))

    def _run(self) -> None:
        while True:
            address, data = self._reports.get()
            with suppress(OSError):  # the registry is down, or no descriptor is free
                if self._sock is None:
                    self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self._sock.sendto(data, address)
