"""Limits in the settings file and the bounds that follow from them."""

import random

import pytest

from finchcart.errors import SettingsError
from finchcart.fleet_settings.file import check_settings
from finchcart.quota.limits import SECOND, Limit, QuotaConfig, config_errors

GOOD_SETTINGS = {
    "fleet": {"name": "x", "listen": "127.0.0.1:7400"},
    "limits": [{"name": "store", "in_hand": 40, "floor": 1}],
    "quota": {"planners": ["127.0.0.2:7400"], "most": 20},
}


@pytest.mark.parametrize(
    ("quota", "limit", "reason"),
    [
        ({"most": 41}, {}, "1 x 41 (most) = 41 is more than the limit of 40"),
        ({"life_ms": 1000}, {}, "1000 ms is less than 3 x round_ms = 1500 ms"),
        (
            {"planners": ["127.0.0.2:1", "127.0.0.3:1"]},
            {},
            "2 addresses are set, but a group has 1, 3 or 5 replicas",
        ),
        ({"planners": ["127.0.0.2:1"] * 3}, {}, "its vote would count double"),
        ({"lease_ms": 300}, {}, "at least 500 ms"),
        ({"slack_ms": 2000}, {}, "more than a quarter of life_ms"),
        ({}, {"counts": "rpcs"}, "an RPC in progress can't be ended when a lease expires"),
        ({}, {"rate": 3, "burst": 30}, "exactly one of in_hand and rate must be set"),
        ({}, {"in_hand": 0}, "limits.0.in_hand: 0:"),
        ({}, {"method": "x"}, "method and dispatcher apply only to RPCs"),
        ({}, {"in_hnd": 3}, "limits.0.in_hnd: no such setting; the nearest is in_hand"),
    ],
)
def test_settings_that_contradict_a_bound_are_rejected_with_the_calculation(quota, limit, reason):
    settings = {
        **GOOD_SETTINGS,
        "quota": {**GOOD_SETTINGS["quota"], **quota},
        "limits": [{**GOOD_SETTINGS["limits"][0], **limit}],
    }
    with pytest.raises(SettingsError) as raised:
        check_settings(settings, "F")
    assert reason in str(raised.value)


def test_settings_within_their_bounds_are_accepted():
    assert check_settings(GOOD_SETTINGS, "F").limits[0].in_hand == 40
    assert not list(config_errors(QuotaConfig(limits=(Limit("a", 64, 1),), planners=("a",))))
    rate = Limit("a", 64, per="rate", burst=63)
    errors = dict(config_errors(QuotaConfig(limits=(rate,), planners=("a",))))
    assert "63 is less than most = 64" in errors["limits.0.burst"]
    loose = Limit("a", 64, mode="loose")
    assert not list(config_errors(QuotaConfig(limits=(loose,)))), "a loose limit needs no planners"


def test_bounds_follow_from_the_settings():
    quota, limit = QuotaConfig(partition_overshoot=0.5, drift=0.01), Limit("a", 100, mode="loose")
    assert quota.partition_allowance(limit, 5, 10) == 75
    assert quota.partition_allowance(limit, 9, 10) == 100
    rng = random.Random(1)
    for _ in range(300):
        known = rng.randrange(2, 40)
        sides, left = [], known
        while left:
            sides.append(rng.randint(1, left))
            left -= sides[-1]
        assert sum(quota.partition_allowance(limit, side, known) for side in sides) <= 150
    assert quota.loose_overshoot_bound(limit, 10) == 50 + 9
    assert quota.loose_overshoot_bound(limit, 10, 5) == 100 + 14
    rate = Limit("r", 100, per="rate", burst=80, mode="loose")
    assert quota.loose_overshoot_bound(rate, 10) == 50
    assert quota.window_bound(Limit("r", 100, per="rate", burst=80), SECOND) == 80 + 104
    assert (
        quota.recovery_bound()
        == quota.startup_quiet_period
        + 4 * quota.election_retry
        + quota.takeover_wait
        + quota.request_interval
    )
