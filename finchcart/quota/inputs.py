"""The inputs of lease holders, planners and loose limits, besides the inputs of finchcart/fleet/inputs.py.

The module contains their types alone.
"""

from typing import NamedTuple

from finchcart.quota.limits import QuotaConfig


class UsageReported(NamedTuple):
    """The node's usage and demand of a limit.

    Of a strict limit, both are counted beyond the floor; of a loose limit, both include it.
    """

    limit: str
    in_use: int
    demand: int
    priority_demand: int = 0  # the part of `demand` that is more important than the rest


class QuotaConfigChanged(NamedTuple):
    """The settings file was read again; `config` replaces the present configuration."""

    config: QuotaConfig
