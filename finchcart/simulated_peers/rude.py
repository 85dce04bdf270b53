"""Misbehaving clients: sources that send rubbish.

    python -m finchcart.simulated_peers.rude --net 127.20.9 --orders FILE --out FILE

Owns the sources, each with an address of its own, and what became of the one good RPC that each sends beside
its rubbish. Orders are a file, looked at now and then: `at` (addresses of nodes), `sources` (how many),
`rate` (bad messages a second of each source to each node). It must never judge: it writes lines.
"""

import argparse
import json
import socket
import threading
import time

from finchcart.net.clock import boot_clock
from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.outside import address

RUBBISH = b"\0\0\0\x08rubbish!"


class Source:
    """One source; a thread of its own."""

    def __init__(self, number, net, sources):
        self.number, self.host, self.sources = number, f"{net}.{number + 1}", sources
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        due, turn = time.monotonic(), 0
        while True:
            orders = self.sources.orders
            if not orders.get("at") or self.number >= orders.get("sources", 1):
                due = time.monotonic() + 0.05
                time.sleep(0.05)
                continue
            due += 1 / (orders["rate"] * len(orders["at"]))
            time.sleep(max(0.0, due - time.monotonic()))
            place = orders["at"][turn % len(orders["at"])]
            turn += 1
            self.rubbish(address(place))
            if turn % 8 == 0:
                self.good(place)

    def rubbish(self, where):
        try:
            with socket.create_connection(where, timeout=1, source_address=(self.host, 0)) as sock:
                sock.sendall(RUBBISH)
                sock.recv(100)
        except OSError:
            pass

    def good(self, place):
        """An RPC like any other: whether it is taken."""
        how = "none"
        try:
            client = Client(address(place), (self.host, 0))
            client.sock.settimeout(2)
            client.submit("look-up", b"x")
            while how == "none":
                name, _, what, _, _ = client.answer()
                how = what if name == "submit" else how
            client.sock.close()
        except (OSError, EOFError, ValueError):
            pass
        self.sources.note(self.number, place, how)


class Sources:
    def __init__(self, net, orders, out, most=64):
        self.net, self.path, self.orders, self.lock = net, orders, {}, threading.Lock()
        self.out = open(out, "a", encoding="utf-8")  # for as long as the process lives
        self.made, self.most = [], most

    def note(self, number, place, how):
        with self.lock:
            line = {"t_us": boot_clock(), "source": number, "at": place, "how": how}
            self.out.write(json.dumps(line) + "\n")
            self.out.flush()

    def run(self):
        while True:
            try:
                with open(self.path, encoding="utf-8") as file:
                    self.orders = json.load(file)
            except (OSError, ValueError):
                pass  # not there yet
            while len(self.made) < min(self.most, self.orders.get("sources", 1)):
                self.made.append(Source(len(self.made), self.net, self))
            time.sleep(0.05)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--net", required=True, help="the first three parts of the sources' addresses")
    parser.add_argument("--orders", required=True)
    parser.add_argument("--out", required=True)
    told = parser.parse_args()
    Sources(told.net, told.orders, told.out).run()


if __name__ == "__main__":
    main()
