"""Build the configurations of membership, quota, consensus and key leases from a settings file.

This module converts the names and units of the settings file to those of the configurations. It must not
contain default values; these are defined with each configuration.
"""

from collections.abc import Collection
from typing import Any

from msgspec import UNSET, Struct

from finchcart.consensus.config import ConsensusConfig
from finchcart.fleet_settings.schema import FleetSettings, LimitSettings, Settings
from finchcart.key_leases.config import KeyLeaseConfig
from finchcart.membership.config import MS, SECOND, MembershipConfig
from finchcart.quota.limits import Limit, QuotaConfig

MICROSECONDS_BY_SUFFIX = {"_ms": MS, "_s": SECOND}


def membership_config(fleet: FleetSettings) -> MembershipConfig:
    """Return the configuration of membership, with defaults for all fields that are not set."""
    return MembershipConfig.from_settings(_in_microseconds(fleet, ("name", "listen", "advertise", "seeds")))


def quota_config(settings: Settings) -> QuotaConfig | None:
    """Return the limits and the configuration of quota, or None if no limits are set."""
    if settings.quota is UNSET or not settings.limits:
        return None
    return QuotaConfig.from_settings(
        tuple(_quota_limit(limit) for limit in settings.limits),
        tuple(settings.quota.planners),
        _in_microseconds(settings.quota, ("planners",)),
    )


def _quota_limit(limit: LimitSettings) -> Limit:
    return Limit(
        limit.name,
        limit.in_hand or limit.rate or 0,
        limit.floor,
        limit.counts,
        "in_hand" if limit.rate is UNSET else "rate",
        limit.burst or 0,
        limit.mode,
        limit.method or "",
        limit.dispatcher or "",
        limit.weight,
    )


def consensus_config(settings: Settings) -> ConsensusConfig | None:
    """Return the configuration of consensus, or None if the file does not configure it."""
    if settings.verdicts is UNSET:
        return None
    return ConsensusConfig.from_settings(_in_microseconds(settings.verdicts))


def key_lease_config(settings: Settings) -> KeyLeaseConfig | None:
    """Return the configuration of key leases, or None if the file does not configure them."""
    if settings.claims is UNSET:
        return None
    return KeyLeaseConfig.from_settings(
        tuple(settings.claims.keepers), _in_microseconds(settings.claims, ("keepers",))
    )


def _in_microseconds(struct: Struct, excluded: Collection[str] = ()) -> dict[str, Any]:
    """Return the fields that are set, by name without unit suffix, with times in whole microseconds."""
    values = {}
    for field in struct.__struct_fields__:
        value = getattr(struct, field)
        if field in excluded or value is UNSET:
            continue
        name = field
        for suffix, microseconds in MICROSECONDS_BY_SUFFIX.items():
            if field.endswith(suffix):
                name = field.removesuffix(suffix)
                value = value * microseconds
        values[name] = value
    return values
