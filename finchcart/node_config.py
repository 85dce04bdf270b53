"""The node's configuration: a JSON file whose path is in the environment variable ROUTER_CONFIG.

This module defines the keys of the file. When the file is read again while the node runs, changed addresses
of peers are applied immediately, and all other changes take effect at the next start. Values that affect
decisions about RPCs must not be defined here; they belong to finchcart/decisions/.
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
MAX_ERROR_LENGTH = 200  # maximum number of characters that are quoted from the text of an exception
# Error messages give this as the type of each ConfigError, because operators search logs for it.
CONFIG_ERROR_NAME = "ValueError"

MIN_SHADOW_PERIOD_MS = 100
MAX_SHADOW_PERIOD_MS = 86_400_000
DEFAULT_SHADOW_PERIOD_MS = 10_000
SHADOW_EXPECTATION = settings.Expectation(
    lambda value: isinstance(value, dict) and isinstance(value.get("settings"), dict),
    "an object with settings and period_ms",
)


class WatchConfig(NamedTuple):
    """The key `watch`: settings with which a shadow makes decisions that are only logged."""

    overrides: settings.SettingsOverrides
    period_us: int  # microseconds between two log lines of the shadow


class NodeConfig(NamedTuple):
    """A configuration that was read and checked."""

    name: str  # the node's name in the registry
    listen: Address
    addresses: NodeAddresses  # the addresses of the peers, which may change while the node runs
    seed: int
    settings: NodeSettings
    limits: Limits
    watch: WatchConfig | None
    shadow: ShadowSettings | None  # the result of applying `watch` to `settings`


FIXED_FIELDS = ("name", "listen", "settings", "limits", "watch")  # changes take effect at the next start


def read_config(path: str | None) -> NodeConfig:
    """Read a configuration. Raise ConfigError, in one line that names the file, if the file is invalid."""
    if not path:
        raise ConfigError(f"{PATH_VARIABLE} is not set: expected the path of the configuration")
    try:
        # Importing pathlib, which nothing else needs before the node is ready, would delay the start by 5 ms.
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            return _parse_config(json.load(file))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except Exception as error:
        # Any content, however deeply nested or large, must be rejected with a message and never end the node.
        type_name = CONFIG_ERROR_NAME if isinstance(error, ConfigError) else type(error).__name__
        raise ConfigError(f"{path}: {type_name}: {str(error)[:MAX_ERROR_LENGTH]}") from None


def reread_config(path: str | None, used: NodeConfig) -> AddressesChanged | None:
    """Read the configuration again and return its addresses as an input.

    Return None, and log the error, if the file is invalid.
    """
    try:
        config = read_config(path)
    except ConfigError as error:
        # The file may be invalid or only half written; the node keeps the configuration that it has.
        logger.error("configuration rejected: {}", error)
        return None
    fixed = [name for name in FIXED_FIELDS if getattr(config, name) != getattr(used, name)]
    if fixed:
        logger.warning("configuration: changes to {} take effect at the next start", ", ".join(fixed))
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
    """Return the peers' addresses. A node of the last tier makes no calls and has no store address."""
    return NodeAddresses(
        pool=_parse_address(tree["pool"]),
        store=_parse_address(tree["store"]) if "store" in tree else None,
        registry=_parse_address(tree["roster"]),
    )


def _parse_address(text: str) -> Address:
    """Return host and port. The host must be an IPv4 address, as host names are not resolved."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{text}: no such port")
    socket.inet_pton(socket.AF_INET, host)
    return host, int(port)


def _parse_watch(tree: Mapping[str, Any] | None) -> WatchConfig | None:
    if tree is None:
        return None
    settings.check_value("watch", tree, SHADOW_EXPECTATION)
    period_ms = tree.get("period_ms", DEFAULT_SHADOW_PERIOD_MS)
    settings.check_value(
        "watch.period_ms", period_ms, settings.number_in_range(MIN_SHADOW_PERIOD_MS, MAX_SHADOW_PERIOD_MS)
    )
    return WatchConfig(settings.overrides_from_json(tree["settings"]), int(period_ms * MS))


def _make_shadow(node_settings: NodeSettings, watch: WatchConfig) -> ShadowSettings:
    # The overrides of `watch` are applied after the reduction to the settings that this node supports: they
    # may contain unsupported ones, since the shadow carries out none of its decisions.
    watched = watch.overrides.apply_to(supported_settings(node_settings))
    return ShadowSettings(watched, watch.period_us)
