"""Check the rules between the fields of a settings file whose fields are valid on their own.

Each rule yields all violations of it. Rules within the configuration of quota, consensus or key leases are
checked by the `config_errors` function of that package.
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
ANY_HOST_PREFIX = "0.0.0.0:"  # an address with this prefix listens on all interfaces
ASSUMED_LOSS = 0.5  # fraction of messages lost when the maximum age of a view is compared with `forget_after`
SPARE_DATAGRAMS = 8  # required in each period in addition to those for heartbeats and probes


class Mistake(NamedTuple):
    """A mistake in the settings file: the path of the field and what is wrong with it."""

    path: str
    reason: str


Rule = Callable[[Settings], Iterator[Mistake]]
FleetRule = Callable[[FleetSettings], Iterator[Mistake]]


def find_mistakes(settings: Settings) -> Iterator[Mistake]:
    """Yield all mistakes between fields, in the order of the rules."""
    for rule in RULES:
        yield from rule(settings)
    if settings.fleet is not UNSET:
        for fleet_rule in FLEET_RULES:
            yield from fleet_rule(settings.fleet)


# ---- limits, quota, key leases and consensus


def _check_limits_with_quota(settings: Settings) -> Iterator[Mistake]:
    if bool(settings.limits) != (settings.quota is not UNSET):
        yield Mistake("limits", "limits and quota must be set together, but one of them is missing")


def _check_limit_kinds(settings: Settings) -> Iterator[Mistake]:
    for position, limit in enumerate(settings.limits):
        if (limit.in_hand is UNSET) == (limit.rate is UNSET):
            yield Mistake(f"limits.{position}", "exactly one of in_hand and rate must be set")
        if (limit.burst is UNSET) != (limit.rate is UNSET):
            yield Mistake(f"limits.{position}.burst", "must be set if rate is set, and only then")


def _check_limit_count(settings: Settings) -> Iterator[Mistake]:
    if len(settings.limits) > MAX_LIMITS:
        yield Mistake("limits", f"{len(settings.limits)} limits are set, at most {MAX_LIMITS} are allowed")


def _check_quota(settings: Settings) -> Iterator[Mistake]:
    config = quota_config(settings)
    if not config:
        return
    if settings.fleet is UNSET:
        yield Mistake("fleet", "is missing: nodes share limits through their fleet addresses")
    yield from _address_mistakes("quota.planners", config.planners)
    for path, reason in quota.config_errors(config):
        yield Mistake(path if path.startswith("limits") else f"quota.{path}", reason)


def _check_key_leases(settings: Settings) -> Iterator[Mistake]:
    config = key_lease_config(settings)
    if not config:
        return
    if settings.fleet is UNSET:
        yield Mistake("fleet", "is missing: nodes request claims from their fleet addresses")
    yield from _address_mistakes("claims.keepers", config.replicas)
    for path, reason in key_leases.config_errors(config):
        yield Mistake(f"claims.{path}", reason)


def _check_consensus(settings: Settings) -> Iterator[Mistake]:
    config = consensus_config(settings)
    if not config:
        return
    if settings.fleet is UNSET:
        yield Mistake("fleet", "is missing: nodes exchange reports for verdicts in fleet messages")
    for path, reason in consensus.config_errors(config):
        yield Mistake(f"verdicts.{path}", reason)


# ---- fleet


def _check_own_addresses(fleet: FleetSettings) -> Iterator[Mistake]:
    for name in ("listen", "advertise"):
        address = getattr(fleet, name)
        if address is not UNSET and not _is_valid_address(address):
            yield _invalid_address(f"fleet.{name}", address)


def _check_advertised_address(fleet: FleetSettings) -> Iterator[Mistake]:
    if fleet.advertise is UNSET and fleet.listen.startswith(ANY_HOST_PREFIX):
        yield Mistake(
            "fleet.advertise", "is missing: other nodes cannot send to 0.0.0.0, the address of fleet.listen"
        )


def _check_seeds(fleet: FleetSettings) -> Iterator[Mistake]:
    yield from _address_mistakes("fleet.seeds", fleet.seeds)


def _check_patience(fleet: FleetSettings) -> Iterator[Mistake]:
    config = membership_config(fleet)
    if config.max_patience < config.patience:
        yield Mistake(
            "fleet.patience_most", f"{config.max_patience} is less than fleet.patience, {config.patience}"
        )


def _check_forget_time(fleet: FleetSettings) -> Iterator[Mistake]:
    config = membership_config(fleet)
    max_view_age = config.staleness_bound(config.max_members, ASSUMED_LOSS)
    if config.forget_after <= max_view_age:
        yield Mistake(
            "fleet.remember_s",
            f"{config.forget_after / SECOND:g} s is not more than the maximum age of a view "
            f"with half of the messages lost, {max_view_age / SECOND:g} s",
        )


def _check_datagram_limit(fleet: FleetSettings) -> Iterator[Mistake]:
    config = membership_config(fleet)
    need = 2 * config.watch_degree + config.probes_per_period + SPARE_DATAGRAMS
    if config.max_datagrams < need:
        yield Mistake(
            "fleet.datagrams", f"{config.max_datagrams} is less than 2 x watch + revive + 8 = {need}"
        )


RULES: tuple[Rule, ...] = (
    _check_limits_with_quota,
    _check_limit_kinds,
    _check_limit_count,
    _check_quota,
    _check_key_leases,
    _check_consensus,
)
FLEET_RULES: tuple[FleetRule, ...] = (
    _check_own_addresses,
    _check_advertised_address,
    _check_seeds,
    _check_patience,
    _check_forget_time,
    _check_datagram_limit,
)


# ---- addresses


def _address_mistakes(path: str, addresses: Sequence[str]) -> Iterator[Mistake]:
    for position, address in enumerate(addresses):
        if not _is_valid_address(address):
            yield _invalid_address(f"{path}.{position}", address)


def _is_valid_address(address: str) -> bool:
    try:
        parse_address(address)
    except DatagramError:
        return False
    return True


def _invalid_address(path: str, address: str) -> Mistake:
    return Mistake(path, f"{address!r}: not a valid IPv4 address with a port")
