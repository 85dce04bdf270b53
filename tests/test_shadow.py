"""Watch mode: it changes no answer, counts differing decisions, and isolates exceptions in the shadow."""

import json
import random
import re
from pathlib import Path
from types import SimpleNamespace

import pytest
from loguru import logger

from finchcart import settings
from finchcart.decisions.controller import NodeController
from finchcart.decisions.node_settings import Dependency, Feedback, NodeSettings
from finchcart.decisions.outcome import Outcome
from finchcart.errors import ConfigError
from finchcart.node import shadow
from finchcart.node.inputs import LoadMeasured
from finchcart.node.supported_settings import ShadowSettings, supported_settings
from finchcart.node_config import read_config, reread_config
from tests.core_cases import GAUGES
from tests.core_harness import MS, CoreHarness
from tests.decision_runs import PLAIN
from tests.harness import draw_settings
from tests.random_core_runs import run_randomly
from tests.typed_settings import typed

PERIOD = 1000 * MS


def shadow_settings(active, watched, period):
    """Return watched settings applied over the active settings, as a configuration file makes them."""
    return ShadowSettings(typed(watched, supported_settings(typed({**active, **GAUGES}))), period)


def random_run(seed, active, watched=None):
    """Run random traffic; return the harness, the outcomes of the attempts and the counts in the log."""
    watch_settings = watched and shadow_settings(active, watched, PERIOD)
    harness = CoreHarness({**active, **GAUGES}, seed, shadow=watch_settings)
    started = harness.now
    outcomes = run_randomly(harness, random.Random(seed))
    lines = [line for line in harness.log_lines if line.startswith("watching: ")]
    assert len(lines) <= (harness.now - started) / PERIOD, "more than one line per period"
    return harness, outcomes, [int(count) for line in lines for count in re.findall(r" (\d+)(?:,|$)", line)]


@pytest.mark.parametrize("seed", range(8))
def test_watch_mode_changes_no_answer_and_equal_settings_make_equal_decisions(seed):
    active = draw_settings(random.Random(seed))
    plain, outcomes, counts = random_run(seed, active)
    assert type(plain.core.controller) is NodeController
    assert not counts
    other = {"methods.0.latency_target": 1 * MS, "can_stop": True, "can_pause": True, "feedback": "credit"}
    for watched, differs in (({"tick": active["tick"]}, False), (other, True)):
        harness, watched_outcomes, counts = random_run(seed, active, watched)
        assert (watched_outcomes, harness.reports) == (outcomes, plain.reports)
        assert counts
        assert any(counts) is differs
    for broken in ({"cores": None}, {"memory_kb": None}):  # raises at the start, and at the first arrival
        harness, watched_outcomes, _ = random_run(seed, active, broken)
        assert (watched_outcomes, harness.reports) == (outcomes, plain.reports)
        assert_watch_mode_ended(harness)


def assert_watch_mode_ended(harness):
    """Check that an exception in the shadow ended watch mode with one log line."""
    control = harness.core.controller
    assert sum("watching ended by a fault" in line for line in harness.log_lines) == 1
    assert not (control.shadow or control.handles or control.port.rejections or control.port.failed_or_paused)


def test_an_exception_while_completed_rpcs_are_ended_in_the_shadow_ends_only_watch_mode():
    harness = CoreHarness({**PLAIN, **GAUGES}, shadow=shadow_settings(PLAIN, {}, PERIOD))
    harness.write_block_probability = 0
    harness.step(MS)
    harness.step(MS)
    connection = harness.dispatchers.open()
    names = [harness.dispatchers.submit(connection, 0) for _ in range(6)]
    harness.step(MS)
    for handle in harness.core.controller.handles.values():
        handle.shadow = SimpleNamespace(state=None, run_ended=lambda *_: None, caller_gone=lambda now: 1 / 0)
    for _ in range(400):
        harness.step(10 * MS)
    assert_watch_mode_ended(harness)
    assert all(harness.dispatchers.attempts[name].answers == 1 for name in names)


def overload_counts(watched, active=PLAIN, waited=0):
    """Return the counts of differing decisions after an overload of two cores on a node with busy input."""
    harness = CoreHarness({**active, **GAUGES}, shadow=shadow_settings(active, watched, 10**12))
    harness.write_block_probability = 0
    links = [harness.dispatchers.open() for _ in range(4)]
    for step in range(300):
        harness.step(10 * MS)
        harness.feed(LoadMeasured(19, 20))
        if harness.core.ready:
            for n in (0, 0, 1):
                harness.dispatchers.submit(links[step % 4], n, waited=waited, p="0.9" if n else "0.1")
            for name in list(harness.pool.active_runs) if step % 20 == 0 else ():
                harness.pool.end_run(name, Outcome.OK)
    return harness.core.controller.counts


def latency_objectives(ms):
    return {f"methods.{n}.latency_target": ms * MS for n in (0, 1)}


@pytest.mark.parametrize(
    "kind, watched, active, waited",
    [
        (shadow.ADMITTED_WOULD_REJECT, latency_objectives(5), {}, 0),
        (shadow.REJECTED_WOULD_ADMIT, latency_objectives(1000), latency_objectives(5), 0),
        (shadow.FAILED_OR_PAUSED, {"can_stop": True, "can_pause": True}, {}, 0),
        (shadow.ADVICE, {"marks_retries": False}, {}, 0),
        (shadow.FEEDBACK, {"feedback": "credit"}, {}, 0),
        (shadow.HEALTH, latency_objectives(400), {}, 300 * MS),
    ],
)
def test_each_kind_of_difference_is_counted_for_settings_that_must_differ(kind, watched, active, waited):
    assert overload_counts(watched, {**PLAIN, **active}, waited)[kind] > 0
    assert not any(overload_counts({}, {**PLAIN, **active}, waited).values())


@pytest.mark.parametrize(
    "name, value, expected",
    [
        ("watch", 5, "watch: 5: expected an object"),
        (
            "watch",
            {"settings": {}, "period_ms": 1},
            "watch.period_ms: 1: expected a number from 100 to 86400000",
        ),
        ("watch", {"settings": {"familyInfo": {"say": "loud"}}}, "familyInfo.say: 'loud': expected one of"),
        ("settings", {"familyInfo": {"preemption": True}}, "familyInfo.preemption: True: expected one of"),
        ("settings", {"familyInfo": {"below": "floor"}}, "familyInfo.below: 'floor'"),
        ("settings", {"familyInfo": {"heeded": -1}}, "familyInfo.heeded: -1: expected a number"),
        ("settings", {"familyInfo": {"worthWithout": [0.6, "x"]}}, "familyInfo.worthWithout: (0.6, 'x')"),
        ("settings", {"callers": {"marksRetry": "yes"}}, "callers.marksRetry: 'yes': expected true or false"),
        ("settings", {"services": [{"effect": "odd"}]}, "services.0.effect: 'odd': expected one of"),
    ],
)
def test_an_error_names_an_invalid_setting_its_value_and_what_is_expected(tmp_path, name, value, expected):
    config = json.loads(Path("example/config.json").read_text(encoding="utf-8"))
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**config, name: value}))
    with pytest.raises(ConfigError) as raised:
        read_config(str(path))
    assert expected in str(raised.value)
    assert "\n" not in str(raised.value)
    assert reread_config(str(path), {}) is None  # on SIGHUP the error is logged and the file ignored


def test_the_settings_of_a_configuration_reach_the_decision_module():
    node_settings = settings.from_json(
        {
            "callers": {"marksRetry": False},
            "familyInfo": {
                "below": "tier",
                "preemption": "pause",
                "say": "credit",
                "heeded": 1000000,
                "tellsGone": None,
            },
        }
    )
    assert node_settings == NodeSettings(
        marks_retries=False,
        dependency=Dependency.TIER,
        can_stop=True,
        can_pause=True,
        feedback=Feedback.CREDIT,
        feedback_lifetime_us=1000000,
    )


def config_with(tmp_path, **changes):
    config = json.loads(Path("example/config.json").read_text(encoding="utf-8"))
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**config, **changes}))
    return config, path


def test_watched_settings_are_applied_over_the_settings_in_force(tmp_path):
    items = [{"target": 5}, {"lateWorth": 0.5}]
    watched = {"familyInfo": {"preemption": "pause", "worthWithout": 0.25}, "services": items}
    _, path = config_with(tmp_path, watch={"settings": watched, "period_ms": 500})
    config = read_config(str(path))
    assert config.shadow.period_us == 500_000
    assert not config.settings.can_stop
    look_up, book = config.settings.methods
    assert config.shadow.settings == supported_settings(config.settings)._replace(
        can_stop=True,
        can_pause=True,
        methods=(
            look_up._replace(latency_objective_us=5, degraded_value=0.25),
            book._replace(late_value=0.5, degraded_value=0.25),
        ),
    )


def test_the_log_names_only_the_keys_whose_changes_wait_for_the_next_start(tmp_path):
    config, path = config_with(tmp_path, watch={"settings": {"round": 5000}})
    used = read_config(str(path))
    lines = []
    sink = logger.add(lines.append, format="{message}")
    path.write_text(json.dumps({**config, "watch": {"settings": {"round": 5000}}, "settings": {}}))
    assert reread_config(str(path), used).addresses == used.addresses
    logger.remove(sink)
    assert lines == ["configuration: changes to settings take effect at the next start\n"]
