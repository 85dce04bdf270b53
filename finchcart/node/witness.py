"""What the core saw of others lately, for the fleet's verdicts, and what the fleet holds of them.

Owns counts since the last look, and the verdicts in force here. It must never make a verdict, nor turn an RPC
away: the module does, told how much room there is. Sources are told apart by where a connection comes from;
the number that a dispatcher gives of itself counts where a whole RPC carries it, so that no rubbish accuses
another.
"""

from finchcart.consensus.subjects import Restriction, StoreHealth, SubjectKind, make_subject, source_subject
from finchcart.interface import Outcome

SECOND = 1_000_000


class Witness:
    """Bounded by `figures.max_sources` sources a look, and by the verdicts in force."""

    def __init__(self, figures):
        self.figures, self.looked = figures, None
        self.calls, self.runs, self.rpcs, self.sources = [0, 0, 0], [0, 0, 0], 0, {}
        self.store, self.out, self.level, self.against = StoreHealth.WORKING, False, 0.0, {}
        self.tokens = {}  # subject -> (how many, when): RPCs that may be taken of a source that is slowed
        self.turned_away = 0

    # ---- what was seen

    def look(self, now, level):
        """The evidence since the last look, or None where it is too soon."""
        if self.looked is not None and now - self.looked < self.figures.look_interval:
            return None
        out = {
            "calls": tuple(self.calls),
            "runs": tuple(self.runs),
            "rpcs": self.rpcs,
            "sources": {one: tuple(item) for one, item in self.sources.items()},
            "level": level,
        }
        self.looked = now
        self.calls, self.runs, self.rpcs, self.sources = [0, 0, 0], [0, 0, 0], 0, {}
        return out

    def call_ended(self, outcome, spent, cut):
        """`cut`: its time was cut short by this node's own grant, so a time-out tells nothing of the
        store."""
        if outcome is Outcome.OK:
            self.calls[0] += 1
            self.calls[2] += spent
        elif outcome is not Outcome.REJECTED and not (cut and outcome is Outcome.TIMEOUT):
            self.calls[1] += 1

    def run_ended(self, outcome, spent):
        if outcome in (Outcome.OK, Outcome.ERROR):
            self.runs[0] += 1
            self.runs[1] += outcome is Outcome.ERROR
            self.runs[2] += spent

    def note(self, one, item, by=1):
        if one is not None and (one in self.sources or len(self.sources) < self.figures.max_sources):
            self.sources.setdefault(one, [0, 0, 0])[item] += by

    def bad(self, host):
        """A message that can't be read, or a connection without an RPC."""
        if host:
            self.note(source_subject(host), 0)

    def over(self, caller):
        """An RPC beyond a limit of its dispatcher."""
        self.note(self.number(caller), 1)

    def number(self, caller):
        return make_subject(SubjectKind.DISPATCHER, int(caller)) if caller and caller.isdecimal() else None

    # ---- what holds

    def hold(self, verdicts):
        self.store, self.out, self.level = verdicts["store"], verdicts["out"], verdicts["level"]
        self.against = verdicts["sources"]
        self.tokens = {one: held for one, held in self.tokens.items() if one in self.against}

    @property
    def store_down(self):
        return self.store == StoreHealth.DOWN

    def room(self, now, host, caller):
        """(left, of, back) for an RPC of this source, as `Control.arrive` has it; None: no verdict on it."""
        self.rpcs += 1
        subjects = source_subject(host) if host else None, self.number(caller)
        for one in subjects:
            self.note(one, 2)
        if not self.against:
            return None
        stands = max(
            ((self.against.get(one, Restriction.NONE), one) for one in subjects if one is not None),
            default=(Restriction.NONE, None),
        )
        if stands[0] == Restriction.BLOCKED:
            self.turned_away += 1
            return 0, 0, self.figures.restriction_time
        if stands[0] != Restriction.THROTTLED:
            return None
        most = self.figures.throttled_rate
        left, at = self.tokens.get(stands[1], (most, now))
        left = min(most, left + (now - at) * most / SECOND)
        self.tokens[stands[1]] = max(0.0, left - 1), now
        return int(left), 1, SECOND // most
