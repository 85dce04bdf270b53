"""Restricts the settings to the features that a node supports.

This module must never choose a value for a setting that is not configured.
"""

from typing import NamedTuple

from finchcart.decisions.node_settings import Feedback, NodeSettings


class ShadowSettings(NamedTuple):
    """The configuration of watch mode, see shadow.py."""

    settings: NodeSettings  # the settings of the shadow decision module
    period_us: int  # the interval between log lines


def supported_settings(settings: NodeSettings) -> NodeSettings:
    """Return the settings with the features disabled that a node doesn't support.

    The worker pool's protocol can't stop or pause a run, and answers to dispatchers carry no feedback other
    than the shed level.
    """
    feedback = Feedback.LEVEL if settings.feedback is Feedback.LEVEL else Feedback.SILENT
    return settings._replace(can_stop=False, can_pause=False, feedback=feedback)
