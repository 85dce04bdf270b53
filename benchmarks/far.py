"""The far sides of one node under a steady load: the world in one process, callers in another.

Owns the processes round the node that is measured. They are lean, so that two cores drive what one node
carries; they must never share a process with the node, nor check rules: tests do that.
"""

import heapq
import json
import os
import random
import socket
import struct
import threading
import time
from base64 import b64encode

from finchcart.thrift import codec

LENGTH = struct.Struct(">i")


def read_on(client):
    """Reads answers past until the node closes."""
    try:
        while True:
            client.answer()
    except (OSError, EOFError):
        client.sock.close()


def serve(where, act):
    listener = socket.create_server(where, backlog=256)

    def accept():
        while True:
            link, _ = listener.accept()
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=act, args=(link,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


class Pool:
    """Runs take `work` seconds and end well; those of methods in `calling` make one call at half time."""

    def __init__(self, where, calling, work):
        self.calling, self.work = calling, work
        self.lock, self.due, self.link, self.cursor = threading.Condition(), [], None, 0
        self.runs = {}
        serve(where, self.read)
        threading.Thread(target=self.ring, daemon=True).start()

    def say(self, **said):
        """With the lock."""
        if "cursor" in said:
            self.cursor += 1
            said["cursor"] = self.cursor
        self.link.sendall(json.dumps(said).encode() + b"\n")

    def later(self, name):
        heapq.heappush(self.due, (time.monotonic() + self.work / 2, name))
        self.lock.notify()

    def read(self, link):
        for line in link.makefile("rb"):
            said = json.loads(line)
            event, name = said["event"], said.get("handle")
            with self.lock:
                if event == "spawn":
                    self.runs[name] = [said["entry"] in self.calling, said["arg"]]
                    self.later(name)
                elif event in ("supply", "pass"):
                    self.later(name)
                elif event == "poll":
                    busy = len(self.runs)
                    figures = [min(1.0, busy / 512), busy, 0.0, 0]
                    self.say(event="polled", ticket=said["ticket"], figures=figures)
                elif event == "bind":
                    self.link = link
                    self.say(event="bound", fate="old", lasted=3_600_000)

    def ring(self):
        with self.lock:
            while True:
                if not self.due or self.due[0][0] > time.monotonic():
                    self.lock.wait(self.due[0][0] - time.monotonic() if self.due else None)
                    continue
                name = heapq.heappop(self.due)[1]
                run = self.runs[name]
                if run[0]:
                    run[0] = False
                    self.say(event="blocked", cursor=0, handle=name, arg=b64encode(b"about it").decode())
                else:
                    del self.runs[name]
                    self.say(
                        event="finished",
                        cursor=0,
                        handle=name,
                        fate="good",
                        lasted=self.work * 1000,
                        arg=run[1],
                    )


def store(link):
    lines = link.makefile("rb")
    for line in lines:
        words = line.split()
        if words[0] == b"CALL":
            body = lines.read(int(words[3]) + 2)[:-2]
            link.sendall(b"%s OK %d\r\n%s\r\n" % (words[1], len(body), body))


def world(places, calling, work):
    """Serves until the process is ended."""
    Pool(places["pool"], calling, work)
    serve(places["store"], store)
    registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    registry.bind(places["roster"])
    while True:
        registry.recv(200)


def keep_busy(cpu):
    """Turns in the gaps that a core would sleep in, at the lowest priority: a core that sleeps between two
    messages wakes with cold caches, and the figures are then of that."""
    os.nice(19)
    os.sched_setaffinity(0, {cpu})
    while True:
        pass


class Caller:
    """One connection of a caller: what was sent on it and is still owed."""

    def __init__(self, where, done):
        self.sock, self.done = socket.create_connection(where), done
        self.sent, self.seq, self.told = {}, 0, False
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.read, daemon=True).start()

    def send(self, fields, body):
        self.seq += 1
        self.sent[self.seq] = time.monotonic()
        self.sock.sendall(codec.submit_call(self.seq, fields, body))

    def read(self):
        stream = self.sock.makefile("rb")
        while True:
            head = stream.read(4)
            if len(head) < 4:
                return
            data = stream.read(LENGTH.unpack(head)[0])
            now, kind = time.monotonic(), data[3]
            at = 8 + LENGTH.unpack(data[4:8])[0]
            if kind == 4:
                self.told = True  # no further RPC goes out here
            else:
                field = struct.unpack(">h", data[at + 5 : at + 7])[0] if kind == 2 else 9
                began = self.sent.pop(LENGTH.unpack(data[at : at + 4])[0])
                self.done({0: "ok", 1: "pushed back", 2: "aborted"}.get(field, "other"), now - began)
            if self.told and not self.sent:
                self.sock.shutdown(socket.SHUT_RDWR)
                return


class Callers:
    """Open loop: RPCs go out at seeded random times over `links` connections, whatever comes back."""

    def __init__(self, where, links, rate, methods, seed):
        self.where, self.rate, self.methods, self.random = where, rate, methods, random.Random(seed)
        self.latencies, self.how = [], {"ok": 0, "pushed back": 0, "aborted": 0, "other": 0}
        self.links = [Caller(where, self.done) for _ in range(links)]
        self.old = []

    def done(self, how, took):
        self.how[how] += 1
        if how == "ok":
            self.latencies.append(took)

    def run(self, seconds):
        due = end = time.monotonic()
        end += seconds
        while due < end:
            wait = due - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            n = self.random.randrange(len(self.links))
            if self.links[n].told:
                self.old.append(self.links[n])
                self.links[n] = Caller(self.where, self.done)
            method, tokened = self.methods[self.random.random() < 0.5]
            fields = {
                "c": method,
                "i": f"{self.random.getrandbits(64):016x}",
                "s": str(time.time_ns() // 1_000_000),
                "f": str(n),
                "h": "20.00",
                "m": "24.5",
                "p": f"{self.random.random():.4f}",
            }
            if tokened:
                fields["k"] = f"{self.random.getrandbits(128):032x}"
            self.links[n].send(fields, b"x" * 200)
            due += self.random.expovariate(self.rate)

    @property
    def owed(self):
        return sum(len(link.sent) for link in self.links + self.old)

    def settle(self, seconds=3):
        """Waits for the answers that are still owed; returns how many never came."""
        end = time.monotonic() + seconds
        while self.owed and time.monotonic() < end:
            time.sleep(0.01)
        return self.owed


def call(pipe, where, links, methods, seed):
    """In a process of its own: each (rate, seconds) that comes through the pipe is played and told of."""
    while True:
        rate, seconds = pipe.recv()
        callers = Callers(where, links, rate, methods, seed)
        callers.run(0.2 * seconds)  # connections and histograms settle; not counted
        callers.latencies.clear()
        counts = dict(callers.how)
        pipe.send("begin")
        callers.run(seconds)
        lost = callers.settle()
        pipe.send(
            {
                "latencies": sorted(callers.latencies),
                "unanswered": lost,
                "how": {how: count - counts[how] for how, count in callers.how.items()},
            }
        )
