"""Dispatchers with a steady load on many nodes.

    python -m finchcart.simulated_peers.load_generator ADDRESS ... --rate R --seconds S

Owns the connections and what became of each RPC. Open loop: RPCs go out at seeded random times, whatever
comes back. It must never judge: it writes figures.
"""

import argparse
import json
import os
import random
import secrets
import threading
import time

from finchcart.simulated_peers.client import Client
from finchcart.simulated_peers.outside import address

AGAIN = 0.2  # seconds between tries to reach a node


class Caller:
    """A connection to one node: opened again when it ends."""

    def __init__(self, where, load):
        self.where, self.load = where, load
        self.lock, self.client, self.sent = threading.Lock(), None, {}
        threading.Thread(target=self.keep, daemon=True).start()

    def keep(self):
        while True:
            try:
                client = Client(self.where)
                client.sock.settimeout(None)
                self.client = client
                while True:
                    name, seq, what, _, _ = client.answer()
                    if name == "submit":
                        with self.lock:
                            began, method, key = self.sent.pop((client, seq), (None, "", None))
                        if began is not None:
                            self.load.done(what, time.monotonic() - began, method, key)
                    elif name == "closing":
                        self.client = None  # nothing new goes here; answers still come
            except (OSError, EOFError, ValueError):
                pass
            finally:
                self.client = None
                with self.lock:
                    lost, self.sent = list(self.sent.values()), {}
                for _, _, key in lost:
                    self.load.done("no answer", 0.0, key=key)
            time.sleep(AGAIN)

    def send(self, method, body, token, **more):
        client = self.client
        if client is None:
            return self.load.done("no connection", 0.0, key=token)
        with self.lock:
            self.sent[client, client.seq + 1] = time.monotonic(), method, token
            try:
                client.submit(method, body, token, **more)
            except OSError:
                pass  # the reader counts it
        return None


class Load:
    """`focus`: a file that names the nodes to go to by number, looked at now and then."""

    def __init__(self, places, links, seed, focus=None):
        self.random, self.lock = random.Random(seed), threading.Lock()
        self.how, self.took, self.links = {}, [], links
        self.focus, self.looked, self.only = focus, 0.0, None
        self.callers = [Caller(place, self) for place in places for _ in range(links)]

    def done(self, how, took, method="", key=None):
        """`key`: the token of the RPC that ended so."""
        with self.lock:
            self.how[how] = self.how.get(how, 0) + 1
            if method:
                self.how[f"{method} {how}"] = self.how.get(f"{method} {how}", 0) + 1
            if how == "ok":
                self.took.append(took)

    def in_focus(self):
        """The callers that RPCs go to."""
        now = time.monotonic()
        if self.focus and now - self.looked > 0.05:
            self.looked, self.only = now, None
            if os.path.exists(self.focus):
                with open(self.focus, encoding="utf-8") as file:
                    self.only = json.load(file)
        if not self.only:
            return self.callers
        return [self.callers[n * self.links + k] for n in self.only for k in range(self.links)]

    def run(self, rate, seconds):
        due = time.monotonic()
        end = due + seconds
        while due < end:
            time.sleep(max(0.0, due - time.monotonic()))
            tokened = self.random.random() < 0.3
            there = self.in_focus()
            up = [caller for caller in there if caller.client is not None] or there
            self.submit(up, tokened)
            due += self.random.expovariate(rate)

    def submit(self, up, tokened):
        """One RPC, to one of the callers that are up."""
        self.random.choice(up).send(
            "book" if tokened else "look-up", b"x" * 100, secrets.token_hex(16) if tokened else None
        )

    def figures(self):
        with self.lock:
            took = sorted(self.took) or [0.0]
            return {
                **self.how,
                "median_ms": 1000 * took[len(took) // 2],
                "p99_ms": 1000 * took[len(took) * 99 // 100],
            }


class Keyed(Load):
    """All RPCs have keys, which their bodies tell; what was not ok is sent again to another node, `tries`
    times at most, and some go to two nodes at once."""

    def __init__(self, *args, tries=3):
        super().__init__(*args)
        self.tries, self.again, self.answered = tries, [], {}
        self.keys = {}  # token -> [tries, the last node]

    def submit(self, up, tokened):
        now = time.monotonic()
        with self.lock:
            due, self.again = (
                [each for each in self.again if each[0] <= now],
                [each for each in self.again if each[0] > now],
            )
        for _, key in due:
            self.send(up, key, r="1")
        key = secrets.token_hex(16)
        self.keys[key] = [0, None]
        self.send(up, key)
        if self.random.random() < 0.05:
            self.send(up, key)

    def send(self, up, key, **more):
        known = self.keys[key]
        others = [caller for caller in up if caller is not known[1]] or up
        known[0], known[1] = known[0] + 1, self.random.choice(others)
        known[1].send("book", key.encode(), key, **more)

    def done(self, how, took, method="", key=None):
        super().done(how, took, method)
        with self.lock:
            self.answered.setdefault(key, []).append(how)
            if how != "ok" and self.keys[key][0] < self.tries:
                self.again.append((time.monotonic() + 0.05, key))

    def figures(self):
        with self.lock:
            first = [how for how in self.answered.values() if how[0] == "ok"]
            later = [how for how in self.answered.values() if how[0] != "ok" and "ok" in how]
        return {
            **super().figures(),
            "keys": len(self.answered),
            "ok at first": len(first),
            "ok by a repeat": len(later),
            "never ok": len(self.answered) - len(first) - len(later),
            "answered": {key: how for key, how in self.answered.items() if "ok" in how},
        }


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("where", nargs="+")
    parser.add_argument("--rate", type=float, required=True, help="RPCs a second, all nodes together")
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--links", type=int, default=1, help="connections to each node")
    parser.add_argument("--out", required=True)
    parser.add_argument("--focus", help="a file with the numbers of the nodes to go to, while it is there")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keyed", action="store_true", help="keys alone, sent again to other nodes")
    told = parser.parse_args()
    kind = Keyed if told.keyed else Load
    load = kind([address(text) for text in told.where], told.links, told.seed, told.focus)
    load.run(told.rate, told.seconds)
    time.sleep(5.0)  # the longest deadline, and more
    with open(told.out, "w", encoding="utf-8") as file:
        json.dump(load.figures(), file)


if __name__ == "__main__":
    main()
