"""The bounds of a script's limit, by the formulas of its settings."""

from finchcart.fault_injection.scripted_runs.script import Script
from finchcart.fleet_settings.configs import quota_config
from finchcart.fleet_settings.file import check_settings
from finchcart.quota.limits import QuotaConfig


def quota_of(script: Script) -> QuotaConfig | None:
    """Return the limits of a script as its processes have them; None where nothing holds them."""
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
    """Return by how much the limit may be exceeded, whatever fails; None where nothing holds it."""
    quota = quota_of(script)
    if quota is None:
        return None
    limit = quota.limits[0]
    return 0 if limit.is_strict else quota.loose_overshoot_bound(limit, script.nodes)


def bucket_bound(script: Script) -> float | None:
    """Return the fullest that a bucket may be that empties at the rate of the first limit.

    None where that is no strict rate. Calls that were counted are written up to the slack later, so that so
    many may come in one moment.
    """
    quota = quota_of(script)
    if quota is None or quota.limits[0].per != "rate" or not quota.limits[0].is_strict:
        return None
    return quota.window_bound(quota.limits[0], 0)
