"""Run a UDP proxy that injects faults into the links between members, as a process of its own.

One process, started by `python -m` with this module's name, serves all links of a run. It binds a proxied
loopback address for each member, which the member advertises in place of its own. A datagram that another
member sends there passes through the simulated network, which may drop, delay, duplicate, reorder or corrupt
it. The proxy then forwards it to the member's own address, from the proxied address of the sender. Orders
arrive as JSON lines on standard input, and counts are printed to standard output. The proxy must end when its
standard input is closed, and must never interpret the content of a datagram.
"""

import json
import socket
import sys
import threading
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from queue import Empty, SimpleQueue

from finchcart.fault_injection.virtual_time.simulated_network import Delivery, SimulatedNetwork
from finchcart.net.clock import boot_clock

RECEIVE_BUFFER_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 2048
READY_LINE = "up"
US_PER_S = 1e6

Address = tuple[str, int]


@dataclass(frozen=True)
class Order:
    """An order from a line of standard input."""

    fields: dict


@dataclass(frozen=True)
class EndOfInput:
    """The end of standard input, at which the proxy ends."""


Input = Delivery | Order | EndOfInput


class FaultInjectingProxy:
    """A proxy between members, each given as `[name, own address, proxied address]`."""

    def __init__(self, seed: int, members: Iterable[tuple[str, Address, Address]]) -> None:
        self.network = SimulatedNetwork(seed)
        self.inputs: SimpleQueue[Input] = SimpleQueue()
        self.names: dict[Address, str] = {}
        self.own_addresses: dict[str, Address] = {}
        self.socks: dict[str, socket.socket] = {}
        for name, own, proxied in members:
            self.names[tuple(own)] = name
            self.own_addresses[name] = tuple(own)
            self.socks[name] = self._bind(tuple(proxied))
        for name, sock in self.socks.items():
            threading.Thread(target=self._receive, args=(name, sock), daemon=True).start()
        threading.Thread(target=self._read_orders, daemon=True).start()

    @staticmethod
    def _bind(address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(address)
        return sock

    def _receive(self, target: str, sock: socket.socket) -> None:
        while True:
            with suppress(OSError):  # an earlier datagram reached no socket (ICMP port unreachable)
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
                origin = self.names.get(address)
                if origin:
                    self.inputs.put(Delivery(origin, target, data))

    def _read_orders(self) -> None:
        for line in sys.stdin:
            self.inputs.put(Order(json.loads(line)))
        self.inputs.put(EndOfInput())

    def run(self) -> None:
        """Forward datagrams until standard input is closed."""
        while True:
            received = self._next_input()
            if isinstance(received, EndOfInput):
                return
            if isinstance(received, Order):
                self._deliver(self._execute(received.fields))
            elif received is None:
                self._deliver(self.network.advance(boot_clock()))
            else:
                self._deliver(self.network.send(boot_clock(), *received))

    def _next_input(self) -> Input | None:
        """Wait for an input; return None if a delayed datagram is due first."""
        due = self.network.next_arrival()
        timeout = None if due is None else max(0.0, (due - boot_clock()) / US_PER_S)
        try:
            return self.inputs.get(timeout=timeout)
        except Empty:
            return None

    def _execute(self, order: dict) -> Iterator[Delivery]:
        if order["do"] == "counts":
            print(json.dumps(self.network.total_counts()), flush=True)
        elif order["do"] == "clear":
            yield from self.network.clear_rules(boot_clock())
        else:
            for origin, target in order["pairs"] or [(None, None)]:
                yield from self.network.set_rule(boot_clock(), origin, target, order["set"])

    def _deliver(self, deliveries: Iterable[Delivery]) -> None:
        for origin, target, data in deliveries:
            with suppress(OSError):  # the target doesn't run: the datagram is lost, as on a real network
                self.socks[origin].sendto(data, self.own_addresses[target])


def main() -> None:
    """Read the members from the first line of standard input, and forward their datagrams."""
    first = json.loads(sys.stdin.readline())
    proxy = FaultInjectingProxy(first["seed"], first["members"])
    print(READY_LINE, flush=True)
    proxy.run()


if __name__ == "__main__":
    main()
