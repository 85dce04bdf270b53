"""Creates the state machines of a node that takes part in a fleet from its settings.

This module decides which state machines exist, and connects them to each other. net/datagrams.py runs them.
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

# The limit on probe calls, which nodes make to a store that is down. The fleet shares it among its nodes.
PROBE_LIMIT = "store, trial calls"


def limits_with_probes(settings: Settings) -> QuotaConfig | None:
    """Return the configured limits, and the limit on probe calls if consensus is configured.

    Return None if there are neither.
    """
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
    """Return the state machines by channel: the member, and those of all other configured features.

    Arguments:
        name: the name of the node.
        settings: the contents of the settings file.
        fleet: the block `fleet` of the settings.
        rng: the random number generator that all state machines share.
        wall_ms: the wall clock at the start, in milliseconds, which becomes the member's incarnation.
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
