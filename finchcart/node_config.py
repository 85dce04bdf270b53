"""The node's configuration: the JSON file that the environment variable ROUTER_CONFIG names.

Owns its keys, and what becomes of them when the file is read again while the node runs: new addresses are
taken, anything else waits for the next start. It must never hold a value that decides about RPCs.
"""

import json
import socket
from collections.abc import Mapping
from typing import Any, NamedTuple

from loguru import logger

from finchcart import settings
from finchcart.decisions.node_settings import DEFAULT_DEADLINE_US, NodeSettings
from finchcart.errors import ConfigError
from finchcart.limits import MS, Limits
from finchcart.node.addresses import NodeAddresses
from finchcart.node.inputs import AddressesChanged
from finchcart.node.methods import read_methods
from finchcart.node.supported_settings import ShadowSettings, supported_settings

Address = tuple[str, int]

PATH_VARIABLE = "ROUTER_CONFIG"
MAX_PORT = 65_535
MAX_ERROR_LENGTH = 200  # characters of a message that others worded
MISTAKE = "ValueError"  # stands before what is wrong with a value: people search logs for it

MIN_SHADOW_PERIOD_MS = 100
MAX_SHADOW_PERIOD_MS = 86_400_000
DEFAULT_SHADOW_PERIOD_MS = 10_000
SHADOW_EXPECTATION = settings.Expectation(
    lambda value: isinstance(value, dict) and isinstance(value.get("settings"), dict),
    "an object with settings and period_ms",
)


class WatchConfig(NamedTuple):
    """The key `watch`: settings that are watched beside those in force."""

    overrides: settings.SettingsOverrides
    period_us: int  # between log lines


class NodeConfig(NamedTuple):
    """A configuration that was read and checked."""

    name: str  # by which the registry knows the node
    listen: Address
    addresses: NodeAddresses  # may change while the node runs
    seed: int
    settings: NodeSettings
    limits: Limits
    watch: WatchConfig | None
    shadow: ShadowSettings | None  # `watch`, applied to `settings`


FIXED_FIELDS = ("name", "listen", "settings", "limits", "watch")  # new ones wait for the next start


def read_config(path: str | None) -> NodeConfig:
    """Read a configuration. Raise ConfigError, in one line that names the file, where it cannot be used."""
    if not path:
        raise ConfigError(f"{PATH_VARIABLE} is not set: expected the path of the configuration")
    try:
        # Not by pathlib, which nothing else on the way to ready imports: it takes 5 ms of the start.
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            return _parse_config(json.load(file))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except Exception as error:
        # Whatever the file holds, nested or sized as it may be, it is refused in words and ends no node.
        kind = MISTAKE if isinstance(error, ConfigError) else type(error).__name__
        raise ConfigError(f"{path}: {kind}: {str(error)[:MAX_ERROR_LENGTH]}") from None


def reread_config(path: str | None, used: NodeConfig) -> AddressesChanged | None:
    """Read the configuration once more, as an input; None where it cannot be used, which is logged."""
    try:
        config = read_config(path)
    except ConfigError as error:
        # Guards against a file that is wrong or half written: the node goes on with what it has.
        logger.error("configuration rejected: {}", error)
        return None
    fixed = [name for name in FIXED_FIELDS if getattr(config, name) != getattr(used, name)]
    if fixed:
        logger.warning("configuration: new {} wait for the next start", ", ".join(fixed))
    return AddressesChanged(config.addresses)


def _parse_config(tree: Mapping[str, Any]) -> NodeConfig:
    node_settings = settings.from_json(tree["settings"])
    methods = read_methods(node_settings, late_read_us=0).values()
    longest_deadline_us = max((method.deadline_us for method in methods), default=DEFAULT_DEADLINE_US)
    config = NodeConfig(
        name=str(tree["name"]),
        listen=_parse_address(tree["listen"]),
        addresses=_parse_addresses(tree),
        seed=int(str(tree.get("seed", "0")), 16),
        settings=node_settings,
        limits=Limits.from_config(tree["limits"], tree["stop_ms"], longest_deadline_us),
        watch=None,
        shadow=None,
    )
    watch = _parse_watch(tree.get("watch"))
    if watch is None:
        return config
    return config._replace(watch=watch, shadow=_make_shadow(node_settings, watch))


def _parse_addresses(tree: Mapping[str, Any]) -> NodeAddresses:
    """Return the peers' addresses. A node of the last tier calls nothing: no store is named there."""
    return NodeAddresses(
        pool=_parse_address(tree["pool"]),
        store=_parse_address(tree["store"]) if "store" in tree else None,
        registry=_parse_address(tree["roster"]),
    )


def _parse_address(text: str) -> Address:
    """Return host and port. No name is looked up: a host is an IPv4 address."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{text}: no such port")
    socket.inet_pton(socket.AF_INET, host)
    return host, int(port)


def _parse_watch(tree: Mapping[str, Any] | None) -> WatchConfig | None:
    if tree is None:
        return None
    settings.check("watch", tree, SHADOW_EXPECTATION)
    period_ms = tree.get("period_ms", DEFAULT_SHADOW_PERIOD_MS)
    settings.check("watch.period_ms", period_ms, settings.number(MIN_SHADOW_PERIOD_MS, MAX_SHADOW_PERIOD_MS))
    return WatchConfig(settings.overrides_from_json(tree["settings"]), int(period_ms * MS))


def _make_shadow(node_settings: NodeSettings, watch: WatchConfig) -> ShadowSettings:
    # The watched settings may ask for what this node can't do: the shadow acts on nothing.
    watched = watch.overrides.apply_to(supported_settings(node_settings))
    return ShadowSettings(watched, watch.period_us)
