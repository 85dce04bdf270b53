"""The consensus store of a node: its reports, those of the others, operators' overrides, and what follows.

Owns the joining of them. `reduce(now, event)` takes one input and returns effects, and `turn(now, member)`
comes with each tick of the member on whose heartbeats the reports are piggybacked; no I/O, clock or lock.
`now` is the boot clock in whole microseconds. It must never act on a decision.

Inputs: those of finchcart/fleet/inputs.py and inputs.py. Effects: those of finchcart/fleet/effects.py and
`DecisionsChanged`.

Bounds: reports one gossip entry a member, overrides `config.max_overrides`, decisions by what reports
there are.
"""

from dataclasses import replace
from typing import Any

from finchcart.consensus.collector import ReportCollector
from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.decision import Decision, decide
from finchcart.consensus.effects import DecisionsChanged
from finchcart.consensus.inputs import ConsensusConfigChanged, EvidenceCollected
from finchcart.consensus.messages import (
    CODEC,
    ConsensusStatusRequest,
    ConsensusStatusResponse,
    ObservationReport,
    OperatorOverride,
    OverrideRequest,
)
from finchcart.consensus.observations import Evidence, Observer
from finchcart.consensus.overrides import Override, OverrideTable
from finchcart.consensus.standing import StandingDecisions
from finchcart.consensus.status import ConsensusStatus
from finchcart.consensus.subjects import (
    EJECTED,
    GOOD,
    LEVEL_SCALE,
    LEVEL_SUBJECT,
    STORE_SUBJECT,
    Restriction,
    SubjectKind,
    describe,
    is_source,
    kind_of,
    node_subject,
)
from finchcart.fleet.codec import DatagramError, HostPort, encode_value, name_hash
from finchcart.fleet.effects import Effect, LogLine, SendDatagram
from finchcart.fleet.inputs import CommonInput, DatagramReceived, Shutdown
from finchcart.membership.member import Member
from finchcart.membership.messages import GossipTopic

RESTRICTIONS = (Restriction.THROTTLED, Restriction.BLOCKED)
NO_LEVEL = Decision(0, 0, 0)


ConsensusInput = CommonInput | EvidenceCollected | ConsensusConfigChanged


class ConsensusStore:
    """What one node holds the fleet to have decided.

    Arguments:
        name: of this node.
        fleet: the name of the fleet.
        config: spans, thresholds and bounds.
        now: boot clock at start, microseconds.
    """

    def __init__(self, name: str, fleet: str, config: ConsensusConfig, now: int) -> None:
        self.name = name
        self.fleet = fleet
        self.config = config
        self.own_subject = node_subject(name)
        zone = name_hash(config.zone) >> 32 if config.zone else 0
        self.observer = Observer(self.own_subject, config, zone)
        self.collector = ReportCollector(config, self.count)
        self.overrides = OverrideTable(config.max_overrides)
        self.standing = StandingDecisions(self.own_subject, config)
        self.member: Member | None = None
        self.level = 0.0  # of load shedding, as the fleet decides it
        self.counts: dict[str, int] = {}
        self.effects: list[Effect] = []
        self.ended = False
        self._status = ConsensusStatus(self)
        self.last_turn_at = now
        self._quiet_until = 0  # reports nothing before
        self._published: list[ObservationReport] | None = None
        self._published_at = 0
        self._overrides_published_at = 0
        self._overrides_read: dict[
            int, tuple[int, int]
        ] = {}  # member id -> precedence of the entry read last
        self._decided_from: tuple | None = None
        self._decisions: dict[int, Decision] = {}
        self._handed_out: DecisionsChanged | None = None
        self._logged: dict[int, int] = {}

    # ---- inputs

    def reduce(self, now: int, event: ConsensusInput) -> list[Effect]:
        """Take one input; return the effects that the driver carries out."""
        self.effects = []
        match event:
            case EvidenceCollected(evidence):
                self._on_evidence(now, evidence)
            case DatagramReceived(address, data):
                self._on_datagram(now, address, data)
            case ConsensusConfigChanged(config):
                self._on_config(config)
            case Shutdown():
                self.ended = True
        return self.effects

    def _on_evidence(self, now: int, evidence: Evidence) -> None:
        if now >= self._quiet_until:
            self.observer.observe(now, evidence)

    def _on_config(self, config: ConsensusConfig) -> None:
        self.config = config
        for owner in (self.observer, self.collector, self.standing):
            owner.config = config
        self.overrides.max_overrides = config.max_overrides

    def count(self, reason: str) -> None:
        """Adds one to the counter of a reason."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def turn(self, now: int, member: Member) -> list[Effect]:
        """Once a tick of the member: reports, decides, and hands out what changed."""
        self.effects = []
        self.member = member
        if now - self.last_turn_at > member.config.clock_gap:
            self._on_clock_gap(now)
        self.last_turn_at = now
        self._read_overrides(now)
        self._publish(now)
        self._decide(now, is_alone=member.isolated or member.yielded)
        self._hand_out()
        return self.effects

    def _on_clock_gap(self, now: int) -> None:
        """What was seen and decided is of before; others may have seen otherwise meanwhile."""
        self.count("gaps")
        self.observer.forget()
        self._quiet_until = now + self.config.quiet_period
        self.standing.clear()
        self.collector.on_clock_gap()
        self._published = None

    # ---- what this node publishes

    def _publish(self, now: int) -> None:
        """At once where it matters, else with the usual heartbeats, and again before others take it for
        void."""
        reports = self.observer.reports(now) if now >= self._quiet_until else []
        age = now - self._published_at
        is_new = self._published is None or reports != self._published
        if (is_new and age >= self.config.min_publish_interval) or age >= self.config.report_lifetime // 3:
            is_urgent = self._published is None or _urgent_part(reports) != _urgent_part(self._published)
            self._published = reports
            self._published_at = now
            payload = encode_value(reports)
            self.member.publish(now, GossipTopic.OBSERVATIONS, [], payload, is_urgent=is_urgent)
        if len(self.overrides) and now - self._overrides_published_at >= self.config.min_publish_interval:
            self._publish_overrides_in_turn(now)

    def _publish_overrides_in_turn(self, now: int) -> None:
        chosen = self.overrides.next_in_turn()
        is_recent = now - self._overrides_published_at < self.config.report_lifetime // 3
        if len(chosen) < len(self.overrides) or not is_recent:
            self._publish_overrides(now, chosen)

    def _publish_overrides(self, now: int, overrides: list[Override], *, is_urgent: bool = False) -> None:
        self._overrides_published_at = now
        payload = encode_value([override.as_sent(now) for override in overrides])
        self.member.publish(now, GossipTopic.OVERRIDES, [], payload, is_urgent=is_urgent)

    # ---- what others publish

    def collect_reports(self, now: int, *, is_alone: bool) -> dict[int, list[ObservationReport]]:
        """id of a member -> reports that count, this node's first."""
        reports: dict[int, list[ObservationReport]] = {}
        if now >= self._quiet_until:
            reports[self.member.own_id] = self.observer.reports(now)
        reports.update(self.collector.collect(now, self.member, is_alone))
        return reports

    def _read_overrides(self, now: int) -> None:
        for received in self.collector.new_overrides(self.member):
            self._receive_override(now, *received)
        self.overrides.expire(now)

    def _receive_override(self, now: int, message: OperatorOverride, ends_at: int, origin: str) -> None:
        if self.overrides.receive(now, message, ends_at, origin):
            self._overrides_published_at = 0  # gossiped with this tick

    # ---- what is decided

    def _decide(self, now: int, *, is_alone: bool) -> None:
        reports = self.collect_reports(now, is_alone=is_alone)
        decided_from = reports, self.collector.member_count, is_alone, self.config
        if decided_from != self._decided_from:
            # Without contact the own reports are enough, and the only ones.
            config = (
                replace(self.config, min_reports=1, min_zones=1, source_quorum=0.0)
                if is_alone
                else self.config
            )
            self._decided_from = decided_from
            self._decisions = decide(reports, config, self.collector.member_count)
        decisions = dict(self._decisions)
        self.level = decisions.pop(LEVEL_SUBJECT, NO_LEVEL).value / LEVEL_SCALE
        self.standing.update(now, decisions, self.acts_within())

    def values_in_force(self) -> dict[int, int]:
        """subject -> value: of decisions, and over them the overrides of operators."""
        values = self.standing.values()
        for subject, override in self.overrides.by_subject.items():
            if override.message.value and kind_of(subject) != SubjectKind.LEVEL:
                values[subject] = override.message.value
        return values

    def minimum_level(self) -> float:
        """Below this the node may not go: the fleet's level less the step, or an operator's override."""
        overridden = self.overrides.active_value(LEVEL_SUBJECT)
        if overridden:
            return overridden / LEVEL_SCALE
        return max(0.0, self.level - self.config.level_step)

    def acts_within(self) -> int:
        """Microseconds until all connected nodes act, at the measured loss and lateness."""
        member = self.member
        return self.config.acts_within(
            member.config, self.collector.member_count, member.loss, member.lateness
        )

    # ---- what is handed out

    def _hand_out(self) -> None:
        """Tells the core all that is in force, where it changed."""
        values = self.values_in_force()
        handed_out = self._decisions_for_core(values)
        if handed_out == self._handed_out:
            return
        self._handed_out = handed_out
        self.effects.append(handed_out)
        self._log_changes(values)

    def _decisions_for_core(self, values: dict[int, int]) -> DecisionsChanged:
        sources = {
            subject: value
            for subject, value in values.items()
            if is_source(subject) and value in RESTRICTIONS
        }
        return DecisionsChanged(
            store=values.get(STORE_SUBJECT, GOOD),
            sources=sources,
            is_ejected=values.get(self.own_subject) == EJECTED,
            minimum_level=round(self.minimum_level(), 3),
        )

    def _log_changes(self, values: dict[int, int]) -> None:
        before = self._logged
        self._logged = {
            subject: value
            for subject, value in values.items()
            if kind_of(subject) != SubjectKind.NODE or subject == self.own_subject
        }
        for subject in {**before, **self._logged}:
            if before.get(subject) != self._logged.get(subject):
                self._log(subject, self._logged.get(subject, GOOD))

    def _log(self, subject: int, value: int) -> None:
        kind, name, word = describe(subject, value, self.node_names())
        standing = self.standing.by_subject.get(subject)
        votes = f"{standing.votes} of {standing.voters}" if standing else ""
        text = f"verdict {kind} {name} {word}".replace("  ", " ")
        fields = {"kind": kind, "subject": name, "value": word, "votes": votes}
        self.effects.append(LogLine(text, fields))

    def node_names(self) -> dict[int, str]:
        """subject of a node -> its name, of all members."""
        if self.member is None:
            return {self.own_subject: self.name}
        names = (known.record.name for known in self.member.known_members.values())
        return {node_subject(name): name for name in names}

    # ---- the command line

    def _on_datagram(self, now: int, address: HostPort, data: bytes) -> None:
        self.count("received")
        try:
            message = CODEC.decode(self.fleet, data)
            view = self._answer(now, message)
            answer = CODEC.encode_bounded(self.fleet, ConsensusStatusResponse(message.number, view))
        except DatagramError as error:
            self.count(str(error))
            return
        self.effects.append(SendDatagram(address, answer))

    def _answer(
        self, now: int, message: ConsensusStatusRequest | OverrideRequest | ConsensusStatusResponse
    ) -> dict[str, Any]:
        if isinstance(message, OverrideRequest):
            return self.issue_override(now, message)
        if isinstance(message, ConsensusStatusRequest):
            return self.status(now, message.page)
        raise DatagramError("not asked for")

    def issue_override(self, now: int, request: OverrideRequest) -> dict[str, Any]:
        """Takes an operator's override, or revokes one; a revocation lasts as long as what it revokes.

        Returns what the operator is told: whether it is taken, and why not, or by when all nodes act.
        """
        if self.member is None:
            return {"taken": False, "why": "not started yet"}
        held = self.overrides.get(request.subject)
        if not request.value and held is None:
            return {"taken": False, "why": "nothing is said of it"}
        number = held.message.number + 1 if held else 1
        remaining = held.ends_at - now if held and not request.value else request.duration_us
        message = OperatorOverride(
            request.subject,
            request.value,
            number,
            self.member.record.incarnation,
            self.member.own_id,
            remaining,
            request.reason,
        )
        self._receive_override(now, message, now + remaining, self.name)
        self._publish_overrides(now, self.overrides.newest(), is_urgent=True)
        return {"taken": True, "acts_within_ms": self.acts_within() // 1000}

    def status(self, now: int, page: int = 0) -> dict[str, Any]:
        """One page of what is in force, as an operator sees it."""
        return self._status.page(now, page)


def _urgent_part(reports: list[ObservationReport]) -> list[tuple[int, ...]]:
    """What a change of is published at once: not of the level or a node, nor of how much a source does."""
    return [
        report[:2] if is_source(report.subject) else report
        for report in reports
        if kind_of(report.subject) not in (SubjectKind.LEVEL, SubjectKind.NODE)
    ]
