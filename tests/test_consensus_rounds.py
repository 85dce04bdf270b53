"""Rounds of faults in virtual time, and planted defects that these rounds must find."""

from dataclasses import replace

import msgspec
import pytest

from finchcart.consensus import active_decisions, decision
from finchcart.consensus.active_decisions import ActiveDecision
from finchcart.consensus.config import SECOND
from finchcart.consensus.fleet_decisions import FleetDecisions
from finchcart.consensus.messages import (
    OperatorOverride,
)
from finchcart.consensus.overrides import Override, OverrideTable
from finchcart.consensus.store import ConsensusStore
from finchcart.fault_injection.consensus.fault_run import ConsensusFaultRun
from finchcart.fault_injection.virtual_time.invariants import InvariantError
from finchcart.membership.gossip import GossipEntryStore
from tests.consensus_examples import SHORT


@pytest.mark.parametrize("kind", ConsensusFaultRun.KINDS)
def test_a_round_of_each_kind_keeps_its_time_bounds(kind):
    run = ConsensusFaultRun(1, 6, (kind,), 1, consensus_config=SHORT)
    run.play()
    assert all(took <= bound for _, _, took, bound in run.timings)


def test_a_seed_replays_identically():
    assert len({ConsensusFaultRun(3, 5, ("flood",), 1, consensus_config=SHORT).play() for _ in range(2)}) == 1


def is_found(kinds, seeds=range(3), count=8, changes=(), config=SHORT, **more):
    """Whether one of the seeds breaks an invariant with the changes planted or with this configuration."""
    originals = [(owner, name, getattr(owner, name)) for owner, name, _ in changes]
    try:
        for owner, name, replacement in changes:
            setattr(owner, name, replacement)
        for seed in seeds:
            try:
                ConsensusFaultRun(seed, count, kinds, 2, consensus_config=config, **more).play()
            except InvariantError:
                return True
        return False
    finally:
        for owner, name, original in originals:
            setattr(owner, name, original)


entry_store_receive = GossipEntryStore.receive
entry_store_take = GossipEntryStore.take
decide_nodes = decision.decide_nodes


def receive_without_transit_time(self, now, entry, transit_us):
    entry_store_receive(self, now, entry, 0)


def take_with_age_zero(self, now, receiver_id, max_bytes):
    taken = entry_store_take(self, now, receiver_id, max_bytes)
    return [msgspec.structs.replace(entry, age_us=0) for entry in taken]


def keep_state_at_clock_gap(self, now):
    self.count("gaps")


class DecisionWithoutHoldTime(ActiveDecision):
    def __init__(self, now, *rest):
        super().__init__(now, *rest)
        self.hold_ends_at = now


def receive_without_precedence(self, now, message, ends_at, origin):
    self.by_subject[message.subject] = Override(message, ends_at, origin)
    return False


def issue_with_constant_number(self, now, request):
    duration_us = request.duration_us or 60 * SECOND
    message = OperatorOverride(
        request.subject, request.value, 1, 1, self.member.own_id, duration_us, request.reason
    )
    self.overrides.by_subject[message.subject] = Override(message, now + 60 * SECOND, self.name)
    return {"taken": True}


def eject_all_outliers(reports, config, member_count):
    return decide_nodes(reports, replace(config, max_ejected_fraction=1.0), member_count)


DEFECTS = {
    "a gossip entry is dated by its arrival": {
        "kinds": ("late",),
        "changes": [(GossipEntryStore, "receive", receive_without_transit_time)],
    },
    "a gossip entry is relayed with age zero": {
        "kinds": ("down", "late"),
        "changes": [(GossipEntryStore, "take", take_with_age_zero)],
    },
    "a node keeps its decisions from before a suspension": {
        "kinds": ("woken",),
        "changes": [(ConsensusStore, "_on_clock_gap", keep_state_at_clock_gap)],
    },
    "a decision has no hold time": {
        "kinds": ("flaps",),
        "changes": [(active_decisions, "ActiveDecision", DecisionWithoutHoldTime)],
    },
    "a twentieth of the votes decides on the store": {
        "kinds": ("zone",),
        "config": replace(SHORT, store_quorum=0.05),
    },
    "one report is enough for a source": {
        "kinds": ("few_lie",),
        "config": replace(SHORT, min_reports=1, source_quorum=0.0),
    },
    "the strictest reported level is decided": {
        "kinds": ("few_lie",),
        "changes": [(decision, "median_low", max)],
    },
    "all outliers are ejected at once": {
        "kinds": ("fail",),
        "changes": [(decision, "decide_nodes", eject_all_outliers)],
    },
    "a node considers itself ejected before other nodes' reports arrive": {
        "kinds": ("fail",),
        "seeds": range(8),
        "changes": [(FleetDecisions, "reaction_time_bound", lambda self, member: 0)],
    },
    "the override received last replaces a newer one": {
        "kinds": ("words",),
        "changes": [(OverrideTable, "receive", receive_without_precedence)],
    },
    "all overrides have the same number": {
        "kinds": ("words",),
        "changes": [(ConsensusStore, "issue_override", issue_with_constant_number)],
    },
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    assert is_found(**DEFECTS[name])
