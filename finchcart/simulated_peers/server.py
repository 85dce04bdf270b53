"""What the simulated servers share: parsing an address, starting a thread, accepting connections."""

import socket
import threading
from collections.abc import Callable

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Return `(host, port)` of "HOST:PORT"."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def start_thread(target: Callable[..., None], *args: object) -> None:
    """Run `target(*args)` in a daemon thread."""
    threading.Thread(target=target, args=args, daemon=True).start()


class Server:
    """A TCP server that handles each connection by `serve(connection)` in a thread of its own."""

    def __init__(self, address: Address) -> None:
        self.accepted = 0  # connections since the start
        self.listen(address)

    def listen(self, address: Address) -> None:
        """Listen at this address from now on; connections made earlier are kept."""
        self.listener = socket.create_server(address)
        start_thread(self._accept_connections, self.listener)

    def serve(self, connection: socket.socket) -> None:
        """Handle one connection until it ends; called in a thread of its own."""
        raise NotImplementedError

    def _accept_connections(self, listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            self.accepted += 1
            start_thread(self.serve, connection)
