"""Assigns loopback addresses to the processes of a test run, so that concurrent runs do not collide."""

import os
import socket
from collections.abc import Sequence
from itertools import count

FIRST_NET = 20
NET_COUNT = 200
LOCK_PORT = 7399
FIRST_UNIQUE_NET = 221  # above the nets that `LoopbackAddresses` uses
UNIQUE_NET_COUNT = 30
HOSTS_PER_NET = 250
FIRST_UNIQUE_PORT = 10_000
MEMBER_PORT = 7400  # for datagrams between members
NODE_PORT = 7001  # for RPCs from dispatchers
WORKER_POOL_PORT = 9300
STORE_PORT = 8900
REGISTRY_PORT = 2379


_addresses_given = count()


def unique_address() -> tuple[str, int]:
    """Return an address that this process has not returned before and other processes do not use.

    The host is derived from the process id. The ports begin below the range of ephemeral ports, so that an
    outgoing connection does not occupy one.
    """
    number = next(_addresses_given)
    process = os.getpid()
    host = f"127.{FIRST_UNIQUE_NET + process // HOSTS_PER_NET % UNIQUE_NET_COUNT}.{process % HOSTS_PER_NET}.1"
    return host, FIRST_UNIQUE_PORT + number


class LoopbackAddresses:
    """The addresses of the named processes of one run.

    A bound socket reserves the 127.X net, so that no concurrent run uses it.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self.names = names
        self.lock: socket.socket | None = None
        self.net = self._lock_free_net()

    def _lock_free_net(self) -> str:
        """Reserve a net that no other run uses and return its first two octets, "127.X"."""
        for offset in range(NET_COUNT):
            net = f"127.{FIRST_NET + (os.getpid() + offset) % NET_COUNT}"
            self.lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                self.lock.bind((f"{net}.3.2", LOCK_PORT))
            except OSError:
                self.lock.close()
            else:
                return net
        raise OSError("all loopback nets for test runs are in use")

    def release(self) -> None:
        """Release the net for other runs."""
        self.lock.close()

    def own_host(self, name: str) -> str:
        """Return the host on which the process listens."""
        return f"{self.net}.1.{self._number(name)}"

    def proxied_host(self, name: str) -> str:
        """Return the host of the proxy through which other members reach the process."""
        return f"{self.net}.2.{self._number(name)}"

    def store_host(self, name: str) -> str:
        """Return the store's host as seen by one node.

        All nodes share one store. Each node has its own host for the store, so that a fault can affect some
        nodes only.
        """
        return f"{self.net}.4.{self._number(name)}"

    @property
    def registry(self) -> str:
        """The address of the registry, "HOST:PORT"."""
        return f"{self.net}.3.1:{REGISTRY_PORT}"

    @property
    def sources_net(self) -> str:
        """The first three octets of the hosts of misbehaving clients."""
        return f"{self.net}.9"

    def member(self, name: str) -> tuple[str, int]:
        """Return the (host, port) on which the process receives datagrams from members."""
        return self.own_host(name), MEMBER_PORT

    def advertised(self, name: str) -> str:
        """Return the address that the process advertises to members: the proxy's "HOST:PORT"."""
        return f"{self.proxied_host(name)}:{MEMBER_PORT}"

    def node(self, name: str) -> str:
        """Return the address on which a node accepts RPCs, "HOST:PORT"."""
        return f"{self.own_host(name)}:{NODE_PORT}"

    def store(self, name: str) -> str:
        """Return the address of the store as seen by one node, "HOST:PORT"."""
        return f"{self.store_host(name)}:{STORE_PORT}"

    def _number(self, name: str) -> int:
        return self.names.index(name) + 1
