"""The fields of the settings file: their names, units and ranges.

A field that is not set has the value UNSET. Its default value is defined with the configuration that it
belongs to, not here.
"""

from typing import Annotated, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

Text = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class FleetSettings(Struct, forbid_unknown_fields=True):
    """The block `fleet`: the node's address and the settings of its membership.

    In all blocks, the suffix of a field's name is the unit of its value, such as `_ms` for milliseconds.
    """

    name: Text
    listen: Address
    advertise: Address | UnsetType = UNSET
    seeds: list[Address] = []
    period_ms: Annotated[int, Meta(ge=100, le=60_000)] | UnsetType = UNSET
    patience: Annotated[int, Meta(ge=2, le=50)] | UnsetType = UNSET
    patience_most: Annotated[int, Meta(ge=2, le=100)] | UnsetType = UNSET
    suspect_ms: Annotated[int, Meta(ge=0, le=600_000)] | UnsetType = UNSET
    rise_ms: Annotated[int, Meta(ge=0, le=600_000)] | UnsetType = UNSET
    watch: Annotated[int, Meta(ge=2, le=96)] | UnsetType = UNSET
    remember_s: Annotated[int, Meta(ge=10, le=7 * 86_400)] | UnsetType = UNSET
    revive: Annotated[int, Meta(ge=1, le=64)] | UnsetType = UNSET
    members: Annotated[int, Meta(ge=2, le=100_000)] | UnsetType = UNSET
    news: Annotated[int, Meta(ge=16, le=65_536)] | UnsetType = UNSET
    datagrams: Annotated[int, Meta(ge=20, le=100_000)] | UnsetType = UNSET


class LimitSettings(Struct, forbid_unknown_fields=True):
    """One limit on the calls or RPCs of the whole fleet."""

    name: Text
    in_hand: Annotated[int, Meta(ge=1, le=1_000_000)] | UnsetType = UNSET  # number in flight; excludes `rate`
    rate: Annotated[int, Meta(ge=1, le=1_000_000)] | UnsetType = UNSET  # maximum number per second
    burst: Annotated[int, Meta(ge=1, le=1_000_000)] | UnsetType = UNSET  # maximum number at once under `rate`
    mode: Literal["strict", "loose"] = "strict"
    floor: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # guaranteed to each node during any failure
    weight: Annotated[float, Meta(ge=0.01, le=100.0)] = 1.0  # relative share of this node in a strict limit
    counts: Literal["calls", "rpcs"] = "calls"  # calls to the store, or admitted RPCs
    method: Text | UnsetType = UNSET  # with `rpcs`: limit RPCs of this method only
    dispatcher: Text | UnsetType = UNSET  # with `rpcs`: limit RPCs of this dispatcher only


class QuotaSettings(Struct, forbid_unknown_fields=True):
    """The planners that allocate the limits, and the timing of the allocation: see quota/limits.py."""

    planners: list[Address] = []
    # Maximum number of node processes, including stopped ones.
    most: Annotated[int, Meta(ge=1, le=100_000)] | UnsetType = UNSET
    life_ms: Annotated[int, Meta(ge=200, le=600_000)] | UnsetType = UNSET
    round_ms: Annotated[int, Meta(ge=50, le=60_000)] | UnsetType = UNSET
    lease_ms: Annotated[int, Meta(ge=200, le=600_000)] | UnsetType = UNSET
    slack_ms: Annotated[int, Meta(ge=1, le=10_000)] | UnsetType = UNSET
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] | UnsetType = UNSET
    step: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = UNSET
    room: Annotated[float, Meta(ge=0.0, le=0.5)] | UnsetType = UNSET
    holders: Annotated[int, Meta(ge=1, le=100_000)] | UnsetType = UNSET
    over: Annotated[float, Meta(ge=0.0, le=10.0)] | UnsetType = UNSET


class ConsensusSettings(Struct, forbid_unknown_fields=True):
    """Consensus on the states of store, sources and nodes and on the shed level: see consensus/config.py."""

    zone: Text | UnsetType = UNSET
    zones: Annotated[int, Meta(ge=1, le=64)] | UnsetType = UNSET
    look_ms: Annotated[int, Meta(ge=50, le=10_000)] | UnsetType = UNSET
    span_ms: Annotated[int, Meta(ge=200, le=600_000)] | UnsetType = UNSET
    pace_ms: Annotated[int, Meta(ge=50, le=60_000)] | UnsetType = UNSET
    life_ms: Annotated[int, Meta(ge=1_000, le=600_000)] | UnsetType = UNSET
    quiet_ms: Annotated[int, Meta(ge=0, le=600_000)] | UnsetType = UNSET
    count: Annotated[int, Meta(ge=1, le=1_000)] | UnsetType = UNSET
    part: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = UNSET
    hold_ms: Annotated[int, Meta(ge=0, le=600_000)] | UnsetType = UNSET
    hold_most_ms: Annotated[int, Meta(ge=0, le=600_000)] | UnsetType = UNSET
    again_ms: Annotated[int, Meta(ge=0, le=3_600_000)] | UnsetType = UNSET
    calls: Annotated[int, Meta(ge=1, le=100_000)] | UnsetType = UNSET
    failed: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = UNSET
    slower: Annotated[float, Meta(ge=1.1, le=1000.0)] | UnsetType = UNSET
    trials: Annotated[int, Meta(ge=1, le=100_000)] | UnsetType = UNSET
    trial_ms: Annotated[int, Meta(ge=10, le=60_000)] | UnsetType = UNSET
    rise_ms: Annotated[int, Meta(ge=50, le=60_000)] | UnsetType = UNSET
    bad: Annotated[int, Meta(ge=1, le=1_000_000)] | UnsetType = UNSET
    bad_span_ms: Annotated[int, Meta(ge=1_000, le=600_000)] | UnsetType = UNSET
    source_part: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    shut_ms: Annotated[int, Meta(ge=1_000, le=86_400_000)] | UnsetType = UNSET
    slowed: Annotated[int, Meta(ge=1, le=1_000_000)] | UnsetType = UNSET
    most_out: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    runs: Annotated[int, Meta(ge=1, le=1_000_000)] | UnsetType = UNSET
    out_part: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    node_hold_ms: Annotated[int, Meta(ge=1_000, le=3_600_000)] | UnsetType = UNSET
    level_step: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    opinions: Annotated[int, Meta(ge=1, le=24)] | UnsetType = UNSET
    subjects: Annotated[int, Meta(ge=1, le=65_536)] | UnsetType = UNSET
    words: Annotated[int, Meta(ge=1, le=256)] | UnsetType = UNSET


class KeyLeaseSettings(Struct, forbid_unknown_fields=True):
    """Key leases, which allow one run per key in the whole fleet: see key_leases/config.py."""

    keepers: list[Address] = []
    life_ms: Annotated[int, Meta(ge=1_000, le=3_600_000)] | UnsetType = UNSET
    command_ms: Annotated[int, Meta(ge=50, le=60_000)] | UnsetType = UNSET
    answer_ms: Annotated[int, Meta(ge=20, le=10_000)] | UnsetType = UNSET
    again_ms: Annotated[int, Meta(ge=10, le=10_000)] | UnsetType = UNSET
    wait_ms: Annotated[int, Meta(ge=0, le=60_000)] | UnsetType = UNSET
    ask_ms: Annotated[int, Meta(ge=20, le=10_000)] | UnsetType = UNSET
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] | UnsetType = UNSET
    result: Annotated[int, Meta(ge=0, le=256)] | UnsetType = UNSET
    entries: Annotated[int, Meta(ge=16, le=10_000_000)] | UnsetType = UNSET
    batch: Annotated[int, Meta(ge=1, le=16)] | UnsetType = UNSET


class Settings(Struct, forbid_unknown_fields=True):
    """The top level of the settings file."""

    fleet: FleetSettings | UnsetType = UNSET
    verdicts: ConsensusSettings | UnsetType = UNSET
    claims: KeyLeaseSettings | UnsetType = UNSET
    limits: list[LimitSettings] = []
    quota: QuotaSettings | UnsetType = UNSET
