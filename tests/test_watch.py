"""Watching: the same answers with it on and off, counts where decisions differ, and faults kept apart."""

import json
import random

import pytest

from finchcart import settings
from finchcart.__main__ import ConfigError, read_config
from finchcart.control import Control
from finchcart.interface import Outcome
from finchcart.node.watch import (
    ADVICE,
    GIVEN_UP,
    HEALTH,
    KINDS,
    PUSHED_BACK_WOULD_TAKE,
    TAKEN_WOULD_PUSH_BACK,
)
from tests.harness import MS, Far, draw_settings
from tests.test_control import PLAIN
from tests.test_core import GAUGES, play

PERIOD = 10**12  # no line within a test: the counts of the whole run are there at its end


def day(seed, told, **watched):
    """A random day; `watched` None: nothing is watched. Returns the far side and how each try ended."""
    rng = random.Random(seed)
    watch = {"settings": watched.pop("settings"), "period": PERIOD} if watched else None
    far = Far({**told, **GAUGES}, seed, watch=watch)
    return far, play(far, rng)


@pytest.mark.parametrize("seed", range(8))
def test_answers_are_the_same_with_watching_on_and_off_and_nothing_differs_for_the_same_settings(seed):
    told = draw_settings(random.Random(seed))
    plain, without = day(seed, told)
    other, with_other = day(seed, told, settings={"methods.0.latency_target": 1 * MS, "can_pause": True,
                                                  "can_stop": True, "told": "credit"})
    same, with_same = day(seed, told, settings={})
    assert without == with_other == with_same
    assert plain.reports == other.reports == same.reports
    counts = same.core.control.counts
    assert same.core.control.seen > 50 and not any(counts.values()), counts
    assert any(other.core.control.counts.values())


def crowded(watched, told=PLAIN, waited=0):
    """More than two cores can do, for a while."""
    far = Far({**told, **GAUGES}, watch={"settings": watched, "period": PERIOD})
    far.slow = 0
    links = [far.open() for _ in range(4)]
    for step in range(300):
        far.step(10 * MS)
        if far.core.ready:
            for n in (0, 0, 1):
                far.submit(links[step % 4], n, waited=waited, p="0.9" if n else "0.1")
            for name, run in list(far.active.items()):
                if run["state"] == "running" and far.now % 3 == 0 or step % 20 == 0:
                    far.finish(name, Outcome.OK)
    return far.core.control.counts


def test_each_kind_is_counted_where_settings_must_differ():
    tight = {f"methods.{n}.latency_target": 5 * MS for n in (0, 1)}
    assert crowded(tight)[TAKEN_WOULD_PUSH_BACK] > 0
    assert crowded({name: PLAIN[name] for name in tight}, {**PLAIN, **tight})[PUSHED_BACK_WOULD_TAKE] > 0
    assert crowded({"can_stop": True, "can_pause": True})[GIVEN_UP] > 0
    assert crowded({"marks_further": False})[ADVICE] > 0
    assert set(KINDS) >= set(crowded({}))


def test_health_and_the_told_value_are_compared_at_each_look():
    far = Far({**PLAIN, **GAUGES}, watch={"settings": {}, "period": PERIOD})
    far.step(MS)
    far.step(MS)
    control = far.core.control
    control.second.port.good = False
    for _ in range(10):
        far.step(40 * MS)
    assert control.counts[HEALTH] > 0


def test_a_fault_of_the_watched_ends_the_watching_alone():
    far = Far({**PLAIN, **GAUGES}, watch={"settings": {}, "period": PERIOD})
    far.step(MS)
    far.step(MS)
    control = far.core.control
    control.second.memory = None  # it will fail at its next arrival
    link = far.open()
    names = [far.submit(link, 0) for _ in range(6)]
    far.step(MS)
    far.step(MS)
    assert control.second is None and not control.handles and not control.notes.pushed
    assert sum("watching ended" in line for line in far.lines) == 1
    assert any(far.runs.get(name) for name in names)


def test_one_line_a_period_and_none_for_each_rpc():
    far = Far({**PLAIN, **GAUGES}, watch={"settings": {}, "period": 1000 * MS})
    for step in range(300):
        far.step(10 * MS)
        if far.core.ready and step % 5 == 0:
            far.submit(far.open(), 0)
    assert 1 <= sum(line.startswith("watching: of ") for line in far.lines) <= 3


def test_nothing_is_watched_unless_asked_for():
    far = Far({**PLAIN, **GAUGES})
    far.step(MS)
    far.step(MS)
    assert type(far.core.control) is Control


BAD = [("watch", 5, "watch: 5"), ("watch", {"settings": {}, "period_ms": 1}, "watch.period_ms: 1"),
       ("watch", {"settings": {"familyInfo": {"say": "loud"}}}, "familyInfo.say: 'loud': expected one of"),
       ("settings", {"familyInfo": {"preemption": True}}, "familyInfo.preemption: True: expected one of"),
       ("settings", {"familyInfo": {"below": "floor"}}, "familyInfo.below: 'floor'"),
       ("settings", {"familyInfo": {"heeded": -1}}, "familyInfo.heeded: -1: expected a number"),
       ("settings", {"callers": {"marksRetry": "yes"}}, "callers.marksRetry: 'yes': expected true or false"),
       ("settings", {"services": [{"effect": "odd"}]}, "services.0.effect: 'odd': expected one of")]


@pytest.mark.parametrize("name, value, words", BAD)
def test_a_setting_that_can_not_be_is_named_with_its_value_and_what_is_expected(tmp_path, name, value, words):
    with open("example/config.json", encoding="utf-8") as file:
        config = json.load(file)
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**config, name: value}))
    with pytest.raises(ConfigError) as told:
        read_config(str(path))
    assert words in str(told.value) and "\n" not in str(told.value)


def test_settings_of_the_new_shape_reach_the_module_from_a_configuration():
    told = settings.from_json({"callers": {"marksRetry": False}, "familyInfo": {
        "below": "tier", "preemption": "pause", "say": "credit", "heeded": 1000000, "tellsGone": None}})
    assert told == {"marks_further": False, "below": "tier", "can_stop": True, "can_pause": True,
                    "told": "credit", "told_heeded": 1000000}
