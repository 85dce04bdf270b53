"""The inputs that a consensus store takes in addition to those of finchcart/fleet/inputs.py."""

from typing import NamedTuple

from finchcart.consensus.config import ConsensusConfig
from finchcart.consensus.evidence import Evidence


class EvidenceCollected(NamedTuple):
    """The core of this node hands over its latest observations."""

    evidence: Evidence


class ConsensusConfigChanged(NamedTuple):
    """The settings were reloaded; this is the new configuration."""

    config: ConsensusConfig
