"""The fabric on loopback: `python -m finchcart.fault_injection.relay`, one process for all links of a run.

Owns one loopback address for each member, which that member advertises. A datagram that arrives there from
another member's own address goes on, if the fabric lets it, to the member from the other's relayed address.
Orders come as JSON lines on standard input, counts go out on standard output. It must never outlive its
standard input, nor touch what a datagram says.
"""

import json
import socket
import sys
import threading
from queue import Empty, SimpleQueue

from finchcart.fault_injection.fabric import Fabric
from finchcart.net.clock import boot_clock as clock

BUFFER = 1 << 20


class Relay:
    """`members`: [name, own address, relayed address], addresses as (host, port)."""

    def __init__(self, seed, members):
        self.fabric, self.inputs = Fabric(seed), SimpleQueue()
        self.names = {tuple(own): name for name, own, _ in members}
        self.own = {name: tuple(own) for name, own, _ in members}
        self.socks = {}
        for name, _, relayed in members:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(tuple(relayed))
            self.socks[name] = sock
            threading.Thread(target=self.read, args=(name, sock), daemon=True).start()
        threading.Thread(target=self.orders, daemon=True).start()

    def read(self, to, sock):
        while True:
            try:
                data, address = sock.recvfrom(2048)
            except OSError:
                continue  # an earlier datagram met nobody
            origin = self.names.get(address)
            if origin:
                self.inputs.put(("datagram", origin, to, data))

    def orders(self):
        for line in sys.stdin:
            self.inputs.put(("order", json.loads(line)))
        self.inputs.put(("over",))

    def run(self):
        while True:
            due = self.fabric.due()
            try:
                what = self.inputs.get(timeout=None if due is None else max(0.0, (due - clock()) / 1e6))
            except Empty:
                what = ("time",)
            if what[0] == "over":
                return
            if what[0] == "order":
                for rule in self.inner(what[1]):
                    self.carry_out(self.fabric.reduce(clock(), rule))
            else:
                self.carry_out(self.fabric.reduce(clock(), what))

    def inner(self, order):
        if order["do"] == "counts":
            print(json.dumps(self.fabric.total()), flush=True)
        elif order["do"] == "clear":
            yield ("clear",)
        else:
            for a, b in order["pairs"] or [(None, None)]:
                yield "rule", a, b, order["set"]

    def carry_out(self, effects):
        for _, origin, to, data in effects:
            try:
                self.socks[origin].sendto(data, self.own[to])
            except OSError:
                pass  # nobody is there: as on a network


def main():
    told = json.loads(sys.stdin.readline())
    relay = Relay(told["seed"], told["members"])
    print("up", flush=True)
    relay.run()


if __name__ == "__main__":
    main()
