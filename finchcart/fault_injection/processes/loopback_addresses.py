"""Loopback addresses of a run: runs side by side don't meet."""

import os
import socket
from collections.abc import Sequence
from itertools import count

FIRST_NET = 20
NETS = 200
LOCK_PORT = 7399
FIRST_OWN_NET = 221  # beyond those of runs with many processes
OWN_NETS = 30
OWN_HOSTS = 250
FIRST_OWN_PORT = 10_000
MEMBER_PORT = 7400  # of messages between members
NODE_PORT = 7001  # of clients' RPCs
WORKER_POOL_PORT = 9300
STORE_PORT = 8900
REGISTRY_PORT = 2379


_addresses_given = count()


def own_address() -> tuple[str, int]:
    """Return an address that no other process has, and none is given by chance: each is returned once.

    The host tells the process, by its id, and the port lies below those that connections are given.
    """
    number = next(_addresses_given)
    process = os.getpid()
    host = f"127.{FIRST_OWN_NET + process // OWN_HOSTS % OWN_NETS}.{process % OWN_HOSTS}.1"
    return host, FIRST_OWN_PORT + number


class LoopbackAddresses:
    """The addresses of the named processes of one run; a bound socket keeps other runs away."""

    def __init__(self, names: Sequence[str]) -> None:
        self.names = names
        self.lock: socket.socket | None = None
        self.net = self._lock_free_net()

    def _lock_free_net(self) -> str:
        """Return the first two parts of the addresses, from a net that no other run has."""
        for offset in range(NETS):
            net = f"127.{FIRST_NET + (os.getpid() + offset) % NETS}"
            self.lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                self.lock.bind((f"{net}.3.2", LOCK_PORT))
            except OSError:
                self.lock.close()
            else:
                return net
        raise OSError("no loopback addresses are free")

    def release(self) -> None:
        """Let other runs have the addresses."""
        self.lock.close()

    def own_host(self, name: str) -> str:
        """Return the process's own address."""
        return f"{self.net}.1.{self._number(name)}"

    def proxied_host(self, name: str) -> str:
        """Return the address by which others reach the process, through the proxy."""
        return f"{self.net}.2.{self._number(name)}"

    def store_host(self, name: str) -> str:
        """Return the node's own address of the one store, so that it can fail for some."""
        return f"{self.net}.4.{self._number(name)}"

    @property
    def registry(self) -> str:
        """The registry's address, "HOST:PORT"."""
        return f"{self.net}.3.1:{REGISTRY_PORT}"

    @property
    def sources_net(self) -> str:
        """The first three parts of the misbehaving clients' addresses."""
        return f"{self.net}.9"

    def member(self, name: str) -> tuple[str, int]:
        """Return where the process itself receives messages of members."""
        return self.own_host(name), MEMBER_PORT

    def advertised(self, name: str) -> str:
        """Return the address that the process advertises, "HOST:PORT"."""
        return f"{self.proxied_host(name)}:{MEMBER_PORT}"

    def node(self, name: str) -> str:
        """Return where a node takes RPCs, "HOST:PORT"."""
        return f"{self.own_host(name)}:{NODE_PORT}"

    def store(self, name: str) -> str:
        """Return the node's address of the store, "HOST:PORT"."""
        return f"{self.store_host(name)}:{STORE_PORT}"

    def _number(self, name: str) -> int:
        return self.names.index(name) + 1
