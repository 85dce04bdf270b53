"""A toy world: worker pools, a store and a registry, on the addresses of one or more configurations.

    python -m finchcart.simulated_peers.outside example/config.json

Written from the protocol's pages, for trying nodes out by hand, for loopback tests and for trials. A pool's
work is to sleep, or with `spin` to keep a core busy, and to turn the body into capitals; methods marked in
`classCalls` make one call first. The store counts the calls in hand at each moment: the truth that limits are
held against.
"""

import argparse
import json
import select
import socket
import threading
import time
from base64 import b64decode, b64encode

from finchcart.net.clock import boot_clock


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def thread(act, *args):
    threading.Thread(target=act, args=args, daemon=True).start()


class Server:
    """Accepts connections; `serve(link)` has a thread for each."""

    def __init__(self, where):
        self.accepted = 0
        self.listen(where)

    def listen(self, where):
        """From here on at this address; connections made before are kept."""
        self.listener = socket.create_server(where)
        thread(self.accept, self.listener)

    def accept(self, listener):
        while True:
            link, _ = listener.accept()
            self.accepted += 1
            thread(self.serve, link)


class Pool(Server):
    """The worker pool. Notices are numbered from 1; a link that binds gets those after its cursor."""

    def __init__(self, where, methods, work=0.05, cores=4, spin=False, failing=lambda: False, effect=None):
        self.effect = effect  # told the body of each run at the moment of its effect
        self.failing = failing  # whether runs fail at once
        self.methods, self.work, self.cores = methods, work, cores  # methods: name -> whether it calls
        self.spin = spin
        self.lock, self.link, self.notices, self.fate = threading.Lock(), None, [], "old"
        self.runs, self.ended, self.started = {}, set(), time.monotonic()
        self.spawned, self.polls = [], 0  # (id, method, body) of every run; times it was asked for its gauges
        self.spoilt = {}  # id -> how many more of its notices can't be read
        self.gate = threading.Event()  # runs go on from their start while it is set
        self.gate.set()
        super().__init__(where)

    def write(self, link, **said):
        line = json.dumps(said).encode()
        if said.get("handle") in self.spoilt:
            self.spoilt[said["handle"]] -= 1
            line = line[:20] if self.spoilt[said["handle"]] >= 0 else line
        try:
            link.sendall(line + b"\n")
        except (OSError, AttributeError):
            pass  # no link: the notice is kept

    def notice(self, event, **said):
        with self.lock:
            said = {"event": event, "cursor": len(self.notices) + 1, **said}
            self.notices.append(said)
            self.write(self.link, **said)

    def lines(self, link):
        try:
            yield from link.makefile("rb")
        except OSError:
            pass  # the node left it

    def serve(self, link):
        for line in self.lines(link):
            said = json.loads(line)
            event, name = said["event"], said.get("handle")
            if event == "bind":
                with self.lock:
                    self.link = link
                    if said["cursor"] == 0:
                        self.notices.clear()  # the node has started: numbers begin anew
                    age = int((time.monotonic() - self.started) * 1000)
                    self.write(link, event="bound", fate=self.fate, lasted=age)
                    for notice in self.notices[said["cursor"] :]:
                        self.write(link, **notice)
            elif event == "poll":
                busy = sum(not run["waits"] for run in list(self.runs.values()))
                with self.lock:
                    self.polls += 1
                    self.write(
                        link,
                        event="polled",
                        ticket=said["ticket"],
                        figures=[min(1.0, busy / self.cores), busy, 0.0, 0],
                    )
            elif event == "spawn" and said["entry"] in self.methods:
                if name not in self.runs and name not in self.ended:
                    self.runs[name] = {"waits": False, "go": threading.Event(), "reply": None}
                    thread(self.run, name, said["entry"], b64decode(said["arg"]))
            elif event in ("supply", "pass") and name in self.runs:
                self.runs[name]["reply"] = b64decode(said.get("arg", ""))
                self.runs[name]["go"].set()
            else:
                self.write(link, event="unknown", fate=event, handle=name)

    def restart(self):
        """The process starts anew, cold: its runs are lost, notices are numbered from 1."""
        with self.lock:
            self.runs, self.notices, self.started, self.fate = {}, [], time.monotonic(), "new"
        self.break_link()

    def break_link(self):
        with self.lock:
            if self.link:
                self.link.shutdown(socket.SHUT_RDWR)

    def toil(self):
        """Half of a run. Spinning, it counts what this thread itself was given of a core."""
        if not self.spin:
            time.sleep(self.work / 2)
            return
        end = time.thread_time() + self.work / 2
        while time.thread_time() < end:
            pass

    def run(self, name, method, body):
        began, run = time.monotonic(), self.runs[name]
        self.spawned.append((name, method, body))
        fate, result = "good", body.upper()
        failing = self.failing()
        self.gate.wait(30)
        if failing:
            fate = "bad"
        else:
            self.toil()
        if self.methods[method] and not failing:
            run["waits"] = True
            self.notice("blocked", handle=name, arg=b64encode(b"about " + body).decode())
            if run["go"].wait(10):
                result += b" " + run["reply"]
            else:
                fate = "cut"
            run["waits"] = False
        if not failing:
            if self.effect:
                self.effect(body)
            self.toil()
        if self.runs.get(name) is not run:
            return  # lost with the process that it ran in
        del self.runs[name]
        self.ended.add(name)
        self.notice(
            "finished",
            handle=name,
            fate=fate,
            lasted=(time.monotonic() - began) * 1000,
            arg=b64encode(result if fate == "good" else b"").decode(),
        )


class Faults:
    """What the file of faults says of a place; looked at now and then."""

    def __init__(self, path):
        self.path, self.looked, self.states = path, 0.0, {}

    def state(self, place):
        now = time.monotonic()
        if self.path and now - self.looked > 0.05:
            self.looked = now
            try:
                with open(self.path, encoding="utf-8") as file:
                    self.states = json.load(file)
            except (OSError, ValueError):
                pass  # not there yet
        return self.states.get(place, "ok")


class Store(Server):
    """The store: answers each call with its body, backwards, after `work` seconds. It ends a call itself when
    its time is over, and gives up those of a connection that closes."""

    def __init__(self, where, work=0.0, limit=None, rate=None, burst=0, faults=None):
        self.work, self.limit, self.lock = work, limit, threading.Lock()
        self.faults = faults or Faults(None)
        self.spoil = None  # spoil(id, body): the bytes of a reply, None to break the link
        self.wasted, self.slowed = 0, 0  # calls that came while their place was down, or slow
        self.rate, self.burst = rate, burst  # calls a second, and at once
        # Of a bucket that empties at the rate.
        self.level, self.level_at, self.fullest = 0.0, boot_clock(), 0.0
        self.lately = 0  # the most at once since the last line of the truth
        self.in_hand, self.most, self.calls = 0, 0, 0  # calls at this moment; the most at once; all
        self.late, self.over, self.over_from = 0, [], 0  # over: (from, until, most at once) beyond the limit
        self.used, self.looked, self.peak = 0.0, boot_clock(), 0  # used: call-seconds
        super().__init__(where)

    def count(self, change):
        """With the truth at each moment. Times on the boot clock, microseconds."""
        with self.lock:
            now = boot_clock()
            self.used += self.in_hand * (now - self.looked) / 1e6
            self.looked = now
            before, self.in_hand = self.in_hand, self.in_hand + change
            self.calls += change > 0
            self.most, self.lately = max(self.most, self.in_hand), max(self.lately, self.in_hand)
            if self.rate and change > 0:
                self.level = max(0.0, self.level - (now - self.level_at) * self.rate / 1e6) + 1
                self.level_at, self.fullest = now, max(self.fullest, self.level)
            if self.limit is None:
                return
            if before <= self.limit < self.in_hand:
                self.over_from, self.peak = now, self.in_hand
            self.peak = max(self.peak, self.in_hand)
            if self.in_hand <= self.limit < before:
                self.over.append((self.over_from, now, self.peak))

    def truth(self):
        with self.lock:
            over = list(self.over)
            if self.limit is not None and self.in_hand > self.limit:
                over.append((self.over_from, boot_clock(), self.peak))
            now, lately = boot_clock(), self.lately
            self.lately = self.in_hand
            used = self.used + self.in_hand * (now - self.looked) / 1e6
            return {
                "t_us": now,
                "in_hand": self.in_hand,
                "most": self.most,
                "lately": lately,
                "calls": self.calls,
                "late": self.late,
                "used": used,
                "over": over,
                "fullest": self.fullest,
                "wasted": self.wasted,
                "slowed": self.slowed,
            }

    def serve(self, link):
        try:
            self.serve_calls(link)
        except OSError:
            pass  # the node left it

    def serve_calls(self, link):
        # A place is "ok", "down" (a call breaks off), "hang" (no answer) or "slow" (ten times the time).
        place = link.getsockname()[0]
        lines = link.makefile("rb")
        for line in lines:
            words = line.split()
            if words[0] == b"CALL":
                body = lines.read(int(words[3]) + 2)[:-2]
                state = self.faults.state(place)
                self.wasted += state in ("down", "hang")
                self.slowed += state == "slow"
                if state == "down":
                    self.calls += 1
                    return
                self.count(+1)
                try:
                    work = {"slow": max(0.2, 10 * self.work), "hang": 3600.0}.get(state, self.work)
                    gone, late = self.serve_call(link, int(words[2]) / 1000, work)
                finally:
                    self.count(-1)
                if gone:
                    return
                self.late += late
                reply = (
                    b"%s LATE\r\n" % words[1]
                    if late
                    else b"%s OK %d\r\n%s\r\n" % (words[1], len(body), body[::-1])
                )
                if self.spoil:
                    reply = self.spoil(words[1], body)
                if reply is None:
                    link.shutdown(socket.SHUT_RDWR)
                    return
                link.sendall(reply)

    def serve_call(self, link, limit, work):
        """(whether the node gave it up, whether its time was over)."""
        if not work:
            return False, False
        if select.select([link], [], [], min(work, limit))[0]:
            try:
                if not link.recv(1, socket.MSG_PEEK):
                    return True, False
            except OSError:
                return True, False
        return False, work > limit


class Registry:
    """The registry: keeps what was reported last, and prints changes."""

    def __init__(self, where, tell=print):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(where)
        self.duty, self.tell = {}, tell
        thread(self.listen)

    def listen(self):
        while True:
            _, name, duty = self.sock.recv(200).decode().split()
            if self.duty.get(name) != duty:
                self.tell(f"registry: {name} is {duty}")
            self.duty[name] = duty


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("config", nargs="+", help="configurations of nodes: a worker pool for each")
    parser.add_argument("--work-ms", type=float, default=50.0, help="of a run")
    parser.add_argument("--spin", action="store_true", help="runs keep a core busy instead of sleeping")
    parser.add_argument("--pools-only", action="store_true", help="store and registry are elsewhere")
    parser.add_argument("--store-work-ms", type=float, default=0.0, help="of a call")
    parser.add_argument("--limit", type=int, help="calls in hand that the store bears")
    parser.add_argument("--rate", type=float, help="calls a second that the store bears")
    parser.add_argument("--burst", type=int, default=0, help="calls at once beside the rate")
    parser.add_argument("--effects", help="bodies of all runs are written here, line by line")
    parser.add_argument("--place", action="append", default=[], help="one more place of the store")
    parser.add_argument("--faults", help="a file with the states of the store's places")
    parser.add_argument("--truth", help="the store's own count is written here, line by line")
    told = parser.parse_args()
    effects = open(told.effects, "a", encoding="utf-8") if told.effects else None
    lock = threading.Lock()

    def effect(body):
        with lock:
            effects.write(f"{boot_clock()} {body.decode(errors='replace')}\n")
            effects.flush()

    others, store, faults = set(), None, Faults(told.faults)
    for path in told.config:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
        settings = config["settings"]
        calls = settings["familyInfo"]["classCalls"]
        where = address(config["pool"])
        Pool(
            where,
            {m["name"]: c for m, c in zip(settings["services"], calls)},
            told.work_ms / 1000,
            settings["familyInfo"]["cores"],
            told.spin,
            lambda host=where[0]: faults.state(host) == "failing",
            effect if effects else None,
        )
        for kind, place in ((Store, config["store"]), (Registry, config["roster"])):
            if not told.pools_only and (kind, place) not in others:
                others.add((kind, place))
                if kind is Store and store:
                    store.listen(address(place))  # one store, however many places
                elif kind is Store:
                    store = Store(
                        address(place), told.store_work_ms / 1000, told.limit, told.rate, told.burst, faults
                    )
                else:
                    Registry(address(place))
    for place in told.place:
        if store and (Store, place) not in others:
            store.listen(address(place))
    print("worker pools, store and registry are up; Ctrl-C ends them", flush=True)
    try:
        while told.truth and not told.pools_only:
            time.sleep(0.2)
            with open(told.truth, "a", encoding="utf-8") as file:
                file.write(json.dumps(store.truth()) + "\n")
        threading.Event().wait()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
