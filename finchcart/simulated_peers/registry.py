"""A simulated registry: it keeps what each node reported last."""

import socket
from collections.abc import Callable

from finchcart.simulated_peers.server import Address, start_thread

LONGEST_REPORT = 200  # bytes


class SimulatedRegistry:
    """Keeps the last reported registration of each node, and passes on each change as a line of text."""

    def __init__(self, address: Address, on_change: Callable[[str], None] = print) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address)
        self.registrations: dict[str, str] = {}  # name of the node -> "on" or "off"
        self.on_change = on_change
        start_thread(self._receive_reports)

    def _receive_reports(self) -> None:
        while True:
            _, name, registration = self.sock.recv(LONGEST_REPORT).decode().split()
            if self.registrations.get(name) != registration:
                self.on_change(f"registry: {name} is {registration}")
            self.registrations[name] = registration
