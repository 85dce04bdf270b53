"""What a node can do of what the settings allow.

Owns the list of what is missing. It must never choose a value that the settings leave open.
"""

from typing import NamedTuple

from finchcart.decisions.node_settings import Feedback, NodeSettings


class ShadowSettings(NamedTuple):
    """What watch mode needs, see shadow.py."""

    settings: NodeSettings  # those that are watched
    period_us: int  # between log lines


def supported_settings(settings: NodeSettings) -> NodeSettings:
    """Return the settings without what a node can't do, whatever they allow.

    The worker pool's protocol has no word for stopping or pausing work, and dispatchers' answers carry a
    shed level alone.
    """
    feedback = Feedback.LEVEL if settings.feedback is Feedback.LEVEL else Feedback.SILENT
    return settings._replace(can_stop=False, can_pause=False, feedback=feedback)
