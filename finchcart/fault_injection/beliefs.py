"""Nodes that share verdicts, on a virtual clock: rounds of what may befall them, and what must then be held.

Owns the truth (the state of the store at each node, who floods whom, who lies) and what each node sees of it.
It must never tell a node more than its core would see, nor read a board to excuse what it did. A seed that
fails replays identically.
"""

from random import Random

import xxhash

from finchcart.consensus import messages, subjects
from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.store import ConsensusStore
from finchcart.consensus.subjects import Restriction, StoreHealth
from finchcart.fault_injection.virtual import Fleet
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.membership.member import Member
from finchcart.node.limiters import PROBE_DEMAND_PERIOD_US
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.local_limits import LocalLimits

CALLS = 6  # that a node makes in a look, where nothing holds it
NOTHING = {"store": StoreHealth.WORKING, "sources": {}, "out": False, "level": 0.0}


class Breach(AssertionError):
    """What did not hold, when, and in which seed."""


class Seen:
    """What one node's core would do and see."""

    def __init__(self):
        self.held, self.changes = dict(NOTHING), []  # changes: (when, store's value)
        self.part, self.until, self.back = 0, 0, None  # of the trial calls; when the store came back for it
        self.called = 0


class Beliefs(Fleet):
    """`make`: of a board, so that a planted defect can be played; `on`: whether verdicts hold the calls."""

    def __init__(self, count, seed, verdicts=None, make=ConsensusStore, member=Member, on=True):
        self.beliefs, self.board = verdicts or ConsensusConfig(), make
        names = [f"n{n:03d}" for n in range(count)]
        super().__init__(names, seed, MembershipConfig(), watch=self.hear, make=self.node)
        self.member, self.on = member, on
        self.chance = Random(f"beliefs {seed}")
        self.store = dict.fromkeys(names, "ok")
        self.floods, self.failing, self.levels, self.liars = {}, set(), {}, set()
        self.innocent = subjects.source_subject("10.9.9.9")
        self.seen = {name: Seen() for name in names}
        self.written, self.trace = {}, xxhash.xxh3_64()
        self.calls = self.wasted = self.trials = 0
        self.worst_lie = 0  # by how much a note was ever taken to be younger than it is
        self.quota = QuotaConfig(
            limits=(Limit("trial", self.beliefs.probe_calls, counts="trial", mode="loose"),)
        )

    def node(self, name, fleet, address, seeds, figures, chance, wall, now):
        member = self.member(name, fleet, address, seeds, figures, chance, wall, now)
        zone = int(name[1:]) % 3
        board = self.board(name, fleet, ConsensusConfig(**{**self.beliefs.__dict__, "zone": f"z{zone}"}), now)
        member.piggyback_clients += [LocalLimits(self.quota, now), board]
        member.board = board
        self.seen[name] = Seen()
        return member

    def start_all(self):
        for name in list(self.places):
            self.start(name)
        for name in list(self.places):
            self.put(self.now + self.chance.randrange(self.beliefs.look_interval), self.look, name)

    # ---- what a core would see

    def hear(self, now, name, effect):
        self.trace.update(f"{now} {name} {effect}".encode())
        seen = self.seen[name]
        if effect[0] == "verdicts":
            before, seen.held = seen.held, effect[1]
            if before["store"] != effect[1]["store"]:
                seen.changes.append((now, effect[1]["store"]))
                seen.back = now if before["store"] == StoreHealth.DOWN else None
        elif effect[0] == "allow":
            seen.part, seen.until = effect[3], effect[4]

    def look(self, name):
        place = self.places[name]
        self.put(self.now + self.beliefs.look_interval, self.look, name)
        if place.member is None or place.stopped:
            return
        seen, state = self.seen[name], self.store[name]
        calls = CALLS
        if self.on and seen.held["store"] == StoreHealth.DOWN:
            calls = min(1, seen.part if self.now < seen.until else 0)
            self.trials += calls
        elif self.on and seen.back is not None:
            calls = min(CALLS, 1 << min(8, (self.now - seen.back) // self.beliefs.recovery_step))
        self.calls += calls
        ok = calls if state in ("ok", "slow") else 0
        self.wasted += calls - ok
        time = {"ok": 20_000, "slow": 400_000, "down": 0}[state] * ok
        sources = {}
        for subject, (rate, who) in self.floods.items():
            if len(sources) >= self.beliefs.max_sources:
                break  # as the core's own table of a look
            bad = rate * self.beliefs.look_interval // SECOND if name in who else 0
            if bad:
                sources[subject] = (bad, 0, 0)
        evidence = {
            "calls": (ok, calls - ok, time),
            "rpcs": 20,
            "sources": sources,
            "runs": (10, 10 if name in self.failing else 0, 500_000),
            "level": self.levels.get(name, 0.0),
        }
        if name in self.liars:
            evidence |= {
                "calls": (0, CALLS, 0),
                "level": 1.0,
                "sources": {**sources, self.innocent: (self.beliefs.max_bad_messages, 0, 0)},
            }
        self.feed(name, ("rider", "evidence", evidence))
        if calls or self.now - seen.called < PROBE_DEMAND_PERIOD_US:
            seen.called = self.now if calls else seen.called
            self.feed(name, ("rider", "use", "trial", 0, 1, 0))

    # ---- what is looked at after each step

    def after_step(self, _):
        """No note is ever taken to be younger than it is, and every table is within its bounds."""
        name = self.fed
        member = self.places[name].member if name else None
        if member is None:
            return
        for held in member.gossip.own.values():
            self.written.setdefault(
                (held.entry.member_id, held.entry.topic, held.entry.precedence), held.written_at
            )
        for held in member.gossip.received.values():
            truth = self.written.get((held.entry.member_id, held.entry.topic, held.entry.precedence))
            if held.written_at is not None and truth is not None and held.written_at > truth:
                self.breach(
                    f"{name} takes a note for {(held.written_at - truth) // 1000} ms younger than it is"
                )
        board, figures = member.board, self.beliefs
        if len(board.observer.sources) > figures.max_sources or len(board.overrides) > figures.max_overrides:
            self.breach(f"{name} holds more than its bounds")
        if any(len(held.entry.payload) > 600 for held in member.gossip.own.values()):
            self.breach(f"{name} writes a note that is too long")

    def breach(self, text):
        raise Breach(f"seed {self.seed}, {self.now / SECOND:.3f} s: {text}")

    # ---- expectations

    def bound(self, loss=0.0):
        return self.beliefs.acts_within(self.figures, len(self.live()), loss)

    def until(self, what, names, within, text):
        """Runs until all of `names` hold what is to be held, and says how long it took; a breach if later."""
        began = self.now
        while not all(what(self.seen[name]) for name in names):
            if self.now - began > within:
                wrong = [name for name in names if not what(self.seen[name])]
                self.breach(
                    f"{text}: not within {within / SECOND:.2f} s at {wrong[:4]}: {self.seen[wrong[0]].held}"
                )
            self.run(self.now + 20_000, self.after_step)
        return self.now - began

    def never(self, what, names, span, text):
        """Runs for `span`, in which none of `names` may hold it."""
        end = self.now + span
        while self.now < end:
            self.run(self.now + 100_000, self.after_step)
            for name in names:
                if what(self.seen[name]):
                    self.breach(f"{text}: {name} holds {self.seen[name].held}")

    def cut(self, some, rest, both=True, cut=True):
        for a in some:
            for b in rest:
                self.fabric.reduce(self.now, ("rule", a, b, {"cut": cut}))
                if both:
                    self.fabric.reduce(self.now, ("rule", b, a, {"cut": cut}))


is_down = lambda seen: seen.held["store"] == StoreHealth.DOWN
is_working = lambda seen: seen.held["store"] == StoreHealth.WORKING


class Run(Beliefs):
    """One seed: some of the rounds, with links that lose, double and swap."""

    ROUNDS = (
        "down",
        "zone",
        "one",
        "slow",
        "flaps",
        "flood",
        "many",
        "few_lie",
        "third",
        "woken",
        "halves",
        "one_way",
        "restarted",
        "replaced",
        "words",
        "late",
        "fail",
        "one_level",
    )

    def __init__(self, seed, count=8, kinds=None, rounds=3, **more):
        super().__init__(count, seed, **more)
        self.kinds = kinds or self.ROUNDS
        self.rounds, self.times = rounds, []  # times: (round, what, took, bound)
        self.flaps_seen = 0

    def play(self):
        self.start_all()
        self.run(self.now + 10 * SECOND, self.after_step)
        for _ in range(self.rounds):
            self.loss = self.chance.choice([0.0, 0.0, 0.1, 0.3])
            self.fabric.reduce(
                self.now, ("rule", None, None, {"lose": self.loss, "double": self.loss, "swap": self.loss})
            )
            self.kind = self.chance.choice(self.kinds)
            getattr(self, self.kind)(sorted(self.live()))
            self.come_back()
        return self.trace.hexdigest()

    def come_back(self):
        """All is well again: then nothing may be held, at anybody."""
        self.fabric.reduce(self.now, ("clear",))
        self.store = dict.fromkeys(self.store, "ok")
        self.floods, self.failing, self.levels, self.liars = {}, set(), {}, set()
        for name, place in self.places.items():
            if place.member is None:
                self.start(name)
            elif place.stopped:
                self.go_on(name)
        within = (
            self.beliefs.restriction_time
            + 2 * self.beliefs.source_span
            + self.beliefs.report_lifetime
            + self.beliefs.max_standing
        )
        self.until(
            lambda seen: seen.held == NOTHING,
            self.live(),
            within + 10 * SECOND,
            f"after {self.kind} nothing is held",
        )
        self.run(self.now + self.beliefs.recurrence_window, self.after_step)
        for seen in self.seen.values():
            seen.changes.clear()

    def took(self, what, took, bound):
        self.times.append((self.kind, what, took, bound))

    def all_down(self, names):
        self.store = dict.fromkeys(self.store, "down")
        bound = self.beliefs.store_within(self.figures, len(names), self.loss)
        self.took("in", self.until(is_down, names, bound, "the store is down"), bound)

    def all_back(self, names, again=0):
        self.store = dict.fromkeys(self.store, "ok")
        bound = self.beliefs.back_within(self.figures, len(names), again, self.loss)
        self.took("out", self.until(is_working, names, bound, "the store is back"), bound)

    # ---- rounds

    def down(self, names):
        self.all_down(names)
        before, began = self.trials, self.now
        self.run(self.now + self.chance.randrange(3, 15) * SECOND, self.after_step)
        looks = (self.now - began) / self.beliefs.look_interval + 2
        if self.loss == 0 and self.trials - before > self.beliefs.probe_calls * looks:
            self.breach(f"{self.trials - before} trial calls in {looks:.0f} looks")
        self.all_back(names)
        if self.loss < 0.3:
            for name in names:
                changes = [value for _, value in self.seen[name].changes]
                if changes not in (
                    [StoreHealth.DOWN, StoreHealth.WORKING],
                    [StoreHealth.SLOW, StoreHealth.DOWN, StoreHealth.WORKING],
                ):
                    self.breach(f"{name} changed its mind: {self.seen[name].changes}")

    def zone(self, names):
        for name in names:
            if int(name[1:]) % 3 == 1:
                self.store[name] = "down"
        self.never(is_down, names, 12 * SECOND, "the store is down for one zone alone")

    def one(self, names):
        self.store[self.chance.choice(names)] = "down"
        self.never(is_down, names, 12 * SECOND, "the store is down for one node alone")

    def slow(self, names):
        for name in names[::2]:
            self.store[name] = "slow"
        self.never(is_down, names, 12 * SECOND, "the store is slow for half")

    def flaps(self, names):
        for _ in range(6):
            self.store = dict.fromkeys(self.store, "down")
            self.run(self.now + 2 * SECOND, self.after_step)
            self.store = dict.fromkeys(self.store, "ok")
            self.run(self.now + 2 * SECOND, self.after_step)
        worst = max(len(self.seen[name].changes) for name in names)
        self.flaps_seen = max(self.flaps_seen, worst)
        if worst > 8:
            self.breach(f"24 s of flaps of 2 s: {worst} changes of verdict")

    def flood(self, names):
        """It goes from node to node; in time before enough have seen it nobody shuts it out."""
        subject, rate = subjects.source_subject("10.1.2.3"), 40
        shut = lambda seen: seen.held["sources"].get(subject) == Restriction.BLOCKED
        need = self.beliefs.required_reports(len(names))
        some = self.chance.sample(names, need)
        for n, name in enumerate(some):
            self.floods = {subject: (rate, {name})}
            if n < need - 1:
                self.never(shut, names, SECOND, "too few saw it")
        bound = self.beliefs.max_bad_messages * SECOND // rate + self.bound(self.loss)
        self.took("out", self.until(shut, names, bound, "a source floods"), bound)
        self.floods = {}
        if any(self.innocent in self.seen[name].held["sources"] for name in names):
            self.breach("another source is shut out")

    def many(self, names):
        """5,000 sources at once: bounded, and none of those that did nothing."""
        rates = self.chance.choices([4, 4, 40], k=5000)
        self.floods = {
            subjects.source_subject(f"10.2.{n // 250}.{n % 250}"): (rate, set(names))
            for n, rate in enumerate(rates)
        }
        self.never(lambda seen: self.innocent in seen.held["sources"], names, 3 * SECOND, "it did nothing")
        self.floods = {}

    def lie(self, names, count):
        self.liars = set(self.chance.sample(names, count))
        honest = [name for name in names if name not in self.liars]
        self.never(
            lambda seen: is_down(seen) or seen.held["level"] > 0,
            honest,
            12 * SECOND,
            f"{count} of {len(names)} lie",
        )
        return honest

    def few_lie(self, names):
        honest = self.lie(names, self.chance.randrange(1, max(2, self.beliefs.required_reports(len(names)))))
        if any(self.innocent in self.seen[name].held["sources"] for name in honest):
            self.breach("liars shut a source out")

    def third(self, names):
        """They can shut a source out, which is stated; nothing else."""
        self.lie(names, len(names) // 3)

    def woken(self, names):
        """Stopped while a verdict held that is over when it goes on."""
        self.all_down(names)
        one = self.chance.choice(names)
        self.stop(one)
        rest = [name for name in names if name != one]
        self.run(self.now + 5 * SECOND, self.after_step)
        self.all_back(rest)
        self.run(self.now + self.chance.randrange(3, 20) * SECOND, self.after_step)
        self.go_on(one)
        if is_down(self.seen[one]):
            self.breach(f"{one} goes on with the verdict of before")
        self.never(is_down, names, 5 * SECOND, "it brought back an old opinion")

    def halves(self, names):
        """The store is down for one half and works for the other, which don't hear each other."""
        a, b = names[::2], names[1::2]
        self.cut(a, b)
        for name in a:
            self.store[name] = "down"
        apart = self.figures.detection_bound(len(names), self.loss) + 4 * SECOND
        bound = apart + self.beliefs.store_within(self.figures, len(names), self.loss)
        self.until(is_down, a, bound, "the half for which it is down")
        self.never(is_down, b, 3 * SECOND, "the half for which it works")
        self.cut(a, b, cut=False)
        # One rule: by all opinions. Half of those who call it say that it is down.
        self.store = dict.fromkeys(self.store, "down")
        bound += 5 * SECOND
        self.until(is_down, names, bound, "one verdict after the cut")
        self.all_back(names)

    def one_way(self, names):
        """A few that know don't hear the others, or are not heard."""
        some = self.chance.sample(names, max(1, len(names) // 4))
        rest = [name for name in names if name not in some]
        heard = self.chance.random() < 0.5
        self.cut(rest if heard else some, some if heard else rest, both=False)
        self.run(self.now + 6 * SECOND, self.after_step)
        self.store = dict.fromkeys(self.store, "down")
        bound = self.beliefs.store_within(self.figures, len(names), self.loss) + SECOND
        self.until(is_down, rest, bound, "the connected ones")
        self.cut(rest if heard else some, some if heard else rest, both=False, cut=False)
        self.run(self.now + 6 * SECOND, self.after_step)
        self.all_back(names)

    def restarted(self, names):
        self.all_down(names)
        for name in names:
            self.kill(name)
            self.start(name)
        bound = 8 * SECOND + self.beliefs.store_within(self.figures, len(names), self.loss)
        self.until(is_down, names, bound, "all started anew while it is down")
        self.all_back(names, 1)

    def replaced(self, names):
        self.all_down(names)
        for name in names[:-1]:
            self.kill(name)
            self.run(self.now + 300_000, self.after_step)
            self.start(name)
        bound = 8 * SECOND + self.beliefs.store_within(self.figures, len(names), self.loss)
        self.until(is_down, names, bound, "nine in ten replaced while it is down")
        self.all_back(names, 2)

    def words(self, names):
        """Said on one side of a cut, said otherwise or taken back on the other."""
        subject, number = subjects.source_subject("10.5.5.5"), self.chance.randrange(10**6)
        value = lambda seen: seen.held["sources"].get(subject)
        say = lambda name, said, left: self.places[name].member.board.issue_override(
            self.now, messages.OverrideRequest(number, subject, said, left, "trial")
        )
        if not say(names[0], Restriction.BLOCKED, 90 * SECOND)["taken"]:
            self.breach("a word is not taken")
        bound = self.bound(self.loss)
        self.took(
            "said", self.until(lambda seen: value(seen) == Restriction.BLOCKED, names, bound, "a word"), bound
        )
        a, b = names[::2], names[1::2]
        self.cut(a, b)
        self.run(self.now + 5 * SECOND, self.after_step)
        say(a[0], 0, 0)
        for _ in range(self.chance.randrange(1, 3)):
            say(b[0], Restriction.BLOCKED, 60 * SECOND)
            self.run(self.now + SECOND, self.after_step)
        self.run(self.now + 3 * SECOND + bound, self.after_step)
        self.cut(a, b, cut=False)
        self.run(self.now + 6 * SECOND + bound, self.after_step)
        if len({value(self.seen[name]) for name in names}) != 1:
            self.breach("two words after the cut: " + str({name: value(self.seen[name]) for name in names}))
        say(b[0], 0, 0)
        self.until(lambda seen: value(seen) is None, names, bound, "taken back")

    def late(self, names):
        """Messages up to 10 s late: no old opinion passes for a new one (see after_step)."""
        self.fabric.reduce(self.now, ("rule", None, None, {"jitter": 10_000_000, "double": 0.5, "swap": 0.5}))
        self.store[names[0]] = "down"
        self.run(self.now + 15 * SECOND, self.after_step)
        self.fabric.reduce(self.now, ("rule", None, None, {"jitter": 0, "double": 0.0, "swap": 0.0}))
        self.store = dict.fromkeys(self.store, "ok")
        self.run(self.now + 20 * SECOND, self.after_step)
        self.never(is_down, names, 5 * SECOND, "an old opinion")

    def fail(self, names):
        """Some nodes fail their runs: they tell it of themselves, and no more at once than a part."""
        most = int(self.beliefs.max_ejected_fraction * len(names))
        count = self.chance.randrange(1, max(2, len(names) // 2))
        self.failing = set(self.chance.sample(names, count))
        bound = self.beliefs.observation_span + 2 * self.bound(self.loss) + self.figures.period * 2
        if count <= most:
            took = self.until(lambda seen: seen.held["out"], self.failing, bound, "it fails its runs")
            self.took("in", took, bound)
        end = self.now + 10 * SECOND
        while self.now < end:
            self.run(self.now + 100_000, self.after_step)
            out = [name for name in names if self.seen[name].held["out"]]
            if len(out) > most or set(out) - self.failing:
                self.breach(f"{out} are out of {sorted(self.failing)}, {most} at most")
        self.failing = set()

    def one_level(self, names):
        """Most turn away the less critical: all tell it, but for the step."""
        level = self.chance.choice([0.3, 0.5, 0.8])
        for name in names[: len(names) // 2 + 2]:
            self.levels[name] = level
        least = level - self.beliefs.level_step - 0.026
        bound = self.bound(self.loss) + 2 * self.figures.period
        took = self.until(lambda seen: seen.held["level"] >= least, names, bound, "one level")
        self.took("in", took, bound)
        self.levels = {}


def one(seed, count=8, rounds=3, kinds=None):
    """What one seed came to."""
    run, breach = Run(seed, count, kinds, rounds), None
    try:
        run.play()
    except Breach as error:
        breach = f"{run.kind}: {error}"
    return {"breach": breach, "times": run.times, "steps": run.steps, "flaps": run.flaps_seen}
