"""The delivery of outcomes to all replicas: each outcome is retransmitted until it is acknowledged.

Owns the outcomes that not all replicas have acknowledged. This module must never send anything itself:
client.py does. Times are microseconds on the boot clock.
"""

from finchcart.key_leases.config import KeyLeaseConfig
from finchcart.key_leases.messages import LeaseReport, OutcomeId

MAX_TRANSMISSIONS = 40  # an outcome is dropped after this many, whether or not all replicas acknowledged it
MAX_BACKOFF = 8  # longest wait between two transmissions of an outcome, in retransmission intervals


class OutcomeDelivery:
    """An outcome and the indexes of the replicas that have not acknowledged it."""

    def __init__(self, outcome: LeaseReport, replica_count: int, now: int) -> None:
        self.outcome = outcome
        self.unacknowledged = set(range(replica_count))
        self.transmit_at = now
        self.transmissions = 0


class OutcomeDeliveries:
    """The outcomes in delivery; each ends with its last acknowledgement or after `MAX_TRANSMISSIONS`.

    Arguments:
        config: sets the interval of retransmissions.
        replica_count: the number of replicas.
    """

    def __init__(self, config: KeyLeaseConfig, replica_count: int) -> None:
        self.config = config
        self.replica_count = replica_count
        self._deliveries: dict[tuple[bytes, int], OutcomeDelivery] = {}  # by key and attempt

    def add(self, now: int, outcome: LeaseReport) -> None:
        """Begin to deliver an outcome; it replaces an earlier outcome of the same attempt."""
        delivery = OutcomeDelivery(outcome, self.replica_count, now)
        self._deliveries[outcome.key, outcome.attempt] = delivery

    def acknowledge(self, replica: int, acknowledged: OutcomeId) -> None:
        """Record the acknowledgement of a replica, given by its index."""
        attempt_id = acknowledged.key, acknowledged.attempt
        delivery = self._deliveries.get(attempt_id)
        if delivery is None or delivery.outcome.status != acknowledged.status:
            return
        delivery.unacknowledged.discard(replica)
        if not delivery.unacknowledged:
            del self._deliveries[attempt_id]

    def take_due(self, now: int) -> dict[int, list[LeaseReport]]:
        """Return the outcomes to transmit now, by index of the replica, and schedule their retransmission."""
        outcomes: dict[int, list[LeaseReport]] = {}
        for attempt_id, delivery in list(self._deliveries.items()):
            if now < delivery.transmit_at:
                continue
            delivery.transmissions += 1
            backoff = min(MAX_BACKOFF, delivery.transmissions)
            delivery.transmit_at = now + self.config.retransmit_interval * backoff
            for replica in delivery.unacknowledged:
                outcomes.setdefault(replica, []).append(delivery.outcome)
            if delivery.transmissions >= MAX_TRANSMISSIONS:
                del self._deliveries[attempt_id]
        return outcomes
