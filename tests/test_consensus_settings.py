"""Tests of consensus settings, the bounds that follow from them, and the pages shown by the command line."""

import re
from dataclasses import replace
from pathlib import Path

import json5
import pytest

from finchcart.consensus import subjects
from finchcart.consensus.config import SECOND, config_errors, config_warnings
from finchcart.consensus.messages import (
    CODEC,
    ConsensusStatusResponse,
    OverrideRequest,
)
from finchcart.errors import SettingsError
from finchcart.fault_injection.consensus.simulation import ConsensusSimulation
from finchcart.fleet.codec import MAX_DATAGRAM_BYTES
from finchcart.fleet_settings.configs import consensus_config
from finchcart.fleet_settings.file import check_settings
from finchcart.membership.config import MembershipConfig
from tests.consensus_examples import BLOCKED, CONFIG


def test_the_time_bound_grows_with_the_number_of_members_and_the_loss():
    membership = MembershipConfig()
    sizes = 3, 16, 24, 200, 2000
    bounds = [CONFIG.reaction_time_bound(membership, count, loss) for count in sizes for loss in (0.0, 0.3)]
    lossless, lossy = bounds[::2], bounds[1::2]
    assert all(less < more for less, more in zip(lossless, lossy, strict=True))
    assert bounds[8] > bounds[4]


def test_settings_are_checked_and_a_warning_is_given_if_a_single_report_decides():
    tree = {"fleet": {"name": "x", "listen": "127.0.0.1:1"}, "verdicts": {"count": 1, "life_ms": 20_000}}
    config = consensus_config(check_settings(tree, "f"))
    assert config.report_lifetime == 20 * SECOND
    assert [problem.field for problem in config_warnings(config)] == ["count"]
    errors = config_errors(replace(config, report_lifetime=SECOND, max_hold_time=1))
    assert [error.field for error in errors] == ["life_ms", "hold_most_ms"]
    with pytest.raises(SettingsError) as raised:
        check_settings({"verdicts": {"life_ms": 3000, "cuont": 2}}, "f")
    assert "the nearest is count" in str(raised.value)
    with pytest.raises(SettingsError) as raised:
        check_settings({"verdicts": {"life_ms": 3000}}, "f")
    assert "nodes exchange reports for verdicts" in str(raised.value)
    assert "3 x span_ms" in str(raised.value)


def test_the_commented_settings_in_the_deployed_file_are_the_defaults():
    text = Path("deploy/finchcart.json5").read_text(encoding="utf-8")
    head, _, tail = text.partition("  // verdicts: {\n")
    body, _, rest = tail.partition("  // },\n")
    tree = json5.loads(head + "  verdicts: {\n" + re.sub(r"(?m)^  // ", "  ", body) + "  },\n" + rest)
    assert consensus_config(check_settings(tree, "example")) == replace(CONFIG, zone="a")


def test_decisions_on_many_sources_are_split_into_pages_that_fit_a_datagram():
    fleet = ConsensusSimulation(3, 1)
    fleet.start_all()
    fleet.run(6 * SECOND)
    consensus = fleet.processes["n000"].machine.consensus_store
    for n in range(14):
        consensus.issue_override(
            fleet.now,
            OverrideRequest(n, subjects.source_subject(f"10.0.1.{n}"), BLOCKED, 60 * SECOND, "w" * 60),
        )
    view = consensus.status(fleet.now)
    rows = [row for page in range(view["pages"]) for row in consensus.status(fleet.now, page)["verdicts"]]
    assert len(rows) == 14
    assert len({row["name"] for row in rows}) == 14
    for page in range(view["pages"]):
        response = ConsensusStatusResponse(1, consensus.status(fleet.now, page))
        assert len(CODEC.encode("f", response)) <= MAX_DATAGRAM_BYTES
