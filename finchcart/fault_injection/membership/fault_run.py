"""Seeded runs of members on a virtual clock: injects random faults and checks invariants after every step.

This module owns the invariants and the choice of faults. It knows the actual state of each member from the
faults that it injected, and must never use a member's own view to excuse that member's behaviour. A run
depends only on its seed, so a seed that fails can be replayed identically.
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
DUPLICATE = "twin"  # the process that is started with another process's member name
ZONES = 4

JOIN_US = 6 * SECOND  # every member knows all others by this time
FAULT_PERIOD_US = 40 * SECOND  # faults are injected for this time
RECOVERY_US = 12 * SECOND  # every member knows all others again after this time without faults
FORGET_AFTER_US = 600 * SECOND
CLOCK_SET_BACK_MS = -3_600_000
MAX_DISTURBED = 4  # leaves every member with more than half of its links undisturbed
FLAP_INTERVAL_US = 700_000
DISTURBED_LOSS = 0.4  # assumed loss rate of a disturbed link

Links = list[tuple[str, str]]


class MembershipFaultRun:
    """A run of one seed; `make` creates a member; tests replace it to plant a defect."""

    def __init__(
        self, seed: int, make: MemberFactory = Member, kinds: Sequence[MembershipFault] | None = None
    ) -> None:
        self.seed = seed
        self.random = Random(f"faults {seed}")
        self.config = MembershipConfig(forget_after=FORGET_AFTER_US)
        self.fleet = MembershipSimulation(NAMES, seed, self.config, watch=self._watch, make=make)
        self.fleet.add(DUPLICATE)
        self.trace = xxhash.xxh3_64()
        self.kinds = kinds or KINDS
        self.faults_over = False
        self.loss = 0.0
        self.down: dict[str, int] = {}  # name -> time at which the member was killed or left
        # name -> time until which the member may have too few links or be considered failed
        self.disturbed: dict[str, int] = {}
        self.duplicated: str | None = None  # the member name that two processes have
        self.last_records: dict[tuple[str, int], dict] = {}  # (name, generation) -> id -> last record

    def play(self) -> str:
        """Run the seed; return the digest of all effects, or raise `InvariantError` on a violation."""
        fleet = self.fleet
        for name in NAMES:
            self._disturb([name], fleet.now)
            fleet.start(name)
        fleet.run(JOIN_US, self.check_invariants)
        self.disturbed.clear()
        for name in NAMES:
            if any(fleet.state_seen(name, other) != "alive" for other in NAMES):
                self._fail(f"{name} does not consider all others alive")
        end = fleet.now + FAULT_PERIOD_US
        fleet.schedule(fleet.now, self._inject_fault)
        fleet.run(end, self.check_invariants)
        self.faults_over = True
        # The remaining faults end on their own, at the latest a stop of 29 s; then all members recover.
        while self.down or self._any_stopped() or fleet.now < end + RECOVERY_US:
            fleet.run(fleet.now + SECOND, self.check_invariants)
        fleet.run(fleet.now + RECOVERY_US, self.check_invariants)
        self._check_recovered()
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
        if self._is_healthy(name) and self._is_healthy(effect.name):
            self._fail(f"{name} considers {effect.name} failed, although both are healthy")

    def _is_healthy(self, name: str) -> bool:
        if name in (DUPLICATE, self.duplicated):
            return False
        return name not in self.down and self.disturbed.get(name, 0) <= self.fleet.now

    def check_invariants(self, fleet: MembershipSimulation) -> None:
        """Check the bounds and the records of the member that acted last."""
        name = fleet.last_active_name
        if name is None or name not in NAMES:
            return
        member = fleet.processes[name].machine
        if member is None:
            return
        self._check_bounds(name, member)
        self._check_records(name, member)

    def _check_bounds(self, name: str, member: Member) -> None:
        config = member.config
        if (
            len(member.known_members) > config.max_members
            or len(member.table.updates) > config.max_pending_updates
        ):
            self._fail(f"{name} has more members or pending updates than the configured maximum")
        if (
            member.outbox.sent_in_period > config.max_datagrams
            or len(member.links) > len(member.known_members) + 1
        ):
            self._fail(f"{name} exceeds its maximum of datagrams in a period or of links")
        digest = 0
        for known in member.known_members.values():
            digest ^= known.digest if known.state not in ("failed", "left") else 0
        if member.table.digest != digest:
            self._fail(f"{name} has a digest that does not match its records")

    def _check_records(self, name: str, member: Member) -> None:
        """Check that records are only replaced by newer ones, and that their owner wrote them."""
        processes = self.fleet.processes
        last_records = self.last_records.setdefault((name, processes[name].generation), {})
        for other, known in member.known_members.items():
            previous = last_records.get(other)
            record = known.record
            if previous is record:
                continue
            last_records[other] = record
            if previous is not None and record.precedence < previous.precedence:
                self._fail(f"{name} replaced the record of {record.name} by an older one")
            owner = processes[record.name].machine if record.name in processes else None
            if (
                owner
                and owner.record.session == record.session
                and owner.record.precedence < record.precedence
            ):
                self._fail(f"{name} has a record of {record.name} that its owner never wrote")

    def _check_recovered(self) -> None:
        """Check that every member considers all others alive after all faults have ended."""
        for name in NAMES:
            if name == self.duplicated:
                continue
            member = self.fleet.processes[name].machine
            if member.isolated:
                self._fail(f"{name} considers itself isolated, although all faults have ended")
            states = {
                known.record.name: known.state
                for known in member.known_members.values()
                if known.record.status != DeclaredStatus.LEFT
            }
            not_alive = {other: states.get(other) for other in NAMES if states.get(other) != "alive"}
            if not_alive:
                self._fail(f"{name} has the states {not_alive}, although all members are alive")
        if self.duplicated is not None:
            self._check_duplicate(self.duplicated)

    def _check_duplicate(self, name: str) -> None:
        """Check that of two processes with the same name only the one that started last remains active."""
        pair = [self.fleet.processes[process_name].machine for process_name in (name, DUPLICATE)]
        active = [member for member in pair if not member.has_stepped_down]
        if len(active) != 1:
            self._fail(f"{len(active)} of two processes with the name {name} are active, expected one")
        newest_start_order = max(member.record.start_order for member in pair)
        if active[0].record.start_order != newest_start_order:
            self._fail(f"the older of two processes with the name {name} is active")

    # ---- faults

    def _disturb(self, names: Iterable[str], until: int) -> None:
        """Mark members as disturbed until `until`, extended by the time in which others may recover them."""
        until += self.config.staleness_bound(len(NAMES), max(self.loss, DISTURBED_LOSS)) + 2 * SECOND
        for name in names:
            self.disturbed[name] = max(self.disturbed.get(name, 0), until)

    def _inject_fault(self) -> None:
        fleet = self.fleet
        kind = self.random.choice(self.kinds)
        healthy = [
            name
            for name in NAMES
            if self._is_healthy(name) and fleet.processes[name].machine and not fleet.processes[name].stopped
        ]
        now = fleet.now
        until = now + self.random.randrange(3, 15) * SECOND
        if healthy:  # empty during a ring of cuts, which disturbs all members
            self._inject(kind, healthy, until)
        next_action = self._inject_nothing if self.faults_over else self._inject_fault
        fleet.schedule(now + self.random.randrange(1, 6) * SECOND // 2, next_action)

    def _inject_nothing(self) -> None:
        """Do nothing, so that no further fault is scheduled."""

    def _inject(self, kind: MembershipFault, healthy: list[str], until: int) -> None:
        disturbed_count = len(NAMES) - len(healthy)
        if kind in PROCESS_FAULTS and disturbed_count < MAX_DISTURBED:
            self._inject_process_fault(kind, self.random.choice(healthy), until)
        elif kind == MembershipFault.STARVE:
            process = self.fleet.processes[self.random.choice(healthy)]
            process.tick_delay = self.random.randrange(50_000, 400_000)
            self.fleet.schedule(until, self._end_starvation, process.name)
        elif kind == MembershipFault.CUT:
            self._cut(self.random.choice(CUT_KINDS), healthy, until, disturbed_count)
        elif kind == MembershipFault.LOSS and not self.loss:
            self._inject_loss(until)
        elif kind == MembershipFault.FORGE:
            self._send_forged_datagrams()

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

    def _inject_loss(self, until: int) -> None:
        """Let all links lose, duplicate, reorder and corrupt messages until `until`."""
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

    def _set_rule(self, links: Links, until: int, **changes: Unpack[LinkRuleChanges]) -> None:
        """Change the rules of these links until `until`."""
        for origin, target in links:
            self.fleet.network.set_rule(self.fleet.now, origin, target, changes)
        reset = cast(
            LinkRuleChanges,
            {name: 0 if isinstance(value, int) else 0.0 for name, value in changes.items()},
        )
        self.fleet.schedule(until, self._reset_rule, links, reset)

    def _reset_rule(self, links: Links, reset: LinkRuleChanges) -> None:
        for origin, target in links:
            self.fleet.network.set_rule(self.fleet.now, origin, target, reset)

    def _cut(self, kind: CutKind, healthy: list[str], until: int, disturbed_count: int) -> None:
        pair = self.random.sample(healthy, 2) if len(healthy) > 1 else []
        zone_number = self.random.randrange(ZONES)
        if not pair:
            return
        origin, target = pair
        if kind in PAIR_CUTS:
            # With more, one cut link could isolate a member that has only half of its links left.
            if disturbed_count <= 2:
                self._cut_pair(kind, origin, target, until)
        elif kind == CutKind.RING:
            if disturbed_count == 0:
                self._set_rule(list(zip(NAMES, NAMES[1:] + NAMES[:1], strict=True)), until, cut=True)
                self._disturb(NAMES, until)
        elif disturbed_count <= 1:
            zone = [name for name in NAMES if int(name[1:]) % ZONES == zone_number]
            self._cut_off(kind, zone if kind in ZONE_CUTS else [origin], until)

    def _cut_pair(self, kind: CutKind, origin: str, target: str, until: int) -> None:
        links = [(origin, target)]
        if kind != CutKind.ONE_WAY:
            links.append((target, origin))
        if kind == CutKind.FLAPPING:
            self._set_rule(links, until, flap=FLAP_INTERVAL_US)
        else:
            self._set_rule(links, until, cut=True)

    def _cut_off(self, kind: CutKind, names: list[str], until: int) -> None:
        """Cut off members from all others, in one direction or both."""
        rest = [name for name in NAMES if name not in names]
        outbound = [(name, other) for name in names for other in rest]
        inbound = [(other, name) for name in names for other in rest]
        self._disturb(names, until)
        links = outbound + inbound
        if kind in INBOUND_CUTS:
            links = inbound
        elif kind in OUTBOUND_CUTS:
            links = outbound
        self._set_rule(links, until, cut=True)

    def _send_forged_datagrams(self) -> None:
        """Send random bytes, and records with impossible content."""
        target = self.random.choice(NAMES)
        impossible_record = messages.MemberRecord(
            self.random.choice(NAMES), "10.9.9.9:1", 7, 2**52, 2**52, 1, 0, []
        )
        bad_address = messages.MemberRecord("odd", "10.0.0.999:1", 7, 1, 1, 1, 0, [])
        for data in (
            self.random.randbytes(40),
            messages.CODEC.encode(FLEET_NAME, messages.MemberRecords([impossible_record])),
            messages.CODEC.encode("other", messages.MemberRecords([impossible_record])),
            messages.CODEC.encode(FLEET_NAME, messages.MemberRecords([bad_address])),
        ):
            self.fleet.feed(target, DatagramReceived(("10.9.9.9", 1), data))
