"""Helpers of the simulated peers: parse an address, start a thread, run a threaded TCP server."""

import socket
import threading
from collections.abc import Callable

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Parse "HOST:PORT" into `(host, port)`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def start_thread(target: Callable[..., None], *args: object) -> None:
    """Run `target(*args)` in a daemon thread."""
    threading.Thread(target=target, args=args, daemon=True).start()


class Server:
    """A TCP server that calls `serve(connection)` in a new thread for each accepted connection."""

    def __init__(self, address: Address) -> None:
        self.accepted = 0  # number of connections accepted since the start
        self.listen(address)

    def listen(self, address: Address) -> None:
        """Listen at one more address; earlier listeners and connections stay open."""
        self.listener = socket.create_server(address)
        start_thread(self._accept_connections, self.listener)

    def serve(self, connection: socket.socket) -> None:
        """Handle one connection until it ends; subclasses override this."""
        raise NotImplementedError

    def _accept_connections(self, listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            self.accepted += 1
            start_thread(self.serve, connection)
