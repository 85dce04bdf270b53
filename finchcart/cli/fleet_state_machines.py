"""The state machines of a node that takes part in a fleet, made from its settings.

Owns which of them there are, and how they are connected. They are run by net/datagrams.py.
"""

import random
from dataclasses import replace

from msgspec import UNSET

from finchcart.consensus import messages as consensus_messages
from finchcart.consensus.store import ConsensusStore
from finchcart.fleet_settings.configs import (
    consensus_config,
    key_lease_config,
    membership_config,
    quota_config,
)
from finchcart.fleet_settings.schema import FleetSettings, Settings
from finchcart.key_leases import messages as key_lease_messages
from finchcart.key_leases.client import KeyLeaseClient
from finchcart.membership import messages as membership_messages
from finchcart.membership.member import Member
from finchcart.net.datagrams import StateMachine
from finchcart.quota import messages as quota_messages
from finchcart.quota.lease_holder import LeaseHolder
from finchcart.quota.limits import Limit, QuotaConfig
from finchcart.quota.local_limits import LocalLimits

PROBE_LIMIT = "store, trial calls"  # the limit by which the fleet shares the calls to a store that is down


def limits_with_probes(settings: Settings) -> QuotaConfig | None:
    """Return the limits, with consensus the one on probe calls among them; None where there are neither."""
    quota = quota_config(settings)
    consensus = consensus_config(settings)
    if not consensus:
        return quota
    probe_limit = Limit(PROBE_LIMIT, consensus.probe_calls, counts="trial", mode="loose")
    quota = quota or QuotaConfig()
    return replace(quota, limits=(*quota.limits, probe_limit))


def make_state_machines(
    name: str, settings: Settings, fleet: FleetSettings, rng: random.Random, wall_ms: int, now: int
) -> dict[bytes, StateMachine]:
    """Return by channel the member, and the state machines of what else is configured.

    Arguments:
        name: of the node.
        settings: what the settings file says.
        fleet: its block on the fleet.
        rng: for all of them.
        wall_ms: the wall clock at the start, in milliseconds: the member's incarnation.
        now: the boot clock, in microseconds.
    """
    member = _make_member(name, fleet, rng, wall_ms, now)
    machines: dict[bytes, StateMachine] = {membership_messages.CHANNEL: member}
    quota = limits_with_probes(settings)
    if quota:
        holder = LeaseHolder(name, fleet.name, quota, rng, now)
        local_limits = LocalLimits(quota, now)
        member.piggyback_clients.append(local_limits)
        holder.local_status = local_limits.status
        machines[quota_messages.CHANNEL] = holder
    consensus = consensus_config(settings)
    if consensus:
        store = ConsensusStore(name, fleet.name, consensus, now)
        member.piggyback_clients.append(store)
        machines[consensus_messages.CHANNEL] = store
    key_leases = key_lease_config(settings)
    if key_leases:
        machines[key_lease_messages.CHANNEL] = KeyLeaseClient(name, fleet.name, key_leases, rng, now)
    return machines


def _make_member(name: str, fleet: FleetSettings, rng: random.Random, wall_ms: int, now: int) -> Member:
    return Member(
        name,
        fleet.name,
        fleet.listen if fleet.advertise is UNSET else fleet.advertise,
        fleet.seeds,
        membership_config(fleet),
        rng,
        wall_ms,
        now,
    )
