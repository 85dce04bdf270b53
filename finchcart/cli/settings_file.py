"""The settings file: JSON5, read by a library, checked against typed structs.

Owns the names, units and ranges of what users set, and how mistakes are told: all at once, each as
`FILE: path.to.field: reason`. It must never hold a default that decides: those are in membership/config.py.
"""

from difflib import get_close_matches
from typing import Annotated, Literal, get_args, get_origin

import json5
import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from finchcart.consensus import config as verdicts_of
from finchcart.errors import SettingsError
from finchcart.key_leases import config as claims_of
from finchcart.membership.codec import DatagramError, parse_address
from finchcart.membership.config import MS, SECOND, MembershipConfig
from finchcart.quota import limits as limits_of

Text = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


def whole(low, high):
    return Annotated[int, Meta(ge=low, le=high)] | UnsetType


class Fleet(Struct, forbid_unknown_fields=True):
    """How the nodes talk. Times in milliseconds or seconds, as the name ends."""

    name: Text
    listen: Address
    advertise: Address | UnsetType = UNSET
    seeds: list[Address] = []
    period_ms: whole(100, 60_000) = UNSET
    patience: whole(2, 50) = UNSET
    patience_most: whole(2, 100) = UNSET
    suspect_ms: whole(0, 600_000) = UNSET
    rise_ms: whole(0, 600_000) = UNSET
    watch: whole(2, 96) = UNSET
    remember_s: whole(10, 7 * 86_400) = UNSET
    revive: whole(1, 64) = UNSET
    members: whole(2, 100_000) = UNSET
    news: whole(16, 65_536) = UNSET
    datagrams: whole(20, 100_000) = UNSET


class Limit(Struct, forbid_unknown_fields=True):
    """One limit of the whole fleet."""

    name: Text
    in_hand: whole(1, 1_000_000) = UNSET  # at any moment, in all of the fleet; this or `rate`
    rate: whole(1, 1_000_000) = UNSET  # a second
    burst: whole(1, 1_000_000) = UNSET  # at once, beside the rate
    mode: Literal["strict", "loose"] = "strict"
    floor: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # each node's own, whatever fails
    weight: Annotated[float, Meta(ge=0.01, le=100.0)] = 1.0  # of this node where a strict limit is divided
    counts: Literal["calls", "rpcs"] = "calls"  # to the store, or RPCs that are taken
    method: Text | UnsetType = UNSET  # of RPCs: those of one method, of one dispatcher
    dispatcher: Text | UnsetType = UNSET


class Quota(Struct, forbid_unknown_fields=True):
    """Who shares the limits out, and by which times."""

    planners: list[Address] = []
    most: whole(1, 100_000) = UNSET  # processes of nodes at once, the stopped ones counted
    life_ms: whole(200, 600_000) = UNSET
    round_ms: whole(50, 60_000) = UNSET
    lease_ms: whole(200, 600_000) = UNSET
    slack_ms: whole(1, 10_000) = UNSET
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] | UnsetType = UNSET
    step: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = UNSET
    room: Annotated[float, Meta(ge=0.0, le=0.5)] | UnsetType = UNSET
    holders: whole(1, 100_000) = UNSET
    over: Annotated[float, Meta(ge=0.0, le=10.0)] | UnsetType = UNSET


class Verdicts(Struct, forbid_unknown_fields=True):
    """What the fleet holds to be so, from what its nodes saw: see consensus/config.py."""

    zone: Text | UnsetType = UNSET
    zones: whole(1, 64) = UNSET
    look_ms: whole(50, 10_000) = UNSET
    span_ms: whole(200, 600_000) = UNSET
    pace_ms: whole(50, 60_000) = UNSET
    life_ms: whole(1_000, 600_000) = UNSET
    quiet_ms: whole(0, 600_000) = UNSET
    count: whole(1, 1_000) = UNSET
    part: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = UNSET
    hold_ms: whole(0, 600_000) = UNSET
    hold_most_ms: whole(0, 600_000) = UNSET
    again_ms: whole(0, 3_600_000) = UNSET
    calls: whole(1, 100_000) = UNSET
    failed: Annotated[float, Meta(gt=0.0, le=1.0)] | UnsetType = UNSET
    slower: Annotated[float, Meta(ge=1.1, le=1000.0)] | UnsetType = UNSET
    trials: whole(1, 100_000) = UNSET
    trial_ms: whole(10, 60_000) = UNSET
    rise_ms: whole(50, 60_000) = UNSET
    bad: whole(1, 1_000_000) = UNSET
    bad_span_ms: whole(1_000, 600_000) = UNSET
    source_part: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    shut_ms: whole(1_000, 86_400_000) = UNSET
    slowed: whole(1, 1_000_000) = UNSET
    most_out: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    runs: whole(1, 1_000_000) = UNSET
    out_part: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    node_hold_ms: whole(1_000, 3_600_000) = UNSET
    level_step: Annotated[float, Meta(ge=0.0, le=1.0)] | UnsetType = UNSET
    opinions: whole(1, 24) = UNSET
    subjects: whole(1, 65_536) = UNSET
    words: whole(1, 256) = UNSET


class Claims(Struct, forbid_unknown_fields=True):
    """One run of a key in the whole fleet: see claims/figures.py."""

    keepers: list[Address] = []
    life_ms: whole(1_000, 3_600_000) = UNSET
    command_ms: whole(50, 60_000) = UNSET
    answer_ms: whole(20, 10_000) = UNSET
    again_ms: whole(10, 10_000) = UNSET
    wait_ms: whole(0, 60_000) = UNSET
    ask_ms: whole(20, 10_000) = UNSET
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] | UnsetType = UNSET
    result: whole(0, 256) = UNSET
    entries: whole(16, 10_000_000) = UNSET
    batch: whole(1, 16) = UNSET


class Settings(Struct, forbid_unknown_fields=True):
    fleet: Fleet | UnsetType = UNSET
    verdicts: Verdicts | UnsetType = UNSET
    claims: Claims | UnsetType = UNSET
    limits: list[Limit] = []
    quota: Quota | UnsetType = UNSET


UNITS = {"_ms": MS, "_s": SECOND}


def _in_microseconds(struct, besides):
    """What is told, by its name without the unit."""
    told = {}
    for name in struct.__struct_fields__:
        value = getattr(struct, name)
        if name in besides or value is UNSET:
            continue
        for end, unit in UNITS.items():
            if name.endswith(end):
                name, value = name.removesuffix(end), value * unit
        told[name] = value
    return told


def membership_config(fleet):
    """The file's figures over the defaults, in whole microseconds."""
    return MembershipConfig.from_settings(_in_microseconds(fleet, ("name", "listen", "advertise", "seeds")))


def quota_config(settings):
    """The limits and how they are shared out; None where none is asked for."""
    if settings.quota is UNSET or not settings.limits:
        return None
    given = lambda value, default: default if value is UNSET else value
    limits = tuple(
        limits_of.Limit(
            limit.name,
            given(limit.in_hand, 0) or given(limit.rate, 0),
            limit.floor,
            limit.counts,
            "in_hand" if limit.rate is UNSET else "rate",
            given(limit.burst, 0),
            limit.mode,
            given(limit.method, ""),
            given(limit.dispatcher, ""),
            limit.weight,
        )
        for limit in settings.limits
    )
    return limits_of.QuotaConfig(
        limits=limits,
        planners=tuple(settings.quota.planners),
        **_in_microseconds(settings.quota, ("planners",)),
    )


def consensus_config(settings):
    """Their figures; None where none are asked for."""
    if settings.verdicts is UNSET:
        return None
    return verdicts_of.ConsensusConfig.from_settings(_in_microseconds(settings.verdicts, ()))


def key_lease_config(settings):
    """Their figures; None where none are asked for."""
    if settings.claims is UNSET:
        return None
    return claims_of.KeyLeaseConfig(
        keepers=tuple(settings.claims.keepers), **_in_microseconds(settings.claims, ("keepers",))
    )


def _struct_of(kind):
    for one in (kind, *get_args(kind)):
        if isinstance(one, type) and issubclass(one, Struct):
            return one
    return None


def _mistakes(struct, tree, path):
    """(path, reason) of everything in the tree that the struct does not allow."""
    if not isinstance(tree, dict):
        yield path.rstrip(".") or "the whole", f"expected an object, got {tree!r:.40}"
        return
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for name in tree:
        if name not in fields:
            near = get_close_matches(str(name), fields, 1, 0.5)
            yield f"{path}{name}", "no such setting" + (f"; the nearest is {near[0]}" if near else "")
    for name, field in fields.items():
        if name not in tree:
            if field.required:
                yield f"{path}{name}", "is missing"
            continue
        inner = _struct_of(field.type)
        if inner and get_origin(field.type) is not list:
            yield from _mistakes(inner, tree[name], f"{path}{name}.")
            continue
        if inner and isinstance(tree[name], list):
            for n, item in enumerate(tree[name]):
                yield from _mistakes(inner, item, f"{path}{name}.{n}.")
            continue
        try:
            msgspec.convert(tree[name], field.type)
        except msgspec.ValidationError as error:
            yield f"{path}{name}", f"{tree[name]!r:.60}: {error}"


def _together(settings):
    """What is wrong with fields that are each allowed."""
    fleet, shared = settings.fleet, quota_config(settings)
    if bool(settings.limits) != (settings.quota is not UNSET):
        yield "limits", "and quota go together: one is missing"
    for n, limit in enumerate(settings.limits):
        if (limit.in_hand is UNSET) == (limit.rate is UNSET):
            yield f"limits.{n}", "in_hand or rate has to be told, and not both"
        if (limit.burst is UNSET) != (limit.rate is UNSET):
            yield f"limits.{n}.burst", "goes with rate"
    if len(settings.limits) > 16:
        yield "limits", f"{len(settings.limits)} are told, 16 at most"
    if shared:
        if fleet is UNSET:
            yield "fleet", "is missing: limits are shared by its address"
        for n, place in enumerate(shared.planners):
            try:
                parse_address(place)
            except DatagramError:
                yield f"quota.planners.{n}", f"{place!r}: no such address or port"
        for path, reason in limits_of.config_errors(shared):
            yield path if path.startswith("limits") else f"quota.{path}", reason
    claimed = key_lease_config(settings)
    if claimed:
        if fleet is UNSET:
            yield "fleet", "is missing: claims are asked for by its address"
        for n, place in enumerate(claimed.keepers):
            try:
                parse_address(place)
            except DatagramError:
                yield f"claims.keepers.{n}", f"{place!r}: no such address or port"
        for path, reason in claims_of.config_errors(claimed):
            yield f"claims.{path}", reason
    held = consensus_config(settings)
    if held:
        if fleet is UNSET:
            yield "fleet", "is missing: opinions ride on its messages"
        for path, reason in verdicts_of.config_errors(held):
            yield f"verdicts.{path}", reason
    if fleet is UNSET:
        return
    for name in ("listen", "advertise"):
        value = getattr(fleet, name)
        try:
            if value is not UNSET:
                parse_address(value)
        except DatagramError:
            yield f"fleet.{name}", f"{value!r}: no such address or port"
    if fleet.advertise is UNSET and fleet.listen.startswith("0.0.0.0:"):
        yield "fleet.advertise", "is missing: others can't reach 0.0.0.0, which fleet.listen names"
    for n, seed in enumerate(fleet.seeds):
        try:
            parse_address(seed)
        except DatagramError:
            yield f"fleet.seeds.{n}", f"{seed!r}: no such address or port"
    told = membership_config(fleet)
    if told.patience_most < told.patience:
        yield "fleet.patience_most", f"{told.patience_most} is less than fleet.patience, {told.patience}"
    oldest = told.staleness_bound(told.max_members, 0.5)
    if told.forget_after <= oldest:
        yield (
            "fleet.remember_s",
            (
                f"{told.forget_after / SECOND:g} s is less than the oldest that a view may be "
                f"at half of the messages lost, {oldest / SECOND:g} s"
            ),
        )
    need = 2 * told.watch + told.revive + 8
    if told.max_datagrams < need:
        yield "fleet.datagrams", f"{told.max_datagrams} is less than 2 x watch + revive + 8 = {need}"


def load_settings(path):
    """The checked settings of a file."""
    try:
        with open(path, encoding="utf-8") as file:
            tree = json5.load(file)
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    except ValueError as error:
        raise SettingsError([f"{path}: {error}"]) from None
    return check_settings(tree, path)


def check_settings(tree, path):
    mistakes = list(_mistakes(Settings, tree, ""))
    if not mistakes:
        settings = msgspec.convert(tree, Settings)
        mistakes = list(_together(settings))
    if mistakes:
        raise SettingsError([f"{path}: {where}: {reason}" for where, reason in mistakes])
    return settings
