"""A port that records what the module does and checks the four rules as it goes."""

from finchcart.control import Control
from finchcart.interface import Outcome

KINDS = ("idempotent", "tokened", "non_idempotent")
MS = 1000


def draw_settings(rng):
    """Settings of a made-up deployment."""
    memory = rng.choice((4_000, 20_000, 200_000))
    calls = rng.random() < 0.6
    out = {
        "cores": rng.randint(1, 8), "tick": rng.choice((1, 2, 5)) * MS, "grace": rng.randint(0, 2500) * MS,
        "slack": 60 * MS, "memory_kb": memory, "run_factor": rng.choice((1, 4, 16)),
        "entry_kb": rng.choice((1, 90)),
        "crowd": rng.choice((3, 6, 8)), "crowd_window": 2000 * MS, "fresh_start": rng.random() < 0.4,
        "cold_start": 0.2, "cold": 9000 * MS, "can_stop": rng.random() < 0.5,
        "told": rng.choice(("level", "credit", "weight", "silent")),
        "worth_by": rng.choice(("work", "request")),
        "advice_max": 1000 * MS, "methods.count": rng.randint(1, 4), "tells_deadline": rng.random() < 0.5,
    }
    if calls:
        out.update(calls_limit=rng.choice((0.3, 2.0, 7.0)), calls_window=5000 * MS, calls_linger=200 * MS)
    for n in range(out["methods.count"]):
        target = rng.randint(300, 2000) * MS
        out.update({f"methods.{n}.name": f"m{n}", f"methods.{n}.kind": rng.choice(KINDS),
                    f"methods.{n}.criticality": rng.randint(1, 3), f"methods.{n}.latency_target": target,
                    f"methods.{n}.deadline": target * rng.randint(1, 4), f"methods.{n}.window": 5000 * MS})
    names = range(out["methods.count"])
    out["method_calls"] = tuple(calls and rng.random() < 0.7 for _ in names)
    out["method_poorer"] = tuple(rng.choice((0.0, 0.4)) for _ in names)
    return out


class Node:
    """A node's cores, memory, table and dependency, only as far as the rules need them."""

    def __init__(self, settings, seed=1, now=10_000_000):
        self.settings, self.now, self.get = settings, now, settings.get
        self.rpcs, self.open, self.timers, self.lines, self.entries = {}, {}, [], [], {}
        self.drained = self.kill = None
        self.count, self.released = 0, set()
        self.crowd_sum = self.calls_sum = 0.0
        self.control = Control(self, settings, seed)
        self.control.start(now)

    def rpc(self, index):
        assert index not in self.released, "a released index was named"
        return self.rpcs[index]

    # the port
    def run(self, index):
        r = self.rpc(index)
        assert r["state"] == "held" and not r["ran"], "run twice"
        if self.drained is not None:
            in_grace = r["reached"] <= self.drained + self.settings["grace"]
            assert in_grace, "drain: ran what came past the grace"
        if r["kind"] == "tokened":
            for other in self.rpcs.values():
                same = other["first"] == r["first"] and other is not r
                within = other["reached"] + r["window"] > r["reached"]
                assert not (same and other["ran"] and within), "effect twice"
            kept = self.entries.get(r["first"], (0, 0))[0]
            assert kept >= r["reached"] + r["window"], "not remembered long enough"
        r.update(state="running", ran=True, since=self.now)

    def stop(self, index):
        r = self.rpc(index)
        assert self.settings["can_stop"] and r["state"] == "running" and r["kind"] == "idempotent"
        r["stopped"] = True

    def answer(self, r, by_hand=True):
        assert not r["answers"] or not by_hand, "two answers"
        r["answers"] = 1

    def push_back(self, index, wait, last):
        r = self.rpc(index)
        assert not r["ran"] and r["state"] == "held", "pushed back after it ran"
        assert 0 <= wait <= self.settings["advice_max"]
        self.answer(r)
        r["state"] = "over"

    def abort(self, index):
        r = self.rpc(index)
        self.answer(r)
        if r["state"] in ("held", "sharing"):
            r["state"] = "over"

    def call(self, index, limit):
        r = self.rpc(index)
        assert r["state"] == "standing" and limit > 0 and not (r["answers"] or r["gone"])
        if r["calls"]:
            assert r["kind"] == "idempotent" or r["never_ran"], "call repeated without proof"
        r.update(state="calling", calls=r["calls"] + 1, since=self.now, limit=limit)

    def skip(self, index):
        r = self.rpc(index)
        assert r["state"] == "standing" and self.settings["method_poorer"][r["n"]] > 0
        r["state"] = "running"

    def share(self, index):
        r = self.rpc(index)
        assert r["state"] == "held" and r["repeat"]
        r["state"] = "sharing"

    def remember(self, index, keep):
        r = self.rpc(index)
        assert r["kind"] == "tokened" and keep > 0
        self.entries[r["first"]] = (self.now + keep, index)

    def forget(self, index):
        assert not self.rpc(index)["ran"], "forgot what ran"
        self.entries.pop(self.rpc(index)["first"], None)

    def health(self, good, stored):
        assert stored and not (good and self.drained is not None), "health good while draining"

    def level(self, value):
        assert self.settings["told"] == "level" and 0 <= value <= 1

    def idle_limit(self, keep):
        assert keep >= 10 * MS
        self.idle = keep

    def wake_in(self, delay, name):
        self.timers.append((self.now + delay, name))

    def log(self, text):
        self.lines.append(text)

    def release(self, index):
        self.released.add(index)

    # what happens to it
    def arrive(self, n=0, first=None, waited=0, left=None, kb=20.0, **more):
        get, index = lambda name: self.settings[f"methods.{n}.{name}"], self.count
        self.count += 1
        reached = self.now - waited
        expires = max(self.now, reached + (left or get("deadline"))) if self.settings["tells_deadline"] else 0
        repeats = None
        if first is not None:
            kept = self.entries.get(first)
            if kept and kept[0] > reached:
                repeats = -1 if kept[1] in self.released else kept[1]
            elif any(r["first"] == first and r["state"] not in ("over", "sharing")
                     for r in self.open.values()):
                raise AssertionError("a held or running tokened RPC has no entry")
        self.rpcs[index] = dict(
            n=n, kind=get("kind"), window=get("window"), first=index if first is None else first,
            state="held", reached=reached,
            due=max(self.now, expires or reached + get("deadline")) + self.settings["slack"],
            ran=False, answers=0, repeat=repeats is not None, calls=0, never_ran=False, kb=kb, gone=False,
            stopped=False, since=0, limit=0, late=0)
        self.open[index] = self.rpcs[index]
        handle = self.control.arrive(self.now, index, f"m{n}", kb, expires=expires, waited=waited,
                                     repeats=repeats, **more)
        self.rpcs[index]["handle"] = handle
        return index

    def end(self, index, outcome=Outcome.OK):
        r = self.rpcs[index]
        state, r["state"] = r["state"], "over"
        if outcome in (Outcome.OK, Outcome.ERROR):
            self.answer(r, by_hand=False)
        r["handle"].ended(self.now, outcome, self.now - r["since"])
        assert state in ("running", "sharing", "standing", "calling")
        assert r["answers"] or r["gone"], "lost: ended without an answer"

    def end_older(self, age, skip=0):
        for index in self.of("running")[skip:]:
            if self.now - self.rpcs[index]["since"] >= age:
                self.end(index)

    def of(self, *states):
        return [i for i, r in self.open.items() if r["state"] in states]

    def step(self, dt, stalled=False):
        """Time passes; timers due are rung, unless the process stands still."""
        on_core, calling = len(self.of("running")), len(self.of("calling"))
        self.now += dt
        fade = min(1.0, dt / max(1, self.get("crowd_window", 1)))
        self.crowd_sum += (on_core - self.crowd_sum) * fade
        fade = min(1.0, dt / max(1, self.get("calls_window", 1)))
        self.calls_sum += (calling - self.calls_sum) * fade
        if stalled:
            for r in self.open.values():
                r["late"] = max(r["late"], self.now)  # delays of a process that stands still aren't its fault
            return
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, name in due:
            self.control.wake(self.now, name, {"core_use": min(1.0, on_core / self.settings["cores"])})
        self.entries = {f: e for f, e in self.entries.items() if e[0] > self.now}

    def check(self):
        """The rules that are not checked as the module acts."""
        kb = len(self.entries) * self.settings["entry_kb"]
        self.open = {index: r for index, r in self.open.items() if r["state"] != "over"}
        for index, r in self.open.items():
            kb += r["kb"] * (1 if r["state"] in ("held", "sharing") else self.settings["run_factor"])
            if not (r["answers"] or r["gone"]):
                assert self.now <= max(r["due"], r["late"] + 60 * MS), f"lost: {index} {r}"
        assert kb <= self.settings["memory_kb"], "fall-over: memory"
        warmth = 1.0
        if self.settings["fresh_start"]:
            warmth = min(1.0, 0.2 + 0.8 * (self.now - 10_000_000) / max(1, self.settings["cold"]))
        assert self.crowd_sum <= (1 + (self.settings["crowd"] - 1) * warmth) * self.settings["cores"], "crowd"
        assert self.calls_sum <= self.get("calls_limit", 1e9), "fall-over: calls"
        if self.kill is not None and self.now >= self.kill:
            assert all(r["answers"] or r["gone"] for r in self.open.values()), "drain: unanswered at the kill"
