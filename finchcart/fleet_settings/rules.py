"""What must hold between the fields of a settings file that are each allowed by themselves.

Owns the table of rules. Each rule yields all that is wrong by it; the formulas of a part's configuration are
that part's own (`config_errors`).
"""

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from msgspec import UNSET

from finchcart.consensus import config as consensus
from finchcart.fleet.codec import DatagramError, parse_address
from finchcart.fleet_settings.configs import (
    consensus_config,
    key_lease_config,
    membership_config,
    quota_config,
)
from finchcart.fleet_settings.schema import FleetSettings, Settings
from finchcart.key_leases import config as key_leases
from finchcart.membership.config import SECOND
from finchcart.quota import limits as quota

MAX_LIMITS = 16
ANY_HOST = "0.0.0.0:"  # as an address to listen on
ASSUMED_LOSS = 0.5  # part of the messages, where a view must still be younger than what is forgotten
SPARE_DATAGRAMS = 8  # a period, beyond heartbeats and retries


class Mistake(NamedTuple):
    """What is wrong with a setting."""

    path: str
    reason: str


Rule = Callable[[Settings], Iterator[Mistake]]
FleetRule = Callable[[FleetSettings], Iterator[Mistake]]


def find_mistakes(settings: Settings) -> Iterator[Mistake]:
    """Yield all that is wrong between the fields, in the order of the rules."""
    for rule in RULES:
        yield from rule(settings)
    if settings.fleet is not UNSET:
        for fleet_rule in FLEET_RULES:
            yield from fleet_rule(settings.fleet)


# ---- Limits, quota, key leases and consensus


def _limits_and_quota_go_together(settings: Settings) -> Iterator[Mistake]:
    if bool(settings.limits) != (settings.quota is not UNSET):
        yield Mistake("limits", "and quota go together: one is missing")


def _each_limit_is_one_of_two_kinds(settings: Settings) -> Iterator[Mistake]:
    for position, limit in enumerate(settings.limits):
        if (limit.in_hand is UNSET) == (limit.rate is UNSET):
            yield Mistake(f"limits.{position}", "in_hand or rate has to be told, and not both")
        if (limit.burst is UNSET) != (limit.rate is UNSET):
            yield Mistake(f"limits.{position}.burst", "goes with rate")


def _limits_are_few(settings: Settings) -> Iterator[Mistake]:
    if len(settings.limits) > MAX_LIMITS:
        yield Mistake("limits", f"{len(settings.limits)} are told, {MAX_LIMITS} at most")


def _quota_holds(settings: Settings) -> Iterator[Mistake]:
    config = quota_config(settings)
    if not config:
        return
    if settings.fleet is UNSET:
        yield Mistake("fleet", "is missing: limits are shared by its address")
    yield from _address_mistakes("quota.planners", config.planners)
    for path, reason in quota.config_errors(config):
        yield Mistake(path if path.startswith("limits") else f"quota.{path}", reason)


def _key_leases_hold(settings: Settings) -> Iterator[Mistake]:
    config = key_lease_config(settings)
    if not config:
        return
    if settings.fleet is UNSET:
        yield Mistake("fleet", "is missing: claims are asked for by its address")
    yield from _address_mistakes("claims.keepers", config.replicas)
    for path, reason in key_leases.config_errors(config):
        yield Mistake(f"claims.{path}", reason)


def _consensus_holds(settings: Settings) -> Iterator[Mistake]:
    config = consensus_config(settings)
    if not config:
        return
    if settings.fleet is UNSET:
        yield Mistake("fleet", "is missing: opinions ride on its messages")
    for path, reason in consensus.config_errors(config):
        yield Mistake(f"verdicts.{path}", reason)


# ---- The fleet


def _own_addresses_are_possible(fleet: FleetSettings) -> Iterator[Mistake]:
    for name in ("listen", "advertise"):
        address = getattr(fleet, name)
        if address is not UNSET and not _is_possible(address):
            yield _impossible_address(f"fleet.{name}", address)


def _others_can_reach_it(fleet: FleetSettings) -> Iterator[Mistake]:
    if fleet.advertise is UNSET and fleet.listen.startswith(ANY_HOST):
        yield Mistake("fleet.advertise", "is missing: others can't reach 0.0.0.0, which fleet.listen names")


def _seeds_are_possible(fleet: FleetSettings) -> Iterator[Mistake]:
    yield from _address_mistakes("fleet.seeds", fleet.seeds)


def _patience_is_ordered(fleet: FleetSettings) -> Iterator[Mistake]:
    config = membership_config(fleet)
    if config.max_patience < config.patience:
        yield Mistake(
            "fleet.patience_most", f"{config.max_patience} is less than fleet.patience, {config.patience}"
        )


def _members_are_remembered_long_enough(fleet: FleetSettings) -> Iterator[Mistake]:
    config = membership_config(fleet)
    oldest = config.staleness_bound(config.max_members, ASSUMED_LOSS)
    if config.forget_after <= oldest:
        yield Mistake(
            "fleet.remember_s",
            f"{config.forget_after / SECOND:g} s is less than the oldest that a view may be "
            f"at half of the messages lost, {oldest / SECOND:g} s",
        )


def _datagrams_suffice(fleet: FleetSettings) -> Iterator[Mistake]:
    config = membership_config(fleet)
    need = 2 * config.watch_degree + config.probes_per_period + SPARE_DATAGRAMS
    if config.max_datagrams < need:
        yield Mistake(
            "fleet.datagrams", f"{config.max_datagrams} is less than 2 x watch + revive + 8 = {need}"
        )


RULES: tuple[Rule, ...] = (
    _limits_and_quota_go_together,
    _each_limit_is_one_of_two_kinds,
    _limits_are_few,
    _quota_holds,
    _key_leases_hold,
    _consensus_holds,
)
FLEET_RULES: tuple[FleetRule, ...] = (
    _own_addresses_are_possible,
    _others_can_reach_it,
    _seeds_are_possible,
    _patience_is_ordered,
    _members_are_remembered_long_enough,
    _datagrams_suffice,
)


# ---- Addresses


def _address_mistakes(path: str, addresses: Sequence[str]) -> Iterator[Mistake]:
    for position, address in enumerate(addresses):
        if not _is_possible(address):
            yield _impossible_address(f"{path}.{position}", address)


def _is_possible(address: str) -> bool:
    try:
        parse_address(address)
    except DatagramError:
        return False
    return True


def _impossible_address(path: str, address: str) -> Mistake:
    return Mistake(path, f"{address!r}: no such address or port")
