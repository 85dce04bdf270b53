"""A simulated registry, which stores the last registration that each node reported."""

import socket
from collections.abc import Callable

from finchcart.simulated_peers.server import Address, start_thread

MAX_REPORT_BYTES = 200


class SimulatedRegistry:
    """Stores the last registration of each node; calls `on_change` with a line of text when it changes."""

    def __init__(self, address: Address, on_change: Callable[[str], None] = print) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address)
        self.registrations: dict[str, str] = {}  # node name -> "on" or "off"
        self.on_change = on_change
        start_thread(self._receive_reports)

    def _receive_reports(self) -> None:
        while True:
            _, name, registration = self.sock.recv(MAX_REPORT_BYTES).decode().split()
            if self.registrations.get(name) != registration:
                self.on_change(f"registry: {name} is {registration}")
            self.registrations[name] = registration
