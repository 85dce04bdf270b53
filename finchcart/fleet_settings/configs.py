"""The configurations of a fleet's parts, from a settings file that was read.

Owns the step from the file's names and units to those of each part. It must never hold a default: those are
in each part's `config.py`.
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
    """Return the configuration of membership: what is set, over the defaults."""
    return MembershipConfig.from_settings(_in_microseconds(fleet, ("name", "listen", "advertise", "seeds")))


def quota_config(settings: Settings) -> QuotaConfig | None:
    """Return the limits and how they are shared out; None where no limits are set."""
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
    """Return the configuration of the fleet's consensus; None where none is set."""
    if settings.verdicts is UNSET:
        return None
    return ConsensusConfig.from_settings(_in_microseconds(settings.verdicts))


def key_lease_config(settings: Settings) -> KeyLeaseConfig | None:
    """Return the configuration of key leases; None where none is set."""
    if settings.claims is UNSET:
        return None
    return KeyLeaseConfig.from_settings(
        tuple(settings.claims.keepers), _in_microseconds(settings.claims, ("keepers",))
    )


def _in_microseconds(struct: Struct, without: Collection[str] = ()) -> dict[str, Any]:
    """Return what is set, by its name without the unit; times in whole microseconds."""
    values = {}
    for field in struct.__struct_fields__:
        value = getattr(struct, field)
        if field in without or value is UNSET:
            continue
        name = field
        for suffix, microseconds in MICROSECONDS_BY_SUFFIX.items():
            if field.endswith(suffix):
                name = field.removesuffix(suffix)
                value = value * microseconds
        values[name] = value
    return values
