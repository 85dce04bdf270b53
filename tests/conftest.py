"""Fixtures that several test files share."""

import pytest

from tests.node_testbed import NodeTestbed


@pytest.fixture
def testbed(tmp_path):
    """A node to be started, on loopback, with simulated peers; killed at the end where it still runs."""
    made = NodeTestbed(tmp_path)
    yield made
    if made.process and made.process.poll() is None:
        made.process.kill()
        made.process.wait()
