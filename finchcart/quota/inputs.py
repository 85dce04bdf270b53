"""The inputs of lease holders, planners and local limits, besides those of finchcart/fleet/inputs.py.

Owns their types alone.
"""

from typing import NamedTuple

from finchcart.quota.limits import QuotaConfig


class UsageReported(NamedTuple):
    """What this node uses and demands of a limit.

    Of a strict limit both are beyond its floor, of a loose one in all.
    """

    limit: str
    in_use: int
    demand: int
    priority_demand: int = 0  # the part of `demand` that matters more than the rest


class QuotaConfigChanged(NamedTuple):
    """The settings were read again."""

    config: QuotaConfig
