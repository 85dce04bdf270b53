"""A simulated host of the decision module, which checks the four rules as it goes."""


from finchcart.control import Control
from finchcart.interface import Gauges, Outcome

KINDS = ("idempotent", "keyed", "non_idempotent")
MS = 1000


def draw_settings(rng):
    """Settings of a made-up deployment."""
    memory = rng.choice((4_000, 20_000, 200_000))
    calls = rng.random() < 0.6
    out = {
        "cores": rng.randint(1, 8),
        "tick": rng.choice((1, 2, 5)) * MS,
        "drain_grace": rng.randint(0, 2500) * MS,
        "slack": 60 * MS,
        "memory_kb": memory,
        "run_factor": rng.choice((1, 4, 16)),
        "key_entry_kb": rng.choice((1, 90)),
        "overload_factor": rng.choice((3, 6, 8)),
        "overload_window": 2000 * MS,
        "fresh_start": rng.random() < 0.4,
        "cold_start_speed": 0.2,
        "warm_up": 9000 * MS,
        "can_stop": rng.random() < 0.5,
        "feedback": rng.choice(("level", "credit", "weight", "silent")),
        "marks_retries": rng.random() < 0.5,
        "retry_after_max": 1000 * MS,
        "methods.count": rng.randint(1, 4),
        "tells_deadline": rng.random() < 0.5,
    }
    out["can_pause"] = out["can_stop"] and rng.random() < 0.5
    if calls and rng.random() < 0.3:
        out.update(dependency="tier", calls_limit=0.0)  # as is written where no share is told
    elif calls:
        out.update(calls_limit=rng.choice((0.3, 2.0, 7.0)), calls_window=5000 * MS, calls_linger=200 * MS)
    for n in range(out["methods.count"]):
        target = rng.randint(300, 2000) * MS
        out.update(
            {
                f"methods.{n}.name": f"m{n}",
                f"methods.{n}.kind": rng.choice(KINDS),
                f"methods.{n}.criticality": rng.randint(1, 3),
                f"methods.{n}.latency_target": target,
                f"methods.{n}.deadline": target * rng.randint(1, 4),
                f"methods.{n}.window": 5000 * MS,
            }
        )
    names = range(out["methods.count"])
    out["method_calls"] = tuple(calls and rng.random() < 0.7 for _ in names)
    out["degraded_value"] = tuple(rng.choice((0.0, 0.4)) for _ in names)
    return out


class Node:
    """A node's cores, memory, table and dependency, only as far as the rules need them."""

    def __init__(self, settings, seed=1, now=10_000_000):
        self.settings, self.now, self.get = settings, now, settings.get
        self.rpcs, self.open, self.timers, self.lines, self.entries = {}, {}, [], [], {}
        self.drained = self.kill = None
        self.told = {}  # of the fleet's verdicts, as gauges
        self.pauses = self.resumed = 0  # how often runs were told to pause, and went on
        self.wanting = 0  # reads that want a core besides the runs
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
        assert r["state"] == "paused" or r["state"] == "held" and not r["ran"], "run twice"
        self.resumed += r["state"] == "paused"
        if self.drained is not None:
            in_grace = r["reached"] <= self.drained + self.settings["drain_grace"]
            assert in_grace, "drain: ran what came past the grace"
        if r["kind"] == "keyed":
            for other in self.rpcs.values():
                same = other["first"] == r["first"] and other is not r
                within = other["reached"] + r["window"] > r["reached"]
                assert not (same and other["ran"] and within), "effect twice"
            kept = self.entries.get(r["first"], (0, 0))[0]
            assert kept >= r["reached"] + r["window"], "not remembered long enough"
        r.update(state="running", ran=True, since=self.now, stopped=False)

    def stop(self, index):
        r = self.rpc(index)
        assert self.settings["can_stop"] and r["state"] == "running"
        if not (r["answers"] or r["gone"]):
            worth = lambda r: self.get(f"methods.{r['n']}.criticality")
            more = max((worth(other) for other in self.open.values() if other["state"] == "held"), default=0)
            assert self.get("can_pause") and worth(r) < more / 2, "paused for what is worth no more"
            self.pauses += 1
        else:
            assert r["kind"] == "idempotent", "what may have an effect was ended half done"
        r["stopped"] = True

    def answer(self, r, by_hand=True):
        assert not r["answers"] or not by_hand, "two answers"
        r["answers"] = 1

    def reject(self, index, retry_after, do_not_retry):
        r = self.rpc(index)
        assert not r["ran"] and r["state"] == "held", "pushed back after it ran"
        assert 0 <= retry_after <= self.settings["retry_after_max"]
        self.answer(r)
        r["state"] = "over"

    def fail(self, index):
        r = self.rpc(index)
        self.answer(r)
        if r["state"] in ("held", "sharing", "paused"):
            r["state"] = "over"

    def call(self, index, timeout):
        r = self.rpc(index)
        assert r["state"] == "standing" and timeout > 0 and not (r["answers"] or r["gone"])
        if r["calls"]:
            assert r["kind"] == "idempotent" or r["never_ran"], "call repeated without proof"
        r.update(state="calling", calls=r["calls"] + 1, since=self.now, limit=timeout)

    def degrade(self, index):
        r = self.rpc(index)
        assert r["state"] == "standing" and self.settings["degraded_value"][r["n"]] > 0
        r["state"] = "running"

    def answer_duplicate(self, index):
        r = self.rpc(index)
        assert r["state"] == "held" and r["repeat"]
        r["state"] = "sharing"

    def store_key(self, index, ttl):
        r = self.rpc(index)
        assert r["kind"] == "keyed" and ttl > 0
        self.entries[r["first"]] = (self.now + ttl, index)

    def evict_key(self, index):
        assert not self.rpc(index)["ran"], "forgot what ran"
        self.entries.pop(self.rpc(index)["first"], None)

    def set_health(self, healthy, cached):
        assert cached and not (healthy and self.drained is not None), "health good while draining"
        self.good = healthy

    def set_shed_level(self, level):
        assert self.settings["feedback"] == "level" and 0 <= level <= 1

    def set_credit(self, credit):
        assert self.settings["feedback"] == "credit" and credit > 0
        self.said_credit = credit

    def set_idle_timeout(self, timeout):
        assert timeout >= 10 * MS
        self.idle = timeout

    def set_timer(self, delay, name):
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
            elif any(
                r["first"] == first and r["state"] not in ("over", "sharing") for r in self.open.values()
            ):
                raise AssertionError("a held or running tokened RPC has no entry")
        self.rpcs[index] = dict(
            n=n,
            kind=get("kind"),
            window=get("window"),
            first=index if first is None else first,
            state="held",
            reached=reached,
            due=max(self.now, expires or reached + get("deadline")) + self.settings["slack"],
            ran=False,
            answers=0,
            repeat=repeats is not None,
            calls=0,
            never_ran=False,
            kb=kb,
            gone=False,
            stopped=False,
            since=0,
            limit=0,
            late=0,
        )
        self.open[index] = self.rpcs[index]
        handle = self.control.admit(
            self.now, index, f"m{n}", kb, expires_at=expires, waited=waited, duplicate_of=repeats, **more
        )
        self.rpcs[index]["handle"] = handle
        return index

    def end(self, index, outcome=Outcome.OK):
        r = self.rpcs[index]
        state, r["state"] = r["state"], "over"
        if outcome in (Outcome.OK, Outcome.ERROR):
            self.answer(r, by_hand=False)
        r["handle"].run_ended(self.now, outcome, self.now - r["since"])
        assert state in ("running", "sharing", "standing", "calling")
        assert r["answers"] or r["gone"], "lost: ended without an answer"

    def halt(self, index):
        """A stop takes effect: a run that owes its answer is paused where the deployment pauses."""
        r = self.rpcs[index]
        if self.get("can_pause") and not (r["answers"] or r["gone"]):
            r.update(state="paused", stopped=False)
            r["handle"].run_ended(self.now, Outcome.STOPPED, self.now - r["since"])
            assert (index in self.control.active) != bool(r["answers"]), "neither kept nor answered"
        else:
            self.end(index, Outcome.STOPPED)

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
        fade = min(1.0, dt / max(1, self.get("overload_window", 1)))
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
            self.control.on_timer(
                self.now,
                name,
                Gauges(
                    core_use=min(1.0, on_core / self.settings["cores"]),
                    on_cores=on_core + self.wanting,
                    **self.told,
                ),
            )
        self.entries = {f: e for f, e in self.entries.items() if e[0] > self.now}

    def check(self):
        """The rules that are not checked as the module acts."""
        kb = len(self.entries) * self.settings["key_entry_kb"]
        self.open = {index: r for index, r in self.open.items() if r["state"] != "over"}
        for index, r in self.open.items():
            kb += r["kb"] * (1 if r["state"] in ("held", "sharing") else self.settings["run_factor"])
            if not (r["answers"] or r["gone"]):
                assert self.now <= max(r["due"], r["late"] + 60 * MS), f"lost: {index} {r}"
        assert kb <= self.settings["memory_kb"], "fall-over: memory"
        control = self.control
        known = [*control.active.values(), *control.completed.values()]
        entries = sum(bool(rpc.key_expires_at) for rpc in known)
        counted = control.memory_used_kb - self.settings["key_entry_kb"] * entries
        assert abs(counted - (kb - len(self.entries) * self.settings["key_entry_kb"])) < 0.1, (
            "memory is counted wrongly"
        )
        assert control.runs_in_progress == len(self.of("running", "standing", "calling")), (
            "runs are counted wrongly"
        )
        on_cores = sum(r["handle"].expected_cost for r in self.open.values() if r["state"] == "running")
        assert abs(self.control.work_on_cores - on_cores) <= 1, "the work on cores is counted wrongly"
        assert len(self.control.active) <= len(self.open), "what is over is swept on"
        warmth = 1.0
        if self.settings["fresh_start"]:
            warmth = min(1.0, 0.2 + 0.8 * (self.now - 10_000_000) / max(1, self.settings["warm_up"]))
        assert (
            self.crowd_sum <= (1 + (self.settings["overload_factor"] - 1) * warmth) * self.settings["cores"]
        ), "crowd"
        shared = self.get("dependency", "shared") == "shared"
        assert not shared or self.calls_sum <= self.get("calls_limit", 1e9), "fall-over: calls"
        assert self.control.pausing <= {r["handle"] for r in self.open.values()}, "pausing what is over"
        if self.kill is not None and self.now >= self.kill:
            assert all(r["answers"] or r["gone"] for r in self.open.values()), "drain: unanswered at the kill"


def same_input(found, expected):
    """Whether these are of one type and equal; tuples of two types may be equal too."""
    return type(found) is type(expected) and found == expected
