"""Compute the bounds that the use of a script's limit must keep to, from the script's settings."""

from finchcart.fault_injection.scripted_runs.script import Script
from finchcart.fleet_settings.configs import quota_config
from finchcart.fleet_settings.file import check_settings
from finchcart.quota.limits import QuotaConfig


def script_quota_config(script: Script) -> QuotaConfig | None:
    """Return the quota configuration of a script's processes, or None if nothing enforces its limits."""
    if script.static or not script.limits:
        return None
    planners = [f"127.0.0.1:{number + 2}" for number in range(script.planners)]
    settings = {
        "fleet": {"name": "x", "listen": "127.0.0.1:1"},
        "limits": script.limits,
        "quota": {"planners": planners, **script.quota},
    }
    return quota_config(check_settings(settings, "script"))


def overshoot_bound(script: Script) -> int | None:
    """Return by how much the limit may be exceeded whatever fails, or None if nothing enforces it."""
    quota = script_quota_config(script)
    if quota is None:
        return None
    limit = quota.limits[0]
    return 0 if limit.is_strict else quota.loose_overshoot_bound(limit, script.nodes)


def bucket_bound(script: Script) -> float | None:
    """Return the highest level of a leaky bucket that drains at the rate of the first limit.

    The result is None unless the first limit is a strict rate. A node may write a call to the store up to the
    write slack after it counted the call, so the calls of that time may reach the store at the same moment,
    in addition to the burst.
    """
    quota = script_quota_config(script)
    if quota is None or quota.limits[0].per != "rate" or not quota.limits[0].is_strict:
        return None
    return quota.window_bound(quota.limits[0], 0)
