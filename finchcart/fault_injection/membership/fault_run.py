"""Seeded runs of members on the virtual clock: faults of all kinds by chance, invariants after every step.

Owns what must hold whatever happens, and the choice of faults. It knows the truth from the faults that it
made; it must never read a member's view to excuse what the member did. A seed that fails replays identically.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import NoReturn, Unpack, cast

import xxhash

from finchcart.fault_injection.membership.faults import (
    CUT_KINDS,
    INBOUND_CUTS,
    KINDS,
    OUTBOUND_CUTS,
    PAIR_CUTS,
    PROCESS_FAULTS,
    ZONE_CUTS,
    CutKind,
    MembershipFault,
)
from finchcart.fault_injection.membership.simulation import (
    FLEET_NAME,
    MemberFactory,
    MembershipSimulation,
)
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.fault_injection.virtual_time.simulated_network import LinkRuleChanges
from finchcart.fleet.inputs import DatagramReceived, Leave, Shutdown
from finchcart.membership import messages
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.membership.effects import MemberChanged
from finchcart.membership.member import Member
from finchcart.membership.messages import DeclaredStatus
from finchcart.membership.records import MemberState

NAMES = [f"n{number:02d}" for number in range(12)]
DUPLICATE = "twin"  # the process that is started under another's name
ZONES = 4

JOIN_US = 6 * SECOND  # all know all by then
FAULTS_US = 40 * SECOND  # faults are made for so long
CALM_US = 12 * SECOND  # and then all must come together again
FORGOTTEN_US = 600 * SECOND
CLOCK_SET_BACK_MS = -3_600_000
MAX_DISTURBED = 4  # so many are disturbed at once, so that the rest is more than half of everybody's links
FLAP_US = 700_000
DISTURBED_LOSS = 0.4  # the loss that a disturbed link is taken to have

Pairs = list[tuple[str, str]]


class MembershipFaultRun:
    """One seed; `make` makes a member, so that a planted defect can be played."""

    def __init__(
        self, seed: int, make: MemberFactory = Member, kinds: Sequence[MembershipFault] | None = None
    ) -> None:
        self.seed = seed
        self.random = Random(f"faults {seed}")
        self.config = MembershipConfig(forget_after=FORGOTTEN_US)
        self.fleet = MembershipSimulation(NAMES, seed, self.config, watch=self._watch, make=make)
        self.fleet.add(DUPLICATE)
        self.trace = xxhash.xxh3_64()
        self.kinds = kinds or KINDS
        self.faults_over = False
        self.loss = 0.0
        self.down: dict[str, int] = {}  # name -> since when it is dead or gone
        # name -> until when its links may be too few, or it may be held for dead
        self.disturbed: dict[str, int] = {}
        self.duplicated: str | None = None  # whose name runs twice
        self.rows: dict[tuple[str, int], dict] = {}  # (name, generation) -> id -> the row it held last

    def play(self) -> str:
        """Return the digest of all that happened; `InvariantError` where something did not hold."""
        fleet = self.fleet
        for name in NAMES:
            self._disturb([name], fleet.now)
            fleet.start(name)
        fleet.run(JOIN_US, self.check_invariants)
        self.disturbed.clear()
        for name in NAMES:
            if any(fleet.state_seen(name, other) != "alive" for other in NAMES):
                self._fail(f"{name} does not know all others")
        end = fleet.now + FAULTS_US
        fleet.schedule(fleet.now, self._inject_fault)
        fleet.run(end, self.check_invariants)
        self.faults_over = True
        # Whatever is still going on ends by itself, at the latest a stop of 29 s; then all come together.
        while self.down or self._any_stopped() or fleet.now < end + CALM_US:
            fleet.run(fleet.now + SECOND, self.check_invariants)
        fleet.run(fleet.now + CALM_US, self.check_invariants)
        self._check_at_rest()
        return self.trace.hexdigest()

    def _any_stopped(self) -> bool:
        return any(process.stopped for process in self.fleet.processes.values())

    def _fail(self, text: str) -> NoReturn:
        raise InvariantError(f"seed {self.seed}, {self.fleet.now / SECOND:.3f} s: {text}")

    # ---- invariants

    def _watch(self, now: int, name: str, effect: tuple) -> None:
        self.trace.update(f"{now} {name} {effect}".encode())
        if not isinstance(effect, MemberChanged) or effect.state != MemberState.FAILED:
            return
        if self._is_steady(name) and self._is_steady(effect.name):
            self._fail(f"{name} holds {effect.name} to be failed, and both are well")

    def _is_steady(self, name: str) -> bool:
        if name in (DUPLICATE, self.duplicated):
            return False
        return name not in self.down and self.disturbed.get(name, 0) <= self.fleet.now

    def check_invariants(self, fleet: MembershipSimulation) -> None:
        """Check the bounds and the rows of the member that acted last."""
        name = fleet.last_active_name
        if name is None or name not in NAMES:
            return
        member = fleet.processes[name].machine
        if member is None:
            return
        self._check_bounds(name, member)
        self._check_rows(name, member)

    def _check_bounds(self, name: str, member: Member) -> None:
        config = member.config
        if (
            len(member.known_members) > config.max_members
            or len(member.table.updates) > config.max_pending_updates
        ):
            self._fail(f"{name} holds more than its bounds")
        if (
            member.outbox.sent_in_period > config.max_datagrams
            or len(member.links) > len(member.known_members) + 1
        ):
            self._fail(f"{name} sends or links more than its bounds")
        digest = 0
        for known in member.known_members.values():
            digest ^= known.digest if known.state not in ("failed", "left") else 0
        if member.table.digest != digest:
            self._fail(f"{name} keeps a digest that is not of its rows")

    def _check_rows(self, name: str, member: Member) -> None:
        """Rows only ever grow newer, and were written by their owner."""
        processes = self.fleet.processes
        rows = self.rows.setdefault((name, processes[name].generation), {})
        for other, known in member.known_members.items():
            before = rows.get(other)
            row = known.record
            if before is row:
                continue
            rows[other] = row
            if before is not None and row.precedence < before.precedence:
                self._fail(f"{name} took an older row of {row.name}")
            owner = processes[row.name].machine if row.name in processes else None
            if owner and owner.record.session == row.session and owner.record.precedence < row.precedence:
                self._fail(f"{name} holds a row of {row.name} that it never wrote")

    def _check_at_rest(self) -> None:
        """Check that all know all to be alive once nothing is wrong any more."""
        for name in NAMES:
            if name == self.duplicated:
                continue
            member = self.fleet.processes[name].machine
            if member.isolated:
                self._fail(f"{name} holds itself to be isolated, and nothing is wrong any more")
            states = {
                known.record.name: known.state
                for known in member.known_members.values()
                if known.record.status != DeclaredStatus.LEFT
            }
            wrong = {other: states.get(other) for other in NAMES if states.get(other) != "alive"}
            if wrong:
                self._fail(f"{name} holds {wrong}, and all are well")
        if self.duplicated is not None:
            self._check_duplicate(self.duplicated)

    def _check_duplicate(self, name: str) -> None:
        """Check that of two processes of one name the younger stands."""
        pair = [self.fleet.processes[each].machine for each in (name, DUPLICATE)]
        standing = [member for member in pair if not member.has_stepped_down]
        if len(standing) != 1:
            self._fail(f"{len(standing)} of two processes stand under the name {name}")
        youngest = max(member.record.start_order for member in pair)
        if standing[0].record.start_order != youngest:
            self._fail(f"the elder stands under the name {name}")

    # ---- faults

    def _disturb(self, names: Iterable[str], until: int) -> None:
        """Excuse members until then, and for as long after as others may take to come back to them."""
        until += self.config.staleness_bound(len(NAMES), max(self.loss, DISTURBED_LOSS)) + 2 * SECOND
        for name in names:
            self.disturbed[name] = max(self.disturbed.get(name, 0), until)

    def _inject_fault(self) -> None:
        fleet = self.fleet
        kind = self.random.choice(self.kinds)
        steady = [
            name
            for name in NAMES
            if self._is_steady(name) and fleet.processes[name].machine and not fleet.processes[name].stopped
        ]
        now = fleet.now
        until = now + self.random.randrange(3, 15) * SECOND
        if steady:  # a ring of cuts touches all: no other is disturbed then
            self._inject(kind, steady, until)
        following = self._no_fault if self.faults_over else self._inject_fault
        fleet.schedule(now + self.random.randrange(1, 6) * SECOND // 2, following)

    def _no_fault(self) -> None:
        """End the chain of faults."""

    def _inject(self, kind: MembershipFault, steady: list[str], until: int) -> None:
        disturbed_count = len(NAMES) - len(steady)
        if kind in PROCESS_FAULTS and disturbed_count < MAX_DISTURBED:
            self._inject_process_fault(kind, self.random.choice(steady), until)
        elif kind == MembershipFault.STARVE:
            process = self.fleet.processes[self.random.choice(steady)]
            process.tick_delay = self.random.randrange(50_000, 400_000)
            self.fleet.schedule(until, self._end_starvation, process.name)
        elif kind == MembershipFault.CUT:
            self._cut(self.random.choice(CUT_KINDS), steady, until, disturbed_count)
        elif kind == MembershipFault.LOSS and not self.loss:
            self._lose(until)
        elif kind == MembershipFault.FORGE:
            self._forge()

    def _inject_process_fault(self, kind: MembershipFault, name: str, until: int) -> None:
        fleet = self.fleet
        if kind == MembershipFault.STOP:
            until = fleet.now + self.random.randrange(8, 30) * SECOND
            self._disturb([name], until)
            fleet.stop(name)
            fleet.schedule(until, fleet.resume, name)
        elif kind == MembershipFault.DUPLICATE_NAME and self.duplicated is None:
            self.duplicated = name
            fleet.start(DUPLICATE, member_name=name)
        else:
            self.down[name] = fleet.now
            if kind == MembershipFault.TERMINATE:
                fleet.feed(name, Leave())
                fleet.feed(name, Shutdown())
            fleet.kill(name)
            offset_ms = CLOCK_SET_BACK_MS if kind == MembershipFault.CLOCK_SET_BACK else 0
            fleet.schedule(until, self._restart, name, offset_ms)

    def _restart(self, name: str, wall_clock_offset_ms: int) -> None:
        del self.down[name]
        self._disturb([name], self.fleet.now)
        self.fleet.start(name, wall_clock_offset_ms)

    def _end_starvation(self, name: str) -> None:
        self.fleet.processes[name].tick_delay = 0

    def _lose(self, until: int) -> None:
        """Let all links lose, double, swap and corrupt."""
        self.loss = self.random.choice([0.05, 0.1, 0.2, 0.3])
        self._set_rule(
            [(origin, target) for origin in NAMES for target in NAMES if origin != target],
            until,
            lose=self.loss,
            double=0.1,
            swap=0.1,
            spoil=0.02,
            jitter=30_000,
            burst=self.random.choice([0.0, 0.01]),
            burst_length=200_000,
        )
        self.fleet.schedule(until, self._end_loss)

    def _end_loss(self) -> None:
        self.loss = 0.0

    def _set_rule(self, pairs: Pairs, until: int, **changes: Unpack[LinkRuleChanges]) -> None:
        """Change the rules of these links until then."""
        for origin, target in pairs:
            self.fleet.network.set_rule(self.fleet.now, origin, target, changes)
        reset = cast(
            LinkRuleChanges,
            {name: 0 if isinstance(value, int) else 0.0 for name, value in changes.items()},
        )
        self.fleet.schedule(until, self._reset_rule, pairs, reset)

    def _reset_rule(self, pairs: Pairs, reset: LinkRuleChanges) -> None:
        for origin, target in pairs:
            self.fleet.network.set_rule(self.fleet.now, origin, target, reset)

    def _cut(self, kind: CutKind, steady: list[str], until: int, disturbed_count: int) -> None:
        pair = self.random.sample(steady, 2) if len(steady) > 1 else []
        zone_number = self.random.randrange(ZONES)
        if not pair:
            return
        origin, target = pair
        if kind in PAIR_CUTS:
            if disturbed_count <= 2:  # else one link fewer could put out who has just half left
                self._cut_pair(kind, origin, target, until)
        elif kind == CutKind.RING:
            if disturbed_count == 0:
                self._set_rule(list(zip(NAMES, NAMES[1:] + NAMES[:1], strict=True)), until, cut=True)
                self._disturb(NAMES, until)
        elif disturbed_count <= 1:
            zone = [name for name in NAMES if int(name[1:]) % ZONES == zone_number]
            self._cut_off(kind, zone if kind in ZONE_CUTS else [origin], until)

    def _cut_pair(self, kind: CutKind, origin: str, target: str, until: int) -> None:
        pairs = [(origin, target)]
        if kind != CutKind.ONE_WAY:
            pairs.append((target, origin))
        if kind == CutKind.FLAPPING:
            self._set_rule(pairs, until, flap=FLAP_US)
        else:
            self._set_rule(pairs, until, cut=True)

    def _cut_off(self, kind: CutKind, names: list[str], until: int) -> None:
        """Cut members off from all others, in one direction or both."""
        rest = [name for name in NAMES if name not in names]
        outbound = [(name, other) for name in names for other in rest]
        inbound = [(other, name) for name in names for other in rest]
        self._disturb(names, until)
        pairs = outbound + inbound
        if kind in INBOUND_CUTS:
            pairs = inbound
        elif kind in OUTBOUND_CUTS:
            pairs = outbound
        self._set_rule(pairs, until, cut=True)

    def _forge(self) -> None:
        """Send random bytes, and rows that claim what is impossible."""
        target = self.random.choice(NAMES)
        absurd = messages.MemberRecord(self.random.choice(NAMES), "10.9.9.9:1", 7, 2**52, 2**52, 1, 0, [])
        bad_address = messages.MemberRecord("odd", "10.0.0.999:1", 7, 1, 1, 1, 0, [])
        for data in (
            self.random.randbytes(40),
            messages.CODEC.encode(FLEET_NAME, messages.MemberRecords([absurd])),
            messages.CODEC.encode("other", messages.MemberRecords([absurd])),
            messages.CODEC.encode(FLEET_NAME, messages.MemberRecords([bad_address])),
        ):
            self.fleet.feed(target, DatagramReceived(("10.9.9.9", 1), data))
