"""Misbehaving clients: source addresses that send invalid messages to nodes.

    python -m finchcart.simulated_peers.misbehaving_clients --net 127.20.9 --orders FILE --out FILE

Each source has its own IP address. After every few invalid messages, it sends one valid RPC and writes the
outcome as a JSON line to the output file. The orders are a JSON file that is polled for changes, with the
keys `at` (addresses of nodes), `sources` (number of sources) and `rate` (invalid messages per second from
each source to each node). The module only records outcomes; it must never evaluate them.
"""

import argparse
import json
import socket
import threading
import time
from contextlib import closing, suppress
from pathlib import Path

from finchcart.net.clock import boot_clock
from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.server import Address, parse_address, start_thread

INVALID_MESSAGE = b"\0\0\0\x08rubbish!"
ORDERS_POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 1
ANSWER_TIMEOUT_S = 2
MESSAGES_PER_VALID_RPC = 8
MAX_SOURCES = 64


class MisbehavingClients:
    """The set of all sources, which grows to the number in the orders; owns the output file."""

    def __init__(self, address_prefix: str, orders_path: str, out_path: str) -> None:
        self.address_prefix = address_prefix  # first three octets of the sources' addresses
        self.orders_path = Path(orders_path)
        self.orders: dict = {}
        self.lock = threading.Lock()
        self.out = Path(out_path).open("a", encoding="utf-8")  # noqa: SIM115  (open until the process ends)
        self.sources: list[Source] = []

    def record_outcome(self, source: int, node: str, outcome: str) -> None:
        """Write the outcome of a source's valid RPC to the output file."""
        line = {"t_us": boot_clock(), "source": source, "at": node, "how": outcome}
        with self.lock:
            self.out.write(json.dumps(line) + "\n")
            self.out.flush()

    def run(self) -> None:
        """Poll the orders and start the sources that they ask for; never returns."""
        while True:
            with suppress(OSError, ValueError):  # the file is missing or incomplete
                self.orders = json.loads(self.orders_path.read_text(encoding="utf-8"))
            while len(self.sources) < min(MAX_SOURCES, self.orders.get("sources", 1)):
                self.sources.append(Source(len(self.sources), self))
            time.sleep(ORDERS_POLL_INTERVAL_S)


class Source:
    """One source of invalid messages, with its own address and thread."""

    def __init__(self, number: int, clients: MisbehavingClients) -> None:
        self.number = number
        self.host = f"{clients.address_prefix}.{number + 1}"
        self.clients = clients
        start_thread(self._run)

    def _run(self) -> None:
        due = time.monotonic()
        sent = 0
        while True:
            orders = self.clients.orders
            if not orders.get("at") or self.number >= orders.get("sources", 1):
                due = time.monotonic() + ORDERS_POLL_INTERVAL_S
                time.sleep(ORDERS_POLL_INTERVAL_S)
                continue
            due += 1 / (orders["rate"] * len(orders["at"]))
            time.sleep(max(0.0, due - time.monotonic()))
            node = orders["at"][sent % len(orders["at"])]
            sent += 1
            self._send_invalid_message(parse_address(node))
            if sent % MESSAGES_PER_VALID_RPC == 0:
                self._send_valid_rpc(node)

    def _send_invalid_message(self, address: Address) -> None:
        with (
            suppress(OSError),
            socket.create_connection(
                address, timeout=CONNECT_TIMEOUT_S, source_address=(self.host, 0)
            ) as sock,
        ):
            sock.sendall(INVALID_MESSAGE)
            sock.recv(100)

    def _send_valid_rpc(self, node: str) -> None:
        """Send a well-formed RPC, and record its outcome; "none" if there is no answer."""
        outcome = "none"
        with suppress(OSError, EOFError, ValueError):
            client = Client(parse_address(node), (self.host, 0))
            with closing(client.sock):
                client.sock.settimeout(ANSWER_TIMEOUT_S)
                client.submit("look-up", b"x")
                while outcome == "none":
                    answer = client.answer()
                    if answer.name == "submit":
                        outcome = answer.outcome
        self.clients.record_outcome(self.number, node, outcome)


def main() -> None:
    """Run until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--net", required=True, help="first three octets of the sources' addresses")
    parser.add_argument("--orders", required=True)
    parser.add_argument("--out", required=True)
    arguments = parser.parse_args()
    MisbehavingClients(arguments.net, arguments.orders, arguments.out).run()


if __name__ == "__main__":
    main()
