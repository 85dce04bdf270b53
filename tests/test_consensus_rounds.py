"""Rounds of faults on the virtual clock, and planted defects that they find."""

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
def test_a_round_of_each_kind_holds_its_bounds(kind):
    run = ConsensusFaultRun(1, 6, (kind,), 1, consensus_config=SHORT)
    run.play()
    assert all(took <= bound for _, _, took, bound in run.timings)


def test_a_seed_replays_identically():
    assert len({ConsensusFaultRun(3, 5, ("flood",), 1, consensus_config=SHORT).play() for _ in range(2)}) == 1


def planted(kinds, seeds=range(3), count=8, changes=(), config=SHORT, **more):
    """Whether a seed of these rounds finds it."""
    before = [(where, name, getattr(where, name)) for where, name, _ in changes]
    try:
        for where, name, new in changes:
            setattr(where, name, new)
        for seed in seeds:
            try:
                ConsensusFaultRun(seed, count, kinds, 2, consensus_config=config, **more).play()
            except InvariantError:
                return True
        return False
    finally:
        for where, name, old in before:
            setattr(where, name, old)


entry_store_receive = GossipEntryStore.receive
entry_store_take = GossipEntryStore.take
decide_nodes = decision.decide_nodes


def receive_without_transit_time(self, now, entry, transit_us):
    entry_store_receive(self, now, entry, 0)


def take_as_new(self, now, receiver_id, max_bytes):
    taken = entry_store_take(self, now, receiver_id, max_bytes)
    return [msgspec.structs.replace(entry, age_us=0) for entry in taken]


def keep_what_stood(self, now):
    self.count("gaps")


class DecisionWithoutHold(ActiveDecision):
    def __init__(self, now, *rest):
        super().__init__(now, *rest)
        self.hold_ends_at = now


def receive_the_latest(self, now, message, ends_at, origin):
    self.by_subject[message.subject] = Override(message, ends_at, origin)
    return False


def issue_without_number(self, now, request):
    duration_us = request.duration_us or 60 * SECOND
    message = OperatorOverride(
        request.subject, request.value, 1, 1, self.member.own_id, duration_us, request.reason
    )
    self.overrides.by_subject[message.subject] = Override(message, now + 60 * SECOND, self.name)
    return {"taken": True}


def eject_all_outliers(reports, config, member_count):
    return decide_nodes(reports, replace(config, max_ejected_fraction=1.0), member_count)


DEFECTS = {
    "an entry is dated by its arrival": {
        "kinds": ("late",),
        "changes": [(GossipEntryStore, "receive", receive_without_transit_time)],
    },
    "an entry is passed on as new": {
        "kinds": ("down", "late"),
        "changes": [(GossipEntryStore, "take", take_as_new)],
    },
    "a node that was suspended keeps what stood": {
        "kinds": ("woken",),
        "changes": [(ConsensusStore, "_on_clock_gap", keep_what_stood)],
    },
    "a decision does not stand for a while": {
        "kinds": ("flaps",),
        "changes": [(active_decisions, "ActiveDecision", DecisionWithoutHold)],
    },
    "a few are enough for the store": {"kinds": ("zone",), "config": replace(SHORT, store_quorum=0.05)},
    "one report is enough for a source": {
        "kinds": ("few_lie",),
        "config": replace(SHORT, min_reports=1, source_quorum=0.0),
    },
    "the strictest level counts": {"kinds": ("few_lie",), "changes": [(decision, "median_low", max)]},
    "more may be ejected at once": {
        "kinds": ("fail",),
        "changes": [(decision, "decide_nodes", eject_all_outliers)],
    },
    "a node is ejected before others were heard": {
        "kinds": ("fail",),
        "seeds": range(8),
        "changes": [(FleetDecisions, "reaction_time_bound", lambda self, member: 0)],
    },
    "the override received last stands": {
        "kinds": ("words",),
        "changes": [(OverrideTable, "receive", receive_the_latest)],
    },
    "an override is no newer than another": {
        "kinds": ("words",),
        "changes": [(ConsensusStore, "issue_override", issue_without_number)],
    },
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name):
    assert planted(**DEFECTS[name])
