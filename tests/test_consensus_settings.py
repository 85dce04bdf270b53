"""Settings of consensus, its bounds, and the pages that the command line shows."""

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


def test_a_bound_of_every_number_of_members_and_loss_grows_with_both():
    membership = MembershipConfig()
    sizes = 3, 16, 24, 200, 2000
    bounds = [CONFIG.reaction_time_bound(membership, count, loss) for count in sizes for loss in (0.0, 0.3)]
    calm, lossy = bounds[::2], bounds[1::2]
    assert all(less < more for less, more in zip(calm, lossy, strict=True))
    assert bounds[8] > bounds[4]


def test_settings_are_checked_and_the_check_warns_of_a_single_report():
    tree = {"fleet": {"name": "x", "listen": "127.0.0.1:1"}, "verdicts": {"count": 1, "life_ms": 20_000}}
    config = consensus_config(check_settings(tree, "f"))
    assert config.report_lifetime == 20 * SECOND
    assert [problem.field for problem in config_warnings(config)] == ["count"]
    errors = config_errors(replace(config, report_lifetime=SECOND, max_hold_time=1))
    assert [error.field for error in errors] == ["life_ms", "hold_most_ms"]
    with pytest.raises(SettingsError) as wrong:
        check_settings({"verdicts": {"life_ms": 3000, "cuont": 2}}, "f")
    assert "the nearest is count" in str(wrong.value)
    with pytest.raises(SettingsError) as wrong:
        check_settings({"verdicts": {"life_ms": 3000}}, "f")
    assert "opinions ride" in str(wrong.value)
    assert "3 x span_ms" in str(wrong.value)


def test_the_example_of_the_settings_shows_the_defaults():
    text = Path("deploy/finchcart.json5").read_text(encoding="utf-8")
    head, _, tail = text.partition("  // verdicts: {\n")
    body, _, rest = tail.partition("  // },\n")
    tree = json5.loads(head + "  verdicts: {\n" + re.sub(r"(?m)^  // ", "  ", body) + "  },\n" + rest)
    assert consensus_config(check_settings(tree, "example")) == replace(CONFIG, zone="a")


def test_decisions_on_many_sources_are_shown_page_by_page():
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
