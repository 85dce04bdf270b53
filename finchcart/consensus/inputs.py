"""The inputs of a consensus store, besides those of finchcart/fleet/inputs.py.

Owns their types alone.
"""

from typing import NamedTuple

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.evidence import Evidence


class EvidenceCollected(NamedTuple):
    """What the core of this node observed since the last evidence."""

    evidence: Evidence


class ConsensusConfigChanged(NamedTuple):
    """The settings were read again."""

    config: ConsensusConfig
