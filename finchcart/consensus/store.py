"""The consensus store: a state machine that combines the reports of all members with operators' overrides.

`reduce(now, event)` takes one input and returns effects. `on_member_tick(now, member)` is called with each
tick of the member, the membership protocol on whose heartbeats the reports are piggybacked. `now` is the boot
clock in whole microseconds. This module must never act on a decision, nor use I/O, a clock or a lock.

Inputs: those of finchcart/fleet/inputs.py and inputs.py. Effects: those of finchcart/fleet/effects.py and
`DecisionsChanged`.

Bounds: the reports of each member are limited to one gossip entry, overrides to `config.max_overrides`, and
decisions to the subjects that reports name.
"""

from typing import Any

from finchcart.consensus.change_log import DecisionChangeLog
from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.effects import DecisionsChanged
from finchcart.consensus.evidence import Evidence
from finchcart.consensus.fleet_decisions import FleetDecisions
from finchcart.consensus.inputs import ConsensusConfigChanged, EvidenceCollected
from finchcart.consensus.messages import (
    CODEC,
    ConsensusMessage,
    ConsensusStatusRequest,
    ConsensusStatusResponse,
    ObservationReport,
    OperatorOverride,
    OverrideRequest,
)
from finchcart.consensus.observations import Observer
from finchcart.consensus.publisher import ReportPublisher
from finchcart.consensus.status import ConsensusStatus, node_names
from finchcart.consensus.subjects import (
    EJECTED,
    HEALTHY,
    STORE_SUBJECT,
    Restriction,
    is_source,
    node_subject,
)
from finchcart.fleet.codec import DatagramError, HostPort, name_hash
from finchcart.fleet.effects import FleetEffect, SendDatagram
from finchcart.fleet.inputs import CommonInput, DatagramReceived, Shutdown
from finchcart.membership.member import Member

RESTRICTIONS = (Restriction.THROTTLED, Restriction.BLOCKED)
ZONE_HASH_BITS = 32

ConsensusInput = CommonInput | EvidenceCollected | ConsensusConfigChanged


class ConsensusStore:
    """One node's state of the fleet's consensus.

    Arguments:
        name: the name of this node.
        fleet: the name of the fleet.
        config: durations, thresholds and bounds.
        now: boot clock at start, microseconds.
    """

    def __init__(self, name: str, fleet: str, config: ConsensusConfig, now: int) -> None:
        self.name = name
        self.fleet = fleet
        self.config = config
        self.own_subject = node_subject(name)
        self.counts: dict[str, int] = {}
        zone = name_hash(config.zone) >> (64 - ZONE_HASH_BITS) if config.zone else 0
        self.observer = Observer(self.own_subject, config, zone)
        self.decisions = FleetDecisions(self.own_subject, config, self.count)
        self.overrides = self.decisions.overrides
        self.publisher = ReportPublisher(config)
        self.status_pages = ConsensusStatus(name, self.decisions, self.counts)
        self.change_log = DecisionChangeLog(self.own_subject)
        self.member: Member | None = None
        self.effects: list[FleetEffect] = []
        self.ended = False
        self.last_turn_at = now
        self._quiet_until = 0  # this node reports nothing before this time
        self._last_emitted: DecisionsChanged | None = None

    # ---- inputs

    def reduce(self, now: int, event: ConsensusInput) -> list[FleetEffect]:
        """Process one input; return the effects that the driver carries out."""
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
        self.observer.config = config
        self.publisher.config = config
        self.decisions.set_config(config)

    def count(self, reason: str) -> None:
        """Increment the counter of a reason."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def on_member_tick(self, now: int, member: Member) -> list[FleetEffect]:
        """Publish reports, update the decisions and return the effects; called once a tick of the member."""
        self.effects = []
        self.member = member
        if now - self.last_turn_at > member.config.clock_gap:
            self._on_clock_gap(now)
        self.last_turn_at = now
        self._receive_overrides(now, member)
        self.publisher.publish(now, member, self._own_reports(now), self.overrides)
        is_alone = member.isolated or member.has_stepped_down
        reports = self.collect_reports(now, member, is_alone=is_alone)
        self.decisions.update(now, member, reports, is_alone=is_alone)
        self._emit_changes(member)
        return self.effects

    def _on_clock_gap(self, now: int) -> None:
        """Drop the evidence and decisions from before a suspension; they may be out of date."""
        self.count("gaps")
        self.observer.reset()
        self._quiet_until = now + self.config.quiet_period
        self.decisions.on_clock_gap()
        self.publisher.on_clock_gap()

    # ---- reports and overrides

    def _own_reports(self, now: int) -> list[ObservationReport]:
        return self.observer.reports(now) if now >= self._quiet_until else []

    def collect_reports(
        self, now: int, member: Member, *, is_alone: bool
    ) -> dict[int, list[ObservationReport]]:
        """Return the accepted reports by member id, those of this node first."""
        reports: dict[int, list[ObservationReport]] = {}
        if now >= self._quiet_until:
            reports[member.own_id] = self.observer.reports(now)
        reports.update(self.decisions.collector.collect(now, member, is_alone))
        return reports

    def _receive_overrides(self, now: int, member: Member) -> None:
        for received in self.decisions.collector.new_overrides(member):
            self._receive_override(now, *received)
        self.overrides.expire(now)

    def _receive_override(self, now: int, message: OperatorOverride, ends_at: int, origin: str) -> None:
        if self.overrides.receive(now, message, ends_at, origin):
            self.publisher.on_new_override()

    # ---- effects on the core

    def _emit_changes(self, member: Member) -> None:
        """Emit the full set of decisions in force, if it changed, and a log line for each change."""
        values = self.decisions.values_in_force()
        emitted = self._decisions_for_core(values)
        if emitted == self._last_emitted:
            return
        self._last_emitted = emitted
        self.effects.append(emitted)
        decisions = self.decisions.active.by_subject
        self.effects += self.change_log.changes(values, decisions, node_names(member))

    def _decisions_for_core(self, values: dict[int, int]) -> DecisionsChanged:
        sources = {
            subject: value
            for subject, value in values.items()
            if is_source(subject) and value in RESTRICTIONS
        }
        return DecisionsChanged(
            store=values.get(STORE_SUBJECT, HEALTHY),
            sources=sources,
            is_ejected=values.get(self.own_subject) == EJECTED,
            minimum_level=round(self.decisions.minimum_level(), 3),
        )

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

    def _answer(self, now: int, message: ConsensusMessage) -> dict[str, Any]:
        if isinstance(message, OverrideRequest):
            return self.issue_override(now, message)
        if isinstance(message, ConsensusStatusRequest):
            return self.status(now, message.page)
        raise DatagramError("not asked for")

    def issue_override(self, now: int, request: OverrideRequest) -> dict[str, Any]:
        """Issue or revoke an operator's override; a revocation is kept until the revoked override would end.

        Returns:
            The fields of the response: whether the request is accepted; the reason if not, or else the time
            until all connected nodes act.
        """
        member = self.member
        if member is None:
            return {"taken": False, "why": "not started yet"}
        existing = self.overrides.get(request.subject)
        if not request.value and existing is None:
            return {"taken": False, "why": "no override of it is in force"}
        number = existing.message.number + 1 if existing else 1
        remaining = existing.ends_at - now if existing and not request.value else request.duration_us
        message = OperatorOverride(
            request.subject,
            request.value,
            number,
            member.record.incarnation,
            member.own_id,
            remaining,
            request.reason,
        )
        self._receive_override(now, message, now + remaining, self.name)
        self.publisher.publish_newest_overrides(now, member, self.overrides)
        return {"taken": True, "acts_within_ms": self.decisions.reaction_time_bound(member) // 1000}

    def status(self, now: int, page: int = 0) -> dict[str, Any]:
        """Return one page of the status for operators."""
        member = self.member
        if member is None:
            return self.status_pages.empty_page()

        def collect() -> dict[int, list[ObservationReport]]:
            return self.collect_reports(self.last_turn_at, member, is_alone=False)

        return self.status_pages.page(now, member, collect, page)
