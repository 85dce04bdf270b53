"""The fields of the settings file, and the configurations that they give.

Owns the names, units and ranges of what users set. It must never hold a default that decides: those are in
the `config.py` of each part.
"""

from collections.abc import Collection
from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

from finchcart.consensus.config import ConsensusConfig
from finchcart.key_leases.config import KeyLeaseConfig
from finchcart.membership.config import MS, SECOND, MembershipConfig
from finchcart.quota import limits as quota

Text = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]

MICROSECONDS_BY_SUFFIX = {"_ms": MS, "_s": SECOND}


def _whole_number(low: int, high: int) -> object:
    """The type of an optional whole number within these bounds, which belong to them."""
    return Annotated[int, Meta(ge=low, le=high)] | UnsetType


def _optional_number(**bounds: float) -> object:
    """The type of an optional number; `bounds`: as msgspec's `Meta` has them."""
    return Annotated[float, Meta(**bounds)] | UnsetType


class Fleet(Struct, forbid_unknown_fields=True):
    """How the nodes talk. Times in milliseconds or seconds, as the name ends."""

    name: Text
    listen: Address
    advertise: Address | UnsetType = UNSET
    seeds: list[Address] = []
    period_ms: _whole_number(100, 60_000) = UNSET
    patience: _whole_number(2, 50) = UNSET
    patience_most: _whole_number(2, 100) = UNSET
    suspect_ms: _whole_number(0, 600_000) = UNSET
    rise_ms: _whole_number(0, 600_000) = UNSET
    watch: _whole_number(2, 96) = UNSET
    remember_s: _whole_number(10, 7 * 86_400) = UNSET
    revive: _whole_number(1, 64) = UNSET
    members: _whole_number(2, 100_000) = UNSET
    news: _whole_number(16, 65_536) = UNSET
    datagrams: _whole_number(20, 100_000) = UNSET


class Limit(Struct, forbid_unknown_fields=True):
    """One limit of the whole fleet."""

    name: Text
    in_hand: _whole_number(1, 1_000_000) = UNSET  # at any moment, in all of the fleet; this or `rate`
    rate: _whole_number(1, 1_000_000) = UNSET  # a second
    burst: _whole_number(1, 1_000_000) = UNSET  # at once, beside the rate
    mode: Literal["strict", "loose"] = "strict"
    floor: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # each node's own, whatever fails
    weight: Annotated[float, Meta(ge=0.01, le=100.0)] = 1.0  # of this node where a strict limit is divided
    counts: Literal["calls", "rpcs"] = "calls"  # to the store, or RPCs that are taken
    method: Text | UnsetType = UNSET  # of RPCs: those of one method, of one dispatcher
    dispatcher: Text | UnsetType = UNSET


class Quota(Struct, forbid_unknown_fields=True):
    """Who shares the limits out, and by which times."""

    planners: list[Address] = []
    most: _whole_number(1, 100_000) = UNSET  # processes of nodes at once, the stopped ones counted
    life_ms: _whole_number(200, 600_000) = UNSET
    round_ms: _whole_number(50, 60_000) = UNSET
    lease_ms: _whole_number(200, 600_000) = UNSET
    slack_ms: _whole_number(1, 10_000) = UNSET
    drift: _optional_number(ge=0.0, le=0.1) = UNSET
    step: _optional_number(gt=0.0, le=1.0) = UNSET
    room: _optional_number(ge=0.0, le=0.5) = UNSET
    holders: _whole_number(1, 100_000) = UNSET
    over: _optional_number(ge=0.0, le=10.0) = UNSET


class Verdicts(Struct, forbid_unknown_fields=True):
    """The fleet's consensus on its store, sources, nodes and level: see consensus/config.py."""

    zone: Text | UnsetType = UNSET
    zones: _whole_number(1, 64) = UNSET
    look_ms: _whole_number(50, 10_000) = UNSET
    span_ms: _whole_number(200, 600_000) = UNSET
    pace_ms: _whole_number(50, 60_000) = UNSET
    life_ms: _whole_number(1_000, 600_000) = UNSET
    quiet_ms: _whole_number(0, 600_000) = UNSET
    count: _whole_number(1, 1_000) = UNSET
    part: _optional_number(gt=0.0, le=1.0) = UNSET
    hold_ms: _whole_number(0, 600_000) = UNSET
    hold_most_ms: _whole_number(0, 600_000) = UNSET
    again_ms: _whole_number(0, 3_600_000) = UNSET
    calls: _whole_number(1, 100_000) = UNSET
    failed: _optional_number(gt=0.0, le=1.0) = UNSET
    slower: _optional_number(ge=1.1, le=1000.0) = UNSET
    trials: _whole_number(1, 100_000) = UNSET
    trial_ms: _whole_number(10, 60_000) = UNSET
    rise_ms: _whole_number(50, 60_000) = UNSET
    bad: _whole_number(1, 1_000_000) = UNSET
    bad_span_ms: _whole_number(1_000, 600_000) = UNSET
    source_part: _optional_number(ge=0.0, le=1.0) = UNSET
    shut_ms: _whole_number(1_000, 86_400_000) = UNSET
    slowed: _whole_number(1, 1_000_000) = UNSET
    most_out: _optional_number(ge=0.0, le=1.0) = UNSET
    runs: _whole_number(1, 1_000_000) = UNSET
    out_part: _optional_number(ge=0.0, le=1.0) = UNSET
    node_hold_ms: _whole_number(1_000, 3_600_000) = UNSET
    level_step: _optional_number(ge=0.0, le=1.0) = UNSET
    opinions: _whole_number(1, 24) = UNSET
    subjects: _whole_number(1, 65_536) = UNSET
    words: _whole_number(1, 256) = UNSET


class Claims(Struct, forbid_unknown_fields=True):
    """Key leases, one run of a key in the whole fleet: see key_leases/config.py."""

    keepers: list[Address] = []
    life_ms: _whole_number(1_000, 3_600_000) = UNSET
    command_ms: _whole_number(50, 60_000) = UNSET
    answer_ms: _whole_number(20, 10_000) = UNSET
    again_ms: _whole_number(10, 10_000) = UNSET
    wait_ms: _whole_number(0, 60_000) = UNSET
    ask_ms: _whole_number(20, 10_000) = UNSET
    drift: _optional_number(ge=0.0, le=0.1) = UNSET
    result: _whole_number(0, 256) = UNSET
    entries: _whole_number(16, 10_000_000) = UNSET
    batch: _whole_number(1, 16) = UNSET


class Settings(Struct, forbid_unknown_fields=True):
    """The whole file."""

    fleet: Fleet | UnsetType = UNSET
    verdicts: Verdicts | UnsetType = UNSET
    claims: Claims | UnsetType = UNSET
    limits: list[Limit] = []
    quota: Quota | UnsetType = UNSET


def membership_config(fleet: Fleet) -> MembershipConfig:
    """Return the configuration of membership: what is set, over the defaults."""
    return MembershipConfig.from_settings(_in_microseconds(fleet, ("name", "listen", "advertise", "seeds")))


def quota_config(settings: Settings) -> quota.QuotaConfig | None:
    """Return the limits and how they are shared out; None where no limits are set."""
    if settings.quota is UNSET or not settings.limits:
        return None
    return quota.QuotaConfig.from_settings(
        tuple(_quota_limit(limit) for limit in settings.limits),
        tuple(settings.quota.planners),
        _in_microseconds(settings.quota, ("planners",)),
    )


def _quota_limit(limit: Limit) -> quota.Limit:
    return quota.Limit(
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
