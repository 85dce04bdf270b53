"""The report of `finchcart check`: the bounds that follow from a valid settings file.

This module only formats the report. The formula of a bound is defined in the package that the bound is about.
"""

from collections.abc import Iterator

from msgspec import UNSET

from finchcart.consensus.config import ConsensusConfig, config_warnings
from finchcart.consensus.decision import fault_thresholds
from finchcart.fleet_settings.configs import (
    consensus_config,
    key_lease_config,
    membership_config,
    quota_config,
)
from finchcart.fleet_settings.schema import Settings
from finchcart.key_leases.config import KeyLeaseConfig
from finchcart.membership.config import SECOND, MembershipConfig
from finchcart.quota.limits import Limit, QuotaConfig

FLEET_SIZES = (3, 24, 200)  # the report prints the bounds for these numbers of members
LOSS_RATES = (0.0, 0.3)  # the report prints the bounds for these fractions of lost messages
JOINING_MEMBERS = (0, 4)  # numbers of members that join while the fleet is partitioned
TYPICAL_FLEET_SIZE = 24


def report(path: str, settings: Settings) -> Iterator[str]:
    """Yield the lines of the report on a valid settings file."""
    fleet = settings.fleet
    if fleet is UNSET:
        yield f"{path}: good; no fleet is asked for"
        return
    yield f"{path}: good; fleet {fleet.name}"
    membership = membership_config(fleet)
    yield from _membership_lines(membership)
    quota = quota_config(settings)
    if quota:
        yield from _quota_lines(quota)
    key_leases = key_lease_config(settings)
    if key_leases:
        yield from _key_lease_lines(key_leases)
    consensus = consensus_config(settings)
    if consensus:
        yield from _consensus_lines(consensus, membership)


def _membership_lines(config: MembershipConfig) -> Iterator[str]:
    for size in FLEET_SIZES:
        calm, lossy = (config.staleness_bound(size, loss) / SECOND for loss in LOSS_RATES)
        yield f"  {size} members: a view is at most {calm:.1f} s old, {lossy:.1f} s at 30 % loss"


def _quota_lines(quota: QuotaConfig) -> Iterator[str]:
    for limit in quota.loose_limits:
        yield from _loose_limit_lines(quota, limit)
    for limit in quota.strict_limits:
        if limit.per == "rate":
            yield (
                f"  limit {limit.name}: at most {quota.window_bound(limit, SECOND)} in any second, "
                f"{quota.window_bound(limit, 10 * SECOND)} in ten"
            )
        else:
            yield from _strict_limit_lines(quota, limit)


def _loose_limit_lines(quota: QuotaConfig, limit: Limit) -> Iterator[str]:
    unit = "in hand" if limit.per == "in_hand" else f"a second, {limit.burst} at once"
    over, more = (
        quota.loose_overshoot_bound(limit, TYPICAL_FLEET_SIZE, joining) for joining in JOINING_MEMBERS
    )
    yield f"  limit {limit.name}, loose: {limit.amount} {unit}; however the fleet is cut, over by"
    yield f"    at most {over} at 24 members, {more} with 4 that join meanwhile"


def _strict_limit_lines(quota: QuotaConfig, limit: Limit) -> Iterator[str]:
    yield (
        f"  limit {limit.name}: {limit.amount} in hand, {limit.floor} each node's own, "
        f"{limit.shareable(quota.max_processes)} shared among at most {quota.max_processes};"
    )
    yield (
        f"    over by one call for each process stopped at the write, for "
        f"{quota.overshoot_duration_bound() / SECOND:.1f} s at most; without planners at the floor"
    )
    yield (
        f"    within {quota.fallback_bound() / SECOND:.1f} s, shared again within "
        f"{quota.recovery_bound() / SECOND:.1f} s of their return"
    )


def _key_lease_lines(config: KeyLeaseConfig) -> Iterator[str]:
    yield (
        f"  claims: two runs of one key are commanded at least {config.run_spacing_bound() / SECOND:.1f} s "
        "apart, whoever fails;"
    )
    yield (
        f"    a keeper that starts is silent for {config.startup_quiet_period / SECOND:.1f} s; it holds "
        f"{config.state_bytes_bound() / 2**20:.0f} MB at most"
    )


def _consensus_lines(config: ConsensusConfig, membership: MembershipConfig) -> Iterator[str]:
    for size in FLEET_SIZES:
        calm, lossy = (config.reaction_time_bound(membership, size, loss) / SECOND for loss in LOSS_RATES)
        thresholds = fault_thresholds(config, size)
        yield (
            f"  verdicts at {size} members: all act {calm:.1f} s after enough have the evidence, "
            f"{lossy:.1f} s at 30 % loss;"
        )
        yield (
            f"    {thresholds.store} that are wrong or lie move store, {thresholds.source} a source, "
            f"{thresholds.level} level"
        )
    yield f"  verdicts: an opinion is at most {config.staleness_bound() / SECOND:.1f} s old, then it is void"
    for name, reason in config_warnings(config):
        yield f"  warning: verdicts.{name}: {reason}"
