"""Allocation of strict limits by planners to lease holders, in simulations and message by message."""

import dataclasses

from finchcart.fault_injection.quota.fault_run import QuotaFaultRun
from finchcart.fault_injection.quota.process import QuotaFactories
from finchcart.fault_injection.quota.simulation import QuotaSimulation
from finchcart.fleet.inputs import DatagramReceived
from finchcart.quota import messages
from finchcart.quota.effects import LimitAllowance
from finchcart.quota.held_lease import LeaseId
from finchcart.quota.inputs import QuotaConfigChanged
from finchcart.quota.limits import SECOND, Limit, QuotaConfig
from finchcart.quota.local_limits import LocalLimits
from tests.quota_messages import (
    CONFIG,
    HOLDER_ADDRESS,
    answer_with_lease,
    datagram_with,
    elected,
    request_lease,
    requesting_holder,
    sent,
)


def test_demand_that_alternates_between_two_holders_changes_allocations_little():
    """Allocations don't oscillate, as the planner counts the greater of each holder's last two demands."""
    leader, now = elected(QuotaFactories())
    now += CONFIG.takeover_wait + 1
    leader.election.leads_until = now + 99 * SECOND
    held = {1: LeaseId(0, 0), 2: LeaseId(0, 0)}
    amounts = {1: 0, 2: 0}
    moved, before = 0, None
    for turn in range(20):
        for n in held:
            now += 250_000
            lease = request_lease(
                leader,
                now,
                f"n{n}",
                session=n,
                sequence=turn + 1,
                held=held[n],
                in_use=amounts[n],
                demand=40 if turn % 2 == n % 2 else 0,
                oldest_sequence=turn + 1,
            )
            held[n] = LeaseId(leader.election.term, lease.number)
            amounts[n] = lease.amount
        if turn > 6:
            moved += abs(amounts[1] - before[1])
        before = dict(amounts)
    assert moved <= 2
    assert min(before.values()) >= 18


def test_a_holder_that_overstates_its_demand_gets_no_more_than_its_max_min_share():
    fleet = QuotaSimulation(2, holders=4)
    for name in fleet.processes:
        fleet.start(name)
        fleet.processes[name].demand = 20 if name[0] == "n" else 0
    fleet.processes["n1"].overstates_demand = True
    fleet.run(12 * SECOND, fleet.after_step)
    assert fleet.processes["n1"].amount <= 34 // 4 + 1
    assert min(fleet.processes[f"n{n}"].amount for n in (0, 2, 3)) >= 34 // 4 - 1


def test_a_message_of_another_fleet_on_the_same_address_is_dropped():
    leader, now = elected(QuotaFactories())
    before = dict(leader.allocator.holders)
    demand = messages.LimitDemand("store", 0, 0, 0, 9, 0)
    data = messages.CODEC.encode("g", messages.LeaseRequest("n1", 1, 1, 1, False, [demand]))
    effects = leader.reduce(now + 1, DatagramReceived(HOLDER_ADDRESS, data))
    assert not effects
    assert leader.allocator.holders == before
    assert leader.counts["another fleet"] == 1


def test_a_limit_that_the_planners_do_not_know_stays_at_its_floor():
    leader, now = elected(QuotaFactories())
    now += CONFIG.takeover_wait + 1
    leader.election.leads_until = now + 9 * SECOND
    demand = messages.LimitDemand("other", 0, 0, 0, 9, 0)
    answers = sent(
        leader.reduce(
            now, datagram_with(messages.LeaseRequest("n1", 1, 1, 1, False, [demand]), HOLDER_ADDRESS)
        )
    )
    assert answers[0].leases == []
    assert leader.counts["a holder knows no limit store"] == 1


def test_seeded_runs_keep_the_limit_and_replay_identically():
    traces = [QuotaFaultRun(seed).play(30) for seed in (1, 1, 2, 3, 4, 5, 6, 7)]
    assert traces[0] == traces[1] != traces[2]


def test_a_new_configuration_adds_and_removes_limits_and_keeps_the_leases_of_the_others():
    lease_holder = requesting_holder(QuotaFactories())
    answer_with_lease(lease_holder, 1000, 5, 1, 1, 10)
    store, other = Limit("store", 50), Limit("other", 9, floor=2)
    assert not lease_holder.reduce(
        2000, QuotaConfigChanged(dataclasses.replace(CONFIG, limits=(store, other)))
    )
    assert lease_holder.held["store"].amount == 10
    assert lease_holder.held["store"].limit is store
    effects = lease_holder.reduce(3000, QuotaConfigChanged(dataclasses.replace(CONFIG, limits=(other,))))
    assert effects == [LimitAllowance("store", None, 0, 0)]
    assert type(effects[0]) is LimitAllowance  # `==` holds also between named tuples of different types
    assert list(lease_holder.held) == ["other"]
    loose = [Limit(name, 9, mode="loose") for name in ("a", "b")]
    local = LocalLimits(QuotaConfig(limits=(loose[0],)), 0)
    effects = local.reduce(0, QuotaConfigChanged(QuotaConfig(limits=(loose[1],))))
    assert effects == [LimitAllowance("a", None, 0, 0)]
    assert type(effects[0]) is LimitAllowance
    assert list(local.allocations) == ["b"]


def set_demand(fleet, **demands):
    """Set the demands of these nodes."""
    for name, demand in demands.items():
        fleet.processes[name].demand = demand


def test_allocations_follow_demand_and_recover_within_their_bounds():
    fleet = QuotaSimulation(1, holders=6, quota=QuotaConfig(limits=(Limit("store", 60, 1),), max_processes=8))
    for name in fleet.processes:
        fleet.start(name)
    fleet.run(fleet.now + fleet.quota.recovery_bound(), fleet.after_step)
    set_demand(fleet, n0=60)
    fleet.run(fleet.now + fleet.quota.rebalancing_bound(), fleet.after_step)
    assert fleet.processes["n0"].amount >= 0.9 * 52
    set_demand(fleet, n0=0, n1=30, n2=30, n3=30)
    fleet.run(fleet.now + fleet.quota.rebalancing_bound(), fleet.after_step)
    assert all(fleet.processes[name].amount >= 14 for name in ("n1", "n2", "n3"))
    for name in ("p0", "p1", "p2"):
        fleet.kill(name)
    fleet.run(fleet.now + fleet.quota.fallback_bound() + 100_000, fleet.after_step)
    assert all(fleet.processes[f"n{n}"].amount == 0 for n in range(6))
    assert fleet.count()[0] <= 6, "without planners, only the floors are used"
    for name in ("p0", "p1", "p2"):
        fleet.start(name)
    fleet.run(fleet.now + fleet.quota.recovery_bound(), fleet.after_step)
    assert sum(fleet.processes[f"n{n}"].amount for n in range(6)) > 10
