"""The datagrams in which a node reports to the registry.

Owns one UDP socket and the thread that writes on it. It must never wait for the registry, nor report the loss
of a datagram: the next report is due soon.
"""

import socket
from contextlib import suppress
from queue import SimpleQueue

from finchcart.net.sockets import start_thread
from finchcart.net.transient_errors import retry_at_start


class RegistryReporter:
    """Sends reports in the order in which they are posted, for as long as the process lives."""

    def __init__(self) -> None:
        self._reports: SimpleQueue[tuple[tuple[str, int], bytes]] = SimpleQueue()
        self._sock: socket.socket | None = None  # opened with the first report that finds a descriptor
        retry_at_start(lambda: start_thread(self._run, "reports"), "registry reports")

    def post(self, address: tuple[str, int], data: bytes) -> None:
        """Queue one report; never blocks."""
        self._reports.put((address, data))

    def _run(self) -> None:
        while True:
            address, data = self._reports.get()
            with suppress(OSError):  # the registry is down, or there is no descriptor for now
                if self._sock is None:
                    self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self._sock.sendto(data, address)
