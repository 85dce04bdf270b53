"""The simulated network on loopback, as a process: `python -m` with this module's name.

One process for all links of a run. Owns one loopback address for each member, which that member advertises.
A datagram that arrives there from another member's own address goes on, if the simulated network lets it,
to the member from the other's proxied address. Orders come as JSON lines on standard input, counts go out
on standard output. It must never outlive its standard input, nor look at what a datagram says.
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
LONGEST_DATAGRAM = 2048  # bytes
UP_LINE = "up"
US_PER_S = 1e6

Address = tuple[str, int]


@dataclass(frozen=True)
class Order:
    """A line of standard input, read."""

    order: dict


@dataclass(frozen=True)
class EndOfInput:
    """Standard input was closed: the proxy ends."""


Input = Delivery | Order | EndOfInput


class FaultInjectingProxy:
    """Passes datagrams on between members: `[name, own address, proxied address]` each."""

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
            with suppress(OSError):  # an earlier datagram met nobody
                data, address = sock.recvfrom(LONGEST_DATAGRAM)
                origin = self.names.get(address)
                if origin:
                    self.inputs.put(Delivery(origin, target, data))

    def _read_orders(self) -> None:
        for line in sys.stdin:
            self.inputs.put(Order(json.loads(line)))
        self.inputs.put(EndOfInput())

    def run(self) -> None:
        """Pass datagrams on until standard input is closed."""
        while True:
            taken = self._next_input()
            if isinstance(taken, EndOfInput):
                return
            if isinstance(taken, Order):
                self._deliver(self._carry_out(taken.order))
            elif taken is None:
                self._deliver(self.network.advance(boot_clock()))
            else:
                self._deliver(self.network.send(boot_clock(), *taken))

    def _next_input(self) -> Input | None:
        """Wait for an input; None where a datagram under way is due before."""
        due = self.network.next_arrival()
        timeout = None if due is None else max(0.0, (due - boot_clock()) / US_PER_S)
        try:
            return self.inputs.get(timeout=timeout)
        except Empty:
            return None

    def _carry_out(self, order: dict) -> Iterator[Delivery]:
        if order["do"] == "counts":
            print(json.dumps(self.network.total_counts()), flush=True)
        elif order["do"] == "clear":
            yield from self.network.clear_rules(boot_clock())
        else:
            for origin, target in order["pairs"] or [(None, None)]:
                yield from self.network.set_rule(boot_clock(), origin, target, order["set"])

    def _deliver(self, deliveries: Iterable[Delivery]) -> None:
        for origin, target, data in deliveries:
            with suppress(OSError):  # nobody is there: as on a network
                self.socks[origin].sendto(data, self.own_addresses[target])


def main() -> None:
    """Read the members from the first line of standard input, and pass their datagrams on."""
    first = json.loads(sys.stdin.readline())
    proxy = FaultInjectingProxy(first["seed"], first["members"])
    print(UP_LINE, flush=True)
    proxy.run()


if __name__ == "__main__":
    main()
